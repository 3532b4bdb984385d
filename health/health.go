// Package health decides which endpoints a gateway had better leave alone. It goes by how the
// gateway's exchanges ended. It is pure: events and times come in, beliefs come out.
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
}

// Table holds what is believed of each endpoint. It is not safe for concurrent use.
type Table struct{ own map[string]*record }

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{own: make(map[string]*record)}
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
	return r != nil && now.Before(r.until)
}

// Forget drops what is known of an endpoint that is gone or has started again.
func (t *Table) Forget(endpoint string) {
	delete(t.own, endpoint)
}
