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

// unlimited leaves out endpoints with limits. A choice never takes these by itself, nor as helpers: whoever
// sends there needs a grant.
func (p *picker) unlimited(cells map[string][]catalog.Endpoint) map[string][]catalog.Endpoint {
	if !p.limits.any() {
		return cells
	}
	return without(cells, func(e catalog.Endpoint) bool {
		_, limited := p.limits.limit(e.ID)
		return limited
	})
}

// limitedSearch returns a search among the own cell's endpoints with limits.
func (p *picker) limitedSearch(service *catalog.Service, w balance.Work, warm warmth, now time.Time) (s search, endpoints []catalog.Endpoint) {
	s = search{picker: p, service: service, work: w, warm: warm, home: p.state.Cells().Of(p.dataCentre), now: now}
	if !p.limits.any() {
		return s, nil
	}
	for _, e := range p.state.Takers(service.Name, now)[s.home] {
		if _, limited := p.limits.limit(e.ID); limited {
			endpoints = append(endpoints, e)
		}
	}
	return s, endpoints
}

// hasLimited reports whether the own cell has endpoints of the service with limits.
func (p *picker) hasLimited(service *catalog.Service, now time.Time) bool {
	_, endpoints := p.limitedSearch(service, balance.Work{}, nil, now)
	return len(endpoints) > 0
}

// limitedFor returns which endpoints with limits would take the request alone, the least loaded first.
func (p *picker) limitedFor(service *catalog.Service, w balance.Work, warm warmth, now time.Time) (fit []string) {
	s, endpoints := p.limitedSearch(service, w, warm, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	load := make(map[string]int)
	for _, e := range endpoints {
		at := s.among([]catalog.Endpoint{e}, nil)
		if at.choice.Endpoint < 0 || at.candidates[0].Suspect || len(at.choice.Reserve) > 0 {
			continue
		}
		fit = append(fit, e.ID)
		load[e.ID] = at.candidates[0].Load.Short + at.candidates[0].Load.Long
	}
	slices.SortFunc(fit, func(a, b string) int { return cmp.Or(cmp.Compare(load[a], load[b]), cmp.Compare(a, b)) })
	return fit[:min(len(fit), maxGrantEndpoints)]
}

// pickGranted counts the load of a request at the endpoint that it was granted; nil: that takes it no more.
func (p *picker) pickGranted(service *catalog.Service, w balance.Work, warm warmth, g *grant, now time.Time) *place {
	s, endpoints := p.limitedSearch(service, w, warm, now)
	i := slices.IndexFunc(endpoints, func(e catalog.Endpoint) bool { return e.ID == g.endpoint })
	if i < 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := s.among(endpoints[i:i+1], nil)
	if at.choice.Endpoint < 0 {
		return nil
	}
	chosen := p.put(at, now)
	if chosen != nil {
		chosen.grant = g
	}
	return chosen
}

// limitedStep is what asking for a grant has come to.
type limitedStep uint8

const (
	limitedNone    limitedStep = iota // no endpoint with a limit would take the request
	limitedPlaced                     // it may be sent
	limitedAgain                      // it is to ask again
	limitedRefused                    // none can take it in its time
	limitedUnknown                    // nobody grants at the moment, or the limits have just ended
)

// limitedWish is why a request asks for a grant.
type limitedWish uint8

const (
	// wishWait: no other endpoint may be used. It waits for its turn.
	wishWait limitedWish = iota
	// wishNow: the others are busy; it does not wait.
	wishNow
	// wishProbe: others have room; the answer tells whether the limit still holds.
	wishProbe
)

// placeLimited asks for a grant to send to one of the endpoints with limits.
func (x *exchange) placeLimited(ctx context.Context, work balance.Work, wish limitedWish) (at *place, step limitedStep, retryAfter time.Duration) {
	now := time.Now()
	fit := x.g.picker.limitedFor(x.service, work, x.warm, now)
	if len(fit) == 0 {
		return nil, limitedNone, 0
	}
	q := grantQuestion{
		Service: x.service.Name, Endpoints: fit, Urgency: x.urgency(), SinceMs: now.Sub(x.started).Milliseconds(), Probe: wish == wishProbe,
	}
	if wish == wishWait {
		q.WaitMs = max(0, x.patience().waitUntil().Sub(now).Milliseconds())
	}
	granted, a, err := x.g.askGrant(ctx, q)
	switch {
	case err != nil || a.Unlimited:
		step = limitedUnknown
	case granted != nil:
		at, step = x.g.picker.pickGranted(x.service, work, x.warm, granted, time.Now()), limitedPlaced
		if at == nil {
			step = limitedAgain
		}
	case a.Refused:
		step, retryAfter = limitedRefused, time.Duration(a.RetryAfterMs)*time.Millisecond
	default:
		step = limitedAgain
	}
	if step != limitedAgain && wish != wishProbe || err != nil {
		x.g.deps.Log.Request("Endpoints' limits asked.", "request", x.call.ID, "coordinator", x.g.limits.coordinatorName(), "endpoints", len(fit), "urgency", q.Urgency,
			"waited_ms", q.SinceMs, "wait_ms", q.WaitMs, "granted", a.Endpoint, "refused", a.Refused, "retry_after_ms", a.RetryAfterMs, "probe", q.Probe, "err", err)
	}
	return at, step, retryAfter
}

// limitedEnd is what became of a request for which no endpoint without a limit was chosen.
type limitedEnd struct {
	at    *place  // where it goes; nil: nowhere yet
	end   outcome // it was refused; empty: it was not
	again bool    // it is to be placed again at once
	// later is when its caller had better come back if it may not wait; zero: there are no endpoints with limits.
	later time.Duration
}

// whyLimited says for the log why a request ended so that was to be placed among endpoints with limits.
func (o outcome) whyLimited() string {
	if o == refusedLimit {
		return "the endpoints' limits are used up"
	}
	return "its time is over, or its caller has left"
}

// placeAmongLimited looks for an endpoint with a limit after the choice among the others came to o.
func (x *exchange) placeAmongLimited(ctx context.Context, work *balance.Work, o pickOutcome, now time.Time) limitedEnd {
	wish := wishNow
	switch {
	case o == pickNone:
		wish = wishWait
	case o == pickWait && x.patience().mayWait(true, now):
		return limitedEnd{}
	}
	at, step, retryAfter := x.placeLimited(ctx, *work, wish)
	switch {
	case step == limitedPlaced:
		return limitedEnd{at: at}
	case ctx.Err() != nil:
		return limitedEnd{end: x.giveUp(outOfTime)}
	case wish == wishNow:
		return limitedEnd{}
	case step == limitedAgain:
		return limitedEnd{again: true}
	case step == limitedRefused:
		return limitedEnd{end: x.refuseLimited(retryAfter)}
	case step == limitedNone && len(work.Avoid) > 0:
		work.Avoid = nil // better the same endpoint again than none
		return limitedEnd{again: true}
	case !x.g.picker.hasLimited(x.service, now):
		return limitedEnd{}
	case step == limitedNone && x.g.config.Policy.Oversize(x.service, *work):
		// It needs several endpoints at once, and these take single requests only.
		return limitedEnd{end: x.refuseLimited(x.patience().comeBackAfter(now))}
	case step == limitedUnknown:
		return limitedEnd{later: retryAfterCoordinator}
	default:
		return limitedEnd{later: x.patience().comeBackAfter(now)}
	}
}

// retryAfterCoordinator is told while nobody grants: another gateway does so soon after the one that did has fallen silent.
const retryAfterCoordinator = 1500 * time.Millisecond

// probe sends the request to an endpoint with a limit from which nothing was heard for a while. Nobody else would find out that
// its need is over.
func (x *exchange) probe(ctx context.Context, work balance.Work) *place {
	now := time.Now()
	if x.mayRun || x.g.config.Policy.TakesTurns(x.service, work) || !x.g.picker.hasLimited(x.service, now) || !x.g.limits.mayProbe(x.service.Name, now) {
		return nil
	}
	at, step, _ := x.placeLimited(ctx, work, wishProbe)
	if step == limitedPlaced {
		x.g.limits.probeTaken(x.service.Name)
	}
	return at
}

// mayQuestion reports whether an endpoint may be asked about itself now. What it takes counts questions too: while it has a limit
// each needs a grant, which is given when no request needs it.
// One that wants rest gets none.
func (g *Gateway) mayQuestion(e catalog.Endpoint) bool {
	if !g.state.StillTakes(e.ID, time.Now()) {
		return false
	}
	if _, limited := g.limits.limit(e.ID); !limited {
		return true
	}
	granted, _, err := g.askGrant(g.ctx, grantQuestion{Service: e.Service, Endpoints: []string{e.ID}, Probe: true})
	return err == nil && granted.holds(time.Now(), g.suspendedTime())
}

// refuseLimited refuses a request that no endpoint can take within its limit.
func (x *exchange) refuseLimited(after time.Duration) outcome {
	x.g.meter.limited.Inc()
	if x.mayRun || x.r.Context().Err() != nil {
		return x.giveUp(refusedLimit)
	}
	return x.refuse(http.StatusServiceUnavailable, max(after, retryAfterFull), refusedLimit)
}

// urgency returns the rank of the request among those that wait, 0 for the most urgent.
func (x *exchange) urgency() int {
	if x.workspace != nil && x.workspace.Priority >= 0 {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// withinLimits reports whether a send to the place may go out now: none of its endpoints has named a limit since it was
// chosen, and a grant that it needs still holds.
func (x *exchange) withinLimits(at *place, now time.Time) bool {
	for _, helper := range at.helpers {
		if _, limited := x.g.limits.limit(helper.ID); limited {
			return false
		}
	}
	_, limited := x.g.limits.limit(at.endpoint.ID)
	return !limited || at.grant.holds(now, x.g.suspendedTime())
}
