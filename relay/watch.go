package relay

import (
	"context"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/upstream"
)

const (
	// watchTick is how often this gateway looks which endpoints it has to ask.
	watchTick = 100 * time.Millisecond
	// othersSlowEvery is the time between two questions to an endpoint while another one is
	// slow.
	othersSlowEvery = time.Second
	// slowEvery is the time between two questions to an endpoint that is or may be slow,
	// failingEvery to one at which somebody failed.
	slowEvery    = 600 * time.Millisecond
	failingEvery = 300 * time.Millisecond
	// reportTime bounds a question; it takes one round trip.
	reportTime = 400 * time.Millisecond
	// regroupEvery is how often this gateway works out which endpoints it watches.
	regroupEvery = time.Second
)

// watched is an endpoint that this gateway asks about itself.
type watched struct {
	catalog.Endpoint
	first bool // else it looks only when somebody failed there
	// service is the endpoint's. Plain services do not tell of themselves: they are asked
	// whether they are there.
	service catalog.Service
	asked   time.Time
}

// watchEndpoints asks the endpoints of the own cell which this gateway watches how they
// are, and tells the others through its words: one gateway alone sees an endpoint too seldom to
// notice that it is slow.
func (g *Gateway) watchEndpoints() {
	if g.deps.Mesh == nil {
		return
	}
	var list map[string]*watched
	var grouped time.Time
	avoided := make(map[string]bool)
	for g.pause(watchTick) {
		now := time.Now()
		if now.Sub(grouped) >= regroupEvery {
			list, grouped = g.watchedNow(list, g.deps.Mesh.Members(now), now), now
			avoided = g.logAvoided(avoided, now)
		}
		g.askDue(list, now)
	}
}

// logAvoided logs which endpoints of the own cell are left alone because several gateways
// failed there, and which no longer are; before is what it returned last.
func (g *Gateway) logAvoided(before map[string]bool, now time.Time) map[string]bool {
	avoided := g.picker.avoided(now)
	for id, witnesses := range avoided {
		if !before[id] {
			g.deps.Log.Logger().Warn("Endpoint left alone.", "endpoint", id, "gateways", witnesses)
		}
	}
	after := make(map[string]bool, len(avoided))
	for id := range avoided {
		after[id] = true
	}
	for id := range before {
		if !after[id] {
			g.deps.Log.Logger().Info("Endpoint no longer left alone.", "endpoint", id)
		}
	}
	return after
}

// askDue asks those endpoints whose time has come.
func (g *Gateway) askDue(list map[string]*watched, now time.Time) {
	for _, e := range list {
		if g.mustAsk(e, now) {
			e.asked = now
			g.tasks.Go(func() { g.askEndpoint(e) })
		}
	}
}

// watchedNow returns the endpoints that this gateway watches among those of the members
// that it hears; before is what it returned last.
func (g *Gateway) watchedNow(before map[string]*watched, members []peers.Member, now time.Time) map[string]*watched {
	cells := g.state.Cells()
	home := cells.Of(g.config.DataCentre)
	names := []string{g.config.Name}
	lately := g.sharing.peers(now).lately
	for _, m := range members {
		if lately[m.Name] && cells.Of(m.DataCentre) == home {
			names = append(names, m.Name)
		}
	}
	watchers := health.NewWatchers(names)
	out := make(map[string]*watched)
	for _, s := range g.state.Services() {
		for _, e := range g.state.EndpointsByCell(s.Name)[home] {
			first, second := watchers.Of(e.ID)
			if first != g.config.Name && second != g.config.Name {
				continue
			}
			w := &watched{Endpoint: e, first: first == g.config.Name, service: s}
			if old := before[e.ID]; old != nil {
				w.asked = old.asked
			}
			out[e.ID] = w
		}
	}
	return out
}

// mustAsk reports whether it is time to ask an endpoint. One where no stream was late
// is left alone while none is slow: each question has its price.
func (g *Gateway) mustAsk(e *watched, now time.Time) bool {
	since := now.Sub(e.asked)
	if since < failingEvery {
		return false
	}
	switch g.picker.doubt(e.ID, now) {
	case health.Failing:
		return true
	case health.Slow:
		return e.first && e.service.Engine != nil && since >= slowEvery
	case health.OthersSlow:
		return e.first && e.service.Engine != nil && since >= othersSlowEvery
	default:
		return false
	}
}

// askEndpoint asks an endpoint about itself and takes the answer, or that there is none, as
// a sign of its health. Any answer of its own shows that it is there: health checks may be
// false either way.
func (g *Gateway) askEndpoint(e *watched) {
	question := g.question(e)
	if question == nil || !g.mayQuestion(e.Endpoint) {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, reportTime)
	defer cancel()
	g.meter.reports.Inc()
	res, err := g.do(ctx, e.Endpoint, question, ownQuestion, "")
	if err != nil {
		g.notReached(e.Endpoint, health.Unreachable, err)
		return
	}
	defer res.Body.Close()
	if g.deps.Protocol.Verdict(res) == WrongEndpoint {
		g.notReached(e.Endpoint, health.Replaced, nil)
		return
	}
	report := EndpointReport{Pace: 1}
	if e.service.Engine != nil {
		if told, ok, err := g.deps.Protocol.ReadReport(res); err != nil {
			g.deps.Log.Logger().Warn("An endpoint's report cannot be read.", "endpoint", e.ID, "err", err)
		} else if ok {
			report = told
		}
	}
	if g.picker.reported(e.ID, report, time.Now()) {
		g.deps.Log.Logger().Info("Endpoint's pace changed.", "endpoint", e.ID, "pace", report.Pace)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxReportRest)); err != nil {
		return // the connection is closed then, which is all that the rest was read for
	}
}

// report asks an endpoint with an engine about itself.
func (g *Gateway) report(ctx context.Context, e catalog.Endpoint) (r EndpointReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	g.meter.reports.Inc()
	res, err := g.do(ctx, e, g.deps.Protocol.Report(e.ID), ownQuestion, "")
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	r, ok, err := g.deps.Protocol.ReadReport(res)
	if err != nil {
		return r, err
	}
	if !ok {
		return r, trace.Errorf("endpoint %s answered %s", e.ID, res.Status)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxReportRest)) // to keep the connection
	return r, trace.Wrap(err)
}

// maxReportRest bounds what is read of an answer beyond what it says, to keep the
// connection.
const maxReportRest = 64 << 10

// question returns what to ask an endpoint; nil: there is nothing that it would answer.
func (g *Gateway) question(e *watched) *upstream.Request {
	switch {
	case e.service.Engine != nil:
		return g.deps.Protocol.Report(e.ID)
	case e.service.HealthPath != "":
		return g.deps.Protocol.HealthCheck(e.ID, e.service.HealthPath)
	default:
		return nil
	}
}

// notReached takes in that an endpoint gave no answer about itself.
func (g *Gateway) notReached(e catalog.Endpoint, o health.Outcome, err error) {
	if g.ctx.Err() != nil {
		return
	}
	if g.picker.note(e.ID, o, time.Now()) {
		g.deps.Log.Logger().Warn("Endpoint suspect.", "endpoint", e.ID, "request", "", "err", err)
	}
}
