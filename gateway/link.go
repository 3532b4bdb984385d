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
	"github.com/micarudder/micarudder/internal/sleep"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/membership"
	"github.com/micarudder/micarudder/orders"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

const (
	// minResubscribeDelay and maxResubscribeDelay bound the delay between two
	// attempts to subscribe to an agent.
	minResubscribeDelay = 100 * time.Millisecond
	maxResubscribeDelay = 3 * time.Second
)

// link is the gateway's connection to one agent, together with the state that
// the agent last reported.
type link struct {
	g        *Gateway
	declared *rudderv1.Endpoint
	client   rudderv1connect.AgentServiceClient
	stop     context.CancelFunc
	reported chan struct{} // signals that a report has arrived since the channel was last read
	retry    chan struct{} // ends the delay before the next attempt to subscribe

	mu              sync.Mutex
	report          *rudderv1.AgentReport
	load            *rudderv1.Load
	loadAt          time.Time // when the load was received
	lastReportAt    time.Time // when the last report was received
	connected       bool
	models          map[string]bool
	pending         time.Duration // predicted work of the orders sent whose response has not begun
	pendingLong     time.Duration // the part of pending that is long work
	pendingRequests int
	backOffUntil    time.Time // the endpoint has asked for no new work until then
	breaker         limits.Breaker
	slowdown        cost.Slowdown
	cache           *affinity.Set // blocks that the endpoint is assumed to have cached
}

func newLink(g *Gateway, e *rudderv1.Endpoint) *link {
	client := rudderv1connect.NewAgentServiceClient(g.deps.Client, g.deps.Client.URL(e.AgentAddress), inner.ClientOptions()...)
	return &link{g: g, declared: e, client: client, cache: affinity.New(e.MemoryTokens), reported: make(chan struct{}, 1), retry: make(chan struct{}, 1)}
}

// run keeps a subscription to the agent open until ctx ends.
func (l *link) run(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = minResubscribeDelay, maxResubscribeDelay
	for ctx.Err() == nil {
		began := time.Now()
		if l.subscribe(ctx) {
			retryDelay.Reset()
		}
		select {
		case <-time.After(retryDelay.NextBackOff()):
		case <-l.retry:
			retryDelay.Reset()
			sleep.For(ctx, time.Until(began.Add(minResubscribeDelay)))
		case <-ctx.Done():
		}
	}
}

// resubscribe ends the delay before the next attempt to subscribe, if the link is
// not connected.
func (l *link) resubscribe() {
	if _, connected := l.generation(); connected {
		return
	}
	select {
	case l.retry <- struct{}{}:
	default:
	}
}

// subscribe reads reports until the stream breaks. It returns whether any was
// received.
func (l *link) subscribe(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := l.client.Subscribe(ctx, connect.NewRequest(&rudderv1.SubscribeRequest{
		Gateway: l.g.cfg.Name, Generation: l.g.deps.Tracker.Generation(), ShortReports: true, ShortLoads: true,
	}))
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	received := false
	for stream.Receive() {
		received = true
		r := l.handleReport(stream.Msg())
		l.g.members.applyReport(l.declared.Name, r)
		l.g.members.updateRecordOwners(l.declared.AgentAddress, r)
	}
	l.mu.Lock()
	l.connected = false
	l.mu.Unlock()
	if ctx.Err() == nil { // else the link was closed, and the link that replaces it may be connected
		l.g.members.apply(membership.ConnectionLost{Endpoint: l.declared.Name})
	}
	return received
}

// handleReport records a report, wakes the offer loop and returns the complete
// report.
func (l *link) handleReport(r *rudderv1.AgentReport) *rudderv1.AgentReport {
	r = l.recordReport(r)
	select {
	case l.reported <- struct{}{}:
	default:
	}
	return r
}

func (l *link) recordReport(r *rudderv1.AgentReport) *rudderv1.AgentReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReportAt, l.connected = time.Now(), true
	if r.GenerationOnly && l.report != nil {
		l.report = mergeReport(l.report, r)
		l.setLoad(l.report.Load) // a response may have set another load in the meantime
		return l.report
	}
	l.report = r
	l.models = make(map[string]bool, len(r.Models))
	for _, m := range r.Models {
		if m.Loading || m.Unloading {
			continue
		}
		loaded := engine.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters}
		for _, name := range append(orders.Names(loaded), orders.VariantNames(loaded)...) {
			l.models[name] = true
		}
	}
	l.setLoad(r.Load)
	return r
}

// mergeReport returns a copy of the last complete report, updated with a short
// one.
func mergeReport(last, short *rudderv1.AgentReport) *rudderv1.AgentReport {
	merged := proto.CloneOf(last)
	merged.AgentMs, merged.Generation, merged.OfferRank = short.AgentMs, short.Generation, short.OfferRank
	if short.Load != nil {
		merged.Load = short.Load
	}
	return merged
}

// recordLoad records the load that came with a response.
func (l *link) recordLoad(load *rudderv1.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLoad(load)
}

// setLoad records a load, if there is one. The caller must hold mu.
func (l *link) setLoad(load *rudderv1.Load) {
	if load != nil {
		l.load, l.loadAt = load, time.Now()
	}
}

// recordSend counts predicted work as pending at the agent until done is
// called.
func (l *link) recordSend(class routing.Class, work time.Duration) (done func()) {
	long := time.Duration(0)
	if class >= routing.ClassLong {
		long = work
	}
	l.mu.Lock()
	l.breaker.RecordSend(time.Now())
	l.pending += work
	l.pendingLong += long
	l.pendingRequests++
	l.mu.Unlock()
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pending -= work
		l.pendingLong -= long
		l.pendingRequests--
	})
}

// recordOutcome records in the breaker how an attempt ended. Only the loss or
// failure of the endpoint or its agent counts as a failure.
func (l *link) recordOutcome(c result.Code) {
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

// recordPrefill updates the slowdown estimate with a predicted and an actual
// prefill time.
func (l *link) recordPrefill(predicted, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowdown.Observe(predicted, took, time.Now())
}

// incarnation returns the agent's incarnation and an estimate of its current
// clock.
func (l *link) incarnation() (string, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report == nil {
		return "", 0
	}
	return l.report.Incarnation, l.report.AgentMs + time.Since(l.lastReportAt).Milliseconds()
}

// candidate returns the link's state as input of routing.
func (l *link) candidate(v membership.Verdict, now time.Time) routing.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := routing.Candidate{
		Endpoint: l.declared.Name, Host: l.declared.Host, DataCentre: l.declared.DataCentre, Service: l.declared.Service,
		MemoryTokens: l.declared.MemoryTokens, Models: l.models, Pending: l.pending, PendingLong: l.pendingLong, PendingRequests: l.pendingRequests,
		Connected: v.Usable(), Draining: v.State == membership.Draining,
		BackingOff: now.Before(l.backOffUntil), BreakerOpen: l.breaker.Blocks(now), InLongLane: l.g.lanes.contains(l.declared.Name),
		SlowdownFactor: l.slowdown.Factor(now), Cached: l.cache.Cached,
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

// costOf returns the learned cost in a load, or zero if none is known.
func costOf(load *rudderv1.Load) routing.Cost {
	return routing.Cost{
		PrefillPerToken:        time.Duration(load.GetPrefillUsPerToken() * float64(time.Microsecond)),
		PrefillPerTokenSquared: load.GetPrefillUsPerToken2(),
		DecodePerToken:         time.Duration(load.GetDecodeUsPerToken() * float64(time.Microsecond)),
	}
}
