// Package crashprobe decides from probes of an endpoint's address whether exchanges broke because the
// endpoint crashed. A process that is ending may reset its connections a moment before its listener
// closes, so that a probe that finds a listener is repeated.
package crashprobe

import (
	"slices"
	"time"
)

const (
	// MaxDelay is how long after an exchange broke a refused probe still shows that the endpoint
	// crashed under it. It allows for a busy gateway whose last probe is late. A process that is found to
	// have ended later, as by a gateway that was frozen, may have ended for another reason.
	MaxDelay = 300 * time.Millisecond
	// minInterval is the shortest time between the starts of two probes of an endpoint that breaks many
	// exchanges.
	minInterval = 5 * time.Millisecond
	// refusedTTL is how long a refused probe is valid for other exchanges of the same incarnation.
	// Exchanges that a crash broke are noticed within milliseconds of each other, and later if the
	// gateway is busy.
	refusedTTL = 250 * time.Millisecond
)

// offsets are the times after the break of an exchange at which the endpoint is probed. A listener closes
// within milliseconds after the connections were reset, and on a busy host within tens of them. The last one is
// shorter than the restart of a process, whose listener under the same address would hide the crash, and
// short enough that an endpoint that only broke off one response seldom crashes in that time.
var offsets = [...]time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond, 140 * time.Millisecond}

// Result is the result of a probe.
type Result uint8

// The results of a probe.
const (
	Silent    Result = iota // no response in time
	Unknown                 // another failure, as of a connection that is reset while its listener closes
	Listening               // a process accepts connections
	Refused                 // nothing listens at the address
)

// State is what is known about an exchange when it is added to a series.
type State uint8

// The states of an exchange.
const (
	Probing  State = iota // a probe runs or is due now; its result is a first answer
	Deferred              // the next probe is due later
	Crashed               // the endpoint is known to have crashed
)

// Action is what to do next in a series.
type Action uint8

// The actions.
const (
	Wait  Action = iota // call Next again after the given time, or when an exchange was added
	Probe               // start a probe
	End                 // drop the series
)

// Series is a series of probes of one incarnation of an endpoint, and the exchanges of type E that broke
// there and are not decided yet. It is not safe for concurrent use.
type Series[E any] struct {
	pending   []brokenExchange[E]
	startedAt time.Time // when the newest probe was started
	running   bool
	refusedAt time.Time // when a probe was refused; zero: none was
}

type brokenExchange[E any] struct {
	exchange E
	brokeAt  time.Time
}

// Add adds an exchange that broke now.
func (s *Series[E]) Add(e E, now time.Time) State {
	if s.refusedValid(now) {
		return Crashed
	}
	s.pending = append(s.pending, brokenExchange[E]{e, now})
	if _, action := s.Next(now); action == Wait && !s.running {
		return Deferred
	}
	return Probing
}

func (s *Series[E]) refusedValid(now time.Time) bool {
	return !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusedTTL
}

// Next returns what to do now and, for Wait, for how long. It must not be called while a probe runs except
// by Add.
func (s *Series[E]) Next(now time.Time) (time.Duration, Action) {
	if s.refusedValid(now) {
		return s.refusedAt.Add(refusedTTL).Sub(now), Wait
	}
	if len(s.pending) == 0 {
		return 0, End
	}
	at := s.nextProbe(s.pending[0])
	for _, b := range s.pending[1:] {
		if t := s.nextProbe(b); t.Before(at) {
			at = t
		}
	}
	if earliest := s.startedAt.Add(minInterval); at.Before(earliest) {
		at = earliest
	}
	if wait := at.Sub(now); wait > 0 {
		return wait, Wait
	}
	return 0, Probe
}

// nextProbe returns when an exchange needs the next probe. A probe that was started before an exchange broke
// does not count for it, since the endpoint may have crashed since.
func (s *Series[E]) nextProbe(b brokenExchange[E]) time.Time {
	for _, offset := range offsets {
		if t := b.brokeAt.Add(offset); s.startedAt.Before(t) {
			return t
		}
	}
	return b.brokeAt
}

// Start records that a probe is started now.
func (s *Series[E]) Start(now time.Time) { s.startedAt, s.running = now, true }

// Finish records the result of the probe and returns the exchanges that broke because the endpoint crashed.
func (s *Series[E]) Finish(r Result, now time.Time) (crashed []E) {
	s.running = false
	switch r {
	case Refused:
		s.refusedAt = now
		for _, b := range s.pending {
			if s.startedAt.Sub(b.brokeAt) <= MaxDelay {
				crashed = append(crashed, b.exchange)
			}
		}
		s.pending = nil
	case Silent:
		s.pending = nil // a host that does not respond would not answer the next probe either
	case Unknown, Listening:
		s.pending = slices.DeleteFunc(s.pending, func(b brokenExchange[E]) bool {
			return !s.startedAt.Before(b.brokeAt.Add(offsets[len(offsets)-1]))
		})
	}
	return crashed
}
