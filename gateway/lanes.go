package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/routing"
)

// laneInterval is how often the long lane is recomputed.
const laneInterval = time.Second

// lanes holds the endpoints of the long lane, those that take long work. They
// are selected by the recent fraction of long work among the work that this
// gateway routed.
type lanes struct {
	mu        sync.Mutex
	longShare routing.LongShare
	current   atomic.Pointer[map[string]bool]
}

// recordRouted records the predicted work of a routed request.
func (l *lanes) recordRouted(class routing.Class, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longShare.Add(class, work, time.Now())
}

// refresh recomputes the long lane for the given candidates.
func (l *lanes) refresh(view []routing.Candidate) {
	l.mu.Lock()
	share := l.longShare.Value(time.Now())
	l.mu.Unlock()
	m := routing.Lanes(view, share)
	l.current.Store(&m)
}

// contains reports whether the endpoint belongs to the long lane.
func (l *lanes) contains(endpoint string) bool {
	m := l.current.Load()
	return m != nil && (*m)[endpoint]
}

// laneLoop keeps the long lane up to date.
func (g *Gateway) laneLoop() {
	tick := time.NewTicker(laneInterval)
	defer tick.Stop()
	for {
		view, _ := g.links.candidates(time.Now())
		g.lanes.refresh(view)
		select {
		case <-tick.C:
		case <-g.ctx.Done():
			return
		}
	}
}
