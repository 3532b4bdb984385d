package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// burstSpan is for how long an endpoint's unused sends are kept, so that callers who come unevenly
	// use what it takes.
	burstSpan = 500 * time.Millisecond
	// leastRate is the lowest rate at which requests are sent, in requests a second, also to an endpoint that takes none: without an answer
	// nobody would learn that its need is over.
	leastRate = 0.1
	// ProbeEvery is how long an endpoint with a limit may go without a request while others have room: the answer tells
	// whether it still has one.
	ProbeEvery = time.Second
	// longestPromise bounds the time to come back that a refused caller is told.
	longestPromise = 10 * time.Second
)

// Ask is a request that waits for one of several endpoints with limits.
type Ask struct {
	Service string
	// Endpoints are those that will do, the best first.
	Endpoints []string
	Urgency   int       // 0 is the most urgent
	Since     time.Time // when its caller came
	Until     time.Time // how long it is worth waiting
	// Probe is set for a request that others would take at once.
	Probe bool
	// expected is when it would be granted, by the newest plan, and at which endpoint.
	expected time.Time
	endpoint string
}

// Answer is what becomes of an Ask.
type Answer struct {
	// Endpoint is where the request may be sent now; empty: nowhere yet.
	Endpoint string
	// Refused is set when no endpoint can take it in its time; its caller had better come back
	// after RetryAfter.
	Refused    bool
	RetryAfter time.Duration
	// Unlimited is set when none of the endpoints has a limit that the coordinator knows of: it has ended, or is too new.
	Unlimited bool
	// Expected is when it will be granted, where none of these holds.
	Expected time.Time
}

// pacer spaces the sends to one endpoint.
type pacer struct {
	next     time.Time     // when the next send is due at an even pace
	interval time.Duration // of that pace
	granted  time.Time     // of the newest send; zero: none was granted yet
}

// Coordinator grants the sends to endpoints with limits one by one, to the most urgent requests first and among
// these in the order in which their callers came. It is not safe for concurrent use.
type Coordinator struct {
	pacers  map[string]*pacer
	waiting []*Ask
	// promised is, by service, when the caller that was refused last was told to come back.
	promised map[string]time.Time
}

// NewCoordinator returns one that has granted nothing.
func NewCoordinator() *Coordinator {
	return &Coordinator{pacers: make(map[string]*pacer), promised: make(map[string]time.Time)}
}

// Rates tells how many requests a second this coordinator may grant of an endpoint; ok is false for one without a limit.
type Rates func(endpoint string) (perSecond float64, ok bool)

// Reset forgets what was granted: another gateway has coordinated meanwhile.
func (c *Coordinator) Reset() { c.pacers = make(map[string]*pacer) }

// Forget drops what was granted of an endpoint that has no limit any more.
func (c *Coordinator) Forget(endpoint string) { delete(c.pacers, endpoint) }

// Leave takes a request out of those that wait.
func (c *Coordinator) Leave(a *Ask) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Ask) bool { return w == a })
}

// Try decides about a request that is waiting or has just come. It waits on unless it was granted or refused.
func (c *Coordinator) Try(a *Ask, rates Rates, now time.Time) Answer {
	if a.Probe {
		return c.tryProbe(a, rates, now)
	}
	if !slices.Contains(c.waiting, a) {
		at, _ := slices.BinarySearchFunc(c.waiting, a, byUrgency)
		c.waiting = slices.Insert(c.waiting, at, a)
	}
	c.plan(rates, now)
	switch {
	case a.endpoint == "":
		c.Leave(a)
		return Answer{Unlimited: true}
	case a.expected.After(a.Until):
		c.Leave(a)
		return Answer{Refused: true, RetryAfter: c.promise(a, rates, now)}
	case a.expected.After(now):
		return Answer{Expected: a.expected}
	default:
		c.Leave(a)
		c.take(a.endpoint, rates, now)
		return Answer{Endpoint: a.endpoint}
	}
}

// byUrgency orders those that wait; a is behind all that came as soon.
func byUrgency(w, a *Ask) int {
	return cmp.Or(cmp.Compare(w.Urgency, a.Urgency), w.Since.Compare(a.Since), -1)
}

// tryProbe grants a send to an endpoint that has had none for long, while nobody needs it.
func (c *Coordinator) tryProbe(a *Ask, rates Rates, now time.Time) Answer {
	for _, id := range a.Endpoints {
		perSecond, ok := rates(id)
		if !ok {
			continue
		}
		p := c.pacer(id, perSecond, now)
		idle := p.granted.IsZero() || now.Sub(p.granted) >= ProbeEvery
		if idle && !p.earliest().After(now) && len(c.waiting) == 0 {
			c.take(id, rates, now)
			return Answer{Endpoint: id}
		}
	}
	return Answer{Refused: true}
}

// planned is an endpoint while a plan is made.
type planned struct {
	next     time.Time     // see pacer
	interval time.Duration // between two sends; 0: it has no limit any more
}

// plan works out when each request that waits would be granted.
func (c *Coordinator) plan(rates Rates, now time.Time) {
	endpoints := make(map[string]*planned)
	for _, a := range c.waiting {
		a.endpoint = ""
		var best *planned
		for _, id := range a.Endpoints {
			e := endpoints[id]
			if e == nil {
				e = c.planned(id, rates, now)
				endpoints[id] = e
			}
			if e.interval == 0 {
				continue
			}
			if at := later(e.next.Add(-burstSpan), now); best == nil || at.Before(a.expected) {
				best, a.endpoint, a.expected = e, id, at
			}
		}
		if best != nil && !a.expected.After(a.Until) { // one that goes away takes nothing from those behind it
			best.next = later(best.next, a.expected).Add(best.interval)
		}
	}
}

func (c *Coordinator) planned(endpoint string, rates Rates, now time.Time) *planned {
	perSecond, ok := rates(endpoint)
	if !ok {
		return &planned{}
	}
	return &planned{c.pacer(endpoint, perSecond, now).next, interval(perSecond)}
}

func (c *Coordinator) take(endpoint string, rates Rates, now time.Time) {
	perSecond, _ := rates(endpoint)
	p := c.pacer(endpoint, perSecond, now)
	p.next, p.granted = later(p.next, now).Add(interval(perSecond)), now
}

// pacer returns that of an endpoint. The first send is granted after the time of one: what was sent before is not known.
func (c *Coordinator) pacer(endpoint string, perSecond float64, now time.Time) *pacer {
	p := c.pacers[endpoint]
	if p == nil {
		p = &pacer{next: now.Add(burstSpan + interval(perSecond)), interval: interval(perSecond)}
		c.pacers[endpoint] = p
	}
	p.change(interval(perSecond), now)
	return p
}

// change takes in a new pace. The part of a send that is still owed stays the same, not the time for it: a limit that has risen
// holds at once.
func (p *pacer) change(interval time.Duration, now time.Time) {
	if owed := p.earliest().Sub(now); owed > 0 && interval != p.interval {
		p.next = now.Add(burstSpan + time.Duration(float64(owed)*float64(interval)/float64(p.interval)))
	}
	p.interval = interval
}

// earliest returns when the next send may be granted.
func (p *pacer) earliest() time.Time { return p.next.Add(-burstSpan) }

func interval(perSecond float64) time.Duration {
	return max(1, time.Duration(float64(time.Second)/max(perSecond, leastRate)))
}

// promise returns after what time the caller of a request that is refused had better come back: one after the other, as
// fast as the endpoints that will do take requests.
func (c *Coordinator) promise(a *Ask, rates Rates, now time.Time) time.Duration {
	all := 0.0
	for _, id := range a.Endpoints {
		if perSecond, ok := rates(id); ok {
			all += max(perSecond, leastRate)
		}
	}
	at := later(later(c.promised[a.Service], now), a.expected).Add(interval(all))
	if at.Sub(now) > longestPromise {
		return longestPromise
	}
	c.promised[a.Service] = at
	return at.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
