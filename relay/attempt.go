package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/upstream"
)

// attempt sends the request to one endpoint and relays the answer. again is set
// when the request got no answer that could be passed on.
func (x *exchange) attempt(ctx context.Context, at *place) (o outcome, again bool) {
	defer at.release()
	if !x.allTake(at, time.Now()) {
		return x.withdraw()
	}
	var memory *reservations
	if len(at.reserve) > 0 {
		var err error
		if memory, err = x.g.reserve(ctx, x.call.ID, at); err != nil {
			x.notReserved(err)
			return "", true
		}
		defer memory.end()
		at.memory, ctx = memory, memory.send
	}
	if o, ok := x.mayProceed(); !ok {
		return o, false
	}
	now := time.Now()
	if !x.allTake(at, now) || !x.withinLimits(at, now) {
		return x.withdraw()
	}
	req := x.request(at, memory, now)
	x.begun = false
	res, err := x.g.do(ctx, at.endpoint, req, callersRequest, x.call.ID)
	if at.endSend(err == nil) {
		x.g.deps.Log.Logger().Info("Endpoint has rested.", "endpoint", at.endpoint.ID)
	}
	if err != nil {
		x.failed(ctx, at, err)
		return "", true
	}
	defer res.Body.Close()
	x.reached(at)
	verdict := x.g.deps.Protocol.Verdict(res)
	x.status = res.StatusCode
	if verdict == NotRun || verdict == WrongEndpoint {
		x.notTaken(at, res, verdict)
		return "", true
	}
	x.tried = append(x.tried, at.endpoint.ID)
	x.mayRun = true
	if verdict == Failed && x.route.Kind == catalog.Streaming {
		x.note(at, health.Bad) // plain services also fail by the request itself
	}
	if verdict == Failed && x.mayRepeat() {
		x.lastError = errors.New("the endpoint failed: " + res.Status)
		x.granted = true
		return "", true
	}
	return x.relay(ctx, at, res)
}

// withdraw ends a send that was not made, since endpoints say that they do not take it. The request is placed again: the next send is
// no more of the budget.
func (x *exchange) withdraw() (o outcome, again bool) {
	x.granted = true
	return "", true
}

// allTake reports whether the endpoint of a place, and those that read for it, still take requests.
func (x *exchange) allTake(at *place, now time.Time) bool {
	for _, e := range at.helpers {
		if !x.g.state.StillTakes(e.ID, now) {
			return false
		}
	}
	return x.g.state.StillTakes(at.endpoint.ID, now)
}

// notTaken takes in an answer that says that the request did not run. Where it names
// another endpoint, a helper, that one is avoided from now on and the one that told of it
// may be chosen again: otherwise the next send has the same helper, and long prompts whose
// helpers included a dead engine were given up after two sends.
func (x *exchange) notTaken(at *place, res *http.Response, verdict Verdict) {
	x.lastError = errors.New("the endpoint did not take the request: " + res.Status)
	address := x.g.deps.Protocol.AtFault(res)
	if address != "" && address != at.endpoint.Address {
		if id, ok := x.g.state.AtAddress(address); ok {
			x.noteAt(id, health.Unreachable)
			x.unfit = append(x.unfit, id)
			x.helperFailures++
			return
		}
	}
	x.tried = append(x.tried, at.endpoint.ID)
	switch {
	case verdict == WrongEndpoint:
		x.note(at, health.Replaced)
	case x.g.state.Resting(at.endpoint.ID, time.Now()):
		// It wants rest from this gateway, which is no fault.
	case hasRoom(at, x.service, x.call.Input):
		x.note(at, health.Bad)
	}
}

// reached counts a send that may have reached an endpoint.
func (x *exchange) reached(at *place) {
	x.attempts++
	if !slices.Contains(x.sentTo, at.endpoint.ID) {
		x.sentTo = append(x.sentTo, at.endpoint.ID)
	}
}

// hasRoom reports whether an endpoint should have taken a request, as far as the
// gateways know: less than half of its slots and of its memory were taken.
func hasRoom(at *place, s *catalog.Service, tokens int) bool {
	if len(at.helpers) > 0 {
		return false // a helper may have been at fault
	}
	if s.Engine != nil && 2*(at.before.Tokens+tokens) > s.Engine.MemoryTokens {
		return false
	}
	return 2*(at.before.Short+at.before.Long) < at.endpoint.Slots
}

// notReserved takes in that memory could not be set aside: the endpoints that
// failed have less than the gateways believe.
func (x *exchange) notReserved(err error) {
	x.lastError = err
	x.unsent++
	var failure *noMemory
	if errors.As(err, &failure) {
		x.unfit = append(x.unfit, failure.endpoints...)
	}
}

// failed takes in a send without an answer.
func (x *exchange) failed(ctx context.Context, at *place, err error) {
	x.brokenBy(at, err)
	var failure *upstream.Error
	if errors.Is(err, upstream.ErrWithdrawn) {
		x.withdraw()
		return
	}
	if errors.As(err, &failure) && failure.Stage == upstream.NotSent {
		x.unsent++
		if ctx.Err() == nil {
			x.note(at, health.Unreachable)
			x.tried = append(x.tried, at.endpoint.ID)
		}
		return
	}
	x.reached(at)
	x.tried = append(x.tried, at.endpoint.ID)
	x.mayRun = true
	if ctx.Err() == nil {
		x.note(at, health.Bad)
		x.broke(at)
	}
}

// brokenBy notes why an exchange has ended without a whole answer.
func (x *exchange) brokenBy(at *place, err error) {
	x.lastError = err
	if at.memory.unused() {
		x.lastError = errMemoryUnused
	}
}

// note takes in what a send showed of the endpoint that it went to.
func (x *exchange) note(at *place, o health.Outcome) { x.noteAt(at.endpoint.ID, o) }

func (x *exchange) noteAt(endpoint string, o health.Outcome) {
	if x.g.picker.note(endpoint, o, time.Now()) {
		x.g.deps.Log.Logger().Warn("Endpoint suspect.", "endpoint", endpoint, "request", x.call.ID, "err", x.lastError)
	}
}

// request builds what is sent to the endpoint.
func (x *exchange) request(at *place, memory *reservations, now time.Time) *upstream.Request {
	s := Send{
		EndpointID:  at.endpoint.ID,
		Remaining:   x.deadline.Sub(now),
		LastEventID: x.call.LastEventID,
		Priority:    DefaultPriority,
	}
	if x.stream != nil && x.stream.lastID != "" {
		s.LastEventID = x.stream.lastID
	}
	if x.workspace != nil {
		s.Workspace = x.workspace.Name
	}
	s.Helpers = memory.helpers(at)
	req := &upstream.Request{
		Method:  x.r.Method,
		Target:  x.r.RequestURI,
		Host:    x.r.Host,
		Header:  x.g.deps.Protocol.Header(x.r.Header, x.call, s),
		Body:    x.body,
		Echo:    x.g.deps.Protocol.Echo(),
		MaxIdle: x.maxIdle(),
		// An endpoint resets connections beyond those that it takes from all gateways together.
		KeepIdle: idleShare(x.service.MaxConnections, x.g.limits.gatewayCount()),
		Check: func() bool {
			now := time.Now()
			if !x.allTake(at, now) || !x.withinLimits(at, now) {
				return false
			}
			x.g.meter.sends.Inc()
			return true
		},
	}
	return req
}

// idlePart is the part of the connections that an endpoint takes, as a divisor, which gateways may keep without use; the
// rest is for those in use.
const idlePart = 2

// idleShare returns how many connections without use one of so many gateways keeps to an endpoint that takes
// at most so many from all of them; zero: it does not say. Each keeps one, or every request would open one.
func idleShare(most, gateways int) int {
	if most <= 0 {
		return 0
	}
	return max(1, most/idlePart/gateways)
}

// DefaultPriority is the rank of a request that endpoints take as usual.
const DefaultPriority = 5
