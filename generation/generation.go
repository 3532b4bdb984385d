// Package generation holds the accepted document with the highest generation that
// a process has received. The generation never decreases: an older document is
// ignored and counted, whatever its source.
package generation

import (
	"sync"
	"time"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/rudderv1"
)

// Tracker holds the accepted document of one process. It is safe for concurrent
// use. Callers must not change the documents that it returns.
type Tracker struct {
	mu       sync.Mutex
	doc      *rudderv1.Document
	since    time.Time     // when the document came into force in this process
	changed  chan struct{} // closed and replaced when the document advances
	stale    int           // number of offered documents with a lower generation
	diverged int           // number of offered documents with the same generation and another plan id

	cache deltaCache
}

// NewTracker returns a tracker with an empty document of generation 0.
func NewTracker() *Tracker {
	return &Tracker{doc: &rudderv1.Document{}, changed: make(chan struct{})}
}

// OfferResult is the result of an offer.
type OfferResult int

// The results of an offer.
const (
	Same     OfferResult = iota // the document that is held already, or no document
	Newer                       // higher generation: accepted
	Older                       // lower generation: ignored
	Diverged                    // same generation, other plan and so other content: ignored, an operator must look into it
)

// Offer compares doc with the current document and replaces that if doc has a
// higher generation.
func (k *Tracker) Offer(doc *rudderv1.Document) OfferResult {
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
		return Diverged
	default:
		return Same
	}
}

// advance replaces the current document by a newer one. The caller holds mu.
func (k *Tracker) advance(doc *rudderv1.Document) {
	k.cache.remember(k.doc)
	k.doc = doc
	k.since = time.Now()
	close(k.changed)
	k.changed = make(chan struct{})
}

// Document returns the current document. Before the first accepted one, its
// generation is 0.
func (k *Tracker) Document() *rudderv1.Document {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.doc
}

// Generation returns the current generation.
func (k *Tracker) Generation() uint64 { return k.Document().GetGeneration() }

// Since returns when the current document came into force in this process, or the
// zero time before the first one.
func (k *Tracker) Since() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.since
}

// Changed returns a channel that is closed when the current document is replaced.
// A caller that gets the channel before it calls Document misses no change.
func (k *Tracker) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// StaleOffers returns the number of offered documents with a lower generation than
// the current one.
func (k *Tracker) StaleOffers() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stale
}

// DivergedOffers returns the number of offered documents with the current generation
// and another plan id.
func (k *Tracker) DivergedOffers() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.diverged
}

// Decode decodes a document as stored in the platform's service. Fields unknown to
// this release are preserved, and Encode writes them again.
func Decode(b []byte) (*rudderv1.Document, error) { return document.Decode(b) }

// Encode returns the encoding of a document for the platform's service.
func Encode(doc *rudderv1.Document) ([]byte, error) { return document.Encode(doc) }
