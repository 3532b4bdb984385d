// Package suspension detects that the host was suspended.
package suspension

import (
	"sync"
	"time"
)

// minSuspension is the shortest suspension that counts. Clocks of one host that are read one
// after the other differ by less, and the required bounds have margins of 100 ms or more.
const minSuspension = 50 * time.Millisecond

// Detector detects suspensions of the host. Everything known or in flight before a
// suspension is older than the monotonic clock says.
type Detector struct {
	// Total returns how long the host was suspended in total; nil if that is not known.
	Total func() time.Duration

	mu         sync.Mutex
	counted    time.Duration // part of Total that was detected
	detectedAt time.Time     // when the newest suspension was detected
	detected   chan struct{} // closed when the next suspension is detected
}

// New returns a detector that uses the given total; it may be nil.
func New(total func() time.Duration) *Detector {
	return &Detector{Total: total, detected: make(chan struct{})}
}

// Check returns how long the host was suspended in total, and how much of that is new since the
// last check.
func (s *Detector) Check(now time.Time) (total, fresh time.Duration) {
	if s.Total == nil {
		return 0, 0
	}
	total = s.Total()
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh = total - s.counted
	if fresh < minSuspension {
		return s.counted, 0
	}
	s.counted, s.detectedAt = total, now
	close(s.detected)
	s.detected = make(chan struct{})
	return total, fresh
}

// NotBefore reports whether a monotonic time is not before the newest suspension.
func (s *Detector) NotBefore(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !t.Before(s.detectedAt)
}

// Next returns a channel that is closed when the next suspension is detected.
func (s *Detector) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detected
}
