package agent

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/rudderv1"
)

// Offer applies a configuration and returns a newer one if there is one. If the generation in
// the response is below the offered one, the agent does not have the base of the offered delta.
func (s *server) Offer(_ context.Context, req *connect.Request[rudderv1.OfferRequest]) (*connect.Response[rudderv1.OfferResponse], error) {
	k := s.a.deps.Tracker
	verdict, err := k.ApplyOffer(req.Msg)
	if err != nil {
		s.a.deps.Log.Debug("Configuration delta not applied.", "generation", k.Generation(), "err", err)
	}
	if verdict == generation.Diverged {
		s.a.deps.Log.Error("Two documents of one generation.", "generation", k.Generation())
	}
	resp := &rudderv1.OfferResponse{Generation: k.Generation()}
	if newer := k.Update(generation.OfferedGeneration(req.Msg)); newer != nil && err == nil {
		resp.Newer, resp.NewerDelta = newer.Document, newer.Delta
	}
	return connect.NewResponse(resp), nil
}

// subscribers contains the gateways that currently read the agent's reports, by name.
type subscribers struct {
	mu    sync.Mutex
	count map[string]int
}

// join registers a gateway until leave is called.
func (s *subscribers) join(gateway string) (leave func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == nil {
		s.count = make(map[string]int)
	}
	s.count[gateway]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.count[gateway]--; s.count[gateway] == 0 {
			delete(s.count, gateway)
		}
	}
}

// rank returns the number of subscribers that precede the gateway in the order in which they
// offer newer documents. The order differs between endpoints, so that the offers are
// distributed over the gateways.
func (s *subscribers) rank(gateway, endpoint string) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := rankKey(gateway, endpoint)
	before := uint32(0)
	for other := range s.count {
		if k := rankKey(other, endpoint); k < own || k == own && other < gateway {
			before++
		}
	}
	return before
}

func rankKey(gateway, endpoint string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + endpoint)
}
