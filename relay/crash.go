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
	// probeTimeout bounds the probe whether an endpoint's process still runs. The host of a crashed
	// process answers within a round trip, which a busy gateway on a fraction of a core sees later.
	// A broken stream waits for the probe before it resumes elsewhere.
	probeTimeout = 300 * time.Millisecond
	// probeResultTTL is how long a probe's result is used for other exchanges that broke at the
	// same endpoint. They are noticed within milliseconds of each other, and later if the gateway
	// is busy.
	probeResultTTL = 250 * time.Millisecond
)

// crashProbes checks whether endpoints whose exchanges broke have crashed, since an endpoint that
// is alive may have broken off a single response.
type crashProbes struct {
	mu     sync.Mutex
	latest map[string]*crashProbe // by endpoint
}

// crashProbe is one probe. Its result is set when done is closed.
type crashProbe struct {
	done       chan struct{}
	finishedAt time.Time
	result     upstream.ProbeResult
}

func newCrashProbes() *crashProbes { return &crashProbes{latest: make(map[string]*crashProbe)} }

// hasCrashed reports whether an endpoint whose exchange broke has crashed. At most one probe of
// each endpoint runs at a time.
func (g *Gateway) hasCrashed(e catalog.Endpoint) bool {
	p, created := g.crashProbes.joinOrCreate(e.ID, time.Now())
	if !created {
		<-p.done
		return p.result == upstream.ProbeRefused
	}
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	p.result = g.deps.Endpoints.Probe(ctx, e.ID, e.Address)
	p.finishedAt = time.Now()
	close(p.done)
	g.meter.probes.Inc()
	g.crashProbes.removeExpired(p.finishedAt)
	if p.result != upstream.ProbeRefused {
		return false
	}
	g.meter.crashes.Inc()
	g.deps.Log.Logger().Warn("Endpoint crashed.", "endpoint", e.ID, "born", e.Born, "address", e.Address)
	return true
}

// joinOrCreate returns the newest probe of an endpoint if it is still valid, or a new one, which
// the caller must run.
func (c *crashProbes) joinOrCreate(endpoint string, now time.Time) (p *crashProbe, created bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.latest[endpoint]; p != nil && p.valid(now) {
		return p, false
	}
	p = &crashProbe{done: make(chan struct{})}
	c.latest[endpoint] = p
	return p, true
}

// valid reports whether the probe is running or ended less than probeResultTTL ago.
func (p *crashProbe) valid(now time.Time) bool {
	select {
	case <-p.done:
		return now.Sub(p.finishedAt) <= probeResultTTL
	default:
		return true
	}
}

// removeExpired removes probes whose result is no longer used.
func (c *crashProbes) removeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.latest {
		if !p.valid(now) {
			delete(c.latest, id)
		}
	}
}

// mayHaveCrashed reports whether an exchange that broke with this error may have lost its
// endpoint's process. After a timeout the answer is no: a host that does not respond does not
// answer a probe either, which would only delay the resumption of its streams by probeTimeout.
func mayHaveCrashed(err error) bool {
	var failure net.Error
	return !errors.As(err, &failure) || !failure.Timeout()
}

// handleBrokenExchange handles an exchange that its endpoint broke before the response was complete.
func (x *exchange) handleBrokenExchange(pl *placement) {
	crashed := mayHaveCrashed(x.lastError) && x.g.hasCrashed(pl.endpoint)
	x.g.meter.brokenExchanges.Inc()
	x.g.deps.Log.Request("Exchange broke.", "request", x.call.ID, "fingerprint", x.requestFingerprint(), "endpoint", pl.endpoint.ID,
		"begun", x.responseBegun, "crashed", crashed, "in_flight_ms", time.Since(pl.chosenAt).Milliseconds(), "err", x.lastError)
	// An endpoint that was draining ended as announced, whatever requests it still had.
	if _, inUse := x.g.state.Endpoint(pl.endpoint.ID); crashed && inUse {
		x.recordCrash(pl)
	}
}
