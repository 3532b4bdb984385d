package availability

import (
	"cmp"
	"slices"
	"time"
)

// WaitQueue is the queue of requests that wait for the backoffs of endpoints to end. It is ordered by urgency
// and then by the arrival of the caller. The zero value is an empty queue. WaitQueue is not safe for
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
func (q *WaitQueue) Push(w *Waiter) {
	i, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.Since.Compare(b.Since), -1) // insert after equal requests
	})
	q.waiting = slices.Insert(q.waiting, i, w)
}

// Remove removes a request from the queue.
func (q *WaitQueue) Remove(w *Waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Waiter) bool { return other == w })
}

// IsFirst reports whether no request precedes w. A nil w stands for a request that is not queued yet, which
// every queued request precedes.
func (q *WaitQueue) IsFirst(w *Waiter) bool {
	return len(q.waiting) == 0 || q.waiting[0] == w
}

// Len returns the number of queued requests.
func (q *WaitQueue) Len() int { return len(q.waiting) }
