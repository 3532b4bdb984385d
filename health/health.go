// Package health decides what a gateway believes of the endpoints' health: which of them
// are better left alone, and how much slower than usual they work. It goes by how the
// gateway's own exchanges ended, by what it read from the endpoints, and by what other
// gateways tell of theirs. It is pure: events and times come in, beliefs come out.
package health

import "time"

// Outcome is what an exchange with an endpoint showed of its health.
type Outcome uint8

// The outcomes.
const (
	Good        Outcome = iota
	Bad                 // an error, a broken answer
	Unreachable         // no connection, or another endpoint that depends on it says so
	Replaced            // another endpoint answered at its address
)

const (
	// outcomeWeight is the weight of the newest outcome in the average.
	outcomeWeight = 0.25
	// suspectAbove is the average of failures above which an endpoint is
	// suspect: two of three, or one in three over a longer time.
	suspectAbove = 0.4
	// firstRest and longestRest bound how long a suspect is left alone before
	// one request tries it again.
	firstRest   = time.Second
	longestRest = 6 * time.Second
)

// record is what this gateway knows of one endpoint by itself.
type record struct {
	failures float64 // moving average, 0 to 1
	rest     time.Duration
	until    time.Time

	good     time.Time // of the newest good outcome
	reached  time.Time // when it last said something of itself
	failed   time.Time // of the newest outcome that was not good
	failedAs Outcome
	late     time.Time // when a stream there paused or began later than expected
	pace     float64   // that the endpoint told; 0: none
	paceAt   time.Time
}

// Table holds what is believed of each endpoint. It is not safe for concurrent use.
type Table struct {
	own map[string]*record
	// recent are the endpoints of which this gateway may have something to tell.
	recent  map[string]struct{}
	told    map[string]told   // by endpoint
	tellers map[string]teller // by gateway
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{own: make(map[string]*record), recent: make(map[string]struct{}), told: make(map[string]told), tellers: make(map[string]teller)}
}

func (t *Table) record(endpoint string) *record {
	r := t.own[endpoint]
	if r == nil {
		r = &record{}
		t.own[endpoint] = r
	}
	return r
}

// Note takes in how an exchange of this gateway ended; it reports whether the endpoint
// has just become suspect.
func (t *Table) Note(endpoint string, o Outcome, now time.Time) bool {
	r := t.record(endpoint)
	switch o {
	case Good:
		r.good = now
		r.failures *= 1 - outcomeWeight
		if now.After(r.until) && r.failures <= suspectAbove {
			r.rest = 0
		}
		return false
	case Bad:
		r.failures += outcomeWeight * (1 - r.failures)
	case Unreachable, Replaced:
		r.failures = max(r.failures, suspectAbove) + outcomeWeight*(1-max(r.failures, suspectAbove))
	}
	r.failed, r.failedAs = now, o
	t.recent[endpoint] = struct{}{}
	if r.failures <= suspectAbove || now.Before(r.until) {
		return false
	}
	r.rest = min(longestRest, max(firstRest, 2*r.rest))
	r.until = now.Add(r.rest)
	// One success after the rest is enough to be trusted with a few more.
	r.failures = suspectAbove
	return true
}

// Suspect reports whether an endpoint should be left alone now.
func (t *Table) Suspect(endpoint string, now time.Time) bool {
	r := t.own[endpoint]
	if r != nil && now.Before(r.until) {
		return true
	}
	return t.avoided(endpoint, now)
}

// Reached takes in that an endpoint answered a question about itself: it is there again, if
// it was not. That says nothing of how it answers requests.
func (t *Table) Reached(endpoint string, now time.Time) {
	r := t.record(endpoint)
	r.reached = now
	if r.failedAs != Bad {
		r.until, r.rest = time.Time{}, 0
	}
}

// soundSince returns until when this gateway knows that an endpoint did not fail in that
// way. What it says of itself proves nothing of how it answers requests.
func (r *record) soundSince(o Outcome) time.Time {
	if o != Bad && r.reached.After(r.good) {
		return r.reached
	}
	return r.good
}

// Forget drops what is known of an endpoint that is gone or has started again.
func (t *Table) Forget(endpoint string) {
	delete(t.own, endpoint)
	delete(t.recent, endpoint)
	delete(t.told, endpoint)
}
