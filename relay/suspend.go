package relay

import (
	"sync"
	"time"
)

const (
	// minSuspension is the shortest suspension that counts. Clocks of one host that are read one
	// after the other differ by less, and the required bounds have margins of 100 ms or more.
	minSuspension = 50 * time.Millisecond
	// suspensionPollInterval is how often a gateway without requests checks whether its host was
	// suspended.
	suspensionPollInterval = 100 * time.Millisecond
)

// suspensionDetector detects suspensions of the host. Everything known or in flight before a
// suspension is older than the monotonic clock says.
type suspensionDetector struct {
	total func() time.Duration // see Deps.Suspended; may be nil

	mu         sync.Mutex
	counted    time.Duration // part of total that was detected
	detectedAt time.Time     // when the newest suspension was detected
	detected   chan struct{} // closed when the next suspension is detected
}

func newSuspensionDetector(total func() time.Duration) *suspensionDetector {
	return &suspensionDetector{total: total, detected: make(chan struct{})}
}

// check returns how long the host was suspended in total, and how much of that is new since the
// last check.
func (s *suspensionDetector) check(now time.Time) (total, fresh time.Duration) {
	if s.total == nil {
		return 0, 0
	}
	total = s.total()
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

// notBeforeSuspension reports whether a monotonic time is not before the newest suspension.
func (s *suspensionDetector) notBeforeSuspension(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !t.Before(s.detectedAt)
}

// nextSuspension returns a channel that is closed when the next suspension is detected.
func (s *suspensionDetector) nextSuspension() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detected
}

// checkSuspension returns how long the host was suspended in total. If that has grown since the last
// check, it discards what is outdated: proofs of the configuration, the age of the list of
// endpoints, and idle connections, which the other side may have dropped.
func (g *Gateway) checkSuspension() time.Duration {
	now := time.Now()
	total, fresh := g.suspensions.check(now)
	if fresh == 0 {
		return total
	}
	g.state.DropProof(now, fresh)
	g.storeReads.invalidateList(now)
	g.endpointLimits.ClearVotes()
	g.deps.Endpoints.CloseIdle()
	g.peerClient.http.CloseIdleConnections()
	g.grantClient.http.CloseIdleConnections()
	g.meter.suspensions.Inc()
	g.deps.Log.Logger().Warn("Host was suspended.", "for", fresh, "in_flight", g.inFlight.Load())
	return total
}

// pollSuspensions checks for suspensions periodically, so that a gateway without requests refreshes
// its data as soon as its host resumes.
func (g *Gateway) pollSuspensions() {
	if g.suspensions.total == nil {
		return
	}
	for g.pause(suspensionPollInterval) {
		g.checkSuspension()
	}
}

// pauseOrResume waits for d or until a suspension of the host is detected. It reports false if the
// gateway was closed first.
func (g *Gateway) pauseOrResume(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.suspensions.nextSuspension():
		return true
	case <-g.ctx.Done():
		return false
	}
}

// deductSuspension subtracts time for which the host was suspended from the time that the request
// has left.
func (x *exchange) deductSuspension() {
	total := x.g.checkSuspension()
	if d := total - x.countedSuspension; d > 0 {
		x.started, x.deadline = x.started.Add(-d), x.deadline.Add(-d)
		x.countedSuspension = total
	}
}
