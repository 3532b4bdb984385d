package membership

import (
	"time"

	"github.com/micarudder/micarudder/rudderv1"
)

// Event is one observation about agents, hosts or the gateway's own connections.
type Event interface{ apply(v *View, now time.Time) }

// Declaration is the accepted document's entry for one endpoint.
type Declaration struct {
	Endpoint string
	Host     string
	Service  string // empty for a model engine
	Draining bool   // the endpoint or its host is declared as draining
}

// EndpointsDeclared replaces the set of endpoints by the declared one.
type EndpointsDeclared struct{ Endpoints []Declaration }

// AgentReported is an agent's report of its own state. It also shows that the agent
// is connected. An empty incarnation marks a heartbeat: everything except the
// clock is as last reported.
type AgentReported struct {
	Endpoint    string
	Incarnation string
	AgentMS     int64 // the agent's clock: a report older than the last one is ignored
	State       rudderv1.AgentState
	Models      []string // models that are ready to serve
}

// OrderRefused reports that an agent refused an order because it is draining.
type OrderRefused struct{ Endpoint string }

// ConnectionLost reports that the connection to an agent broke or could not be opened.
type ConnectionLost struct{ Endpoint string }

// ListedHost is one entry of the platform's list of hosts.
type ListedHost struct {
	Name     string
	Draining bool
}

// HostsListed is a complete list of hosts as read from the platform. An empty list is
// ignored, because a platform without a single host does not answer.
type HostsListed struct{ Hosts []ListedHost }

// ExternalContact reports that a message from a peer gateway or the platform arrived.
type ExternalContact struct{}

// Apply updates the view with one event.
func (v *View) Apply(ev Event, now time.Time) { ev.apply(v, now) }

func (ev EndpointsDeclared) apply(v *View, now time.Time) {
	old := v.members
	v.members = make(map[string]*member, len(ev.Endpoints))
	for _, d := range ev.Endpoints {
		m, ok := old[d.Endpoint]
		if !ok || m.decl.Host != d.Host {
			m = &member{pools: []string{d.Service}}
		}
		m.decl = d
		v.members[d.Endpoint] = m
	}
	v.updateNoAgentSince(now)
}

func (ev AgentReported) apply(v *View, now time.Time) {
	m, ok := v.members[ev.Endpoint]
	if ok && ev.Incarnation == "" {
		ev.Incarnation, ev.State, ev.Models = m.incarnation, m.state, m.pools
	}
	if !ok || ev.Incarnation == "" || m.isStale(ev) {
		return
	}
	if ev.Incarnation != m.incarnation {
		m.recordRestart(ev, v.cfg.Flap, now)
	}
	if m.state == rudderv1.AgentState_AGENT_STATE_SERVING && ev.State == rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST {
		m.flap.addPenalty(v.cfg.Flap, now)
	}
	m.agentClockMS, m.state, m.lastReport, m.connected = ev.AgentMS, ev.State, now, true
	m.pools = ev.Models
	if m.decl.Service != "" {
		m.pools = []string{m.decl.Service}
	}
	v.noAgentSince = time.Time{}
}

// isStale reports whether a report comes from the previous incarnation, or is
// older than the last report of the current one.
func (m *member) isStale(ev AgentReported) bool {
	if ev.Incarnation != m.incarnation {
		return ev.Incarnation == m.previous
	}
	return ev.AgentMS < m.agentClockMS
}

// recordRestart records a new incarnation. A restart that the agent did not
// announce counts as a loss, unless the lost connection was counted already.
func (m *member) recordRestart(ev AgentReported, cfg FlapConfig, now time.Time) {
	if m.incarnation != "" && m.connected && !m.reportedDraining() {
		m.flap.addPenalty(cfg, now)
	}
	m.previous, m.incarnation, m.firstReport = m.incarnation, ev.Incarnation, now
}

func (m *member) reportedDraining() bool { return m.state == rudderv1.AgentState_AGENT_STATE_LEAVING }

func (ev ConnectionLost) apply(v *View, now time.Time) {
	m, ok := v.members[ev.Endpoint]
	if !ok || !m.connected {
		return
	}
	m.connected, m.disconnectedAt = false, now
	if !m.reportedDraining() {
		m.flap.addPenalty(v.cfg.Flap, now)
	}
	v.updateNoAgentSince(now)
}

// updateNoAgentSince sets noAgentSince to now if no agent is connected and it is
// not set yet, and clears it if one is connected.
func (v *View) updateNoAgentSince(now time.Time) {
	for _, m := range v.members {
		if m.connected {
			v.noAgentSince = time.Time{}
			return
		}
	}
	if v.noAgentSince.IsZero() {
		v.noAgentSince = now
	}
}

func (ev OrderRefused) apply(v *View, _ time.Time) {
	if m, ok := v.members[ev.Endpoint]; ok {
		m.state = rudderv1.AgentState_AGENT_STATE_LEAVING
	}
}

func (ev HostsListed) apply(v *View, now time.Time) {
	v.lastOtherContact = now
	if len(ev.Hosts) == 0 {
		return
	}
	hosts := make(map[string]listing, len(ev.Hosts))
	for _, h := range ev.Hosts {
		l := listing{draining: h.Draining, since: now}
		if old, ok := v.hosts[h.Name]; ok && old.draining == h.Draining {
			l.since = old.since
		}
		hosts[h.Name] = l
	}
	v.hosts, v.listed = hosts, true
}

func (ExternalContact) apply(v *View, now time.Time) { v.lastOtherContact = now }
