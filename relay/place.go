package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/waitpolicy"
)

// queuePollInterval is the longest pause between two evaluations of the load.
const queuePollInterval = 20 * time.Millisecond

// waitPolicy returns the current wait and retry policy of the request.
func (x *exchange) waitPolicy() waitpolicy.Policy {
	return waitpolicy.Policy{
		Started: x.started, Deadline: x.deadline, Objective: x.route.Objective, FirstPartTimeout: x.route.Patience,
		Attempts: x.attempts, UnsentAttempts: x.unsentAttempts, HelperFailures: x.helperFailures, Resumed: x.stream != nil || x.call.LastEventID != "",
		Partial: x.partial(), Unsent: x.unsent, Misdirected: x.misdirected, WrongIncarnation: x.wrongIncarnation,
	}
}

// hasIdleConn reports whether an idle connection to an endpoint may carry the request.
func (x *exchange) hasIdleConn(endpoint string) bool {
	return x.g.deps.Endpoints.HasIdle(endpoint, x.maxIdle())
}

// maxIdle returns how long a connection may have been idle to carry the request; zero means no
// limit below that of the connection pool.
func (x *exchange) maxIdle() time.Duration {
	if x.route.Idempotent() {
		return 0
	}
	return maxUnsafeIdle
}

// balanceRequest returns the request as input of an endpoint choice, without its time limits.
func (x *exchange) balanceRequest() balance.Request {
	return balance.Request{
		InputTokens: x.call.PromptTokens, OutputTokens: x.call.MaxTokens, Excluded: slices.Concat(x.tried, x.excluded),
		Gaps: x.table.GapObjectives(x.service.Name), MaxGap: x.route.GapObjective,
	}
}

// logPlacement logs where the request goes and the state of that endpoint as known to this gateway.
func (x *exchange) logPlacement(pl *placement, waited time.Duration) {
	var more []any
	if x.g.config.ResidualLoad {
		more = []any{"residual", pl.residual.Requests, "residual_age_ms", pl.residualAge.Milliseconds(), "unknown", pl.expected.UnknownLoads}
		if pl.expected.UnknownLoads > 0 {
			x.g.meter.spreadChoices.Inc()
		}
	}
	x.g.deps.Log.Request("Endpoint chosen.", append([]any{"request", x.call.ID, "endpoint", pl.endpoint.ID, "helpers", endpointIDs(pl.helpers), "reserved", len(pl.memoryDemands),
		"tokens", x.call.PromptTokens, "waited_ms", waited.Milliseconds(),
		"expected_ms", int(pl.expected.FirstMs), "harm", int(pl.expected.Interference), "idle", pl.expected.IdleEndpoints,
		"read_ms", int(pl.loadBefore.PrefillMs), "short", pl.loadBefore.Short, "long", pl.loadBefore.Long, "memory", pl.loadBefore.MemoryTokens, "pace", pl.slowdown, "candidates", pl.candidates, "remote", pl.remoteEndpoints, "limit", x.g.endpointLimits.LogValue(pl.endpoint.ID)}, more...)...)
}

// refusalReason returns the reason for the log when a choice with this outcome leads to a refusal.
func refusalReason(found pickOutcome) string {
	switch found {
	case pickFull:
		return "all slots are taken"
	case pickWait:
		return "its time to wait for endpoints is over"
	default:
		return "no endpoint is known"
	}
}

// logNotPlaced logs why a request that was not sent is refused. expected is the estimate for the
// best endpoints; it has no parts if it never was the request's turn.
func (x *exchange) logNotPlaced(reason string, expected balance.Estimate, waited time.Duration) {
	x.g.deps.Log.Request("No endpoint chosen.", "request", x.call.ID, "why", reason, "tokens", x.call.PromptTokens, "waited_ms", waited.Milliseconds(),
		"expected_ms", int(expected.FirstMs), "harm", int(expected.Interference), "parts", expected.Parts, "idle", expected.IdleEndpoints)
}

// refuseUnplaced ends a request that no endpoint takes. queued is set when there are endpoints but
// they are busy.
func (x *exchange) refuseUnplaced(queued bool) outcome {
	if queued && !x.mayRun && x.r.Context().Err() == nil {
		return x.refuse(http.StatusServiceUnavailable, x.waitPolicy().QueueRetryAfter(time.Now()), refusedFull)
	}
	return x.giveUp(refusedFull)
}

// endpointIDs returns the IDs of endpoints, for the log.
func endpointIDs(list []catalog.Endpoint) []string {
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = e.ID
	}
	return out
}
