package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/upstream"
)

const (
	// probeTime bounds the question whether an endpoint's process still runs. The host of
	// one that crashed says so within a round trip, which a busy gateway on a fraction of a
	// core sees later; the stream that broke waits for it before it goes on elsewhere.
	probeTime = 300 * time.Millisecond
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

// hasCrashed tells whether an endpoint whose exchange broke has crashed. One question at a
// time is under way to each endpoint.
func (g *Gateway) hasCrashed(e catalog.Endpoint) bool {
	p, asks := g.crashProbes.join(e.ID, time.Now())
	if !asks {
		<-p.done
		return p.listens == upstream.NotRunning
	}
	ctx, cancel := context.WithTimeout(g.ctx, probeTime)
	defer cancel()
	p.listens = g.deps.Endpoints.Probe(ctx, e.ID, e.Address)
	p.ended = time.Now()
	close(p.done)
	g.meter.probes.Inc()
	g.crashProbes.forgetOld(p.ended)
	if p.listens != upstream.NotRunning {
		return false
	}
	g.meter.crashes.Inc()
	g.deps.Log.Logger().Warn("Endpoint crashed.", "endpoint", e.ID, "born", e.Born, "address", e.Address)
	return true
}

// join returns the newest question to an endpoint if its answer holds, or a new one, which
// the caller has to ask.
func (c *crashProbes) join(endpoint string, now time.Time) (p *crashProbe, asks bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.newest[endpoint]; p != nil && p.holds(now) {
		return p, false
	}
	p = &crashProbe{done: make(chan struct{})}
	c.newest[endpoint] = p
	return p, true
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

// mayHaveCrashed reports whether an exchange that broke in this way may have lost its
// endpoint's process. A host that gives no sign of itself does not answer the question either:
// its streams would go on probeTime later for nothing.
func mayHaveCrashed(err error) bool {
	var failure net.Error
	return !errors.As(err, &failure) || !failure.Timeout()
}

// broke takes in that the exchange with an endpoint broke before its answer was whole, and
// nobody on this side ended it.
func (x *exchange) broke(at *place) {
	crashed := mayHaveCrashed(x.lastError) && x.g.hasCrashed(at.endpoint)
	x.g.meter.broken.Inc()
	x.g.deps.Log.Request("Exchange broke.", "request", x.call.ID, "fingerprint", x.identity(), "endpoint", at.endpoint.ID,
		"begun", x.begun, "crashed", crashed, "in_flight_ms", time.Since(at.chosen).Milliseconds(), "err", x.lastError)
	// An endpoint that was leaving ended as it said, whatever was still on it.
	if _, inUse := x.g.state.Endpoint(at.endpoint.ID); crashed && inUse {
		x.crashed(at)
	}
}
