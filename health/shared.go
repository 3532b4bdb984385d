package health

import "time"

// Observation is what one gateway shares with the others about an endpoint. The fields are encoded
// by position: new ones go last.
type Observation struct {
	// Failure is the outcome of the gateway's newest failed exchange with the endpoint,
	// FailureAgeMs ago; Success if none failed recently. BadResponse is not shared, because every
	// gateway would then avoid endpoints that lose one response in twenty.
	Failure      Outcome
	FailureAgeMs int64
	// Slowdown is how many times as long as usual the endpoint takes, as it reported
	// SlowdownAgeMs ago; 0 if the gateway has no recent report of a slow endpoint.
	Slowdown      float64
	SlowdownAgeMs int64
	// Late is set when a stream from the endpoint recently started, or paused, much later
	// than expected.
	Late bool
}

const (
	// observationTTL is how long a failed exchange, a late stream and an endpoint's report of
	// its slowdown remain valid. The gateways that watch an endpoint query it several times within
	// this period, so a persistent failure is reported again before it expires.
	observationTTL = 2 * time.Second
	// failureQuorum is how many gateways must have failed to use an endpoint before all of
	// them avoid it. A single gateway may be the only one that cannot reach it, and must not
	// take it out of service for the others.
	failureQuorum = 2
	// isolationDivisor sets the share of all endpoints, 1/isolationDivisor, above which a
	// gateway that failed at more is assumed to be isolated itself. Its failures do not count
	// towards failureQuorum.
	isolationDivisor = 3
	// slowThreshold is the slowdown up to which an endpoint counts as working at its usual
	// speed.
	slowThreshold = 1.05
	// maxSharedLate is how many endpoints with late streams a gateway reports. More than
	// that are a sign of overload, not of slow engines.
	maxSharedLate = 8
	// maxSlowdown caps the slowdown that is believed of an endpoint.
	maxSlowdown = 50
)

// peerObservations holds what other gateways shared about one endpoint, by gateway. They are
// indexed by endpoint first, because each routing decision looks up every endpoint of a cell and
// most have none.
type peerObservations map[string]peerObservation

type peerObservation struct {
	Observation
	receivedAt time.Time
	// discounted is set if the gateway failed at so many endpoints that its failures do not
	// count.
	discounted bool
}

// peerState records what another gateway shared last.
type peerState struct {
	updatedAt time.Time
	endpoints []string // endpoints of its observations
}

// UpdatePeer replaces all observations of another gateway. endpoints is the number of endpoints
// that there are.
func (t *Table) UpdatePeer(gateway string, observations map[string]Observation, endpoints int, now time.Time) {
	t.dropPeer(gateway)
	if len(observations) == 0 {
		return
	}
	isolated := likelyIsolated(observations, endpoints)
	peer := peerState{updatedAt: now, endpoints: make([]string, 0, len(observations))}
	for id, o := range observations {
		if t.peerObservations[id] == nil {
			t.peerObservations[id] = make(peerObservations)
		}
		t.peerObservations[id][gateway] = peerObservation{o, now, isolated}
		peer.endpoints = append(peer.endpoints, id)
	}
	t.peers[gateway] = peer
}

// likelyIsolated reports whether a gateway with these observations has failed at too large a
// share of the endpoints.
func likelyIsolated(observations map[string]Observation, endpoints int) bool {
	failed := 0
	for _, o := range observations {
		if o.Failure != Success {
			failed++
		}
	}
	return failed > 1 && failed*isolationDivisor > endpoints
}

// dropPeer drops all observations of another gateway.
func (t *Table) dropPeer(gateway string) {
	for _, id := range t.peers[gateway].endpoints {
		delete(t.peerObservations[id], gateway)
		if len(t.peerObservations[id]) == 0 {
			delete(t.peerObservations, id)
		}
	}
	delete(t.peers, gateway)
}

// LocalObservations returns the observations that this gateway shares with the others. It also
// drops those of gateways that have not been heard from for observationTTL.
func (t *Table) LocalObservations(now time.Time) map[string]Observation {
	for name, p := range t.peers {
		if now.Sub(p.updatedAt) > observationTTL {
			t.dropPeer(name)
		}
	}
	out := make(map[string]Observation)
	late := 0
	for id := range t.shareCandidates {
		r := t.local[id]
		var o Observation
		if r.recentlyFailed(now) && r.lastFailureOutcome != BadResponse {
			o.Failure, o.FailureAgeMs = r.lastFailureOutcome, now.Sub(r.lastFailure).Milliseconds()
		}
		if r.reportedSlow(now) {
			o.Slowdown, o.SlowdownAgeMs = r.slowdown, now.Sub(r.slowdownAt).Milliseconds()
		}
		if r.recentlyLate(now) && late < maxSharedLate {
			o.Late = true
			late++
		}
		if o != (Observation{}) {
			out[id] = o
		} else if !r.recentlyLate(now) {
			delete(t.shareCandidates, id)
		}
	}
	return out
}

// recentlyFailed reports whether the endpoint failed within observationTTL and is not known to
// have recovered since.
func (r *record) recentlyFailed(now time.Time) bool {
	return r.lastFailure.After(r.lastKnownGood(r.lastFailureOutcome)) && now.Sub(r.lastFailure) <= observationTTL
}

// avoidedByPeers reports whether a quorum of gateways, this one included, failed to use the
// endpoint.
func (t *Table) avoidedByPeers(endpoint string, now time.Time) bool {
	return t.failingGateways(endpoint, now) >= failureQuorum
}

// failingGateways returns how many gateways, this one included, recently failed to use an
// endpoint. Failures of other gateways count only if they are newer than the last time this
// gateway knows the endpoint to be healthy. A single Replaced counts as a quorum: it is based on
// the response of the endpoint that now has the address.
func (t *Table) failingGateways(endpoint string, now time.Time) int {
	local := t.local[endpoint]
	if local == nil {
		local = &record{}
	}
	count := 0
	if local.recentlyFailed(now) {
		count++
	}
	if len(t.peerObservations) == 0 {
		return count
	}
	for _, o := range t.peerObservations[endpoint] {
		at := o.receivedAt.Add(-time.Duration(o.FailureAgeMs) * time.Millisecond)
		if o.Failure == Success || now.Sub(at) > observationTTL || !at.After(local.lastKnownGood(o.Failure)) || o.discounted {
			continue
		}
		if o.Failure == Replaced {
			return max(count, failureQuorum)
		}
		count++
	}
	return count
}

// FailingGateways returns how many gateways recently failed to use an endpoint if they are a
// quorum, so that it is avoided for that reason; otherwise 0.
func (t *Table) FailingGateways(endpoint string, now time.Time) int {
	if n := t.failingGateways(endpoint, now); n >= failureQuorum {
		return n
	}
	return 0
}

// QueryReason is the reason to send an endpoint a status query.
type QueryReason uint8

const (
	NoQuery           QueryReason = iota
	OtherEndpointSlow             // another endpoint is slow; slow endpoints tend to occur together
	PossiblySlow                  // the endpoint is or may be slow
	RecentFailure                 // a gateway recently failed to use the endpoint
)

// QueryReason returns the reason why a gateway that watches the endpoint should query it now.
func (t *Table) QueryReason(endpoint string, now time.Time) QueryReason {
	reason := NoQuery
	if t.anySlow(now) {
		reason = OtherEndpointSlow
	}
	if r := t.local[endpoint]; r != nil {
		if r.recentlyFailed(now) {
			return RecentFailure
		}
		if r.recentlyLate(now) || r.reportedSlow(now) {
			reason = PossiblySlow
		}
	}
	for _, o := range t.peerObservations[endpoint] {
		switch {
		case now.Sub(o.receivedAt) > observationTTL:
		case o.Failure != Success:
			return RecentFailure
		case o.Late || o.Slowdown > slowThreshold:
			reason = PossiblySlow
		}
	}
	return reason
}

// reportedSlow reports whether the endpoint told this gateway within observationTTL that it is
// slow.
func (r *record) reportedSlow(now time.Time) bool {
	return r.slowdown > slowThreshold && now.Sub(r.slowdownAt) <= observationTTL
}

// anySlow reports whether any endpoint recently told any gateway that it is slow.
func (t *Table) anySlow(now time.Time) bool {
	for id := range t.shareCandidates {
		if t.local[id].reportedSlow(now) {
			return true
		}
	}
	for _, all := range t.peerObservations {
		for _, o := range all {
			if o.Slowdown > slowThreshold && now.Sub(o.receivedAt) <= observationTTL {
				return true
			}
		}
	}
	return false
}

// RecordLateStream records that a stream from the endpoint started, or paused, much later than
// expected.
func (t *Table) RecordLateStream(endpoint string, now time.Time) {
	t.record(endpoint).lastLate = now
	t.shareCandidates[endpoint] = struct{}{}
}

// recentlyLate reports whether a stream was late within observationTTL and the endpoint has not
// reported its slowdown since.
func (r *record) recentlyLate(now time.Time) bool {
	return r.lastLate.After(r.slowdownAt) && now.Sub(r.lastLate) <= observationTTL
}

// SetSlowdown records the slowdown that an endpoint reported: how many times as long as usual it
// takes.
func (t *Table) SetSlowdown(endpoint string, slowdown float64, now time.Time) {
	r := t.record(endpoint)
	r.slowdown, r.slowdownAt = slowdown, now
	t.shareCandidates[endpoint] = struct{}{}
}

// Slowdown returns the slowdown of an endpoint: how many times as long as usual it takes, by its
// newest report within observationTTL, received directly or shared by another gateway. It is
// between 1 and maxSlowdown.
func (t *Table) Slowdown(endpoint string, now time.Time) float64 {
	slowdown, newest := 1.0, time.Time{}
	if r := t.local[endpoint]; r != nil && now.Sub(r.slowdownAt) <= observationTTL {
		slowdown, newest = r.slowdown, r.slowdownAt
	}
	for _, o := range t.peerObservations[endpoint] {
		at := o.receivedAt.Add(-time.Duration(o.SlowdownAgeMs) * time.Millisecond)
		if o.Slowdown > 0 && now.Sub(at) <= observationTTL && at.After(newest) {
			slowdown, newest = o.Slowdown, at
		}
	}
	return min(maxSlowdown, max(1, slowdown))
}
