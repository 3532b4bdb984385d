package generation

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/rudderv1"
)

// MaxDeltaBases is the number of previous documents from which a tracker can
// compute a delta to the current one.
const MaxDeltaBases = 4

// Update returns an offer that brings a process with generation have to the current
// document: a delta if the document of that generation is kept and the delta is
// shorter, else the complete document. It returns nil if have is not older. The
// returned message is shared and must not be changed.
func (k *Tracker) Update(have uint64) *rudderv1.OfferRequest {
	doc := k.Document()
	if have >= doc.Generation {
		return nil
	}
	if d := k.cache.delta(have, doc); d != nil {
		return &rudderv1.OfferRequest{Delta: d}
	}
	return &rudderv1.OfferRequest{Document: doc}
}

// ApplyOffer applies an offer of another process, be it a document or a delta. The error
// is document.ErrBaseMismatch if the delta leads to a newer document but cannot be applied to
// the current one; the sender must then offer the complete document.
func (k *Tracker) ApplyOffer(o *rudderv1.OfferRequest) (OfferResult, error) {
	if o.GetDelta() == nil {
		return k.Offer(o.GetDocument()), nil
	}
	next := o.Delta.GetChanged()
	current := k.Document()
	if next.GetGeneration() <= current.Generation {
		return k.Offer(next), nil // not accepted, because the generation does not increase
	}
	doc, err := document.Apply(current, o.Delta)
	if err != nil {
		return Same, err
	}
	return k.Offer(doc), nil
}

// OfferedGeneration returns the generation of the offered document, or of the sender's own
// one if the offer has none.
func OfferedGeneration(o *rudderv1.OfferRequest) uint64 {
	switch {
	case o.GetDocument() != nil:
		return o.Document.Generation
	case o.GetDelta() != nil:
		return o.Delta.GetChanged().GetGeneration()
	default:
		return o.GetHave()
	}
}

// deltaCache keeps the latest previous documents in encoded form, which takes a
// fraction of the memory, and the deltas computed from them.
type deltaCache struct {
	mu     sync.Mutex
	bases  []encodedDocument // newest first, at most MaxDeltaBases
	target *rudderv1.Document
	deltas map[uint64]*rudderv1.DocumentDelta // to target, by generation of the base; nil if there is none that is shorter than target
}

// encodedDocument is a previous document in encoded form.
type encodedDocument struct {
	generation uint64
	raw        []byte
}

// remember adds a document that is being replaced to the bases.
func (c *deltaCache) remember(doc *rudderv1.Document) {
	if doc.Generation == 0 {
		return
	}
	raw, err := proto.Marshal(doc)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bases = append([]encodedDocument{{doc.Generation, raw}}, c.bases[:min(len(c.bases), MaxDeltaBases-1)]...)
}

// delta returns the delta from generation have to doc, computed at most once per
// target and base; nil if there is none that is shorter than doc.
func (c *deltaCache) delta(have uint64, doc *rudderv1.Document) *rudderv1.DocumentDelta {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target != doc {
		c.target, c.deltas = doc, make(map[uint64]*rudderv1.DocumentDelta)
	}
	d, cached := c.deltas[have]
	if !cached {
		d = c.compute(have, doc)
		c.deltas[have] = d
	}
	return d
}

func (c *deltaCache) compute(have uint64, doc *rudderv1.Document) *rudderv1.DocumentDelta {
	for _, e := range c.bases {
		if e.generation != have {
			continue
		}
		base := new(rudderv1.Document)
		if proto.Unmarshal(e.raw, base) != nil {
			return nil
		}
		if d := document.Diff(base, doc); proto.Size(d) < proto.Size(doc) {
			return d
		}
	}
	return nil
}
