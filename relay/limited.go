package relay

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

// withoutLimited leaves out endpoints with rate limits. A choice never takes these by itself,
// neither for the request nor as helpers: a request to one of them needs a grant.
func (p *picker) withoutLimited(cells map[string][]catalog.Endpoint) map[string][]catalog.Endpoint {
	if !p.limits.Any() {
		return cells
	}
	return excluding(cells, func(e catalog.Endpoint) bool {
		_, limited := p.limits.Limit(e.ID)
		return limited
	})
}

// limitedSearch returns a search among the local cell's endpoints with rate limits.
func (p *picker) limitedSearch(service *catalog.Service, req balance.Request, hasIdleConn idleConnFunc, now time.Time) (s endpointSearch, endpoints []catalog.Endpoint) {
	s = endpointSearch{picker: p, service: service, request: req, hasIdleConn: hasIdleConn, localCell: p.state.Cells().Of(p.dataCentre), now: now}
	if !p.limits.Any() {
		return s, nil
	}
	for _, e := range p.state.AvailableEndpoints(service.Name, now)[s.localCell] {
		if _, limited := p.limits.Limit(e.ID); limited {
			endpoints = append(endpoints, e)
		}
	}
	return s, endpoints
}

// hasLimited reports whether the local cell has endpoints of the service with rate limits.
func (p *picker) hasLimited(service *catalog.Service, now time.Time) bool {
	_, endpoints := p.limitedSearch(service, balance.Request{}, nil, now)
	return len(endpoints) > 0
}

// limitedCandidates returns the endpoints with rate limits that could serve the request without
// helpers, the least loaded first.
func (p *picker) limitedCandidates(service *catalog.Service, req balance.Request, hasIdleConn idleConnFunc, now time.Time) (candidates []string) {
	s, endpoints := p.limitedSearch(service, req, hasIdleConn, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	load := make(map[string]int)
	for _, e := range endpoints {
		res := s.choose([]catalog.Endpoint{e}, nil)
		if res.choice.Endpoint < 0 || res.candidates[0].Suspect || len(res.choice.Reservations) > 0 {
			continue
		}
		candidates = append(candidates, e.ID)
		load[e.ID] = res.candidates[0].Load.Short + res.candidates[0].Load.Long
	}
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Or(cmp.Compare(load[a], load[b]), cmp.Compare(a, b)) })
	return candidates[:min(len(candidates), maxGrantEndpoints)]
}

// pickGranted counts the load of a request at the endpoint that was granted to it. It returns nil
// if the endpoint no longer takes the request.
func (p *picker) pickGranted(service *catalog.Service, req balance.Request, hasIdleConn idleConnFunc, g *grant, now time.Time) *placement {
	s, endpoints := p.limitedSearch(service, req, hasIdleConn, now)
	i := slices.IndexFunc(endpoints, func(e catalog.Endpoint) bool { return e.ID == g.endpoint })
	if i < 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	res := s.choose(endpoints[i:i+1], nil)
	if res.choice.Endpoint < 0 {
		return nil
	}
	pl := p.assign(res, now)
	if pl != nil {
		pl.grant = g
	}
	return pl
}

// grantResult is the result of a grant request.
type grantResult uint8

const (
	grantNoCandidate grantResult = iota // no endpoint with a rate limit could serve the request
	grantPlaced                         // the request may be sent
	grantAgain                          // the request has to ask again
	grantRefused                        // no endpoint can serve the request in its time
	grantUnavailable                    // no gateway grants at the moment, or the limits have just ended
)

// grantMode is the reason why a request asks for a grant.
type grantMode uint8

const (
	// grantModeWait: no other endpoint may be used; the request waits for its turn.
	grantModeWait grantMode = iota
	// grantModeNow: the other endpoints are busy; the request does not wait.
	grantModeNow
	// grantModeProbe: other endpoints have room; the response shows whether the limit still holds.
	grantModeProbe
)

// placeWithGrant asks for a grant to send to one of the endpoints with rate limits.
func (x *exchange) placeWithGrant(ctx context.Context, req balance.Request, mode grantMode) (pl *placement, result grantResult, retryAfter time.Duration) {
	now := time.Now()
	candidates := x.g.picker.limitedCandidates(x.service, req, x.hasIdleConn, now)
	if len(candidates) == 0 {
		return nil, grantNoCandidate, 0
	}
	q := grantQuestion{
		Service: x.service.Name, Endpoints: candidates, Urgency: x.urgency(), SinceMs: now.Sub(x.started).Milliseconds(), Probe: mode == grantModeProbe,
	}
	if mode == grantModeWait {
		q.WaitMs = max(0, x.waitPolicy().WaitUntil().Sub(now).Milliseconds())
	}
	granted, a, err := x.g.requestGrant(ctx, q)
	switch {
	case err != nil || a.Unlimited:
		result = grantUnavailable
	case granted != nil:
		pl, result = x.g.picker.pickGranted(x.service, req, x.hasIdleConn, granted, time.Now()), grantPlaced
		if pl == nil {
			result = grantAgain
		}
	case a.Refused:
		result, retryAfter = grantRefused, time.Duration(a.RetryAfterMs)*time.Millisecond
	default:
		result = grantAgain
	}
	if result != grantAgain && mode != grantModeProbe || err != nil {
		x.g.deps.Log.Request("Endpoints' limits asked.", "request", x.call.ID, "coordinator", x.g.endpointLimits.CoordinatorName(), "endpoints", len(candidates), "urgency", q.Urgency,
			"waited_ms", q.SinceMs, "wait_ms", q.WaitMs, "granted", a.Endpoint, "refused", a.Refused, "retry_after_ms", a.RetryAfterMs, "probe", q.Probe, "err", err)
	}
	return pl, result, retryAfter
}

// limitedResult is the result for a request for which no endpoint without a rate limit was chosen.
type limitedResult struct {
	placement *placement // where it goes; nil if not placed yet
	refusal   outcome    // outcome of a refused request; empty if it was not refused
	again     bool       // try again at once
	// retryAfter is the Retry-After in case the request may not wait; zero if there are no
	// endpoints with rate limits.
	retryAfter time.Duration
}

// limitedRefusalReason returns the reason for the log when a request that was to be placed among
// endpoints with rate limits ended with this outcome.
func (o outcome) limitedRefusalReason() string {
	if o == refusedLimit {
		return "the endpoints' limits are used up"
	}
	return "its deadline has passed, or its caller has disconnected"
}

// placeAmongLimited looks for an endpoint with a rate limit after the choice among the others
// resulted in found.
func (x *exchange) placeAmongLimited(ctx context.Context, req *balance.Request, found pickOutcome, now time.Time) limitedResult {
	mode := grantModeNow
	switch {
	case found == pickNone:
		mode = grantModeWait
	case found == pickWait && x.waitPolicy().MayWait(true, now):
		return limitedResult{}
	}
	pl, result, retryAfter := x.placeWithGrant(ctx, *req, mode)
	switch {
	case result == grantPlaced:
		return limitedResult{placement: pl}
	case ctx.Err() != nil:
		return limitedResult{refusal: x.giveUp(endReason(ctx))}
	case mode == grantModeNow:
		return limitedResult{}
	case result == grantAgain:
		return limitedResult{again: true}
	case result == grantRefused:
		return limitedResult{refusal: x.refuseLimited(retryAfter)}
	case result == grantNoCandidate && len(req.Excluded) > 0:
		req.Excluded = nil // better the same endpoint again than none
		return limitedResult{again: true}
	case !x.g.picker.hasLimited(x.service, now):
		return limitedResult{}
	case result == grantNoCandidate && x.g.config.Policy.ExceedsMemory(x.service, *req):
		// The request needs several endpoints at once, and endpoints with rate limits take only
		// requests that need one.
		return limitedResult{refusal: x.refuseLimited(x.waitPolicy().QueueRetryAfter(now))}
	case result == grantUnavailable:
		return limitedResult{retryAfter: retryAfterCoordinator}
	default:
		return limitedResult{retryAfter: x.waitPolicy().QueueRetryAfter(now)}
	}
}

// retryAfterCoordinator is the Retry-After while no gateway grants: another gateway takes over
// soon after the coordinator has fallen silent.
const retryAfterCoordinator = 1500 * time.Millisecond

// probeLimited places the request on an endpoint with a rate limit that has not been heard from for
// a while. Otherwise no gateway would find out that the limit has ended.
func (x *exchange) probeLimited(ctx context.Context, req balance.Request) *placement {
	now := time.Now()
	if x.mayRun || x.g.config.Policy.MustQueue(x.service, req) || !x.g.picker.hasLimited(x.service, now) || !x.g.endpointLimits.MayProbe(x.service.Name, now) {
		return nil
	}
	pl, result, _ := x.placeWithGrant(ctx, req, grantModeProbe)
	if result == grantPlaced {
		x.g.endpointLimits.ResetProbe(x.service.Name)
	}
	return pl
}

// mayQuery reports whether an endpoint may be queried about itself now. Such queries count
// against its rate limit too: while it has one, each query needs a grant, which is given when no
// request needs it. An endpoint in backoff is not queried.
func (g *Gateway) mayQuery(e catalog.Endpoint) bool {
	if !g.state.AcceptsRequests(e.ID, time.Now()) {
		return false
	}
	if _, limited := g.endpointLimits.Limit(e.ID); !limited {
		return true
	}
	granted, _, err := g.requestGrant(g.ctx, grantQuestion{Service: e.Service, Endpoints: []string{e.ID}, Probe: true})
	return err == nil && granted.valid(time.Now(), g.checkSuspension())
}

// refuseLimited refuses a request that no endpoint can serve within its rate limit.
func (x *exchange) refuseLimited(retryAfter time.Duration) outcome {
	x.g.meter.limitRefusals.Inc()
	if x.mayRun || x.r.Context().Err() != nil {
		return x.giveUp(refusedLimit)
	}
	return x.refuse(http.StatusServiceUnavailable, max(retryAfter, retryAfterFull), refusedLimit)
}

// urgency returns the priority of the request among those that wait; 0 is the most urgent.
func (x *exchange) urgency() int {
	if x.workspace != nil && x.workspace.Priority >= 0 {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// withinLimits reports whether the request may be sent to the placement now: none of its helpers
// has a rate limit, and if the endpoint has one, the grant is still valid. Limits may have been
// announced since the endpoints were chosen.
func (x *exchange) withinLimits(pl *placement, now time.Time) bool {
	for _, helper := range pl.helpers {
		if _, limited := x.g.endpointLimits.Limit(helper.ID); limited {
			return false
		}
	}
	_, limited := x.g.endpointLimits.Limit(pl.endpoint.ID)
	return !limited || pl.grant.valid(now, x.g.checkSuspension())
}
