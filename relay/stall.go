package relay

import (
	"context"
	"slices"
	"time"

	"github.com/micarudder/micarudder/eventstream"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/stall"
	"github.com/micarudder/micarudder/stall/monitor"
	"github.com/micarudder/micarudder/waitpolicy"
)

// monitorStream makes the stream of an attempt under ctx move to another endpoint if it makes no progress.
// Attempts that resume it run under requestCtx.
func (x *exchange) monitorStream(requestCtx, ctx context.Context, pl *placement) {
	pl.ctx = ctx
	limit := stall.Limit(x.route)
	if !x.g.config.StallResume || limit == 0 {
		return
	}
	pl.ctx, pl.cancel = context.WithCancelCause(ctx)
	o := monitor.Options[*placement]{
		Limit: limit, Suspended: x.g.checkSuspension, Deliveries: x.g.deliveries, Endpoint: pl.endpoint.ID,
		Resume: func(ctx context.Context, s monitor.Stall) (*placement, bool) { return x.handleStall(ctx, pl, s) },
		Move: func(cut bool) {
			x.g.meter.stallsCut.Inc()
			if cut {
				pl.cancel(monitor.ErrMoved)
			}
		},
		Discard: (*placement).end,
	}
	if x.stream != nil {
		o.ResumedFrom = x.stream.lastID
	}
	pl.stall = monitor.New(requestCtx, o)
}

// handleStall records a stall and tries to resume the stream elsewhere. It returns the attempt that has begun
// there, if any.
func (x *exchange) handleStall(ctx context.Context, pl *placement, s monitor.Stall) (next *placement, ok bool) {
	g := x.g
	g.meter.stalls.Inc()
	g.picker.recordLate(pl.endpoint.ID, s.At)
	if !s.DeliversToOthers && !pl.stallRecorded {
		pl.stallRecorded = true
		if g.picker.recordOutcome(pl.endpoint.ID, health.BadResponse, s.At) {
			g.deps.Log.Logger().Warn("Endpoint suspect.", "endpoint", pl.endpoint.ID, "request", x.call.ID, "err", monitor.ErrMoved)
		}
	}
	next, result := x.resume(ctx)
	if ctx.Err() != nil {
		result = resumeWithdrawn
	}
	g.deps.Log.Request("Stream stalled.", "request", x.call.ID, "endpoint", pl.endpoint.ID, "outcome", string(result), "idle_ms", s.Idle.Milliseconds(),
		"last_event_age_ms", s.LastEventAge.Milliseconds(), "delivers_to_others", s.DeliversToOthers, "resuming_ms", time.Since(s.At).Milliseconds(), "err", x.lastError)
	return next, next != nil
}

// resumeResult says what came of an attempt to resume a stream, for the log: one of the following, or the
// outcome with which the attempt ended.
type resumeResult string

const (
	resumeBegun      resumeResult = "resumed"
	resumeNoAttempt  resumeResult = "no attempt left"
	resumeNoEndpoint resumeResult = "no other endpoint"
	resumeFailed     resumeResult = "the other endpoint failed"
	resumeWithdrawn  resumeResult = "withdrawn" // the stream's own endpoint delivered first, or the caller left
)

// resume sends the rest of the stream to another endpoint. It returns the attempt once its first event has
// arrived, and nil if there will be none; the caller's response is not affected. Meanwhile the exchange must
// not be used otherwise.
func (x *exchange) resume(ctx context.Context) (*placement, resumeResult) {
	x.resuming = true
	defer func() { x.resuming = false }()
	if result := x.mayResume(ctx); result != "" {
		return nil, result
	}
	attempts := x.attempts
	next, o := x.obtain(ctx)
	if x.attempts == attempts {
		x.retryGranted = true // it was charged to the retry budget, and no endpoint has received it
	}
	if next == nil {
		return nil, resumeResult(o)
	}
	if !x.isResumable(next.response) {
		next.end()
		return nil, resumeFailed
	}
	body, err := eventstream.AwaitEvent(next.response.Body, x.stream.lastID, maxEventBytes, next.reserve(heldmemory.Resumed))
	if err != nil {
		_, _ = x.handleBrokenStream(next, err)
		next.end()
		return nil, resumeFailed
	}
	next.response.Body = body
	return next, resumeBegun
}

// mayResume returns why the stream may not be sent to another endpoint now, or an empty string after charging
// the retry budget.
func (x *exchange) mayResume(ctx context.Context) resumeResult {
	switch {
	case len(x.sentEndpoints) >= x.route.MaxAttempts, x.waitPolicy().AfterAttempt(x.route, true) == waitpolicy.NoRetry:
		return resumeNoAttempt
	case !x.g.state.acceptsElsewhere(x.service.Name, slices.Concat(x.tried, x.excluded), time.Now()):
		return resumeNoEndpoint
	}
	if o, ok := x.authorize(ctx); !ok {
		return resumeResult(o)
	}
	if o, ok := x.mayRetry(ctx); !ok {
		return resumeResult(o)
	}
	return ""
}

// acceptsElsewhere reports whether a service has an endpoint that accepts requests and is not among the
// excluded ones.
func (s *State) acceptsElsewhere(service string, excluded []string, now time.Time) bool {
	for _, e := range s.Endpoints(service) {
		if !slices.Contains(excluded, e.ID) && s.AcceptsRequests(e.ID, now) {
			return true
		}
	}
	return false
}
