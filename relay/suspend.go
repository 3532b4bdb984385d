package relay

import (
	"sync"
	"time"
)

const (
	// leastSuspension is the shortest suspension that counts. Clocks of one host that are
	// read one after the other differ by less; the users' bounds have margins of 100 ms and more.
	leastSuspension = 50 * time.Millisecond
	// wakeTick is how often a gateway without requests looks whether its host was suspended.
	wakeTick = 100 * time.Millisecond
)

// suspension notices that the host was suspended. Nothing that was known or under way before
// is as young as the monotonic clock says.
type suspension struct {
	total func() time.Duration // see Deps.Suspended; may be nil

	mu    sync.Mutex
	seen  time.Duration // of total, as far as it was noticed
	since time.Time     // when the newest suspension was noticed
	woken chan struct{} // closed at the next one
}

func newSuspension(total func() time.Duration) *suspension {
	return &suspension{total: total, woken: make(chan struct{})}
}

// look returns how long the host was suspended in all, and how much of that is new.
func (s *suspension) look(now time.Time) (total, fresh time.Duration) {
	if s.total == nil {
		return 0, 0
	}
	total = s.total()
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh = total - s.seen
	if fresh < leastSuspension {
		return s.seen, 0
	}
	s.seen, s.since = total, now
	close(s.woken)
	s.woken = make(chan struct{})
	return total, fresh
}

// after reports whether a time of the monotonic clock does not lie before the newest
// suspension.
func (s *suspension) after(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !t.Before(s.since)
}

// next returns a channel that is closed when the next suspension is noticed.
func (s *suspension) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.woken
}

// suspendedTime returns how long the host was suspended in all. Once it is more than at the
// last look, what was known before no longer counts: proofs of the configuration, the age of the list
// of endpoints, and idle connections, which the other side may have forgotten.
func (g *Gateway) suspendedTime() time.Duration {
	now := time.Now()
	total, fresh := g.suspension.look(now)
	if fresh == 0 {
		return total
	}
	g.state.Outdate(now, fresh)
	g.sharing.outdate(now)
	g.limits.outdate()
	g.deps.Endpoints.CloseIdle()
	g.peers.http.CloseIdleConnections()
	g.grants.http.CloseIdleConnections()
	g.meter.suspensions.Inc()
	g.deps.Log.Logger().Warn("Host was suspended.", "for", fresh, "in_flight", g.inFlight.Load())
	return total
}

// noticeSuspensions looks now and then, so that a gateway without requests reads what it
// needs as soon as its host is awake.
func (g *Gateway) noticeSuspensions() {
	if g.suspension.total == nil {
		return
	}
	for g.pause(wakeTick) {
		g.suspendedTime()
	}
}

// pauseAwake waits for d, or until the host was suspended; it reports false when the
// gateway was closed first.
func (g *Gateway) pauseAwake(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.suspension.next():
		return true
	case <-g.ctx.Done():
		return false
	}
}

// countSuspension takes time that the host was suspended off what the request has left.
func (x *exchange) countSuspension() {
	total := x.g.suspendedTime()
	if d := total - x.suspended; d > 0 {
		x.started, x.deadline = x.started.Add(-d), x.deadline.Add(-d)
		x.suspended = total
	}
}
