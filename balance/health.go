package balance

import "time"

// Outcome is what an exchange with an endpoint showed of its health.
type Outcome uint8

// The outcomes.
const (
	Good        Outcome = iota
	Bad                 // an error, a broken answer
	Unreachable         // no connection
)

const (
	// healthMemory is the weight of the newest outcome in the average.
	healthMemory = 0.25
	// suspectAbove is the average of failures above which an endpoint is
	// suspect: two of three, or one in three over a longer time.
	suspectAbove = 0.4
	// firstRest and longestRest bound how long a suspect is left alone before
	// one request tries it again.
	firstRest   = time.Second
	longestRest = 6 * time.Second
)

// health is the record of one endpoint.
type health struct {
	failures float64 // moving average, 0 to 1
	rest     time.Duration
	until    time.Time
}

// Health judges endpoints by how exchanges with them ended. It is not safe for
// concurrent use.
type Health struct{ records map[string]*health }

// NewHealth returns a record without outcomes.
func NewHealth() *Health { return &Health{records: make(map[string]*health)} }

// Note takes in an outcome; it reports whether the endpoint has just become
// suspect.
func (h *Health) Note(endpoint string, o Outcome, now time.Time) bool {
	r := h.records[endpoint]
	if r == nil {
		if o == Good {
			return false
		}
		r = &health{}
		h.records[endpoint] = r
	}
	switch o {
	case Good:
		r.failures *= 1 - healthMemory
		if now.After(r.until) && r.failures <= suspectAbove {
			r.rest = 0
		}
		return false
	case Bad:
		r.failures += healthMemory * (1 - r.failures)
	case Unreachable:
		r.failures = max(r.failures, suspectAbove) + healthMemory*(1-max(r.failures, suspectAbove))
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
func (h *Health) Suspect(endpoint string, now time.Time) bool {
	r := h.records[endpoint]
	return r != nil && now.Before(r.until)
}

// Forget drops the record of an endpoint that is gone.
func (h *Health) Forget(endpoint string) { delete(h.records, endpoint) }
