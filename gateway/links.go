package gateway

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// links holds one link per declared endpoint and follows the document.
type links struct {
	g          *Gateway
	offerSlots chan struct{} // one token for each offer in progress
	fetchMu    sync.Mutex    // held while an agent is queried for a newer document

	mu      sync.RWMutex
	byName  map[string]*link
	byAddr  map[string]*link
	inOrder []*link  // in the order of the document
	names   []string // endpoint names, parallel to inOrder
}

func newLinks(g *Gateway) *links {
	return &links{g: g, offerSlots: make(chan struct{}, maxConcurrentOffers), byName: make(map[string]*link), byAddr: make(map[string]*link)}
}

// loop keeps the links in step with the endpoints of the current document.
func (ls *links) loop() {
	for {
		changed := ls.g.deps.Tracker.Changed()
		ls.apply(ls.g.deps.Tracker.Document())
		select {
		case <-changed:
		case <-ls.g.ctx.Done():
			ls.apply(&rudderv1.Document{})
			return
		}
	}
}

// apply opens and closes links to match the document's endpoints.
func (ls *links) apply(doc *rudderv1.Document) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.g.members.applyDeclaration(doc)
	old := ls.byName
	ls.byName = make(map[string]*link, len(doc.Endpoints))
	ls.byAddr = make(map[string]*link, len(doc.Endpoints))
	ls.inOrder, ls.names = nil, nil
	for _, e := range doc.Endpoints {
		l, ok := old[e.Name]
		if ok && proto.Equal(l.declared, e) {
			delete(old, e.Name)
		} else {
			l = ls.open(e)
		}
		ls.byName[e.Name] = l
		ls.byAddr[e.AgentAddress] = l
		ls.inOrder = append(ls.inOrder, l)
		ls.names = append(ls.names, e.Name)
	}
	for _, l := range old {
		l.stop()
	}
}

func (ls *links) open(e *rudderv1.Endpoint) *link {
	l := newLink(ls.g, e)
	ctx, cancel := context.WithCancel(ls.g.ctx)
	l.stop = cancel
	ls.g.background.Go(func() { l.run(ctx) })
	ls.g.background.Go(func() { l.offerLoop(ctx) })
	return l
}

// resubscribe makes the links that are not connected try again at once.
func (ls *links) resubscribe() {
	for _, l := range ls.all() {
		l.resubscribe()
	}
}

// all returns the links in the order of the document.
func (ls *links) all() []*link {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return ls.inOrder
}

// namesAndLinks returns the endpoint names and their links as parallel slices.
func (ls *links) namesAndLinks() ([]string, []*link) {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return ls.names, ls.inOrder
}

// candidates returns the candidates for routing and their links as parallel
// slices.
func (ls *links) candidates(now time.Time) ([]routing.Candidate, []*link) {
	names, inOrder := ls.namesAndLinks()
	candidates := make([]routing.Candidate, len(inOrder))
	for i, v := range ls.g.members.verdicts(names, now) {
		candidates[i] = inOrder[i].candidate(v, now)
	}
	return candidates, inOrder
}
