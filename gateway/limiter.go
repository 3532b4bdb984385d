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
	// minShareInterval is how often gateways report their recent use to each
	// other. With more than four peers the interval is shareIntervalPerPeer for
	// each of them, so that the bytes sent per second stay bounded, but at most
	// maxShareInterval, well within the time for which a report counts.
	minShareInterval     = 2 * time.Second
	shareIntervalPerPeer = 500 * time.Millisecond
	maxShareInterval     = 10 * time.Second
	shareTimeout         = time.Second
	// minSharedRate is the lowest recent use, in requests per second, that is
	// reported.
	minSharedRate = 0.05
)

// limiter applies the limits and retry budgets of workspaces at one gateway.
// The gateways split a limit by recent use, which they report to each other.
type limiter struct {
	g *Gateway

	mu      sync.Mutex
	table   *limits.Table
	budgets map[string]*limits.RetryBudget
}

func newLimiter(g *Gateway) *limiter {
	return &limiter{g: g, table: limits.NewTable(g.cfg.Name, len(g.cfg.Peers)), budgets: make(map[string]*limits.RetryBudget)}
}

// apply applies the limits of a document.
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

// admit counts a request as in flight, or refuses it at once with a retry
// delay.
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

// done records that a request has ended.
func (l *limiter) done(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Done(workspace)
}

// allowRetry takes one automatic retry from the workspace's budget and reports
// whether one was available.
func (l *limiter) allowRetry(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget(workspace).AllowRetry(time.Now())
}

// budget returns a workspace's retry budget. The caller must hold mu.
func (l *limiter) budget(workspace string) *limits.RetryBudget {
	b, ok := l.budgets[workspace]
	if !ok {
		b = limits.NewRetryBudget(len(l.g.cfg.Peers) + 1)
		l.budgets[workspace] = b
	}
	return b
}

// loop applies the limits of each new document and shares the recent use.
func (l *limiter) loop() {
	tick := time.NewTicker(shareInterval(len(l.g.cfg.Peers)))
	defer tick.Stop()
	for {
		changed := l.g.deps.Tracker.Changed()
		l.apply(l.g.deps.Tracker.Document())
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

// shareInterval returns the time between two reports to the given number of
// peers.
func shareInterval(peers int) time.Duration {
	return min(max(time.Duration(peers)*shareIntervalPerPeer, minShareInterval), maxShareInterval)
}

// share reports this gateway's recent use to every peer.
func (l *limiter) share() {
	req := &rudderv1.ShareRequest{Gateway: l.g.cfg.Name}
	l.mu.Lock()
	now := time.Now()
	l.table.Tick(now)
	for _, u := range l.table.Demands(now) {
		if u.RequestsPerSecond >= minSharedRate {
			req.Uses = append(req.Uses, &rudderv1.WorkspaceUse{
				Workspace: u.Workspace, RequestsPerSecond: float32(u.RequestsPerSecond), TokensPerSecond: float32(u.TokensPerSecond),
			})
		}
	}
	l.mu.Unlock()
	for _, target := range l.g.peers.all {
		l.g.background.Go(func() { l.g.shareWith(target, req) })
	}
}

// shareWith reports the recent use to one peer. A lost message is made up for
// by the next.
func (g *Gateway) shareWith(target peer, req *rudderv1.ShareRequest) {
	ctx, cancel := context.WithTimeout(g.ctx, shareTimeout)
	defer cancel()
	if _, err := target.client.Share(ctx, connect.NewRequest(req)); err != nil {
		g.deps.Log.Debug("Failed to report recent use to a peer.", "peer", target.addr, "err", err)
	}
}

// Share records a peer's recent use.
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
