package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/internal/sleep"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	offerTimeout = 2 * time.Second
	// offerStagger is how much later than the previous gateway each gateway
	// offers a document to an agent that has not reported it by then. It is
	// longer than an agent takes to report a new generation.
	offerStagger = 400 * time.Millisecond
	// maxStaggerSteps bounds the delay if many gateways come before this one.
	maxStaggerSteps = 4
	// offerRetryDelay is the delay after a failed offer.
	offerRetryDelay = time.Second
	// maxConcurrentOffers is the maximum number of offers in progress.
	maxConcurrentOffers = 16
	// fetchDelay is the minimum time that a gateway waits to learn a newer
	// generation elsewhere after it has heard of it from an agent; the maximum
	// is twice that. A peer sends it within twice longPollResponseDelay.
	fetchDelay = 600 * time.Millisecond
)

// offerLoop offers the agent every document that it has not received from
// another gateway, and fetches its document if that is newer than the
// gateway's.
func (l *link) offerLoop(ctx context.Context) {
	k := l.g.deps.Tracker
	for {
		changed := k.Changed()
		ok := true
		switch has, connected := l.generation(); {
		case !connected || has == k.Generation():
			ok = l.waitForChange(ctx, changed)
		case has < k.Generation():
			ok = l.offerAfterStagger(ctx)
		default:
			ok = l.fetchAfterDelay(ctx, changed)
		}
		if !ok {
			return
		}
	}
}

// generation returns the agent's generation as last reported.
func (l *link) generation() (has uint64, connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report.GetGeneration(), l.connected
}

// waitForChange waits for a report or a new document. It returns false if ctx
// ended.
func (l *link) waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
	case <-l.reported:
	case <-ctx.Done():
		return false
	}
	return true
}

// offerAfterStagger waits for this gateway's turn and offers the document if
// the agent still lacks it. It returns false if ctx ended.
func (l *link) offerAfterStagger(ctx context.Context) bool {
	l.mu.Lock()
	rank := l.report.GetOfferRank()
	l.mu.Unlock()
	if rank > 0 && !sleep.For(ctx, time.Duration(min(rank, maxStaggerSteps))*offerStagger+rand.N(offerStagger/4)) {
		return false
	}
	if has, connected := l.generation(); !connected || has >= l.g.deps.Tracker.Generation() {
		return true
	}
	if err := l.offer(ctx); err != nil {
		l.g.deps.Log.Warn("Failed to offer the configuration to an agent.", "endpoint", l.declared.Name, "err", err)
		return sleep.For(ctx, offerRetryDelay)
	}
	return true
}

// fetchAfterDelay waits for the gateway to learn the agent's newer document
// elsewhere, and fetches it from the agent if that does not happen. It returns
// false if ctx ended.
func (l *link) fetchAfterDelay(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(fetchDelay + rand.N(fetchDelay))
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	case <-t.C:
	}
	if err := l.fetchNewer(ctx); err != nil {
		l.g.deps.Log.Warn("Failed to fetch a newer configuration from an agent.", "endpoint", l.declared.Name, "err", err)
		return sleep.For(ctx, offerRetryDelay)
	}
	return true
}

// fetchNewer fetches the agent's newer document. Only one link does so at a
// time.
func (l *link) fetchNewer(ctx context.Context) error {
	l.g.links.fetchMu.Lock()
	defer l.g.links.fetchMu.Unlock()
	have := l.g.deps.Tracker.Generation()
	if has, _ := l.generation(); has <= have {
		return nil
	}
	resp, err := l.send(ctx, &rudderv1.OfferRequest{Have: have})
	if err != nil {
		return err
	}
	return l.learnNewer(ctx, resp)
}

// offer offers the agent the current document, as a delta if the agent has its
// base.
func (l *link) offer(ctx context.Context) error {
	select {
	case l.g.links.offerSlots <- struct{}{}:
		defer func() { <-l.g.links.offerSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	has, _ := l.generation()
	offer := l.g.deps.Tracker.Update(has)
	if offer == nil {
		return nil
	}
	resp, err := l.send(ctx, offer)
	if err == nil && offer.Delta != nil && resp.Generation < generation.OfferedGeneration(offer) {
		resp, err = l.send(ctx, &rudderv1.OfferRequest{Document: l.g.deps.Tracker.Document()})
	}
	if err != nil {
		return err
	}
	return l.learnNewer(ctx, resp)
}

// send makes one offer and records the generation that the agent then has.
func (l *link) send(ctx context.Context, offer *rudderv1.OfferRequest) (*rudderv1.OfferResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	l.g.meter.recordOffer(toAgent, offer)
	resp, err := l.client.Offer(ctx, connect.NewRequest(offer))
	if err != nil {
		return nil, err
	}
	l.raiseGeneration(resp.Msg.Generation)
	return resp.Msg, nil
}

// raiseGeneration records that the agent has at least the given generation.
func (l *link) raiseGeneration(gen uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report == nil || l.report.Generation >= gen {
		return
	}
	l.report = proto.CloneOf(l.report)
	l.report.Generation = gen
}

// learnNewer learns the newer document in an agent's response.
func (l *link) learnNewer(ctx context.Context, resp *rudderv1.OfferResponse) error {
	offer := &rudderv1.OfferRequest{Document: resp.Newer, Delta: resp.NewerDelta}
	return l.learnFromAgent(ctx, offer)
}

// learnFromAgent learns a document or delta that the agent returned. If the
// delta cannot be applied, it asks the agent for the complete document.
func (l *link) learnFromAgent(ctx context.Context, offer *rudderv1.OfferRequest) error {
	return l.g.learnOrFetch(offer, fromAgent, func() (*rudderv1.Document, error) {
		resp, err := l.send(ctx, &rudderv1.OfferRequest{})
		if err != nil {
			return nil, err
		}
		return resp.Newer, nil
	})
}

// learnFromRefusal learns the newer configuration that came with the refusal of
// an order planned under an older one.
func (l *link) learnFromRefusal(ctx context.Context, refusal *rudderv1.End) {
	if err := l.learnFromAgent(ctx, refusal.GetNewer()); err != nil {
		l.g.deps.Log.Warn("Failed to learn the newer configuration from an order refusal.", "endpoint", l.declared.Name, "err", err)
	}
}
