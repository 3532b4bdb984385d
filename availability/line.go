package availability

import (
	"cmp"
	"slices"
	"time"
)

// WaitQueue is the queue of requests that wait for the backoffs of endpoints to end. It is ordered by urgency
// and then by the arrival of the caller. The zero value is an empty queue. Line is not safe for
// concurrent use.
type WaitQueue struct {
	waiting []*Waiter
}

// Waiter is a queued request.
type Waiter struct {
	Urgency int       // 0 is the most urgent
	Since   time.Time // when the caller's request arrived
}

// Push adds a request to the queue.
func (l *WaitQueue) Push(w *Waiter) {
	i, _ := slices.BinarySearchFunc(l.waiting, w, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.Since.Compare(b.Since), -1) // insert after equal requests
	})
	l.waiting = slices.Insert(l.waiting, i, w)
}

// Remove removes a request from the queue.
func (l *WaitQueue) Remove(w *Waiter) {
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Waiter) bool { return other == w })
}

// IsFirst reports whether no request precedes w. A nil w stands for a request that is not queued yet, which
// every queued request precedes.
func (l *WaitQueue) IsFirst(w *Waiter) bool {
	return len(l.waiting) == 0 || l.waiting[0] == w
}

// Len returns the number of queued requests.
func (l *WaitQueue) Len() int { return len(l.waiting) }
