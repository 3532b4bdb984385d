package crashprobe

import (
	"sync"
	"time"
)

// Probes holds the series of all incarnations, identified by K, whose exchanges broke. An endpoint that is
// alive may have broken off a single response. It is safe for concurrent use.
type Probes[K comparable, E any] struct {
	mu     sync.Mutex
	series map[K]*Running[K, E]
}

// Running is the series of one incarnation, whose probes run one at a time.
type Running[K comparable, E any] struct {
	Incarnation K
	Added       chan struct{} // receives a value when an exchange was added
	series      Series[E]
	next        *Round // of the running or the next probe
}

// Round is one probe.
type Round struct {
	Done    chan struct{}
	Refused bool // set when Done is closed
}

func newRound() *Round { return &Round{Done: make(chan struct{})} }

// NewProbes returns an empty set of series.
func NewProbes[K comparable, E any]() *Probes[K, E] {
	return &Probes[K, E]{series: make(map[K]*Running[K, E])}
}

// Add adds an exchange that broke now to the series of its incarnation; created is set if that is new, and
// the caller must run it then. The round is that of the running or the next probe.
func (p *Probes[K, E]) Add(incarnation K, e E, now time.Time) (s *Running[K, E], created bool, state State, round *Round) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s = p.series[incarnation]
	if s == nil {
		s = &Running[K, E]{Incarnation: incarnation, Added: make(chan struct{}, 1), next: newRound()}
		p.series[incarnation], created = s, true
	}
	state = s.series.Add(e, now)
	select {
	case s.Added <- struct{}{}:
	default:
	}
	return s, created, state, s.next
}

// Next returns what to do now in a series, see Series.Next. It starts a probe that is due and removes a
// series that has ended.
func (p *Probes[K, E]) Next(s *Running[K, E], now time.Time) (time.Duration, Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait, action := s.series.Next(now)
	switch action {
	case Probe:
		s.series.Start(now)
	case End:
		delete(p.series, s.Incarnation)
	}
	return wait, action
}

// Finish records the result of a probe. It returns the exchanges that broke by a crash, and the probe's
// round, whose Done the caller closes once these are recorded.
func (p *Probes[K, E]) Finish(s *Running[K, E], r Result, now time.Time) ([]E, *Round) {
	p.mu.Lock()
	defer p.mu.Unlock()
	round := s.next
	round.Refused = r == Refused
	s.next = newRound()
	return s.series.Finish(r, now), round
}
