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

// platformSilence is how long the platform may be silent before it counts as
// unreachable: three checks of the watch.
const platformSilence = 3 * metastore.DefaultWatchCheck

// source names where a document came from, in logs and metrics.
type source string

const (
	fromPlatform source = "platform"
	fromPeer     source = "peer"
	fromAgent    source = "agent"
)

// platformHealth is what the gateway knows of the platform.
type platformHealth struct {
	contact    metastore.Contact // nil: the store does not tell
	generation atomic.Uint64     // of the document last read there; 0: none
	restored   atomic.Uint64     // how often the store was found to have gone back
}

// silent returns how long nothing was heard, or -1 before the first word.
func (p *platformHealth) silent() time.Duration {
	if p.contact == nil {
		return -1
	}
	heard := p.contact.Heard()
	if heard.IsZero() {
		return -1
	}
	return time.Since(heard)
}

// reachable reports whether the platform was heard lately.
func (p *platformHealth) reachable() bool {
	s := p.silent()
	return s >= 0 && s < platformSilence
}

// followPlatform learns every document that the platform accepts.
func (g *Gateway) followPlatform() {
	_ = metastore.Follow(g.ctx, g.deps.Store, metastore.KeyDocument, 0, g.platformChange)
}

func (g *Gateway) platformChange(c metastore.Change) {
	g.members.apply(membership.ExternalContact{})
	if c.Restored {
		g.platform.restored.Add(1)
		g.platform.generation.Store(0) // until the restored store is read
		g.deps.Log.Error("The platform's store went back to an older state; the configuration in force stays.",
			"generation", g.deps.Keeper.Generation(), "revision", c.Seen)
		return
	}
	if c.Entry.Value == nil {
		g.platform.generation.Store(0)
		g.deps.Log.Error("The document was deleted from the platform; the last one stays in force.")
		return
	}
	doc, err := generation.Decode(c.Entry.Value)
	if err != nil {
		g.deps.Log.Error("The stored document cannot be read; the last one stays in force.", "err", err)
		return
	}
	g.platform.generation.Store(doc.Generation)
	_ = g.learn(&rudderv1.OfferRequest{Document: doc}, fromPlatform)
}

// learn takes a document or delta. It returns document.ErrBase when only the
// whole document would help.
func (g *Gateway) learn(o *rudderv1.OfferRequest, from source) error {
	verdict, err := g.deps.Keeper.ApplyOffer(o)
	if err != nil {
		return err
	}
	offered := generation.OfferedGeneration(o)
	switch verdict {
	case generation.Newer:
		g.deps.Log.Info("Configuration in force.", "generation", offered, "from", from)
		g.meter.learned(from)
	case generation.Older:
		if from == fromPlatform {
			g.deps.Log.Error("The platform holds an older configuration than the one in force.", "generation", offered)
			g.meter.generationBack()
		}
	case generation.Diverged:
		g.deps.Log.Error("Two documents of one generation.", "generation", offered, "from", from)
	}
	return nil
}

// learnOr takes a document or delta and calls whole for the whole document
// when the delta belongs to another base.
func (g *Gateway) learnOr(o *rudderv1.OfferRequest, from source, whole func() (*rudderv1.Document, error)) error {
	err := g.learn(o, from)
	if !errors.Is(err, document.ErrBase) {
		return err
	}
	doc, err := whole()
	if err != nil {
		return err
	}
	return g.learn(&rudderv1.OfferRequest{Document: doc}, from)
}
