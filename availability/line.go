package availability

import (
	"cmp"
	"slices"
	"time"
)

// Line orders requests that wait until endpoints have rested: the more urgent first, then whose caller came first. The zero value is an
// empty line. It is not safe for concurrent use.
type Line struct {
	waiting []*Waiter
}

// Waiter is a request in line.
type Waiter struct {
	Urgency int       // 0 is the most urgent
	Since   time.Time // when its caller came
}

// Join puts a request in line.
func (l *Line) Join(w *Waiter) {
	i, _ := slices.BinarySearchFunc(l.waiting, w, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.Since.Compare(b.Since), -1) // behind its equals
	})
	l.waiting = slices.Insert(l.waiting, i, w)
}

// Leave takes a request out of the line.
func (l *Line) Leave(w *Waiter) {
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Waiter) bool { return other == w })
}

// First reports whether nobody is before a request that waits; nil: before one that has just come.
func (l *Line) First(w *Waiter) bool {
	return len(l.waiting) == 0 || l.waiting[0] == w
}

// Len returns how many requests wait.
func (l *Line) Len() int { return len(l.waiting) }
