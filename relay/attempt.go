package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/upstream"
)

// sendResult is what came of sending the request to an endpoint.
type sendResult uint8

const (
	sendAnswered sendResult = iota // the response can be passed on
	sendFailed                     // there is none; the request may be sent again if mayRetry allows it
	sendEnded                      // the request was given up
)

// send sends the request to one endpoint. Unless the result is sendAnswered, it ends the attempt.
func (x *exchange) send(ctx context.Context, pl *placement) (result sendResult, o outcome) {
	defer func() {
		if result != sendAnswered && pl != x.failed {
			pl.end()
		}
	}()
	result = sendEnded // if giving the request up panics
	if !x.allAccept(pl, time.Now()) {
		return x.abandonAttempt(), ""
	}
	requestCtx := ctx
	if len(pl.memoryDemands) > 0 {
		reserved, err := x.g.reserve(ctx, x.call.ID, pl)
		if err != nil {
			x.handleReserveFailure(err)
			return sendFailed, ""
		}
		pl.reservations, ctx = reserved, reserved.attemptCtx
	}
	if o, ok := x.mayProceed(ctx); !ok {
		return sendEnded, o
	}
	now := time.Now()
	if !x.allAccept(pl, now) || !x.withinLimits(pl, now) {
		return x.abandonAttempt(), ""
	}
	x.monitorStream(requestCtx, ctx, pl)
	x.unsent, x.wrongIncarnation = false, false
	pl.memory = x.g.deps.Responses.Begin()
	res, err := x.g.do(pl.ctx, pl.endpoint, x.upstreamRequest(pl, now), callerRequest, x.call.ID)
	if pl.endAttempt(err == nil) {
		x.g.deps.Log.Logger().Info("Endpoint has rested.", "endpoint", pl.endpoint.ID)
	}
	if err != nil {
		x.handleAttemptFailure(pl, err)
		return sendFailed, ""
	}
	pl.response = res
	x.g.deps.Overload.Responded(time.Since(now))
	return x.handleVerdict(pl, x.g.deps.Protocol.Verdict(res)), ""
}

// handleVerdict handles a response whose head has arrived, and decides whether it is passed on.
func (x *exchange) handleVerdict(pl *placement, verdict Verdict) sendResult {
	x.countAttempt(pl, verdict != WrongEndpoint)
	if verdict == NotRun || verdict == WrongEndpoint {
		x.handleRejection(pl, verdict)
		return sendFailed
	}
	x.tried = append(x.tried, pl.endpoint.ID)
	x.mayRun = true
	if verdict == Failed && x.route.Kind == catalog.Streaming {
		x.recordOutcome(pl, health.BadResponse) // requests to plain services may also fail through their own fault
	}
	if verdict == Failed && x.mayRepeat() {
		x.lastError = errors.New("endpoint failed with status " + pl.response.Status)
		x.retryGranted = true
		x.keepFailed(pl)
		return sendFailed
	}
	return sendAnswered
}

// abandonAttempt ends an attempt before anything was sent, because an endpoint does not accept the
// request now. The request is placed again, and its next attempt is not charged to the retry
// budget.
func (x *exchange) abandonAttempt() sendResult {
	x.retryGranted = true
	return sendFailed
}

// allAccept reports whether the chosen endpoint and all of its helpers still accept requests.
func (x *exchange) allAccept(pl *placement, now time.Time) bool {
	for _, e := range pl.helpers {
		if !x.g.state.AcceptsRequests(e.ID, now) {
			return false
		}
	}
	return x.g.state.AcceptsRequests(pl.endpoint.ID, now)
}

// handleRejection handles a response that says that the request did not run. If the response names
// another endpoint, a helper, that helper is avoided from now on and the endpoint that answered may
// be chosen again. Otherwise the next attempt would use the same helper.
func (x *exchange) handleRejection(pl *placement, verdict Verdict) {
	res := pl.response
	x.lastError = errors.New("endpoint rejected the request with status " + res.Status)
	address := x.g.deps.Protocol.FaultyEndpoint(res)
	if address != "" && address != pl.endpoint.Address {
		if id, ok := x.g.state.EndpointAt(address); ok {
			x.recordOutcomeAt(id, health.Unreachable)
			x.excluded = append(x.excluded, id)
			x.helperFailures++
			return
		}
	}
	x.tried = append(x.tried, pl.endpoint.ID)
	switch {
	case verdict == WrongEndpoint:
		x.misdirected++
		x.wrongIncarnation = true
		x.recordOutcome(pl, health.Replaced)
	case x.g.state.InBackoff(pl.endpoint.ID, time.Now()):
		// The endpoint asked this gateway to back off, which is not a failure.
	case hasCapacity(pl, x.service, x.call.PromptTokens):
		x.recordOutcome(pl, health.BadResponse)
	}
}

// countAttempt counts an attempt that reached an endpoint or may have. meant is set unless another
// incarnation has rejected it.
func (x *exchange) countAttempt(pl *placement, meant bool) {
	x.attempts++
	if meant && !slices.Contains(x.sentEndpoints, pl.endpoint.ID) {
		x.sentEndpoints = append(x.sentEndpoints, pl.endpoint.ID)
	}
}

// hasCapacity reports whether, as far as the gateways know, an endpoint should have accepted a
// request: less than half of its slots and less than half of its memory were in use.
func hasCapacity(pl *placement, s *catalog.Service, tokens int) bool {
	if len(pl.helpers) > 0 {
		return false // a helper may have failed
	}
	if s.Engine != nil && 2*(pl.loadBefore.MemoryTokens+tokens) > s.Engine.MemoryTokens {
		return false
	}
	return 2*(pl.loadBefore.Short+pl.loadBefore.Long) < pl.endpoint.Slots
}

// handleReserveFailure handles a failed memory reservation: the endpoints that refused it have less
// free memory than the gateways assume.
func (x *exchange) handleReserveFailure(err error) {
	x.lastError = err
	x.unsentAttempts++
	x.unsent = true
	var failure *reserveError
	if errors.As(err, &failure) {
		x.excluded = append(x.excluded, failure.endpoints...)
	}
}

// handleAttemptFailure handles an attempt that got no response.
func (x *exchange) handleAttemptFailure(pl *placement, err error) {
	x.recordFailure(pl, err)
	var failure *upstream.Error
	if errors.Is(err, upstream.ErrCheckFailed) {
		x.abandonAttempt()
		return
	}
	if errors.As(err, &failure) && failure.Stage == upstream.NotSent {
		x.unsentAttempts++
		x.unsent = true
		if pl.ctx.Err() == nil {
			x.recordOutcome(pl, health.Unreachable)
			x.tried = append(x.tried, pl.endpoint.ID)
		}
		return
	}
	x.countAttempt(pl, true)
	x.tried = append(x.tried, pl.endpoint.ID)
	x.mayRun = true
	if pl.ctx.Err() == nil {
		x.recordOutcome(pl, health.BadResponse)
		x.handleBrokenExchange(pl)
	}
}

// recordFailure records why an exchange ended without a complete response.
func (x *exchange) recordFailure(pl *placement, err error) {
	x.lastError = err
	if pl.reservations.endedUnused() {
		x.lastError = errMemoryUnused
	}
}

// recordOutcome records what an attempt showed about the health of its endpoint.
func (x *exchange) recordOutcome(pl *placement, o health.Outcome) {
	x.recordOutcomeAt(pl.endpoint.ID, o)
}

func (x *exchange) recordOutcomeAt(endpoint string, o health.Outcome) {
	if x.g.picker.recordOutcome(endpoint, o, time.Now()) {
		x.g.deps.Log.Logger().Warn("Endpoint suspect.", "endpoint", endpoint, "request", x.call.ID, "err", x.lastError)
	}
}

// streamKind returns the kind of response that an attempt after this event expects; empty: from the start.
func (x *exchange) streamKind(lastEventID string) upstream.StreamKind {
	switch {
	case x.route.Kind != catalog.Streaming:
		return upstream.NoStream
	case lastEventID == "":
		return upstream.NewStream
	default:
		return upstream.ResumedStream
	}
}

// upstreamRequest builds the request that is sent to the endpoint.
func (x *exchange) upstreamRequest(pl *placement, now time.Time) *upstream.Request {
	fields := AttemptFields{
		EndpointID:  pl.endpoint.ID,
		Remaining:   x.deadline.Sub(now),
		LastEventID: x.call.LastEventID,
		Priority:    DefaultPriority,
	}
	if x.stream != nil && x.stream.lastID != "" {
		fields.LastEventID = x.stream.lastID
	}
	if x.workspace != nil {
		fields.Workspace = x.workspace.Name
	}
	fields.Helpers = pl.reservations.helpers(pl)
	req := &upstream.Request{
		Method:     x.r.Method,
		Target:     x.r.RequestURI,
		Host:       x.r.Host,
		Header:     x.g.deps.Protocol.Header(x.r.Header, x.call, fields),
		Body:       x.body.Content(),
		EchoHeader: x.g.deps.Protocol.EchoedHeader(),
		MaxIdle:    x.maxIdle(),
		Stream:     x.streamKind(fields.LastEventID),
		// An endpoint resets connections beyond the number that it accepts from all gateways
		// together.
		MaxIdleConns: maxIdlePerGateway(x.service.MaxConnections, x.g.endpointLimits.GatewayCount()),
		Memory:       pl.memory,
		PreSendCheck: func() bool {
			now := time.Now()
			if !x.allAccept(pl, now) || !x.withinLimits(pl, now) {
				return false
			}
			x.g.meter.attempts.Inc()
			return true
		},
	}
	return req
}

// idleDivisor is the divisor for the share of an endpoint's connections that the gateways may keep
// idle; the rest is left for connections in use.
const idleDivisor = 2

// maxIdlePerGateway returns how many idle connections one of the given number of gateways keeps to an
// endpoint that accepts at most this many from all of them, or zero if the endpoint sets no limit.
// Each gateway keeps at least one, because otherwise every request would open a connection.
func maxIdlePerGateway(most, gateways int) int {
	if most <= 0 {
		return 0
	}
	return max(1, most/idleDivisor/gateways)
}

// DefaultPriority is the priority of a usual request.
const DefaultPriority = 5
