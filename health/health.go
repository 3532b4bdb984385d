// Package health tracks a gateway's view of endpoint health: which endpoints to avoid, and
// how much slower than usual they work. Its inputs are the outcomes of the gateway's own
// exchanges, the endpoints' reports about themselves, and the observations that other
// gateways share. The package does no I/O and reads no clock: callers pass in events and
// times.
package health

import "time"

// Outcome classifies how an exchange with an endpoint ended, as far as the endpoint's health
// is concerned.
type Outcome uint8

const (
	Success     Outcome = iota
	BadResponse         // an error or a broken response
	Unreachable         // no connection, or an endpoint that depends on it reported it unreachable
	Replaced            // another endpoint responded at its address
)

const (
	// outcomeWeight is the weight of the newest outcome in the moving average of failures.
	outcomeWeight = 0.25
	// suspectThreshold is the moving average of failures above which an endpoint is
	// suspect. Two failures in a row exceed it, and so does one failure in three over a
	// longer time.
	suspectThreshold = 0.4
	// initialBackoff and maxBackoff bound how long a suspect endpoint is avoided before
	// requests are sent to it again.
	initialBackoff = time.Second
	maxBackoff     = 6 * time.Second
)

// record holds this gateway's own observations of one endpoint.
type record struct {
	failures   float64 // moving average, 0 to 1
	backoff    time.Duration
	avoidUntil time.Time

	lastSuccess        time.Time // time of the newest Success
	lastReached        time.Time // when it last answered a status query
	lastFailure        time.Time // time of the newest outcome other than Success
	lastFailureOutcome Outcome
	lastLate           time.Time // when a stream last started, or paused, much later than expected
	slowdown           float64   // factor that the endpoint reported; 0 if none
	slowdownAt         time.Time
}

// Table holds the health state of the endpoints. It is not safe for concurrent use.
type Table struct {
	local map[string]*record // by endpoint
	// shareCandidates are the endpoints about which this gateway may have an observation to
	// share.
	shareCandidates  map[string]struct{}
	peerObservations map[string]peerObservations // by endpoint
	peers            map[string]peerState        // by gateway
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{local: make(map[string]*record), shareCandidates: make(map[string]struct{}), peerObservations: make(map[string]peerObservations), peers: make(map[string]peerState)}
}

func (t *Table) record(endpoint string) *record {
	r := t.local[endpoint]
	if r == nil {
		r = &record{}
		t.local[endpoint] = r
	}
	return r
}

// RecordOutcome records the outcome of one of this gateway's exchanges. It reports whether the
// endpoint has just become suspect.
func (t *Table) RecordOutcome(endpoint string, o Outcome, now time.Time) bool {
	r := t.record(endpoint)
	switch o {
	case Success:
		r.lastSuccess = now
		r.failures *= 1 - outcomeWeight
		if now.After(r.avoidUntil) && r.failures <= suspectThreshold {
			r.backoff = 0
		}
		return false
	case BadResponse:
		r.failures += outcomeWeight * (1 - r.failures)
	case Unreachable, Replaced:
		r.failures = max(r.failures, suspectThreshold) + outcomeWeight*(1-max(r.failures, suspectThreshold))
	}
	r.lastFailure, r.lastFailureOutcome = now, o
	t.shareCandidates[endpoint] = struct{}{}
	if r.failures <= suspectThreshold || now.Before(r.avoidUntil) {
		return false
	}
	r.backoff = min(maxBackoff, max(initialBackoff, 2*r.backoff))
	r.avoidUntil = now.Add(r.backoff)
	// Continue from the threshold: a single success after the backoff is enough for the
	// endpoint to receive further requests.
	r.failures = suspectThreshold
	return true
}

// Suspect reports whether an endpoint should be avoided now.
func (t *Table) Suspect(endpoint string, now time.Time) bool {
	r := t.local[endpoint]
	if r != nil && now.Before(r.avoidUntil) {
		return true
	}
	return t.avoidedByPeers(endpoint, now)
}

// RecordReachable records that an endpoint answered a status query. That ends a backoff unless
// the newest failure was a BadResponse: such a response shows that the endpoint is reachable, not
// that it serves requests correctly.
func (t *Table) RecordReachable(endpoint string, now time.Time) {
	r := t.record(endpoint)
	r.lastReached = now
	if r.lastFailureOutcome != BadResponse {
		r.avoidUntil, r.backoff = time.Time{}, 0
	}
}

// lastKnownGood returns the newest time at which the endpoint is known not to have failed
// with outcome o. A response to a status query counts for reachability only, not for BadResponse.
func (r *record) lastKnownGood(o Outcome) time.Time {
	if o != BadResponse && r.lastReached.After(r.lastSuccess) {
		return r.lastReached
	}
	return r.lastSuccess
}

// Forget drops all state of an endpoint that is gone or has restarted.
func (t *Table) Forget(endpoint string) {
	delete(t.local, endpoint)
	delete(t.shareCandidates, endpoint)
	delete(t.peerObservations, endpoint)
}
