package gateway

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/membership"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/rudderv1"
)

// maxPlatformSilence is how long after its last message the platform still
// counts as reachable: three check intervals of the watch.
const maxPlatformSilence = 3 * metastore.DefaultWatchCheck

// source is where a document came from, as shown in logs and metrics.
type source string

const (
	fromPlatform source = "platform"
	fromPeer     source = "peer"
	fromAgent    source = "agent"
)

// platformHealth is the gateway's view of the platform's service.
type platformHealth struct {
	contact    metastore.ContactReporter // nil: the store does not report contact
	generation atomic.Uint64             // of the document last read from the store; 0: none
	restored   atomic.Uint64             // number of times that the store was restored to an older state
}

// silence returns the time since the last message from the platform, or -1 if
// there was none.
func (p *platformHealth) silence() time.Duration {
	if p.contact == nil {
		return -1
	}
	lastContact := p.contact.LastContact()
	if lastContact.IsZero() {
		return -1
	}
	return time.Since(lastContact)
}

// reachable reports whether a message from the platform arrived within
// maxPlatformSilence.
func (p *platformHealth) reachable() bool {
	s := p.silence()
	return s >= 0 && s < maxPlatformSilence
}

// followPlatform learns every document that is stored at the platform.
func (g *Gateway) followPlatform() {
	_ = metastore.Follow(g.ctx, g.deps.Store, metastore.KeyDocument, 0, g.handlePlatformChange)
}

func (g *Gateway) handlePlatformChange(c metastore.Change) {
	g.members.apply(membership.ExternalContact{})
	if c.Restored {
		g.platform.restored.Add(1)
		g.platform.generation.Store(0) // until the restored store has been read
		g.deps.Log.Error("The platform's store went back to an older state; the configuration in force stays.",
			"generation", g.deps.Tracker.Generation(), "revision", c.Seen)
		return
	}
	if c.Entry.Value == nil {
		g.platform.generation.Store(0)
		g.deps.Log.Error("The document was deleted from the platform; the last one stays in force.")
		return
	}
	doc, err := generation.Decode(c.Entry.Value)
	if err != nil {
		g.deps.Log.Error("Failed to decode the stored configuration document; keeping the last one.", "err", err)
		return
	}
	g.platform.generation.Store(doc.Generation)
	_ = g.learn(&rudderv1.OfferRequest{Document: doc}, fromPlatform)
}

// learn applies a document or a delta. It returns document.ErrBaseMismatch if the delta
// cannot be applied to the current document and the complete document is
// needed.
func (g *Gateway) learn(offer *rudderv1.OfferRequest, from source) error {
	verdict, err := g.deps.Tracker.ApplyOffer(offer)
	if err != nil {
		return err
	}
	offered := generation.OfferedGeneration(offer)
	switch verdict {
	case generation.Newer:
		g.deps.Log.Info("Configuration in force.", "generation", offered, "from", from)
		g.meter.recordLearned(from)
	case generation.Older:
		if from == fromPlatform {
			g.deps.Log.Error("The platform holds an older configuration than the one in force.", "generation", offered)
			g.meter.recordOlderGeneration()
		}
	case generation.Diverged:
		g.deps.Log.Error("Two documents of one generation.", "generation", offered, "from", from)
	}
	return nil
}

// learnOrFetch applies a document or a delta. If the delta is based on another
// document, it calls fetchComplete for the complete document and applies that.
func (g *Gateway) learnOrFetch(offer *rudderv1.OfferRequest, from source, fetchComplete func() (*rudderv1.Document, error)) error {
	err := g.learn(offer, from)
	if !errors.Is(err, document.ErrBaseMismatch) {
		return err
	}
	doc, err := fetchComplete()
	if err != nil {
		return err
	}
	return g.learn(&rudderv1.OfferRequest{Document: doc}, from)
}
