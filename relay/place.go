package relay

import (
	"context"
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

// place finds an endpoint, waiting for one where that is better.
func (x *exchange) place(ctx context.Context) (*place, outcome) {
	began := time.Now()
	defer func() { x.g.meter.wait.UpdateDuration(began) }()
	work := x.placedWork()
	oversize := x.g.config.Policy.Oversize(x.service, work)
	var turn *balance.Turn
	if x.g.config.Policy.TakesTurns(x.service, work) {
		turn = x.g.picker.join(x.service.Name, x.patience().rank(oversize, began), x.started.Add(x.route.Objective), began)
		defer x.g.picker.leave(turn)
	}
	rests := &restWait{x: x}
	defer rests.leave()
	fewest := x.fewestEndpoints(work)
	var expected balance.Expected // at the newest look at the load
	for first := true; ; first = false {
		x.countSuspension()
		now := time.Now()
		x.patience().tell(&work, x.g.ending(), now)
		if oversize {
			work.Late = false // it takes much of many endpoints: it keeps its turn
		}
		if first {
			if at := x.probe(ctx, work); at != nil {
				x.logChoice(at, now.Sub(began))
				return at, ""
			}
		}
		var at *place
		o := pickWait
		choice := hasChosen
		switch {
		case turn != nil && !work.Late && !x.g.picker.first(turn, x.patience().rank(oversize, now), now):
			choice = notItsTurn
			rests.leave() // others need not wait for its turn
		case !rests.mayChoose():
			choice = notInLine
		default:
			at, expected, o = x.g.picker.pick(x.service, work, x.warm, now)
		}
		var limited limitedEnd
		if o != picked && x.g.limits.any() {
			limited = x.placeAmongLimited(ctx, &work, o, now)
			switch {
			case limited.at != nil:
				x.logChoice(limited.at, time.Since(began))
				return limited.at, ""
			case limited.end != "":
				x.logNoPlace(limited.end.whyLimited(), expected, time.Since(began))
				return nil, limited.end
			case limited.again:
				continue
			}
			now = time.Now() // the coordinator took its time
		}
		switch {
		case o == picked:
			x.logChoice(at, now.Sub(began))
			return at, ""
		case o == pickFull:
			x.logNoPlace(reasonToRefuse(o), expected, now.Sub(began))
			return nil, x.refuse(http.StatusServiceUnavailable, retryAfterBusy, refusedBusy)
		case x.attempts == 0 && x.g.ending():
			// The process may end before an endpoint is free.
			return nil, x.refuse(http.StatusServiceUnavailable, retryAfterStop, stopping)
		case o == pickNone && len(work.Avoid) > 0:
			work.Avoid = nil // better the same endpoint again than none
			continue
		}
		if o != pickFull {
			switch step, comeBack := rests.next(fewest, choice, now); step {
			case restWaits:
				x.g.picker.await(ctx, queueStep)
				if ctx.Err() != nil {
					return nil, x.giveUp(outOfTime)
				}
				continue
			case restRefuse:
				x.logNoPlace("the endpoints rest", expected, now.Sub(began))
				return nil, rests.refuse(comeBack)
			}
		}
		if o == pickNone && x.attempts == 0 && x.g.state.AllLeave(x.service.Name) {
			x.logNoPlace("all endpoints leave", expected, now.Sub(began))
			return nil, x.refuse(http.StatusServiceUnavailable, x.patience().comeBackWithin(retryAfterLeaving, now), refusedFull)
		}
		busy := o == pickWait || limited.later > 0
		switch {
		case x.patience().mayWait(busy, now):
		case limited.later > 0:
			x.logNoPlace("no endpoint with a limit took it in its time", expected, now.Sub(began))
			return nil, x.refuseLimited(limited.later)
		default:
			x.logNoPlace(reasonToRefuse(o), expected, now.Sub(began))
			return nil, x.giveUpWaiting(busy)
		}
		x.g.picker.await(ctx, queueStep)
		if ctx.Err() != nil {
			return nil, x.giveUp(outOfTime)
		}
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
