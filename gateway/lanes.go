package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/routing"
)

// laneEvery is how often the lanes for long work are chosen anew.
const laneEvery = time.Second

// lanes holds the endpoints that take long work, chosen from the share of long
// work that this gateway routed lately.
type lanes struct {
	mu      sync.Mutex
	share   routing.LongShare
	current atomic.Pointer[map[string]bool]
}

// add counts one routed request.
func (l *lanes) add(class routing.Class, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share.Add(class, work, time.Now())
}

// refresh chooses the lanes for a view.
func (l *lanes) refresh(view []routing.Candidate) {
	l.mu.Lock()
	share := l.share.Value(time.Now())
	l.mu.Unlock()
	m := routing.Lanes(view, share)
	l.current.Store(&m)
}

// has reports whether the endpoint takes long work.
func (l *lanes) has(endpoint string) bool {
	m := l.current.Load()
	return m != nil && (*m)[endpoint]
}

// laneLoop keeps the lanes up to date.
func (g *Gateway) laneLoop() {
	tick := time.NewTicker(laneEvery)
	defer tick.Stop()
	for {
		view, _ := g.links.view(time.Now())
		g.lanes.refresh(view)
		select {
		case <-tick.C:
		case <-g.ctx.Done():
			return
		}
	}
}
