package relay

import (
	"context"
	"sync"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/upstream"
)

const (
	// probeTime bounds the question whether an endpoint's process still runs. The host of
	// one that crashed says so within a round trip; the stream that broke waits for it
	// before it goes on elsewhere.
	probeTime = 100 * time.Millisecond
	// probeLife is how long an answer holds for the other exchanges that broke with the
	// same endpoint: they are noticed within some milliseconds of each other, and later
	// where the gateway is busy.
	probeLife = 250 * time.Millisecond
)

// crashProbes finds out whether endpoints whose exchanges broke have crashed: an endpoint
// that is alive may have broken off a single answer.
type crashProbes struct {
	mu     sync.Mutex
	newest map[string]*crashProbe // by endpoint
}

// crashProbe is one question. Its result is set when done is closed.
type crashProbe struct {
	done    chan struct{}
	ended   time.Time
	listens upstream.Listens
}

func newCrashProbes() *crashProbes { return &crashProbes{newest: make(map[string]*crashProbe)} }

// probe tells whether the endpoint's process runs. One question at a time is under way to
// each endpoint.
func (g *Gateway) probe(e catalog.Endpoint) upstream.Listens {
	c := g.crashProbes
	c.mu.Lock()
	p := c.newest[e.ID]
	if p != nil && p.holds(time.Now()) {
		c.mu.Unlock()
		<-p.done
		return p.listens
	}
	p = &crashProbe{done: make(chan struct{})}
	c.newest[e.ID] = p
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, probeTime)
	defer cancel()
	p.listens = g.deps.Endpoints.Probe(ctx, e.ID, e.Address)
	p.ended = time.Now()
	close(p.done)
	g.meter.probes.Inc()
	if p.listens == upstream.NotRunning {
		g.meter.crashes.Inc()
		g.deps.Log.Logger().Warn("Endpoint crashed.", "endpoint", e.ID, "born", e.Born, "address", e.Address)
	}
	c.forgetOld(p.ended)
	return p.listens
}

// holds reports whether the question is under way or was answered not long ago.
func (p *crashProbe) holds(now time.Time) bool {
	select {
	case <-p.done:
		return now.Sub(p.ended) <= probeLife
	default:
		return true
	}
}

// forgetOld drops answers that no longer hold.
func (c *crashProbes) forgetOld(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.newest {
		if !p.holds(now) {
			delete(c.newest, id)
		}
	}
}

// broke takes in that the exchange with an endpoint broke before its answer was whole, and
// nobody on this side ended it.
func (x *exchange) broke(at *place) {
	listens := x.g.probe(at.endpoint)
	x.g.meter.broken.Inc()
	x.g.deps.Log.Request("Exchange broke.", "request", x.call.ID, "fingerprint", x.identity(), "endpoint", at.endpoint.ID,
		"begun", x.begun, "crashed", listens == upstream.NotRunning, "in_flight_ms", time.Since(at.chosen).Milliseconds(), "err", x.lastError)
}

// identity returns the request's fingerprint. It is worked out only where it is needed: a
// prompt of a million tokens has megabytes.
func (x *exchange) identity() quarantine.Fingerprint {
	if x.fingerprint == nil {
		r := quarantine.Request{Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body}
		if x.workspace != nil {
			r.Workspace = x.workspace.Name
		}
		f := quarantine.Identify(r)
		x.fingerprint = &f
	}
	return *x.fingerprint
}
