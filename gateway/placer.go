package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	roundInterval = 250 * time.Millisecond // between two rounds
	// permitTTL is how long an agent may accept a permit, by its own clock. It
	// is shorter than the safety margin by which a lease ends earlier for its
	// holder, so no permit outlives the lease under which it was given.
	permitTTL    = time.Second
	placeTimeout = time.Second // for one call to an agent
	// maxReportAge is how long the last report of a connected agent remains
	// valid. Agents report at least once per heartbeat interval.
	maxReportAge = 12 * time.Second
)

// placer permits orders to the agents of its own data centre while this gateway
// holds the data centre's placer lease. Only its loop uses the fields that mu
// does not guard.
type placer struct {
	g          *Gateway
	flapDamper *placement.FlapDamper
	elector    *elector

	generation uint64 // for which assigned was computed
	live       map[string]bool
	assigned   placement.Assignments

	mu        sync.Mutex
	grants    placement.Grants
	leaseID   metastore.LeaseID    // held in the latest round; 0: none
	decidedOn map[string]reportID  // the reports on which the latest round was based
	confirmed map[string]reportID  // the agents' responses to the query under the current lease
	notBefore map[string]time.Time // when the endpoint may get a permit again
}

// reportID identifies one report of an agent.
type reportID struct {
	incarnation string
	holds       uint64
	reportMS    int64 // the agent's clock when it made the report
	clockMS     int64 // lower bound of the agent's clock when the report was evaluated
}

func newPlacer(g *Gateway) *placer {
	p := &placer{g: g, flapDamper: placement.NewFlapDamper(), grants: make(placement.Grants), notBefore: make(map[string]time.Time)}
	p.elector = newElector(g)
	return p
}

func (p *placer) loop() {
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	defer p.elector.release()
	for {
		p.round()
		select {
		case <-tick.C:
		case <-p.g.ctx.Done():
			return
		}
	}
}

// round evaluates the state of the data centre once and permits the orders that
// may be given now.
func (p *placer) round() {
	now := time.Now()
	doc := p.g.deps.Tracker.Document()
	links := p.ownLinks()
	if p.g.drain.Phase() >= drain.Refusing {
		p.elector.release()
		return
	}
	if doc.Generation == 0 || len(links) == 0 {
		p.elector.markIdle(now)
		return
	}
	planned := p.nextOrders(doc, links, now)
	if len(planned) == 0 {
		p.elector.markIdle(now)
		return
	}
	switch p.elector.stateOrAcquire(now) {
	case leaseHeld:
		if p.confirm(links) {
			p.permitAll(planned, doc.Generation, now)
		}
	case platformUnreachable:
		p.permitAll(loadOrders(planned), doc.Generation, now)
	case leaseNotHeld:
	}
}

// ownLinks returns the links to the model engines of this gateway's data centre
// by endpoint name.
func (p *placer) ownLinks() map[string]*link {
	out := make(map[string]*link)
	for _, l := range p.g.links.all() {
		if l.declared.DataCentre == p.g.cfg.DataCentre && l.declared.Service == "" {
			out[l.declared.Name] = l
		}
	}
	return out
}

// nextOrders returns the orders that placement plans for the current view.
func (p *placer) nextOrders(doc *rudderv1.Document, links map[string]*link, now time.Time) []placement.PlannedOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lease := p.elector.heldID(now); lease != p.leaseID {
		p.leaseID, p.confirmed = lease, nil
	}
	p.forgetUndeclared(links)
	view, live := p.view(links, now)
	p.updateAssignments(doc, live)
	planned, _ := placement.Next(doc, p.g.cfg.DataCentre, p.assigned, view)
	return planned
}

// view returns the state of the endpoints according to the current reports, as
// if every outstanding permit had been accepted, and which endpoints are live.
// The caller must hold mu.
func (p *placer) view(links map[string]*link, now time.Time) (placement.View, map[string]bool) {
	p.decidedOn = make(map[string]reportID, len(links))
	view, live := make(placement.View, len(links)), make(map[string]bool, len(links))
	for name, l := range links {
		state, id, ok := l.reportedState(now)
		live[name] = p.flapDamper.Observe(name, ok, now)
		if !ok {
			continue
		}
		p.grants.DropReported(name, id.incarnation, id.holds, id.reportMS)
		if p.isCurrent(name, id) {
			view[name], p.decidedOn[name] = state, id
		}
	}
	p.grants.Apply(view)
	return view, live
}

// isCurrent reports whether a report may be used. Under a lease, it must not be
// older than the agent's response to this holder, because an earlier holder may
// have given permits after the report.
func (p *placer) isCurrent(name string, id reportID) bool {
	if p.leaseID == 0 || p.confirmed == nil {
		return true
	}
	c, ok := p.confirmed[name]
	return ok && (c.incarnation != id.incarnation || id.holds >= c.holds)
}

func (p *placer) forgetUndeclared(links map[string]*link) {
	declared := make(map[string]bool, len(links))
	for name := range links {
		declared[name] = true
	}
	p.flapDamper.Forget(declared)
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

// updateAssignments recomputes the assignments if the document or the set of
// live endpoints has changed.
func (p *placer) updateAssignments(doc *rudderv1.Document, live map[string]bool) {
	same := p.assigned != nil && p.generation == doc.Generation && len(live) == len(p.live)
	for name, isLive := range live {
		same = same && p.live[name] == isLive
	}
	if same {
		return
	}
	p.generation, p.live = doc.Generation, live
	p.assigned = placement.AssignIn(doc, p.g.cfg.DataCentre, live)
}

// loadOrders returns the orders that only load something. They need no lease.
func loadOrders(planned []placement.PlannedOrder) []placement.PlannedOrder {
	var out []placement.PlannedOrder
	for _, s := range planned {
		if s.Order.Kind == engine.OrderLoadModel || s.Order.Kind == engine.OrderLoadAdapter {
			out = append(out, s)
		}
	}
	return out
}

// confirm queries the reachable agents that have not yet answered under the
// current lease for their reports. It returns true if earlier calls already had
// all responses; otherwise the orders must be planned again.
func (p *placer) confirm(links map[string]*link) bool {
	p.mu.Lock()
	first := p.confirmed == nil
	var unconfirmed []*link
	for name, l := range links {
		if _, ok := p.confirmed[name]; !ok && l.reachable() {
			unconfirmed = append(unconfirmed, l)
		}
	}
	if first {
		p.confirmed = make(map[string]reportID)
	}
	p.mu.Unlock()
	p.forEachLink(unconfirmed, func(ctx context.Context, l *link) {
		resp, err := l.client.Place(ctx, connect.NewRequest(&rudderv1.PlaceRequest{Gateway: p.g.cfg.Name}))
		if err != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.confirmed[l.declared.Name] = reportID{incarnation: resp.Msg.Report.GetIncarnation(), holds: resp.Msg.Report.GetHolds()}
	})
	return len(unconfirmed) == 0 && !first
}

// forEachLink calls f concurrently for all links and waits for the calls to
// return.
func (p *placer) forEachLink(links []*link, f func(context.Context, *link)) {
	ctx, cancel := context.WithTimeout(p.g.ctx, placeTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, l := range links {
		calls.Go(func() { f(ctx, l) })
	}
	calls.Wait()
}

// permitAll sends permits for the orders that were planned at the given time.
func (p *placer) permitAll(planned []placement.PlannedOrder, generation uint64, plannedAt time.Time) {
	var links []*link
	requests := make(map[*link]*rudderv1.PlaceRequest)
	linkByName := p.ownLinks()
	p.mu.Lock()
	for _, s := range planned {
		l := linkByName[s.Endpoint]
		if l == nil || plannedAt.Before(p.notBefore[s.Endpoint]) {
			continue
		}
		req := p.permitRequest(s.Order, generation, p.decidedOn[s.Endpoint])
		p.grants[s.Endpoint] = placement.Grant{Order: s.Order, Incarnation: req.Incarnation, Holds: req.Holds, ExpiresMS: req.ExpiresAgentMs}
		links = append(links, l)
		requests[l] = req
	}
	p.mu.Unlock()
	p.forEachLink(links, func(ctx context.Context, l *link) { p.permit(ctx, l, requests[l]) })
}

// permitRequest returns the permit for an order that was planned on the given
// report.
func (p *placer) permitRequest(o engine.Order, generation uint64, decidedOn reportID) *rudderv1.PlaceRequest {
	return &rudderv1.PlaceRequest{
		Gateway: p.g.cfg.Name, Incarnation: decidedOn.incarnation, Generation: generation, Holds: decidedOn.holds,
		ExpiresAgentMs: decidedOn.clockMS + permitTTL.Milliseconds(),
		Kind:           string(o.Kind), Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role,
	}
}

// permit sends one permit. If the response is lost, the permit counts as accepted
// until a report shows the result.
func (p *placer) permit(ctx context.Context, l *link, req *rudderv1.PlaceRequest) {
	resp, err := l.client.Place(ctx, connect.NewRequest(req))
	p.g.meter.recordPermit(req.Kind, resp, err)
	if err != nil {
		p.g.deps.Log.Warn("No response to a permit; assuming that it was accepted.", "endpoint", l.declared.Name, "err", err)
		return
	}
	if resp.Msg.Accepted {
		p.g.deps.Log.Info("Order permitted.", "endpoint", l.declared.Name, "kind", req.Kind, "model", req.Model, "version", req.Version, "adapter", req.Adapter)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.grants, l.declared.Name)
	wait := max(time.Duration(resp.Msg.RetryAfterMs)*time.Millisecond, roundInterval)
	p.notBefore[l.declared.Name] = time.Now().Add(wait)
	if result.Code(resp.Msg.Code) != result.BreakerOpen {
		p.g.deps.Log.Debug("Permit refused.", "endpoint", l.declared.Name, "code", resp.Msg.Code, "detail", resp.Msg.Detail)
	}
}
