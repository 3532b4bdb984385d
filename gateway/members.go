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
	// listInterval is the mean time between two readings of the platform's
	// list of hosts; each is spread by half of it.
	listInterval = time.Second
	// leaveLease is how long one word of the list holds at an agent.
	leaveLease = 10 * time.Second
	// leaveInterval is how often that word is repeated.
	leaveInterval = 3 * time.Second
	leaveTime     = 2 * time.Second
)

// members guards the gateway's view of the endpoints' membership.
type members struct {
	mu    sync.Mutex
	view  *membership.View
	heirs *membership.RecordOwners
}

func newMembers() *members {
	return &members{view: membership.NewView(membership.Default()), heirs: membership.NewRecordOwners()}
}

// apply takes one piece of evidence.
func (m *members) apply(ev membership.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Apply(ev, time.Now())
}

// verdicts judges the named endpoints.
func (m *members) verdicts(names []string, now time.Time) []membership.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Verdicts(names, now)
}

// cutOff reports whether the gateway itself seems to be cut off.
func (m *members) cutOff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.CutOff(time.Now())
}

// declare hands membership the document's endpoints.
func (m *members) declare(doc *rudderv1.Document) {
	leaving := make(map[string]bool, len(doc.Hosts))
	for _, h := range doc.Hosts {
		leaving[h.Name] = h.Leaving
	}
	var ev membership.EndpointsDeclared
	for _, e := range doc.Endpoints {
		ev.Endpoints = append(ev.Endpoints, membership.Declaration{
			Endpoint: e.Name, Host: e.Host, Service: e.Service, Leaving: e.Leaving || leaving[e.Host],
		})
	}
	m.apply(ev)
}

// heir returns the address of the agent that answers for an incarnation;
// empty when its own does.
func (m *members) heir(incarnation string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heirs.Address(incarnation)
}

// inherited learns which agent answers for which incarnations: the reporting
// one, or its successor.
func (m *members) inherited(address string, r *rudderv1.AgentReport) {
	if len(r.Inherited) == 0 && r.Successor == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if r.Successor == "" {
		m.heirs.Confirm(address, r.Inherited, now)
		return
	}
	m.heirs.HandOver(address, r.Successor, append([]string{r.Incarnation}, r.Inherited...), now)
}

// reported hands membership an agent's report.
func (m *members) reported(endpoint string, r *rudderv1.AgentReport) {
	ev := membership.AgentReported{Endpoint: endpoint, Incarnation: r.Incarnation, AgentMS: r.AgentMs, State: r.State}
	for _, lm := range r.Models {
		if !lm.Loading && !lm.Unloading {
			ev.Models = append(ev.Models, lm.Model)
		}
	}
	m.apply(ev)
}

// takeRefusal learns from an end that the agent is leaving, or that its endpoint wants no new work for a while.
func (l *link) takeRefusal(e *rudderv1.End) {
	switch result.Code(e.Code) {
	case result.Draining:
		l.g.members.apply(membership.OrderRefused{Endpoint: l.declared.Name})
	case result.EndpointRefused:
		l.rest(time.Duration(e.RetryAfterMs)*time.Millisecond, time.Now())
	}
}

// rest takes in for how long the endpoint wants no new work; 0: its agent does not say.
func (l *link) rest(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := now.Add(d); d > 0 && until.After(l.restsTo) {
		l.restsTo = until
		l.g.deps.Log.Info("Endpoint asks for rest.", "endpoint", l.declared.Name, "for", d)
	}
}

// restLeft returns when the first endpoint that rests takes work again, comeBack where none rests.
func (ls *links) restLeft(now time.Time) time.Duration {
	least := time.Duration(0)
	for _, l := range ls.all() {
		l.mu.Lock()
		left := l.restsTo.Sub(now)
		l.mu.Unlock()
		if left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return cmp.Or(least, comeBack)
}

// followHosts reads the platform's list of hosts for as long as the gateway
// lives and tells agents whose hosts it takes away.
func (g *Gateway) followHosts() {
	told := make(map[string]time.Time)
	for g.ctx.Err() == nil {
		if hosts, err := g.deps.Hosts.Hosts(g.ctx); err == nil {
			var ev membership.HostsListed
			for _, h := range hosts {
				ev.Hosts = append(ev.Hosts, membership.ListedHost{Name: h.Name, Leaving: h.State != metastore.HostLive})
			}
			g.members.apply(ev)
		}
		g.tellLeaving(told)
		select {
		case <-time.After(listInterval/2 + rand.N(listInterval)):
		case <-g.ctx.Done():
		}
	}
}

// tellLeaving repeats the list's word to each agent that it concerns. told
// holds when each was last told.
func (g *Gateway) tellLeaving(told map[string]time.Time) {
	now := time.Now()
	names, order := g.links.named()
	for i, v := range g.members.verdicts(names, now) {
		if v.Evidence != membership.ByList || v.State != membership.Leaving {
			continue
		}
		if now.Sub(told[names[i]]) < leaveInterval {
			continue
		}
		told[names[i]] = now
		g.loops.Go(order[i].tellLeaving)
	}
}

// tellLeaving tells the agent that its host leaves. The agent checks the
// incarnation and its own clock, so a word that is late does nothing.
func (l *link) tellLeaving() {
	ctx, cancel := context.WithTimeout(l.g.ctx, leaveTime)
	defer cancel()
	incarnation, clock := l.incarnation()
	_, err := l.client.Leave(ctx, connect.NewRequest(&rudderv1.LeaveRequest{
		Gateway: l.g.cfg.Name, Incarnation: incarnation, DecidedAgentMs: clock, LeaseMs: leaveLease.Milliseconds(),
	}))
	if err != nil {
		l.g.deps.Log.Warn("An agent was not told that its host leaves.", "endpoint", l.declared.Name, "err", err)
	}
}
