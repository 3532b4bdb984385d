package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

// queueStep is the longest pause between two looks at the load.
const queueStep = 20 * time.Millisecond

// patience returns what decides how long the request waits, as it stands now.
func (x *exchange) patience() patience {
	return patience{
		started: x.started, deadline: x.deadline, objective: x.route.Objective, first: x.route.Patience,
		sends: x.attempts, unsent: x.unsent, helperFailures: x.helperFailures, resumed: x.stream != nil || x.call.LastEventID != "",
	}
}

// warm tells whether a kept connection to an endpoint may carry the request.
func (x *exchange) warm(endpoint string) bool {
	return x.g.deps.Endpoints.Kept(endpoint, x.maxIdle())
}

// maxIdle returns how long a kept connection may have been idle to carry the request;
// zero: as long as it is kept.
func (x *exchange) maxIdle() time.Duration {
	if x.route.Idempotent() {
		return 0
	}
	return unsafeIdle
}

// placedWork returns the request as the choice of an endpoint sees it, without the time that it has.
func (x *exchange) placedWork() balance.Work {
	return balance.Work{
		InputTokens: x.call.Input, OutputTokens: x.call.Output, Avoid: slices.Concat(x.tried, x.unfit),
		Pauses: x.table.Pauses(x.service.Name), Pause: x.route.GapObjective,
	}
}

// logChoice logs where the request goes and what was believed of that endpoint.
func (x *exchange) logChoice(at *place, waited time.Duration) {
	x.g.deps.Log.Request("Endpoint chosen.", "request", x.call.ID, "endpoint", at.endpoint.ID, "helpers", ids(at.helpers), "reserved", len(at.reserve),
		"tokens", x.call.Input, "waited_ms", waited.Milliseconds(),
		"expected_ms", int(at.expected.FirstMs), "harm", int(at.expected.Harm), "idle", at.expected.Idle,
		"read_ms", int(at.before.ReadMs), "short", at.before.Short, "long", at.before.Long, "memory", at.before.Tokens, "pace", at.pace, "candidates", at.candidates, "remote", at.remote, "limit", x.g.limits.logged(at.endpoint.ID))
}

// reasonToRefuse says for the log why a choice that ended so means a refusal.
func reasonToRefuse(o pickOutcome) string {
	switch o {
	case pickFull:
		return "all slots are taken"
	case pickWait:
		return "its time to wait for endpoints is over"
	default:
		return "no endpoint is known"
	}
}

// logNoPlace logs why a request that was not sent is refused. expected is what the
// best endpoints would have brought, without parts where it never was its turn.
func (x *exchange) logNoPlace(why string, expected balance.Expected, waited time.Duration) {
	x.g.deps.Log.Request("No endpoint chosen.", "request", x.call.ID, "why", why, "tokens", x.call.Input, "waited_ms", waited.Milliseconds(),
		"expected_ms", int(expected.FirstMs), "harm", int(expected.Harm), "parts", expected.Parts, "idle", expected.Idle)
}

// giveUpWaiting ends a request that no endpoint takes. queued is set when there are
// endpoints, and others are in the way.
func (x *exchange) giveUpWaiting(queued bool) outcome {
	if queued && !x.mayRun && x.r.Context().Err() == nil {
		return x.refuse(http.StatusServiceUnavailable, x.patience().comeBackAfter(time.Now()), refusedFull)
	}
	return x.giveUp(refusedFull)
}

// ids returns the names of endpoints, for the log.
func ids(list []catalog.Endpoint) []string {
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = e.ID
	}
	return out
}
