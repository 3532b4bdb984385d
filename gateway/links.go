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
	g      *Gateway
	offers chan struct{} // one for each offer in progress
	asking sync.Mutex    // held while an agent is asked for a newer document

	mu     sync.RWMutex
	byName map[string]*link
	byAddr map[string]*link
	order  []*link  // in the document's order
	names  []string // of order
}

func newLinks(g *Gateway) *links {
	return &links{g: g, offers: make(chan struct{}, offersAtOnce), byName: make(map[string]*link), byAddr: make(map[string]*link)}
}

// loop keeps the links equal to the current document's endpoints.
func (ls *links) loop() {
	for {
		changed := ls.g.deps.Keeper.Changed()
		ls.apply(ls.g.deps.Keeper.Document())
		select {
		case <-changed:
		case <-ls.g.ctx.Done():
			ls.apply(&rudderv1.Document{})
			return
		}
	}
}

// apply opens and closes links for the document's endpoints.
func (ls *links) apply(doc *rudderv1.Document) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.g.members.declare(doc)
	old := ls.byName
	ls.byName = make(map[string]*link, len(doc.Endpoints))
	ls.byAddr = make(map[string]*link, len(doc.Endpoints))
	ls.order, ls.names = nil, nil
	for _, e := range doc.Endpoints {
		l, ok := old[e.Name]
		if ok && proto.Equal(l.declared, e) {
			delete(old, e.Name)
		} else {
			l = ls.open(e)
		}
		ls.byName[e.Name] = l
		ls.byAddr[e.AgentAddress] = l
		ls.order = append(ls.order, l)
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
	ls.g.loops.Go(func() { l.run(ctx) })
	ls.g.loops.Go(func() { l.offerLoop(ctx) })
	return l
}

// all returns the links in the document's order.
func (ls *links) all() []*link {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return ls.order
}

// named returns the endpoints' names with their links, index by index.
func (ls *links) named() ([]string, []*link) {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return ls.names, ls.order
}

// view returns the candidates with their links, index by index.
func (ls *links) view(now time.Time) ([]routing.Candidate, []*link) {
	names, order := ls.named()
	view := make([]routing.Candidate, len(order))
	for i, v := range ls.g.members.verdicts(names, now) {
		view[i] = order[i].candidate(v, now)
	}
	return view, order
}
