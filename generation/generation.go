// Package generation keeps the highest accepted configuration a process has
// seen. A keeper never goes back: an older document, from wherever it comes,
// is ignored and counted.
package generation

import (
	"sync"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/rudderv1"
)

// Keeper holds one process's accepted document. It is safe for concurrent use;
// the documents it returns must not be changed.
type Keeper struct {
	mu      sync.Mutex
	doc     *rudderv1.Document
	changed chan struct{} // closed and replaced when the document advances
	stale   int           // offers that were older than the document
}

// NewKeeper returns a keeper at generation 0.
func NewKeeper() *Keeper {
	return &Keeper{doc: &rudderv1.Document{}, changed: make(chan struct{})}
}

// Verdict says what an offered document meant.
type Verdict int

// The verdicts on an offered document.
const (
	Same    Verdict = iota // the generation the keeper holds already
	Newer                  // accepted
	Older                  // ignored
	Diverge                // same generation, other content: ignored, an operator must look
)

// Offer hands the keeper a document.
func (k *Keeper) Offer(doc *rudderv1.Document) Verdict {
	if doc == nil {
		return Same
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case doc.Generation > k.doc.Generation:
		k.doc = doc
		close(k.changed)
		k.changed = make(chan struct{})
		return Newer
	case doc.Generation < k.doc.Generation:
		k.stale++
		return Older
	case doc.PlanId != k.doc.PlanId:
		return Diverge
	default:
		return Same
	}
}

// Document returns the current document, its generation 0 before the first.
func (k *Keeper) Document() *rudderv1.Document {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.doc
}

// Generation returns the current generation.
func (k *Keeper) Generation() uint64 { return k.Document().GetGeneration() }

// Changed returns a channel that is closed when the document advances past
// the one that Document returned before.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Stale returns how many older documents were offered.
func (k *Keeper) Stale() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stale
}

// Decode reads a document as stored in the platform's service. Fields of a
// newer release are kept and written back by Encode.
func Decode(b []byte) (*rudderv1.Document, error) { return document.Decode(b) }

// Encode returns the stored form of a document.
func Encode(doc *rudderv1.Document) ([]byte, error) { return document.Encode(doc) }
