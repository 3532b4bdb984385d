package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/membership"
	"github.com/micarudder/micarudder/platform"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

const (
	// fetchWait is the length of one long poll at a peer.
	fetchWait  = 20 * time.Second
	fetchSlack = 5 * time.Second
)

// platformHealth records when the platform was last heard.
type platformHealth struct {
	mu    sync.Mutex
	heard time.Time
}

func (p *platformHealth) seen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = time.Now()
}

// silent returns how long nothing was heard, or -1 before the first word.
func (p *platformHealth) silent() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard.IsZero() {
		return -1
	}
	return time.Since(p.heard)
}

// followPlatform keeps the document equal to the platform's.
func (g *Gateway) followPlatform() {
	wait := backoff.NewExponentialBackOff()
	var after int64
	for g.ctx.Err() == nil {
		err := g.deps.Store.Watch(g.ctx, platform.KeyDocument, after, func(e platform.Entry) {
			wait.Reset()
			g.platform.seen()
			g.members.apply(membership.Outside{})
			after = e.Revision
			g.learnEntry(e)
		})
		if g.ctx.Err() != nil {
			return
		}
		g.deps.Log.Warn("Watch ended.", "err", err)
		select {
		case <-time.After(wait.NextBackOff()):
		case <-g.ctx.Done():
		}
	}
}

func (g *Gateway) learnEntry(e platform.Entry) {
	if e.Value == nil {
		g.deps.Log.Error("The document was deleted from the platform; the last one stays in force.")
		return
	}
	doc, err := generation.Decode(e.Value)
	if err != nil {
		g.deps.Log.Error("The stored document cannot be read.", "err", err)
		return
	}
	g.learn(doc, "platform")
}

// learn offers a document to the keeper and spreads it when it is newer.
func (g *Gateway) learn(doc *rudderv1.Document, from string) {
	switch g.deps.Keeper.Offer(doc) {
	case generation.Newer:
		g.deps.Log.Info("Configuration in force.", "generation", doc.Generation, "from", from)
		g.links.offerAll()
	case generation.Older:
		if from == "platform" {
			g.deps.Log.Error("The platform holds an older configuration than the one in force.", "generation", doc.Generation)
			g.meter.generationBack()
		}
	case generation.Diverge:
		g.deps.Log.Error("Two documents of one generation.", "generation", doc.Generation, "from", from)
	}
}

// followPeer learns newer documents from another gateway, so that an outage
// of the platform keeps nobody behind.
func (g *Gateway) followPeer(addr string) {
	client := rudderv1connect.NewGatewayServiceClient(g.deps.Client, g.deps.Client.URL(addr))
	wait := backoff.NewExponentialBackOff()
	for g.ctx.Err() == nil {
		err := g.fetch(client)
		if err == nil {
			wait.Reset()
			continue
		}
		select {
		case <-time.After(wait.NextBackOff()):
		case <-g.ctx.Done():
		}
	}
}

func (g *Gateway) fetch(client rudderv1connect.GatewayServiceClient) error {
	ctx, cancel := context.WithTimeout(g.ctx, fetchWait+fetchSlack)
	defer cancel()
	resp, err := client.Fetch(ctx, connect.NewRequest(&rudderv1.FetchRequest{
		Have: g.deps.Keeper.Generation(), WaitMs: uint32(fetchWait.Milliseconds()),
	}))
	if err != nil {
		return err
	}
	g.members.apply(membership.Outside{})
	g.learn(resp.Msg.Document, "peer")
	return nil
}
