package limits

import "time"

const (
	// tripFailures is the number of consecutive failures that open a breaker.
	tripFailures = 3
	// tripRatio is the ratio of failures that opens it, once the decayed count of outcomes has
	// reached tripMinWeight, which takes about ten outcomes.
	tripRatio     = 0.5
	tripMinWeight = 6
	// outcomeDecay is the factor by which past outcomes decay at each new one.
	outcomeDecay = 0.9
	// initialOpenTime is how long a breaker stays open at first; each failed probe doubles it,
	// up to maxOpenTime.
	initialOpenTime = time.Second
	maxOpenTime     = 30 * time.Second
	// probeTimeout is how long a probe may take before another one is let through.
	probeTimeout = 10 * time.Second
)

// Breaker is a circuit breaker that keeps requests from a failing endpoint. Only failures
// of the endpoint itself count (it was lost, was unreachable or failed), refusals do not.
// The zero value is a closed breaker.
type Breaker struct {
	consecutiveFailures int
	failures            float64 // decaying count
	outcomes            float64 // decaying count
	consecutiveOpens    int     // times opened in a row without a success in between
	openUntil           time.Time
	probeStarted        time.Time // when the outstanding probe was sent; zero: none
}

// State is the state of a breaker.
type State string

// The states of a breaker.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half-open" // the open time is over; one probe at a time is let through
)

// State returns the breaker's state.
func (b *Breaker) State(now time.Time) State {
	switch {
	case b.consecutiveOpens == 0:
		return Closed
	case now.Before(b.openUntil):
		return Open
	}
	return HalfOpen
}

// Blocks reports whether routing must exclude the endpoint.
func (b *Breaker) Blocks(now time.Time) bool {
	switch b.State(now) {
	case Open:
		return true
	case HalfOpen:
		return !b.probeStarted.IsZero() && now.Sub(b.probeStarted) < probeTimeout
	}
	return false
}

// RecordSend records that a request is sent to the endpoint; a half-open breaker takes it as the
// probe.
func (b *Breaker) RecordSend(now time.Time) {
	if b.State(now) == HalfOpen {
		b.probeStarted = now
	}
}

// RecordSuccess records that the endpoint served a request.
func (b *Breaker) RecordSuccess(now time.Time) {
	if b.State(now) == Open {
		return // from a request sent before the breaker opened
	}
	b.record(0)
	b.consecutiveFailures, b.consecutiveOpens, b.probeStarted = 0, 0, time.Time{}
}

// RecordFailure records that the endpoint failed a request, and reports whether that opened the
// breaker.
func (b *Breaker) RecordFailure(now time.Time) bool {
	state := b.State(now)
	if state == Open {
		return false
	}
	b.consecutiveFailures++
	b.record(1)
	ratioReached := b.outcomes >= tripMinWeight && b.failures >= tripRatio*b.outcomes
	if state == Closed && b.consecutiveFailures < tripFailures && !ratioReached {
		return false
	}
	b.open(now)
	return true
}

func (b *Breaker) record(failure float64) {
	b.failures = outcomeDecay*b.failures + failure
	b.outcomes = outcomeDecay*b.outcomes + 1
}

func (b *Breaker) open(now time.Time) {
	openTime := min(initialOpenTime<<min(b.consecutiveOpens, 10), maxOpenTime)
	b.consecutiveOpens++
	b.openUntil = now.Add(openTime)
	b.probeStarted = time.Time{}
	b.failures, b.outcomes = 0, 0
}
