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
	offerTime = 2 * time.Second
	// offerStagger is how much later than the one before it each gateway
	// offers a document to an agent that has not reported it by then; it is
	// longer than an agent takes to report a new generation.
	offerStagger = 400 * time.Millisecond
	// maxStagger bounds the wait when many gateways are before this one.
	maxStagger = 4
	// offerRetry is the wait after a failed offer.
	offerRetry = time.Second
	// offersAtOnce bounds the offers in progress.
	offersAtOnce = 16
	// askDelay to twice of it is how long a gateway that hears of a newer
	// generation from an agent waits to learn it from elsewhere; a peer tells it
	// within twice fetchGrace.
	askDelay = 600 * time.Millisecond
)

// offerLoop brings the agent every document that no other gateway has brought
// it, and asks it for one that is newer than the gateway's.
func (l *link) offerLoop(ctx context.Context) {
	k := l.g.deps.Keeper
	for {
		changed := k.Changed()
		ok := true
		switch has, connected := l.generation(); {
		case !connected || has == k.Generation():
			ok = l.waitNews(ctx, changed)
		case has < k.Generation():
			ok = l.offerInTurn(ctx)
		default:
			ok = l.askInTime(ctx, changed)
		}
		if !ok {
			return
		}
	}
}

// generation returns the agent's generation as last heard.
func (l *link) generation() (has uint64, connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report.GetGeneration(), l.connected
}

// waitNews waits for a report or a new document; it reports false when ctx ended.
func (l *link) waitNews(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
	case <-l.told:
	case <-ctx.Done():
		return false
	}
	return true
}

// offerInTurn waits until it is this gateway's turn and offers the document if
// the agent still lacks it; it reports false when ctx ended.
func (l *link) offerInTurn(ctx context.Context) bool {
	l.mu.Lock()
	rank := l.report.GetOfferRank()
	l.mu.Unlock()
	if rank > 0 && !sleep.For(ctx, time.Duration(min(rank, maxStagger))*offerStagger+rand.N(offerStagger/4)) {
		return false
	}
	if has, connected := l.generation(); !connected || has >= l.g.deps.Keeper.Generation() {
		return true
	}
	if err := l.offer(ctx); err != nil {
		l.g.deps.Log.Warn("Offer failed.", "endpoint", l.declared.Name, "err", err)
		return sleep.For(ctx, offerRetry)
	}
	return true
}

// askInTime waits whether the gateway learns the agent's newer document from
// elsewhere, and asks the agent for it otherwise.
func (l *link) askInTime(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(askDelay + rand.N(askDelay))
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	case <-t.C:
	}
	if err := l.ask(ctx); err != nil {
		l.g.deps.Log.Warn("No newer configuration from the agent.", "endpoint", l.declared.Name, "err", err)
		return sleep.For(ctx, offerRetry)
	}
	return true
}

// ask learns the agent's newer document. Of all links that want to ask, one
// does so at a time.
func (l *link) ask(ctx context.Context) error {
	l.g.links.asking.Lock()
	defer l.g.links.asking.Unlock()
	have := l.g.deps.Keeper.Generation()
	if has, _ := l.generation(); has <= have {
		return nil
	}
	resp, err := l.send(ctx, &rudderv1.OfferRequest{Have: have})
	if err != nil {
		return err
	}
	return l.takeNewer(ctx, resp)
}

// offer hands the agent the current document, by delta if it holds the base.
func (l *link) offer(ctx context.Context) error {
	select {
	case l.g.links.offers <- struct{}{}:
		defer func() { <-l.g.links.offers }()
	case <-ctx.Done():
		return ctx.Err()
	}
	has, _ := l.generation()
	offer := l.g.deps.Keeper.Update(has)
	if offer == nil {
		return nil
	}
	resp, err := l.send(ctx, offer)
	if err == nil && offer.Delta != nil && resp.Generation < generation.OfferedGeneration(offer) {
		resp, err = l.send(ctx, &rudderv1.OfferRequest{Document: l.g.deps.Keeper.Document()})
	}
	if err != nil {
		return err
	}
	return l.takeNewer(ctx, resp)
}

// send makes one offer and notes the generation that the agent then has.
func (l *link) send(ctx context.Context, o *rudderv1.OfferRequest) (*rudderv1.OfferResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTime)
	defer cancel()
	l.g.meter.sent(toAgent, o)
	resp, err := l.client.Offer(ctx, connect.NewRequest(o))
	if err != nil {
		return nil, err
	}
	l.reached(resp.Msg.Generation)
	return resp.Msg, nil
}

// reached notes a generation that the agent is known to have.
func (l *link) reached(gen uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report == nil || l.report.Generation >= gen {
		return
	}
	l.report = proto.CloneOf(l.report)
	l.report.Generation = gen
}

// takeNewer learns the newer document in an agent's answer.
func (l *link) takeNewer(ctx context.Context, resp *rudderv1.OfferResponse) error {
	offer := &rudderv1.OfferRequest{Document: resp.Newer, Delta: resp.NewerDelta}
	return l.learnFrom(ctx, offer)
}

// learnFrom takes what the agent handed back, and asks it for the whole
// document when its delta does not fit.
func (l *link) learnFrom(ctx context.Context, offer *rudderv1.OfferRequest) error {
	return l.g.learnOr(offer, fromAgent, func() (*rudderv1.Document, error) {
		resp, err := l.send(ctx, &rudderv1.OfferRequest{})
		if err != nil {
			return nil, err
		}
		return resp.Newer, nil
	})
}

// relearn takes the newer configuration that came with the refusal of an order
// that was planned under an older one.
func (l *link) relearn(ctx context.Context, refusal *rudderv1.End) {
	if err := l.learnFrom(ctx, refusal.GetNewer()); err != nil {
		l.g.deps.Log.Warn("A newer configuration could not be learned.", "endpoint", l.declared.Name, "err", err)
	}
}
