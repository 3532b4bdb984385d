package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

const (
	// redialFirst and redialMax bound the pause between two attempts to
	// subscribe at an agent.
	redialFirst = 100 * time.Millisecond
	redialMax   = 3 * time.Second
	// freshness is how long an agent's last report is believed after its
	// connection was lost.
	freshness = 2 * time.Second
	offerTime = 2 * time.Second
)

// link is the gateway's connection to one agent with what it last heard.
type link struct {
	g        *Gateway
	declared *rudderv1.Endpoint
	client   rudderv1connect.AgentServiceClient
	stop     context.CancelFunc

	mu        sync.Mutex
	report    *rudderv1.AgentReport
	load      *rudderv1.Load
	heard     time.Time // when the last report arrived
	connected bool
	models    map[string]bool
	pending   time.Duration // predicted work sent since the agent last told its load
	pendingN  int
}

func newLink(g *Gateway, e *rudderv1.Endpoint) *link {
	client := rudderv1connect.NewAgentServiceClient(g.deps.Client, g.deps.Client.URL(e.AgentAddress),
		connect.WithReadMaxBytes(inner.MaxMessage), connect.WithSendMaxBytes(inner.MaxMessage))
	return &link{g: g, declared: e, client: client}
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
		Gateway: l.g.cfg.Name, Generation: l.g.deps.Keeper.Generation(),
	}))
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	any := false
	for stream.Receive() {
		any = true
		l.take(stream.Msg())
		l.offer(ctx, stream.Msg().Generation)
	}
	l.mu.Lock()
	l.connected = false
	l.mu.Unlock()
	return any
}

// take records a report.
func (l *link) take(r *rudderv1.AgentReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report, l.heard, l.connected = r, time.Now(), true
	l.models = make(map[string]bool, len(r.Models))
	for _, m := range r.Models {
		if !m.Loading {
			l.models[m.Model] = true
		}
	}
	if r.Load != nil {
		l.load = r.Load
	}
}

// takeLoad records the load that came with a reply and settles what was pending.
func (l *link) takeLoad(load *rudderv1.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = load
}

// sent counts predicted work towards the agent until settled is called.
func (l *link) sent(work time.Duration) (settled func()) {
	l.mu.Lock()
	l.pending += work
	l.pendingN++
	l.mu.Unlock()
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pending -= work
		l.pendingN--
	})
}

// offer hands the agent a configuration it does not have yet.
func (l *link) offer(ctx context.Context, has uint64) {
	k := l.g.deps.Keeper
	if has >= k.Generation() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, offerTime)
	defer cancel()
	resp, err := l.client.Offer(ctx, connect.NewRequest(&rudderv1.OfferRequest{Document: k.Document()}))
	if err != nil {
		l.g.deps.Log.Warn("Offer failed.", "endpoint", l.declared.Name, "err", err)
		return
	}
	l.g.learn(resp.Msg.Newer, "agent")
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
func (l *link) candidate(now time.Time) routing.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := routing.Candidate{
		Endpoint: l.declared.Name, Host: l.declared.Host, DataCentre: l.declared.DataCentre, Service: l.declared.Service,
		MemoryTokens: l.declared.MemoryTokens, Models: l.models, Pending: l.pending, PendingCount: l.pendingN,
		Leaving: l.declared.Leaving,
	}
	if l.report == nil {
		return c
	}
	c.Connected = l.connected || now.Sub(l.heard) < freshness
	c.Connected = c.Connected && l.report.State == rudderv1.AgentState_AGENT_STATE_SERVING
	c.Leaving = c.Leaving || l.report.State == rudderv1.AgentState_AGENT_STATE_LEAVING
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
	c.FreeTokens = load.FreeTokens
	for i, ms := range load.WaitMs {
		if i < routing.NumClasses {
			c.Wait[i] = time.Duration(ms) * time.Millisecond
		}
	}
	c.Cost = routing.Cost{
		PrefillPerToken:  time.Duration(load.PrefillUsPerToken * float64(time.Microsecond)),
		PrefillPerToken2: load.PrefillUsPerToken2,
		DecodePerToken:   time.Duration(load.DecodeUsPerToken * float64(time.Microsecond)),
	}
}
