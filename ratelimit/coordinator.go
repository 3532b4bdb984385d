package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// burstWindow is how long the unused part of an endpoint's limit accumulates, so that requests that
	// arrive unevenly can use all of the limit.
	burstWindow = 500 * time.Millisecond
	// minRate is the lowest rate at which requests are sent, in requests a second. It also applies to an
	// endpoint that accepts none: without a response no gateway would learn that the limit has ended.
	minRate = 0.1
	// ProbeInterval is how long an endpoint with a limit may go without a request while other endpoints
	// have capacity. The response to a probe shows whether it still has a limit.
	ProbeInterval = time.Second
	// maxRetryAfter bounds the time after which a refused caller is told to retry.
	maxRetryAfter = 10 * time.Second
)

// GrantRequest is a request that asks to be sent to one of several endpoints with limits.
type GrantRequest struct {
	Service string
	// Endpoints are the acceptable endpoints, in order of preference.
	Endpoints []string
	Urgency   int       // 0 is the most urgent
	Since     time.Time // when the caller's request arrived
	Until     time.Time // how long it may wait
	// Probe is set for a request that other endpoints would accept at once.
	Probe bool
	// expectedAt and endpoint are when and for which endpoint the newest plan grants the request.
	expectedAt time.Time
	endpoint   string
}

// Decision is the coordinator's decision about a GrantRequest.
type Decision struct {
	// Endpoint is where the request may be sent now; empty if it is not granted yet.
	Endpoint string
	// Refused is set if no endpoint can accept the request in time. Its caller should retry after
	// RetryAfter.
	Refused    bool
	RetryAfter time.Duration
	// Unlimited is set if the coordinator knows of no limit for any of the endpoints, because it has
	// ended or is too new.
	Unlimited bool
	// Expected is when the request is expected to be granted, if none of the other fields is set.
	Expected time.Time
}

// pacer spaces the grants for one endpoint.
type pacer struct {
	next      time.Time     // when the next grant is due at an even rate
	interval  time.Duration // between two grants at that rate
	lastGrant time.Time     // zero if there was none yet
}

// Coordinator grants requests to endpoints with limits one by one, the most urgent first and those of equal
// urgency in order of arrival. It is not safe for concurrent use.
type Coordinator struct {
	pacers  map[string]*pacer
	waiting []*GrantRequest
	// nextRetry is the time at which the last refused caller was told to retry, by service, not counting
	// times capped by maxRetryAfter.
	nextRetry map[string]time.Time
}

// NewCoordinator returns a coordinator that has granted nothing.
func NewCoordinator() *Coordinator {
	return &Coordinator{pacers: make(map[string]*pacer), nextRetry: make(map[string]time.Time)}
}

// Rates returns how many requests a second the coordinator may grant for an endpoint; ok is false if the
// endpoint has no limit.
type Rates func(endpoint string) (perSecond float64, ok bool)

// Reset drops the history of grants, after another gateway was the coordinator.
func (c *Coordinator) Reset() { c.pacers = make(map[string]*pacer) }

// Forget drops the history of an endpoint that no longer has a limit.
func (c *Coordinator) Forget(endpoint string) { delete(c.pacers, endpoint) }

// Remove removes a waiting request.
func (c *Coordinator) Remove(r *GrantRequest) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *GrantRequest) bool { return w == r })
}

// Try decides about a request that is waiting or has just arrived. The request keeps waiting unless it is
// granted, refused or not limited.
func (c *Coordinator) Try(r *GrantRequest, rates Rates, now time.Time) Decision {
	if r.Probe {
		return c.tryProbe(r, rates, now)
	}
	if !slices.Contains(c.waiting, r) {
		at, _ := slices.BinarySearchFunc(c.waiting, r, compareRequests)
		c.waiting = slices.Insert(c.waiting, at, r)
	}
	c.plan(rates, now)
	switch {
	case r.endpoint == "":
		c.Remove(r)
		return Decision{Unlimited: true}
	case r.expectedAt.After(r.Until):
		c.Remove(r)
		return Decision{Refused: true, RetryAfter: c.retryAfter(r, rates, now)}
	case r.expectedAt.After(now):
		return Decision{Expected: r.expectedAt}
	default:
		c.Remove(r)
		c.recordGrant(r.endpoint, rates, now)
		return Decision{Endpoint: r.endpoint}
	}
}

// compareRequests orders waiting requests by urgency and arrival. A new request r comes after equal ones.
func compareRequests(w, r *GrantRequest) int {
	return cmp.Or(cmp.Compare(w.Urgency, r.Urgency), w.Since.Compare(r.Since), -1)
}

// tryProbe grants a probe to an endpoint that has had no grant for ProbeInterval, if no request is waiting.
func (c *Coordinator) tryProbe(r *GrantRequest, rates Rates, now time.Time) Decision {
	for _, id := range r.Endpoints {
		perSecond, ok := rates(id)
		if !ok {
			continue
		}
		p := c.pacer(id, perSecond, now)
		idle := p.lastGrant.IsZero() || now.Sub(p.lastGrant) >= ProbeInterval
		if idle && !p.earliestGrant().After(now) && len(c.waiting) == 0 {
			c.recordGrant(id, rates, now)
			return Decision{Endpoint: id}
		}
	}
	return Decision{Refused: true}
}

// endpointPlan is the state of an endpoint while a plan is computed.
type endpointPlan struct {
	next     time.Time     // see pacer
	interval time.Duration // between two grants; 0 if the endpoint has no limit
}

// plan computes when and for which endpoint each waiting request would be granted.
func (c *Coordinator) plan(rates Rates, now time.Time) {
	endpoints := make(map[string]*endpointPlan)
	for _, r := range c.waiting {
		r.endpoint = ""
		var best *endpointPlan
		for _, id := range r.Endpoints {
			e := endpoints[id]
			if e == nil {
				e = c.planEndpoint(id, rates, now)
				endpoints[id] = e
			}
			if e.interval == 0 {
				continue
			}
			if at := maxTime(e.next.Add(-burstWindow), now); best == nil || at.Before(r.expectedAt) {
				best, r.endpoint, r.expectedAt = e, id, at
			}
		}
		if best != nil && !r.expectedAt.After(r.Until) { // a request that will be refused uses no capacity
			best.next = maxTime(best.next, r.expectedAt).Add(best.interval)
		}
	}
}

func (c *Coordinator) planEndpoint(endpoint string, rates Rates, now time.Time) *endpointPlan {
	perSecond, ok := rates(endpoint)
	if !ok {
		return &endpointPlan{}
	}
	return &endpointPlan{c.pacer(endpoint, perSecond, now).next, interval(perSecond)}
}

func (c *Coordinator) recordGrant(endpoint string, rates Rates, now time.Time) {
	perSecond, _ := rates(endpoint)
	p := c.pacer(endpoint, perSecond, now)
	p.next, p.lastGrant = maxTime(p.next, now).Add(interval(perSecond)), now
}

// pacer returns the pacer of an endpoint and updates its rate. A new pacer grants its first request after
// one interval, because earlier requests are not known.
func (c *Coordinator) pacer(endpoint string, perSecond float64, now time.Time) *pacer {
	p := c.pacers[endpoint]
	if p == nil {
		p = &pacer{next: now.Add(burstWindow + interval(perSecond)), interval: interval(perSecond)}
		c.pacers[endpoint] = p
	}
	p.setInterval(interval(perSecond), now)
	return p
}

// setInterval changes the rate. The time until the next grant is scaled in proportion, so that a raised
// limit applies at once.
func (p *pacer) setInterval(interval time.Duration, now time.Time) {
	if wait := p.earliestGrant().Sub(now); wait > 0 && interval != p.interval {
		p.next = now.Add(burstWindow + time.Duration(float64(wait)*float64(interval)/float64(p.interval)))
	}
	p.interval = interval
}

// earliestGrant returns when the next request may be granted.
func (p *pacer) earliestGrant() time.Time { return p.next.Add(-burstWindow) }

func interval(perSecond float64) time.Duration {
	return max(1, time.Duration(float64(time.Second)/max(perSecond, minRate)))
}

// retryAfter returns the time after which the caller of a refused request should retry. Successive callers
// of a service get times spaced at the rate at which the acceptable endpoints accept requests.
func (c *Coordinator) retryAfter(r *GrantRequest, rates Rates, now time.Time) time.Duration {
	totalRate := 0.0
	for _, id := range r.Endpoints {
		if perSecond, ok := rates(id); ok {
			totalRate += max(perSecond, minRate)
		}
	}
	at := maxTime(maxTime(c.nextRetry[r.Service], now), r.expectedAt).Add(interval(totalRate))
	if at.Sub(now) > maxRetryAfter {
		return maxRetryAfter
	}
	c.nextRetry[r.Service] = at
	return at.Sub(now)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
