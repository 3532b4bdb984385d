package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/affinity"
	"github.com/micarudder/micarudder/cost"
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/membership"
	"github.com/micarudder/micarudder/orders"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

const (
	// redialFirst and redialMax bound the pause between two attempts to
	// subscribe at an agent.
	redialFirst = 100 * time.Millisecond
	redialMax   = 3 * time.Second
)

// link is the gateway's connection to one agent with what it last heard.
type link struct {
	g        *Gateway
	declared *rudderv1.Endpoint
	client   rudderv1connect.AgentServiceClient
	stop     context.CancelFunc
	told     chan struct{} // holds one when a report came since it was last read

	mu        sync.Mutex
	report    *rudderv1.AgentReport
	load      *rudderv1.Load
	loadAt    time.Time // when the load arrived
	heard     time.Time // when the last report arrived
	connected bool
	models    map[string]bool
	pending   time.Duration // predicted work sent since the agent last told its load
	pendingL  time.Duration // the long part of it
	pendingN  int
	restsTo   time.Time // the endpoint wants no new work before
	breaker   limits.Breaker
	slowness  cost.Slowness
	cache     *affinity.Set // blocks that the endpoint is believed to hold
}

func newLink(g *Gateway, e *rudderv1.Endpoint) *link {
	client := rudderv1connect.NewAgentServiceClient(g.deps.Client, g.deps.Client.URL(e.AgentAddress), inner.ClientOptions()...)
	return &link{g: g, declared: e, client: client, cache: affinity.New(e.MemoryTokens), told: make(chan struct{}, 1)}
}

// run subscribes at the agent for as long as ctx lasts.
func (l *link) run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = redialFirst, redialMax
	for ctx.Err() == nil {
		if l.subscribe(ctx) {
			wait.Reset()
		}
		select {
		case <-time.After(wait.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// subscribe reads reports until the stream breaks; it reports whether any came.
func (l *link) subscribe(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := l.client.Subscribe(ctx, connect.NewRequest(&rudderv1.SubscribeRequest{
		Gateway: l.g.cfg.Name, Generation: l.g.deps.Keeper.Generation(), ShortReports: true, ShortLoads: true,
	}))
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	any := false
	for stream.Receive() {
		any = true
		r := l.take(stream.Msg())
		l.g.members.reported(l.declared.Name, r)
		l.g.members.inherited(l.declared.AgentAddress, r)
	}
	l.mu.Lock()
	l.connected = false
	l.mu.Unlock()
	if ctx.Err() == nil { // else the link was closed: its successor may be connected
		l.g.members.apply(membership.ConnectionLost{Endpoint: l.declared.Name})
	}
	return any
}

// take records a report, wakes the offers and returns the report as a whole.
func (l *link) take(r *rudderv1.AgentReport) *rudderv1.AgentReport {
	r = l.record(r)
	select {
	case l.told <- struct{}{}:
	default:
	}
	return r
}

func (l *link) record(r *rudderv1.AgentReport) *rudderv1.AgentReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard, l.connected = time.Now(), true
	if r.GenerationOnly && l.report != nil {
		l.report = merged(l.report, r)
		l.noteLoad(l.report.Load) // a reply may have brought another one since
		return l.report
	}
	l.report = r
	l.models = make(map[string]bool, len(r.Models))
	for _, m := range r.Models {
		if m.Loading || m.Unloading {
			continue
		}
		held := engine.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters}
		for _, name := range append(orders.Names(held), orders.VariantNames(held)...) {
			l.models[name] = true
		}
	}
	l.noteLoad(r.Load)
	return r
}

// merged merges a short report into the last whole one, of which it returns a
// copy.
func merged(last, short *rudderv1.AgentReport) *rudderv1.AgentReport {
	whole := proto.CloneOf(last)
	whole.AgentMs, whole.Generation, whole.OfferRank = short.AgentMs, short.Generation, short.OfferRank
	if short.Load != nil {
		whole.Load = short.Load
	}
	return whole
}

// takeLoad records the load that came with a reply and settles what was pending.
func (l *link) takeLoad(load *rudderv1.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteLoad(load)
}

// noteLoad records a load, if there is one; the caller holds mu.
func (l *link) noteLoad(load *rudderv1.Load) {
	if load != nil {
		l.load, l.loadAt = load, time.Now()
	}
}

// sent counts predicted work towards the agent until settled is called.
func (l *link) sent(class routing.Class, work time.Duration) (settled func()) {
	long := time.Duration(0)
	if class >= routing.ClassLong {
		long = work
	}
	l.mu.Lock()
	l.breaker.RecordSend(time.Now())
	l.pending += work
	l.pendingL += long
	l.pendingN++
	l.mu.Unlock()
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pending -= work
		l.pendingL -= long
		l.pendingN--
	})
}

// outcome teaches the breaker how an attempt ended. Only the loss or failure
// of the endpoint or its agent counts against it.
func (l *link) outcome(c result.Code) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch c {
	case result.OK:
		l.breaker.RecordSuccess(now)
	case result.EndpointLost, result.EndpointFailed, result.AgentLost, result.OrderUnanswered, result.AnswerDamaged:
		if l.breaker.RecordFailure(now) {
			l.g.deps.Log.Warn("Breaker opened.", "endpoint", l.declared.Name, "code", uint32(c))
		}
	}
}

// observe teaches the slowness how long a first token took against the prediction.
func (l *link) observe(predicted, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowness.Observe(predicted, took, time.Now())
}

// incarnation returns the agent's incarnation and its clock now, as last heard.
func (l *link) incarnation() (string, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report == nil {
		return "", 0
	}
	return l.report.Incarnation, l.report.AgentMs + time.Since(l.heard).Milliseconds()
}

// candidate is the link as routing sees it.
func (l *link) candidate(v membership.Verdict, now time.Time) routing.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := routing.Candidate{
		Endpoint: l.declared.Name, Host: l.declared.Host, DataCentre: l.declared.DataCentre, Service: l.declared.Service,
		MemoryTokens: l.declared.MemoryTokens, Models: l.models, Pending: l.pending, PendingLong: l.pendingL, PendingRequests: l.pendingN,
		Connected: v.Usable(), Leaving: v.State == membership.Leaving,
		BackingOff: now.Before(l.restsTo), BreakerOpen: l.breaker.Blocks(now), InLongLane: l.g.lanes.has(l.declared.Name),
		SlowdownFactor: l.slowness.Factor(now), Cached: l.cache.Cached,
	}
	if l.report == nil {
		return c
	}
	c.LoadAge = now.Sub(l.loadAt)
	fillLoad(&c, l.load)
	return c
}

func fillLoad(c *routing.Candidate, load *rudderv1.Load) {
	if load == nil {
		return
	}
	c.Queued, c.Running = int(load.Queued), int(load.Running)
	if load.MemoryTokens > 0 {
		c.MemoryTokens = load.MemoryTokens
	}
	c.FreeTokens, c.QueuedTokens, c.LongTokens = load.FreeTokens, load.QueuedTokens, load.LongTokens
	for i, ms := range load.WaitMs {
		if i < routing.NumClasses {
			c.Wait[i] = time.Duration(ms) * time.Millisecond
		}
	}
	c.Cost = costOf(load)
}

// costOf returns the learned cost in a load; zero when none is known.
func costOf(load *rudderv1.Load) routing.Cost {
	return routing.Cost{
		PrefillPerToken:        time.Duration(load.GetPrefillUsPerToken() * float64(time.Microsecond)),
		PrefillPerTokenSquared: load.GetPrefillUsPerToken2(),
		DecodePerToken:         time.Duration(load.GetDecodeUsPerToken() * float64(time.Microsecond)),
	}
}
