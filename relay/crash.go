package relay

import (
	"context"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/crashprobe"
	"github.com/micarudder/micarudder/quarantine"
)

// probeTimeout bounds the probe whether an endpoint's process still runs. The host of a crashed process
// answers within a round trip, which a busy gateway on a fraction of a core sees later. A broken stream
// waits for the first probe before it resumes elsewhere.
const probeTimeout = 300 * time.Millisecond

// brokenExchange is an exchange that its endpoint broke before the response was complete.
type brokenExchange struct {
	request, workspace, route string
	subjects                  *quarantine.Subjects
	endpoint                  catalog.Endpoint
	inUse                     bool // whether the endpoint accepted requests, so that its end was not announced
	begun                     bool // whether a part of the response had arrived
	at                        time.Time
}

// probeSeries is the series of probes of one incarnation of an endpoint.
type probeSeries = crashprobe.Running[quarantine.Incarnation, brokenExchange]

// hasCrashed reports whether the endpoint of a broken exchange is found to have crashed at once. A crash that
// is found later, by a repeated probe or after ctx has ended, is recorded then; the exchange does not wait for it.
func (g *Gateway) hasCrashed(ctx context.Context, b brokenExchange) bool {
	incarnation := quarantine.IncarnationOf(b.endpoint.ID, b.endpoint.Born)
	s, created, state, round := g.crashProbes.Add(incarnation, b, b.at)
	if created {
		g.background.Go(func() { g.runProbes(s, b.endpoint) })
	}
	switch state {
	case crashprobe.Crashed:
		g.recordCrash(b)
		return true
	case crashprobe.Deferred:
		return false
	}
	select {
	case <-round.Done:
		return round.Refused
	case <-ctx.Done():
		return false
	}
}

// runProbes probes the endpoint of a series until all of its exchanges are decided.
func (g *Gateway) runProbes(s *probeSeries, e catalog.Endpoint) {
	for {
		wait, action := g.crashProbes.Next(s, time.Now())
		switch action {
		case crashprobe.End:
			return
		case crashprobe.Probe:
			g.probe(s, e)
			continue
		}
		select {
		case <-time.After(wait):
		case <-s.Added:
		case <-g.ctx.Done():
			return
		}
	}
}

// probe runs one probe of a series and records the crash of the endpoint for the exchanges that it broke.
func (g *Gateway) probe(s *probeSeries, e catalog.Endpoint) {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	result := g.deps.Endpoints.Probe(ctx, e.Address)
	g.meter.probes.Inc()
	broken, round := g.crashProbes.Finish(s, result, time.Now())
	if round.Refused {
		g.meter.crashes.Inc()
		g.deps.Log.Logger().Warn("Endpoint crashed.", "endpoint", e.ID, "born", e.Born, "address", e.Address, "exchanges", len(broken))
	}
	for _, b := range broken {
		g.recordCrash(b)
	}
	close(round.Done)
}

// handleBrokenExchange handles an exchange that its endpoint broke before the response was complete.
func (x *exchange) handleBrokenExchange(pl *placement) {
	_, inUse := x.g.state.Endpoint(pl.endpoint.ID)
	subjects := x.quarantineSubjects()
	subjects.All() // computes them before another goroutine reads them
	b := brokenExchange{request: x.call.ID, workspace: subjects.Request.Workspace, route: x.route.Name,
		subjects: subjects, endpoint: pl.endpoint, inUse: inUse, begun: pl.responseBegun, at: time.Now()}
	crashed := crashprobe.MayHaveCrashed(x.lastError) && x.g.hasCrashed(pl.ctx, b)
	x.g.meter.brokenExchanges.Inc()
	x.g.deps.Log.Request("Exchange broke.", "request", b.request, "fingerprint", subjects.Fingerprint(), "endpoint", b.endpoint.ID,
		"parts", x.call.SharedParts, "begun", b.begun, "crashed", crashed, "in_flight_ms", time.Since(pl.chosenAt).Milliseconds(), "err", x.lastError)
}
