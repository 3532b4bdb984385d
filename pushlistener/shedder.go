package pushlistener

import "time"

const (
	// shedWindow is the time over which the delays of the process are assessed.
	shedWindow = 250 * time.Millisecond
	// maxTimerDelay and maxLinkDelay are the delays from which the processor and the link count as overloaded if
	// they were never shorter during a window. A response takes some ten steps that each wait as long. A host
	// that has used up its share of a processor may stand still for up to a tenth of a second.
	maxTimerDelay = 100 * time.Millisecond
	maxLinkDelay  = 30 * time.Millisecond
	// minDials is how many connections to endpoints must have been tried within dialPeriod to assess the link.
	minDials   = 3
	dialPeriod = time.Second
	// failedDelay is the delay that counts if none of them came about and no endpoint responded.
	failedDelay = 10 * maxLinkDelay
	// minShare is the smallest share of new connections that is accepted, and acceptInterval the longest time
	// between two that are, so that a process that is ready never seems to be gone.
	minShare       = 0.05
	acceptInterval = 250 * time.Millisecond
	// An overloaded window multiplies the share by the delay that is allowed over its delay, within these bounds;
	// any other one multiplies it by shareFactor and adds shareIncrease.
	minDecrease   = 0.1
	maxDecrease   = 0.5
	shareFactor   = 1.1
	shareIncrease = 0.02
)

// Shedder decides which new connections a process turns away because its processor or its link is overloaded.
// A caller whose connection is closed before anything of its request was read can go to another process at
// once, while one whose request was read would wait. The zero value accepts all. It is not safe for concurrent
// use.
type Shedder struct {
	refused     float64   // share of the new connections that is turned away
	credit      float64   // rises by the accepted share with each connection
	windowStart time.Time // zero before the first observation
	timers      delays
	link        link
	overloaded  bool // whether the last window was
	acceptedAt  time.Time
}

// delays are the delays that were observed in a window.
type delays struct {
	count  int
	lowest time.Duration
}

func (d *delays) add(delay time.Duration) {
	if d.count == 0 || delay < d.lowest {
		d.lowest = delay
	}
	d.count++
}

// link is what connections to endpoints tell of the host's link.
type link struct {
	since     time.Time // when the first of the connections was tried
	dials     delays
	failed    int
	responded bool // whether an endpoint responded in time
}

// assess returns the shortest delay of the connections, and whether there were enough of them. Connections that
// fail tell of the link only if nothing gets through.
func (l *link) assess() (delay time.Duration, ok bool) {
	switch {
	case l.dials.count >= minDials:
		return l.dials.lowest, true
	case l.dials.count == 0 && l.failed >= minDials && !l.responded:
		return failedDelay, true
	default:
		return 0, false
	}
}

// ObserveDial records how much longer than usual a connection to an endpoint took, which tells how long
// packets wait at the host's link. It is failed if the connection did not come about in time.
func (s *Shedder) ObserveDial(delay time.Duration, failed bool) {
	if failed {
		s.link.failed++
		return
	}
	s.link.dials.add(delay)
}

// ObserveResponse records that an endpoint responded in time, so that connections that fail do so at their
// endpoints.
func (s *Shedder) ObserveResponse() { s.link.responded = true }

// ObserveTimer records how much later than planned the process ran a timer, which it does several times in a
// window. It reports whether the share of connections that is turned away changed to or from zero.
func (s *Shedder) ObserveTimer(delay time.Duration, now time.Time) (changed bool) {
	if s.windowStart.IsZero() {
		s.windowStart = now
	}
	s.timers.add(delay)
	if now.Sub(s.windowStart) < shedWindow {
		return false
	}
	before := s.refused > 0
	delay, ok := s.link.assess()
	unknown := !ok && now.Sub(s.link.since) < dialPeriod
	if !unknown {
		s.link = link{since: now}
	}
	load := max(float64(s.timers.lowest)/float64(maxTimerDelay), float64(delay)/float64(maxLinkDelay))
	if load > 1 || !s.overloaded || !unknown {
		s.assess(load)
	}
	s.windowStart, s.timers = now, delays{}
	return before != (s.refused > 0)
}

// assess adapts the share at the end of a window; load is its delay in parts of what is allowed. A single
// overloaded window changes nothing, since requests that come in a rush, as after a start, are soon done, and
// neither does a window after it in which too few connections tell of the link.
func (s *Shedder) assess(load float64) {
	overloaded := load > 1
	switch {
	case !overloaded:
		s.refused = max(0, 1-((1-s.refused)*shareFactor+shareIncrease))
	case s.overloaded:
		decrease := min(maxDecrease, max(minDecrease, 1/load))
		s.refused = 1 - max(minShare, (1-s.refused)*decrease)
	}
	s.overloaded = overloaded
}

// Refused returns the share of the new connections that is turned away.
func (s *Shedder) Refused() float64 { return s.refused }

// Accept reports whether to accept a connection that comes now.
func (s *Shedder) Accept(now time.Time) bool {
	if s.refused == 0 {
		return true
	}
	s.credit += 1 - s.refused
	if s.credit < 1 && now.Sub(s.acceptedAt) < acceptInterval {
		return false
	}
	s.credit, s.acceptedAt = max(0, s.credit-1), now
	return true
}
