package limits

import "time"

const (
	// tripStreak is the number of failures in a row that open a breaker.
	tripStreak = 3
	// tripShare is the share of failures that opens it, once outcomes of the
	// weight tripWeight have been seen: about ten, as they decay.
	tripShare  = 0.5
	tripWeight = 6
	// breakerMemory is the share that past outcomes keep at each new one.
	breakerMemory = 0.9
	// firstOpen is how long it stays open at first; each failed probe doubles
	// that up to maxOpen.
	firstOpen = time.Second
	maxOpen   = 30 * time.Second
	// probeTime is how long one probe may take before another is let through.
	probeTime = 10 * time.Second
)

// Breaker keeps requests from an endpoint that fails. Only failures of the
// endpoint itself count: lost, unreachable, failed; not refusals. The zero
// value is a closed breaker.
type Breaker struct {
	streak   int
	failures float64 // decaying
	outcomes float64 // decaying
	opened   int     // times in a row without a success between
	until    time.Time
	probing  time.Time // since when a probe is out; zero: none
}

// State names a breaker's state.
type State string

// The states of a breaker.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half-open" // its time is over; one probe at a time passes
)

// State returns the breaker's state.
func (b *Breaker) State(now time.Time) State {
	switch {
	case b.opened == 0:
		return Closed
	case now.Before(b.until):
		return Open
	}
	return HalfOpen
}

// Blocks reports whether routing has to leave the endpoint out.
func (b *Breaker) Blocks(now time.Time) bool {
	switch b.State(now) {
	case Open:
		return true
	case HalfOpen:
		return !b.probing.IsZero() && now.Sub(b.probing) < probeTime
	}
	return false
}

// Sent notes that a request goes to the endpoint; half open it is the probe.
func (b *Breaker) Sent(now time.Time) {
	if b.State(now) == HalfOpen {
		b.probing = now
	}
}

// Success notes that the endpoint served a request.
func (b *Breaker) Success(now time.Time) {
	if b.State(now) == Open {
		return // of a request sent before it opened
	}
	b.count(0)
	b.streak, b.opened, b.probing = 0, 0, time.Time{}
}

// Failure notes that the endpoint failed a request, and reports whether the
// breaker opened by it.
func (b *Breaker) Failure(now time.Time) bool {
	state := b.State(now)
	if state == Open {
		return false
	}
	b.streak++
	b.count(1)
	often := b.outcomes >= tripWeight && b.failures >= tripShare*b.outcomes
	if state == Closed && b.streak < tripStreak && !often {
		return false
	}
	b.open(now)
	return true
}

func (b *Breaker) count(failure float64) {
	b.failures = breakerMemory*b.failures + failure
	b.outcomes = breakerMemory*b.outcomes + 1
}

func (b *Breaker) open(now time.Time) {
	span := min(firstOpen<<min(b.opened, 10), maxOpen)
	b.opened++
	b.until = now.Add(span)
	b.probing = time.Time{}
	b.failures, b.outcomes = 0, 0
}
