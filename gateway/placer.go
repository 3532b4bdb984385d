package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	placeInterval = 250 * time.Millisecond // between two rounds
	// permitLife is how long an agent may take a permit, on its own clock. It
	// is below the margin by which a lease ends earlier for its holder, so no
	// permit outlives the lease it was given under.
	permitLife = time.Second
	placeTime  = time.Second // for one call to an agent
	// silence is how long after its last report a connected agent is still
	// believed; agents report at least once per heartbeat.
	silence = 12 * time.Second
)

// placer permits orders to the agents of its own data centre while this
// gateway holds the data centre's lease. Only its loop uses its fields, except
// under mu.
type placer struct {
	g        *Gateway
	presence *placement.FlapDamper
	tenure   *tenure

	generation uint64 // of assigned
	live       map[string]bool
	assigned   placement.Assignments

	mu        sync.Mutex
	grants    placement.Grants
	lease     metastore.LeaseID    // held in the latest round; 0: none
	decided   map[string]word      // the reports that the latest round went by
	confirmed map[string]word      // what agents said when asked under the present lease
	notBefore map[string]time.Time // when to permit to an endpoint again
}

// word names one report of an agent.
type word struct {
	incarnation string
	holds       uint64
	reportMS    int64 // the agent's clock when it made the report
	clockMS     int64 // and when the report was looked at, at least
}

func newPlacer(g *Gateway) *placer {
	p := &placer{g: g, presence: placement.NewFlapDamper(), grants: make(placement.Grants), notBefore: make(map[string]time.Time)}
	p.tenure = newTenure(g)
	return p
}

func (p *placer) loop() {
	tick := time.NewTicker(placeInterval)
	defer tick.Stop()
	defer p.tenure.release()
	for {
		p.round()
		select {
		case <-tick.C:
		case <-p.g.ctx.Done():
			return
		}
	}
}

// round looks at the data centre once and permits what may be done now.
func (p *placer) round() {
	now := time.Now()
	doc := p.g.deps.Keeper.Document()
	links := p.own()
	if p.g.draining.Load() {
		p.tenure.release()
		return
	}
	if doc.Generation == 0 || len(links) == 0 {
		p.tenure.rest(now)
		return
	}
	steps := p.steps(doc, links, now)
	if len(steps) == 0 {
		p.tenure.rest(now)
		return
	}
	switch p.tenure.claim(now) {
	case holding:
		if p.confirm(links) {
			p.permitAll(steps, doc.Generation, now)
		}
	case platformAway:
		p.permitAll(additions(steps), doc.Generation, now)
	case notHolding:
	}
}

// own returns the links to the model engines of this gateway's data centre.
func (p *placer) own() map[string]*link {
	out := make(map[string]*link)
	for _, l := range p.g.links.all() {
		if l.declared.DataCentre == p.g.cfg.DataCentre && l.declared.Service == "" {
			out[l.declared.Name] = l
		}
	}
	return out
}

// steps returns what placement asks for on the present view.
func (p *placer) steps(doc *rudderv1.Document, links map[string]*link, now time.Time) []placement.PlannedOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lease := p.tenure.held(now); lease != p.lease {
		p.lease, p.confirmed = lease, nil
	}
	p.forget(links)
	view, live := p.view(links, now)
	p.assign(doc, live)
	steps, _ := placement.Next(doc, p.g.cfg.DataCentre, p.assigned, view)
	return steps
}

// view returns what the endpoints hold by the reports that count, as if every
// permit had been taken, and which endpoints are live; the caller holds mu.
func (p *placer) view(links map[string]*link, now time.Time) (placement.View, map[string]bool) {
	p.decided = make(map[string]word, len(links))
	view, live := make(placement.View, len(links)), make(map[string]bool, len(links))
	for name, l := range links {
		h, w, ok := l.held(now)
		live[name] = p.presence.Observe(name, ok, now)
		if !ok {
			continue
		}
		p.grants.DropReported(name, w.incarnation, w.holds, w.reportMS)
		if p.believed(name, w) {
			view[name], p.decided[name] = h, w
		}
	}
	p.grants.Apply(view)
	return view, live
}

// believed tells whether a report counts: under a lease only one that is not
// older than the agent's answer to this holder, for an earlier holder may have
// permitted something after it.
func (p *placer) believed(name string, w word) bool {
	if p.lease == 0 || p.confirmed == nil {
		return true
	}
	c, ok := p.confirmed[name]
	return ok && (c.incarnation != w.incarnation || w.holds >= c.holds)
}

func (p *placer) forget(links map[string]*link) {
	declared := make(map[string]bool, len(links))
	for name := range links {
		declared[name] = true
	}
	p.presence.Forget(declared)
	for name := range p.grants {
		if !declared[name] {
			delete(p.grants, name)
		}
	}
	for name := range p.notBefore {
		if !declared[name] {
			delete(p.notBefore, name)
		}
	}
}

// assign computes the assignments anew when the document or the live
// endpoints changed.
func (p *placer) assign(doc *rudderv1.Document, live map[string]bool) {
	same := p.assigned != nil && p.generation == doc.Generation && len(live) == len(p.live)
	for name, is := range live {
		same = same && p.live[name] == is
	}
	if same {
		return
	}
	p.generation, p.live = doc.Generation, live
	p.assigned = placement.AssignIn(doc, p.g.cfg.DataCentre, live)
}

// additions are the steps that take nothing away; they need no lease.
func additions(steps []placement.PlannedOrder) []placement.PlannedOrder {
	var out []placement.PlannedOrder
	for _, s := range steps {
		if s.Order.Kind == engine.OrderLoadModel || s.Order.Kind == engine.OrderLoadAdapter {
			out = append(out, s)
		}
	}
	return out
}

// confirm asks every reachable agent for its report, once under each lease. It
// returns true when that was done before; otherwise the steps have to be
// decided anew.
func (p *placer) confirm(links map[string]*link) bool {
	p.mu.Lock()
	first := p.confirmed == nil
	var ask []*link
	for name, l := range links {
		if _, ok := p.confirmed[name]; !ok && l.reachable() {
			ask = append(ask, l)
		}
	}
	if first {
		p.confirmed = make(map[string]word)
	}
	p.mu.Unlock()
	p.each(ask, func(ctx context.Context, l *link) {
		resp, err := l.client.Place(ctx, connect.NewRequest(&rudderv1.PlaceRequest{Gateway: p.g.cfg.Name}))
		if err != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.confirmed[l.declared.Name] = word{incarnation: resp.Msg.Report.GetIncarnation(), holds: resp.Msg.Report.GetHolds()}
	})
	return len(ask) == 0 && !first
}

// each calls f for all links at once and waits.
func (p *placer) each(links []*link, f func(context.Context, *link)) {
	ctx, cancel := context.WithTimeout(p.g.ctx, placeTime)
	defer cancel()
	var calls sync.WaitGroup
	for _, l := range links {
		calls.Go(func() { f(ctx, l) })
	}
	calls.Wait()
}

// permitAll sends the permits for the steps decided at the given time.
func (p *placer) permitAll(steps []placement.PlannedOrder, generation uint64, decided time.Time) {
	var links []*link
	requests := make(map[*link]*rudderv1.PlaceRequest)
	own := p.own()
	p.mu.Lock()
	for _, s := range steps {
		l := own[s.Endpoint]
		if l == nil || decided.Before(p.notBefore[s.Endpoint]) {
			continue
		}
		req := p.request(s.Order, generation, p.decided[s.Endpoint])
		p.grants[s.Endpoint] = placement.Grant{Order: s.Order, Incarnation: req.Incarnation, Holds: req.Holds, ExpiresMS: req.ExpiresAgentMs}
		links = append(links, l)
		requests[l] = req
	}
	p.mu.Unlock()
	p.each(links, func(ctx context.Context, l *link) { p.permit(ctx, l, requests[l]) })
}

// request makes the permit of an order that was decided on the given report.
func (p *placer) request(o engine.Order, generation uint64, w word) *rudderv1.PlaceRequest {
	return &rudderv1.PlaceRequest{
		Gateway: p.g.cfg.Name, Incarnation: w.incarnation, Generation: generation, Holds: w.holds,
		ExpiresAgentMs: w.clockMS + permitLife.Milliseconds(),
		Kind:           string(o.Kind), Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role,
	}
}

// permit sends one permit. A permit whose answer is lost counts as taken until
// a report tells.
func (p *placer) permit(ctx context.Context, l *link, req *rudderv1.PlaceRequest) {
	resp, err := l.client.Place(ctx, connect.NewRequest(req))
	p.g.meter.permit(req.Kind, resp, err)
	if err != nil {
		p.g.deps.Log.Warn("The answer to a permit was lost.", "endpoint", l.declared.Name, "err", err)
		return
	}
	if resp.Msg.Accepted {
		p.g.deps.Log.Info("Permitted an order.", "endpoint", l.declared.Name, "kind", req.Kind, "model", req.Model, "version", req.Version, "adapter", req.Adapter)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.grants, l.declared.Name)
	wait := max(time.Duration(resp.Msg.RetryAfterMs)*time.Millisecond, placeInterval)
	p.notBefore[l.declared.Name] = time.Now().Add(wait)
	if result.Code(resp.Msg.Code) != result.BreakerOpen {
		p.g.deps.Log.Debug("A permit was refused.", "endpoint", l.declared.Name, "code", resp.Msg.Code, "detail", resp.Msg.Detail)
	}
}
