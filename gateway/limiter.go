package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// shareEvery is how often gateways tell each other their recent use. Beyond
	// four peers it takes shareSpacing for each, so that the bytes a second stay
	// bounded, up to shareMost, well within the time for which a word counts.
	shareEvery   = 2 * time.Second
	shareSpacing = 500 * time.Millisecond
	shareMost    = 10 * time.Second
	shareTime    = time.Second
	// leastUse is the recent use, in requests a second, that is worth telling.
	leastUse = 0.05
)

// limiter applies the workspaces' limits and retry budgets at one gateway. A
// limit is split among the gateways by recent use; they tell each other.
type limiter struct {
	g *Gateway

	mu      sync.Mutex
	table   *limits.Table
	budgets map[string]*limits.RetryBudget
}

func newLimiter(g *Gateway) *limiter {
	return &limiter{g: g, table: limits.NewTable(g.cfg.Name, len(g.cfg.Peers)), budgets: make(map[string]*limits.RetryBudget)}
}

// apply puts the document's limits in force.
func (l *limiter) apply(doc *rudderv1.Document) {
	all := make(map[string]limits.Limit, len(doc.Workspaces))
	for _, w := range doc.Workspaces {
		all[w.Name] = limits.Limit{
			RequestsPerSecond: w.RequestsPerSecond, TokensPerSecond: w.TokensPerSecond, MaxInFlight: int(w.MaxInFlight),
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetLimits(all, time.Now())
}

// admit counts a request in, or refuses it at once with a time to come back.
func (l *limiter) admit(workspace string, tokens uint64) *result.Err {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.table.Admit(workspace, tokens, now)
	if !v.OK {
		return &result.Err{Code: result.WorkspaceLimit, Detail: v.Detail, RetryAfter: v.RetryAfter.Milliseconds()}
	}
	l.budget(workspace).RecordRequest(now)
	return nil
}

// done counts a request out.
func (l *limiter) done(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Done(workspace)
}

// retry takes one automatic retry out of the workspace's budget.
func (l *limiter) retry(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget(workspace).AllowRetry(time.Now())
}

// budget returns a workspace's budget; the caller holds mu.
func (l *limiter) budget(workspace string) *limits.RetryBudget {
	b, ok := l.budgets[workspace]
	if !ok {
		b = limits.NewRetryBudget(len(l.g.cfg.Peers) + 1)
		l.budgets[workspace] = b
	}
	return b
}

// loop follows the document's limits and shares the recent use.
func (l *limiter) loop() {
	tick := time.NewTicker(shareInterval(len(l.g.cfg.Peers)))
	defer tick.Stop()
	for {
		changed := l.g.deps.Keeper.Changed()
		l.apply(l.g.deps.Keeper.Document())
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-tick.C:
				l.share()
			case <-l.g.ctx.Done():
				return
			}
		}
	}
}

// shareInterval is the time between two words to so many peers.
func shareInterval(peers int) time.Duration {
	return min(max(time.Duration(peers)*shareSpacing, shareEvery), shareMost)
}

// share tells every peer what this gateway was lately asked for.
func (l *limiter) share() {
	req := &rudderv1.ShareRequest{Gateway: l.g.cfg.Name}
	l.mu.Lock()
	now := time.Now()
	l.table.Tick(now)
	for _, u := range l.table.Demands(now) {
		if u.RequestsPerSecond >= leastUse {
			req.Uses = append(req.Uses, &rudderv1.WorkspaceUse{
				Workspace: u.Workspace, RequestsPerSecond: float32(u.RequestsPerSecond), TokensPerSecond: float32(u.TokensPerSecond),
			})
		}
	}
	l.mu.Unlock()
	for _, x := range l.g.peers.all {
		l.g.loops.Go(func() { l.g.tell(x, req) })
	}
}

// tell sends the recent use to one peer; a lost message is made good by the next.
func (g *Gateway) tell(x peer, req *rudderv1.ShareRequest) {
	ctx, cancel := context.WithTimeout(g.ctx, shareTime)
	defer cancel()
	if _, err := x.client.Share(ctx, connect.NewRequest(req)); err != nil {
		g.deps.Log.Debug("Share failed.", "peer", x.addr, "err", err)
	}
}

// Share takes in a peer's recent use.
func (s *server) Share(_ context.Context, req *connect.Request[rudderv1.ShareRequest]) (*connect.Response[rudderv1.ShareResponse], error) {
	uses := make([]limits.Demand, 0, len(req.Msg.Uses))
	for _, u := range req.Msg.Uses {
		uses = append(uses, limits.Demand{
			Workspace: u.Workspace, RequestsPerSecond: float64(u.RequestsPerSecond), TokensPerSecond: float64(u.TokensPerSecond),
		})
	}
	l := s.g.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if req.Msg.Leaving {
		l.table.RemovePeer(req.Msg.Gateway, time.Now())
	} else {
		l.table.RecordPeer(req.Msg.Gateway, uses, time.Now())
	}
	return connect.NewResponse(&rudderv1.ShareResponse{}), nil
}
