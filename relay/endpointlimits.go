package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/ratelimit"
)

// endpointLimits is what this gateway knows of how many requests a second endpoints take, and who
// grants sends to these. Its methods may be called concurrently.
type endpointLimits struct {
	// inForce holds the limits that are believed, by endpoint. It is replaced, never changed: every choice reads it.
	inForce atomic.Pointer[map[string]float64]
	self    string // name of this gateway

	mu          sync.Mutex
	known       *ratelimit.Known
	votes       *ratelimit.Votes
	coordinator *ratelimit.Coordinator
	// chosen is who coordinates by the newest look.
	chosen string
	// repeated is when everything was told last, and newcomer set when a gateway was heard since that votes for nobody:
	// it may know of no limit.
	repeated time.Time
	newcomer bool
	// gateways is how many the own cell has, this one included, as far as any list or word tells.
	gateways int
	// probed is when the newest probe was offered that was not taken, by service.
	probed map[string]time.Time
}

func newEndpointLimits(self string) *endpointLimits {
	l := &endpointLimits{
		self:  self,
		known: ratelimit.NewKnown(), votes: ratelimit.NewVotes(self), coordinator: ratelimit.NewCoordinator(),
		gateways: 1, probed: make(map[string]time.Time),
	}
	l.publish()
	return l
}

// publish puts what is known in force. The caller holds the lock, or nobody else knows l yet.
func (l *endpointLimits) publish() {
	limits := l.known.Limits()
	l.inForce.Store(&limits)
}

// limit returns the limit that an endpoint has named; ok is false where it has none.
func (l *endpointLimits) limit(endpoint string) (perSecond float64, ok bool) {
	perSecond, ok = (*l.inForce.Load())[endpoint]
	return perSecond, ok
}

// any reports whether an endpoint has a limit.
func (l *endpointLimits) any() bool { return len(*l.inForce.Load()) > 0 }

// logged returns an endpoint's limit as it stands in logs: -1 where it has none.
func (l *endpointLimits) logged(endpoint string) float64 {
	if perSecond, ok := l.limit(endpoint); ok {
		return perSecond
	}
	return -1
}

func (l *endpointLimits) version(endpoint string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Version(endpoint)
}

func (l *endpointLimits) answered(e catalog.Endpoint, sent uint64, n ratelimit.Named, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.known.Answered(e.ID, e.Born, sent, n, now)
	if changed {
		l.publish()
	}
	return changed
}

func (l *endpointLimits) forget(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.Forget(endpoint)
	l.coordinator.Forget(endpoint)
	l.publish()
}

// outdate forgets whom others follow: the host was suspended.
func (l *endpointLimits) outdate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.votes.Clear()
}

// choose returns who coordinates, and whether that has changed since the last look; empty: nobody has to.
func (l *endpointLimits) choose(leaving bool, now time.Time) (coordinator string, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.any() {
		coordinator = l.votes.Choose(leaving, now)
	} else if l.chosen != "" {
		l.votes.Reset()
	}
	changed = coordinator != l.chosen
	if changed {
		l.coordinator.Reset()
	}
	l.chosen = coordinator
	return coordinator, changed
}

// coordinatorName returns who coordinates by the newest look.
func (l *endpointLimits) coordinatorName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chosen
}

// gatewayCount returns how many gateways the own cell has, this one included.
func (l *endpointLimits) gatewayCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gateways
}

const (
	// repeatEvery is how often the coordinator tells everything again, in case that somebody missed it,
	// newcomerEvery the same while there is a gateway that may know nothing of it.
	repeatEvery   = 8 * time.Second
	newcomerEvery = time.Second
)

// fill adds to a word for the own cell what this gateway knows of limits; regular is set for one that is sent in
// any case.
func (l *endpointLimits) fill(w *peers.Word, regular bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Limits = l.known.Tell(regular && l.mustRepeat(now), now)
	if l.chosen != "" && !w.Leaving {
		w.Coordinator = l.votes.Own(now)
	}
}

// mustRepeat reports whether it is time to tell everything again, and notes that it is told. The caller holds the lock.
func (l *endpointLimits) mustRepeat(now time.Time) bool {
	every := repeatEvery
	if l.newcomer {
		every = newcomerEvery
	}
	if l.chosen != l.self || now.Sub(l.repeated) < every {
		return false
	}
	l.repeated, l.newcomer = now, false
	return true
}

// heard takes in what a gateway of the own cell tells; it returns what that changes.
func (l *endpointLimits) heard(w peers.Word, now time.Time) (news map[string]ratelimit.Named) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vote := w.Coordinator
	if w.Leaving {
		vote = 0
	}
	l.votes.Heard(w.From, vote, now)
	l.newcomer = l.newcomer || vote == 0 && !w.Leaving
	for id, n := range w.Limits {
		if !l.known.Heard(id, n, now) {
			continue
		}
		if news == nil {
			news = make(map[string]ratelimit.Named)
		}
		news[id] = n.Named
	}
	if len(news) > 0 {
		l.publish()
	}
	return news
}

// keep drops limits of other cells' endpoints that were not named lately, and notes how many gateways the own cell has.
func (l *endpointLimits) keep(gateways int, own func(endpoint string) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = gateways
	if l.known.Expire(own, now) {
		l.publish()
	}
}

// try decides about a request that waits at this gateway; ok is false when this one does not coordinate.
func (l *endpointLimits) try(a *ratelimit.Ask, now time.Time) (answer ratelimit.Answer, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.votes.Share(l.gateways, now)
	if share == 0 {
		return answer, false
	}
	return l.coordinator.Try(a, func(id string) (float64, bool) {
		perSecond, limited := l.limit(id)
		return share * perSecond, limited
	}, now), true
}

func (l *endpointLimits) leave(a *ratelimit.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinator.Leave(a)
}

// mayProbe reports whether a request may be offered to a service's endpoints with limits although others have
// room. Others may not meanwhile.
func (l *endpointLimits) mayProbe(service string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.probed[service]) < ratelimit.ProbeEvery {
		return false
	}
	l.probed[service] = now
	return true
}

// probeTaken lets the next probe follow at once: there may be more endpoints from which nothing was heard.
func (l *endpointLimits) probeTaken(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.probed, service)
}

// noteLimit takes in what an answer says of its endpoint's limit, and tells the other gateways at once.
func (g *Gateway) noteLimit(e catalog.Endpoint, sent uint64, named ratelimit.Named, request string) {
	now := time.Now()
	if !g.limits.answered(e, sent, named, now) {
		return
	}
	g.logLimit(e.ID, named, "answer", request)
	g.chooseCoordinator(now)
	g.picker.callPeers()
}

// heardLimits takes in what a peer tells of limits. Of other cells' endpoints those learn by themselves that send there.
func (g *Gateway) heardLimits(w peers.Word) {
	nothing := len(w.Limits) == 0 && w.Coordinator == 0 && !g.limits.any()
	if nothing || g.fromAfar(w) { // most words: hundreds of gateways hear thousands of them a second
		return
	}
	now := time.Now()
	w.Limits = g.ofThisLife(w.Limits)
	news := g.limits.heard(w, now)
	for id, named := range news {
		g.logLimit(id, named, w.From, "")
	}
	if changed := g.chooseCoordinator(now); changed || len(news) > 0 {
		g.picker.callPeers()
	}
}

// ofThisLife returns the notices of endpoints' lives that this gateway knows. Others may not have seen yet that one has started again, or
// this one may not; what concerns the new life is told for longer than that takes.
func (g *Gateway) ofThisLife(notices map[string]ratelimit.Notice) map[string]ratelimit.Notice {
	var out map[string]ratelimit.Notice
	for id, n := range notices {
		if e, ok := g.state.Endpoint(id); !ok || e.Born != n.Born {
			continue
		}
		if out == nil {
			out = make(map[string]ratelimit.Notice)
		}
		out[id] = n
	}
	return out
}

// chooseCoordinator looks who grants sends to endpoints with limits; it reports whether that has changed.
func (g *Gateway) chooseCoordinator(now time.Time) bool {
	name, changed := g.limits.choose(g.leaving.Load(), now)
	if changed {
		g.deps.Log.Logger().Info("Coordinator of endpoints' limits changed.", "coordinator", name)
	}
	return changed
}

// keepLimits is called before each word: it lets old beliefs lapse.
func (g *Gateway) keepLimits(a audience, now time.Time) {
	g.limits.keep(len(a.near)+1, func(id string) bool {
		c, ok := g.state.CellOf(id)
		return ok && c == a.home
	}, now)
	if g.chooseCoordinator(now) {
		g.picker.callPeers()
	}
}

// logLimit logs what is believed of an endpoint's limit from now on. source is an answer or the name of a gateway.
func (g *Gateway) logLimit(endpoint string, n ratelimit.Named, source, request string) {
	if !n.Is {
		g.meter.limitsEnded.Inc()
		g.deps.Log.Logger().Info("Endpoint limits requests no longer.", "endpoint", endpoint, "from", source, "request", request)
		return
	}
	g.meter.limitsNamed.Inc()
	g.deps.Log.Logger().Info("Endpoint limits requests.", "endpoint", endpoint, "per_second", n.PerSecond, "from", source, "request", request)
}
