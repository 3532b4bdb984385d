package generation

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/rudderv1"
)

// Remembered is the number of documents before the current one from which a
// keeper can make a delta.
const Remembered = 4

// Update returns what brings a process at generation have up to the current
// document: a delta when its document is remembered and the delta is the
// shorter form, the whole document otherwise. It returns nil when the process
// is not behind. The returned message is shared and must not be changed.
func (k *Keeper) Update(have uint64) *rudderv1.OfferRequest {
	doc := k.Document()
	if have >= doc.Generation {
		return nil
	}
	if d := k.past.delta(have, doc); d != nil {
		return &rudderv1.OfferRequest{Delta: d}
	}
	return &rudderv1.OfferRequest{Document: doc}
}

// Take hands the keeper what another process offers in either form. The error
// is document.ErrBase when a newer document cannot be made from the delta; the
// sender must then give the whole one.
func (k *Keeper) Take(o *rudderv1.OfferRequest) (Verdict, error) {
	if o.GetDelta() == nil {
		return k.Offer(o.GetDocument()), nil
	}
	next := o.Delta.GetChanged()
	current := k.Document()
	if next.GetGeneration() <= current.Generation {
		return k.Offer(next), nil // never accepted: generations only rise
	}
	doc, err := document.Apply(current, o.Delta)
	if err != nil {
		return Same, err
	}
	return k.Offer(doc), nil
}

// Offered returns the generation that an offer brings, or that its sender has.
func Offered(o *rudderv1.OfferRequest) uint64 {
	switch {
	case o.GetDocument() != nil:
		return o.Document.Generation
	case o.GetDelta() != nil:
		return o.Delta.GetChanged().GetGeneration()
	default:
		return o.GetHave()
	}
}

// past keeps the latest earlier documents in their encoded form, which takes
// a fraction of the memory, and the deltas made from them.
type past struct {
	mu     sync.Mutex
	docs   []earlier // newest first, at most Remembered
	target *rudderv1.Document
	deltas map[uint64]*rudderv1.DocumentDelta // to target, by base; nil: the whole is shorter
}

type earlier struct {
	generation uint64
	raw        []byte
}

// add remembers a document that is being replaced.
func (p *past) add(doc *rudderv1.Document) {
	if doc.Generation == 0 {
		return
	}
	raw, err := proto.Marshal(doc)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.docs = append([]earlier{{doc.Generation, raw}}, p.docs[:min(len(p.docs), Remembered-1)]...)
}

// delta returns what leads from generation have to doc, or nil.
func (p *past) delta(have uint64, doc *rudderv1.Document) *rudderv1.DocumentDelta {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != doc {
		p.target, p.deltas = doc, make(map[uint64]*rudderv1.DocumentDelta)
	}
	d, made := p.deltas[have]
	if !made {
		d = p.make(have, doc)
		p.deltas[have] = d
	}
	return d
}

func (p *past) make(have uint64, doc *rudderv1.Document) *rudderv1.DocumentDelta {
	for _, e := range p.docs {
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
