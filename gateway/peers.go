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
	// longPollTime is the duration of one long poll to a peer.
	longPollTime  = 20 * time.Second
	longPollSlack = 5 * time.Second
	// longPollResponseDelay is the minimum time for which a new document is
	// withheld from polling peers; the maximum is twice that. Peers that learn
	// it from the platform in the meantime need not be sent it.
	longPollResponseDelay = 250 * time.Millisecond
	// initialFetchTimeout limits the queries to all peers at start.
	initialFetchTimeout = 2 * time.Second
	// concurrentPolls is the number of peers that a gateway polls at the same
	// time. Each poll goes to another random peer, so that no group of gateways
	// polls only among its own members.
	concurrentPolls = 3
	// haveEverything, as the generation that the caller has, requests only the
	// number of the peer's generation.
	haveEverything = math.MaxUint64
)

// peers are the other gateways. From them a gateway learns documents that it
// does not get from the platform.
type peers struct {
	g          *Gateway
	all        []peer
	allQueried atomic.Bool // every peer has answered the initial query or timed out

	mu   sync.Mutex
	idle []peer // peers that no loop is polling
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
	p.idle = slices.Clone(p.all)
	return p
}

// start queries every peer for the highest generation and starts the polling
// loops.
func (p *peers) start() {
	p.g.background.Go(func() {
		p.fetchNewest(p.all)
		p.allQueried.Store(true)
	})
	for range min(len(p.all), concurrentPolls) {
		p.g.background.Go(p.pollLoop)
	}
}

// fetchNewest learns the document with the highest generation that the given
// peers have.
func (p *peers) fetchNewest(all []peer) {
	ctx, cancel := context.WithTimeout(p.g.ctx, initialFetchTimeout)
	defer cancel()
	generations := make([]uint64, len(all))
	var wg sync.WaitGroup
	for i, peer := range all {
		wg.Go(func() {
			resp, err := peer.client.Fetch(ctx, connect.NewRequest(&rudderv1.FetchRequest{Have: haveEverything}))
			if err == nil {
				generations[i] = resp.Msg.Generation
			}
		})
	}
	wg.Wait()
	for {
		best := 0
		for i := range generations {
			if generations[i] > generations[best] {
				best = i
			}
		}
		if len(generations) == 0 || generations[best] <= p.g.deps.Tracker.Generation() {
			return
		}
		if p.fetch(ctx, all[best], 0) == nil {
			return
		}
		generations[best] = 0
	}
}

// pollLoop polls one peer after the other.
func (p *peers) pollLoop() {
	retryDelay := backoff.NewExponentialBackOff()
	for p.g.ctx.Err() == nil {
		peer := p.takeIdle()
		err := p.poll(peer)
		p.release(peer)
		if err == nil {
			retryDelay.Reset()
			continue
		}
		sleep.For(p.g.ctx, retryDelay.NextBackOff())
	}
}

// takeIdle takes a random peer that no other loop is polling.
func (p *peers) takeIdle() peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := rand.IntN(len(p.idle))
	chosen := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	return chosen
}

func (p *peers) release(target peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, target)
}

// poll waits for a newer document from a peer. It returns nil if the gateway
// learned one elsewhere in the meantime.
func (p *peers) poll(target peer) error {
	ctx, cancel := context.WithTimeout(p.g.ctx, longPollTime+longPollSlack)
	defer cancel()
	changed := p.g.deps.Tracker.Changed()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := p.fetch(ctx, target, longPollTime)
	select {
	case <-changed:
		return nil
	default:
		return err
	}
}

// fetch requests a newer document from a peer, which waits up to the given time
// for one.
func (p *peers) fetch(ctx context.Context, target peer, wait time.Duration) error {
	resp, err := target.client.Fetch(ctx, connect.NewRequest(&rudderv1.FetchRequest{
		Have: p.g.deps.Tracker.Generation(), WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return err
	}
	p.g.members.apply(membership.ExternalContact{})
	offer := &rudderv1.OfferRequest{Document: resp.Msg.Document, Delta: resp.Msg.Delta}
	return p.g.learnOrFetch(offer, fromPeer, func() (*rudderv1.Document, error) {
		resp, err := target.client.Fetch(ctx, connect.NewRequest(&rudderv1.FetchRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg.Document, nil
	})
}

// Fetch returns the current document once it is newer than the caller's, or the
// current generation without a document after the requested time.
func (s *server) Fetch(ctx context.Context, req *connect.Request[rudderv1.FetchRequest]) (*connect.Response[rudderv1.FetchResponse], error) {
	k := s.g.deps.Tracker
	wait := min(time.Duration(req.Msg.WaitMs)*time.Millisecond, maxFetchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	changed := k.Changed()
	if k.Generation() > req.Msg.Have {
		return connect.NewResponse(s.g.fetchResponse(req.Msg.Have)), nil
	}
	select {
	case <-changed:
		if !sleep.For(ctx, longPollResponseDelay+rand.N(longPollResponseDelay)) {
			return nil, ctx.Err()
		}
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.g.ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, context.Canceled)
	}
	return connect.NewResponse(s.g.fetchResponse(req.Msg.Have)), nil
}

// fetchResponse returns the response to a peer that has generation have.
func (g *Gateway) fetchResponse(have uint64) *rudderv1.FetchResponse {
	resp := &rudderv1.FetchResponse{Generation: g.deps.Tracker.Generation()}
	if u := g.deps.Tracker.Update(have); u != nil {
		resp.Document, resp.Delta = u.Document, u.Delta
		g.meter.recordOffer(toPeer, u)
	}
	return resp
}
