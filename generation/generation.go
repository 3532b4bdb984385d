// Package generation keeps the highest accepted configuration a process has
// seen. A keeper never goes back: an older document, from wherever it comes,
// is ignored and counted.
package generation

import (
	"sync"
	"time"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/rudderv1"
)

// Keeper holds one process's accepted document. It is safe for concurrent use;
// the documents it returns must not be changed.
type Keeper struct {
	mu       sync.Mutex
	doc      *rudderv1.Document
	since    time.Time     // when the document came into force here
	changed  chan struct{} // closed and replaced when the document advances
	stale    int           // offers that were older than the document
	diverged int           // offers of the same generation with other content

	past past
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
		k.advance(doc)
		return Newer
	case doc.Generation < k.doc.Generation:
		k.stale++
		return Older
	case doc.PlanId != k.doc.PlanId:
		k.diverged++
		return Diverge
	default:
		return Same
	}
}

// advance puts a newer document into force; the caller holds mu.
func (k *Keeper) advance(doc *rudderv1.Document) {
	k.past.add(k.doc)
	k.doc = doc
	k.since = time.Now()
	close(k.changed)
	k.changed = make(chan struct{})
}

// Document returns the current document, its generation 0 before the first.
func (k *Keeper) Document() *rudderv1.Document {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.doc
}

// Generation returns the current generation.
func (k *Keeper) Generation() uint64 { return k.Document().GetGeneration() }

// Since returns when the current document came into force in this process;
// zero before the first.
func (k *Keeper) Since() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.since
}

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

// Diverged returns how many documents were offered that have the current
// generation and another content.
func (k *Keeper) Diverged() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.diverged
}

// Decode reads a document as stored in the platform's service. Fields of a
// newer release are kept and written back by Encode.
func Decode(b []byte) (*rudderv1.Document, error) { return document.Decode(b) }

// Encode returns the stored form of a document.
func Encode(doc *rudderv1.Document) ([]byte, error) { return document.Encode(doc) }
