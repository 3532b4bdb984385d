package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/membership"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// hostListInterval is the mean time between two reads of the platform's
	// list of hosts. Each interval is randomized by up to half of it either
	// way.
	hostListInterval = time.Second
	// drainNoticeTTL is how long an agent acts on one drain notice.
	drainNoticeTTL = 10 * time.Second
	// drainNoticeInterval is how often a drain notice is sent again.
	drainNoticeInterval = 3 * time.Second
	drainNoticeTimeout  = 2 * time.Second
)

// members is the gateway's view of the endpoints' membership, safe for
// concurrent use.
type members struct {
	mu           sync.Mutex
	view         *membership.View
	recordOwners *membership.RecordOwners
}

func newMembers() *members {
	return &members{view: membership.NewView(membership.Default()), recordOwners: membership.NewRecordOwners()}
}

// apply applies one membership event.
func (m *members) apply(ev membership.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Apply(ev, time.Now())
}

// verdicts returns the verdicts for the named endpoints.
func (m *members) verdicts(names []string, now time.Time) []membership.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Verdicts(names, now)
}

// cutOff reports whether the gateway itself seems to be cut off from the
// network.
func (m *members) cutOff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.CutOff(time.Now())
}

// applyDeclaration passes the document's endpoints to membership.
func (m *members) applyDeclaration(doc *rudderv1.Document) {
	draining := make(map[string]bool, len(doc.Hosts))
	for _, h := range doc.Hosts {
		draining[h.Name] = h.Leaving
	}
	var ev membership.EndpointsDeclared
	for _, e := range doc.Endpoints {
		ev.Endpoints = append(ev.Endpoints, membership.Declaration{
			Endpoint: e.Name, Host: e.Host, Service: e.Service, Draining: e.Leaving || draining[e.Host],
		})
	}
	m.apply(ev)
}

// recordOwner returns the address of the agent that holds the run records of a
// stopped incarnation, or "" if no other agent does.
func (m *members) recordOwner(incarnation string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recordOwners.Address(incarnation)
}

// updateRecordOwners records which agent holds the run records of which
// incarnations: the reporting agent or its successor.
func (m *members) updateRecordOwners(address string, r *rudderv1.AgentReport) {
	if len(r.Inherited) == 0 && r.Successor == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if r.Successor == "" {
		m.recordOwners.Confirm(address, r.Inherited, now)
		return
	}
	m.recordOwners.HandOver(address, r.Successor, append([]string{r.Incarnation}, r.Inherited...), now)
}

// applyReport passes an agent's report to membership.
func (m *members) applyReport(endpoint string, r *rudderv1.AgentReport) {
	ev := membership.AgentReported{Endpoint: endpoint, Incarnation: r.Incarnation, AgentMS: r.AgentMs, State: r.State}
	for _, lm := range r.Models {
		if !lm.Loading && !lm.Unloading {
			ev.Models = append(ev.Models, lm.Model)
		}
	}
	m.apply(ev)
}

// recordRefusal evaluates an end that shows that the agent is draining, or that
// its endpoint accepts no new work for a while.
func (l *link) recordRefusal(e *rudderv1.End) {
	switch result.Code(e.Code) {
	case result.Draining:
		l.g.members.apply(membership.OrderRefused{Endpoint: l.declared.Name})
	case result.EndpointRefused:
		l.recordBackOff(time.Duration(e.RetryAfterMs)*time.Millisecond, time.Now())
	}
}

// recordBackOff records for how long the endpoint accepts no new work. A
// duration of 0 means that the agent gave none.
func (l *link) recordBackOff(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := now.Add(d); d > 0 && until.After(l.backOffUntil) {
		l.backOffUntil = until
		l.g.deps.Log.Info("Endpoint asks for rest.", "endpoint", l.declared.Name, "for", d)
	}
}

// shortestBackOff returns the time until the first endpoint that is backing off
// accepts work again, or defaultRetryAfter if none is backing off.
func (ls *links) shortestBackOff(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, l := range ls.all() {
		l.mu.Lock()
		remaining := l.backOffUntil.Sub(now)
		l.mu.Unlock()
		if remaining > 0 && (shortest == 0 || remaining < shortest) {
			shortest = remaining
		}
	}
	return cmp.Or(shortest, defaultRetryAfter)
}

// followHosts reads the platform's list of hosts until the gateway stops, and
// notifies the agents whose hosts are draining according to that list.
func (g *Gateway) followHosts() {
	lastNotified := make(map[string]time.Time)
	for g.ctx.Err() == nil {
		if hosts, err := g.deps.Hosts.Hosts(g.ctx); err == nil {
			var ev membership.HostsListed
			for _, h := range hosts {
				ev.Hosts = append(ev.Hosts, membership.ListedHost{Name: h.Name, Draining: h.State != metastore.HostLive})
			}
			g.members.apply(ev)
		}
		g.notifyDraining(lastNotified)
		select {
		case <-time.After(hostListInterval/2 + rand.N(hostListInterval)):
		case <-g.ctx.Done():
		}
	}
}

// notifyDraining sends a drain notice to each agent whose host is draining
// according to the list. lastNotified holds the time of the last notice by
// endpoint name.
func (g *Gateway) notifyDraining(lastNotified map[string]time.Time) {
	now := time.Now()
	names, byIndex := g.links.namesAndLinks()
	for i, v := range g.members.verdicts(names, now) {
		if v.Evidence != membership.ByList || v.State != membership.Draining {
			continue
		}
		if now.Sub(lastNotified[names[i]]) < drainNoticeInterval {
			continue
		}
		lastNotified[names[i]] = now
		g.background.Go(byIndex[i].notifyDraining)
	}
}

// notifyDraining tells the agent that its host is draining. The agent checks the
// incarnation and the time by its own clock, so a late notice has no effect.
func (l *link) notifyDraining() {
	ctx, cancel := context.WithTimeout(l.g.ctx, drainNoticeTimeout)
	defer cancel()
	incarnation, clock := l.incarnation()
	_, err := l.client.Leave(ctx, connect.NewRequest(&rudderv1.LeaveRequest{
		Gateway: l.g.cfg.Name, Incarnation: incarnation, DecidedAgentMs: clock, LeaseMs: drainNoticeTTL.Milliseconds(),
	}))
	if err != nil {
		l.g.deps.Log.Warn("Failed to notify an agent that its host is draining.", "endpoint", l.declared.Name, "err", err)
	}
}
