package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/internal/sleep"
	"github.com/micarudder/micarudder/membership"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

const (
	// fetchWait is the length of one long poll at a peer.
	fetchWait  = 20 * time.Second
	fetchSlack = 5 * time.Second
	// fetchGrace to twice of it is how long a gateway keeps a new document
	// from the peers that poll it, so that those who learn it from the
	// platform need not be sent it.
	fetchGrace = 250 * time.Millisecond
	// firstFetch bounds the questions to the peers at the start.
	firstFetch = 2 * time.Second
	// polledPeers is the number of peers that a gateway polls at a time. Each
	// poll goes to another one, so no group of gateways stays among itself.
	polledPeers = 3
	// onlyGeneration as the generation held asks for the peer's number alone.
	onlyGeneration = math.MaxUint64
)

// peers are the other gateways, from which a gateway learns what the platform
// does not tell it.
type peers struct {
	g     *Gateway
	all   []peer
	asked atomic.Bool // every peer was asked once, or did not answer in time

	mu   sync.Mutex
	free []peer // not being polled
}

type peer struct {
	addr   string
	client rudderv1connect.GatewayServiceClient
}

func newPeers(g *Gateway) *peers {
	p := &peers{g: g}
	for _, addr := range g.cfg.Peers {
		p.all = append(p.all, peer{addr, rudderv1connect.NewGatewayServiceClient(g.deps.Client, g.deps.Client.URL(addr), inner.ClientOptions()...)})
	}
	p.free = slices.Clone(p.all)
	return p
}

// start asks every peer for the highest generation and goes on polling some.
func (p *peers) start() {
	p.g.loops.Go(func() {
		p.askAll(p.all)
		p.asked.Store(true)
	})
	for range min(len(p.all), polledPeers) {
		p.g.loops.Go(p.pollLoop)
	}
}

// askAll learns the highest document that the peers hold.
func (p *peers) askAll(all []peer) {
	ctx, cancel := context.WithTimeout(p.g.ctx, firstFetch)
	defer cancel()
	has := make([]uint64, len(all))
	var wg sync.WaitGroup
	for i, peer := range all {
		wg.Go(func() {
			resp, err := peer.client.Fetch(ctx, connect.NewRequest(&rudderv1.FetchRequest{Have: onlyGeneration}))
			if err == nil {
				has[i] = resp.Msg.Generation
			}
		})
	}
	wg.Wait()
	for {
		best := 0
		for i := range has {
			if has[i] > has[best] {
				best = i
			}
		}
		if len(has) == 0 || has[best] <= p.g.deps.Keeper.Generation() {
			return
		}
		if p.fetch(ctx, all[best], 0) == nil {
			return
		}
		has[best] = 0
	}
}

// pollLoop polls one peer after the other.
func (p *peers) pollLoop() {
	wait := backoff.NewExponentialBackOff()
	for p.g.ctx.Err() == nil {
		peer := p.pick()
		err := p.poll(peer)
		p.release(peer)
		if err == nil {
			wait.Reset()
			continue
		}
		sleep.For(p.g.ctx, wait.NextBackOff())
	}
}

// pick takes a random peer that no other loop polls.
func (p *peers) pick() peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := rand.IntN(len(p.free))
	chosen := p.free[i]
	p.free = append(p.free[:i], p.free[i+1:]...)
	return chosen
}

func (p *peers) release(x peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = append(p.free, x)
}

// poll waits at a peer for a newer document, and gives up without an error
// when the gateway has learned one elsewhere.
func (p *peers) poll(x peer) error {
	ctx, cancel := context.WithTimeout(p.g.ctx, fetchWait+fetchSlack)
	defer cancel()
	changed := p.g.deps.Keeper.Changed()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := p.fetch(ctx, x, fetchWait)
	select {
	case <-changed:
		return nil
	default:
		return err
	}
}

// fetch asks a peer for a newer document and waits for one if need be.
func (p *peers) fetch(ctx context.Context, x peer, wait time.Duration) error {
	resp, err := x.client.Fetch(ctx, connect.NewRequest(&rudderv1.FetchRequest{
		Have: p.g.deps.Keeper.Generation(), WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return err
	}
	p.g.members.apply(membership.ExternalContact{})
	offer := &rudderv1.OfferRequest{Document: resp.Msg.Document, Delta: resp.Msg.Delta}
	return p.g.learnOr(offer, fromPeer, func() (*rudderv1.Document, error) {
		resp, err := x.client.Fetch(ctx, connect.NewRequest(&rudderv1.FetchRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg.Document, nil
	})
}

// Fetch returns the current document once it is newer than the caller's.
func (s *server) Fetch(ctx context.Context, req *connect.Request[rudderv1.FetchRequest]) (*connect.Response[rudderv1.FetchResponse], error) {
	k := s.g.deps.Keeper
	wait := min(time.Duration(req.Msg.WaitMs)*time.Millisecond, maxFetchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	changed := k.Changed()
	if k.Generation() > req.Msg.Have {
		return connect.NewResponse(s.g.fetched(req.Msg.Have)), nil
	}
	select {
	case <-changed:
		if !sleep.For(ctx, fetchGrace+rand.N(fetchGrace)) {
			return nil, ctx.Err()
		}
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.g.ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, context.Canceled)
	}
	return connect.NewResponse(s.g.fetched(req.Msg.Have)), nil
}

// fetched is the answer to a peer that holds generation have.
func (g *Gateway) fetched(have uint64) *rudderv1.FetchResponse {
	resp := &rudderv1.FetchResponse{Generation: g.deps.Keeper.Generation()}
	if u := g.deps.Keeper.Update(have); u != nil {
		resp.Document, resp.Delta = u.Document, u.Delta
		g.meter.sent(toPeer, u)
	}
	return resp
}
