package membership

import (
	"time"

	"github.com/micarudder/micarudder/rudderv1"
)

// Event is one piece of evidence.
type Event interface{ apply(v *View, now time.Time) }

// Declaration is what the accepted document says of one endpoint.
type Declaration struct {
	Endpoint string
	Host     string
	Service  string // empty for a model engine
	Leaving  bool   // of the endpoint or of its host
}

// Declared replaces the set of endpoints.
type Declared struct{ Endpoints []Declaration }

// Reported is an agent's word about itself. It proves the connection, too. An
// empty incarnation says that all but the clock is as last reported.
type Reported struct {
	Endpoint    string
	Incarnation string
	AgentMS     int64 // the agent's clock: a report that is not later than the last is ignored
	State       rudderv1.AgentState
	Models      []string // models that are ready
}

// Refused says that an agent refused an order because it is leaving.
type Refused struct{ Endpoint string }

// Lost says that the connection to an agent broke or could not be made.
type Lost struct{ Endpoint string }

// ListedHost is one entry of the platform's list.
type ListedHost struct {
	Name    string
	Leaving bool
}

// Listed is a whole list of hosts as the platform gave it. An empty list is
// not believed: a platform without a single host does not answer.
type Listed struct{ Hosts []ListedHost }

// Outside says that a peer gateway or the platform was heard.
type Outside struct{}

// Apply takes one piece of evidence.
func (v *View) Apply(ev Event, now time.Time) { ev.apply(v, now) }

func (ev Declared) apply(v *View, now time.Time) {
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
	v.noteSilence(now)
}

func (ev Reported) apply(v *View, now time.Time) {
	m, ok := v.members[ev.Endpoint]
	if ok && ev.Incarnation == "" {
		ev.Incarnation, ev.State, ev.Models = m.incarnation, m.state, m.pools
	}
	if !ok || ev.Incarnation == "" || m.outdated(ev) {
		return
	}
	if ev.Incarnation != m.incarnation {
		m.restarted(ev, v.cfg.Flap, now)
	}
	if m.state == rudderv1.AgentState_AGENT_STATE_SERVING && ev.State == rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST {
		m.flap.charge(v.cfg.Flap, now)
	}
	m.agentMS, m.state, m.heard, m.connected = ev.AgentMS, ev.State, now, true
	m.pools = ev.Models
	if m.decl.Service != "" {
		m.pools = []string{m.decl.Service}
	}
	v.silence = time.Time{}
}

// outdated reports whether a report is older than what is known: of an
// incarnation that was replaced, or late.
func (m *member) outdated(ev Reported) bool {
	if ev.Incarnation != m.incarnation {
		return ev.Incarnation == m.previous
	}
	return ev.AgentMS < m.agentMS
}

// restarted notes a new incarnation. One that nobody announced counts as a
// loss, unless the lost connection was counted already.
func (m *member) restarted(ev Reported, cfg FlapConfig, now time.Time) {
	if m.incarnation != "" && m.connected && !m.saidLeaving() {
		m.flap.charge(cfg, now)
	}
	m.previous, m.incarnation, m.firstHeard = m.incarnation, ev.Incarnation, now
}

func (m *member) saidLeaving() bool { return m.state == rudderv1.AgentState_AGENT_STATE_LEAVING }

func (ev Lost) apply(v *View, now time.Time) {
	m, ok := v.members[ev.Endpoint]
	if !ok || !m.connected {
		return
	}
	m.connected, m.lostAt = false, now
	if !m.saidLeaving() {
		m.flap.charge(v.cfg.Flap, now)
	}
	v.noteSilence(now)
}

// noteSilence records the moment from which no agent is connected.
func (v *View) noteSilence(now time.Time) {
	for _, m := range v.members {
		if m.connected {
			v.silence = time.Time{}
			return
		}
	}
	if v.silence.IsZero() {
		v.silence = now
	}
}

func (ev Refused) apply(v *View, _ time.Time) {
	if m, ok := v.members[ev.Endpoint]; ok {
		m.state = rudderv1.AgentState_AGENT_STATE_LEAVING
	}
}

func (ev Listed) apply(v *View, now time.Time) {
	v.outside = now
	if len(ev.Hosts) == 0 {
		return
	}
	hosts := make(map[string]listing, len(ev.Hosts))
	for _, h := range ev.Hosts {
		l := listing{leaving: h.Leaving, since: now}
		if old, ok := v.hosts[h.Name]; ok && old.leaving == h.Leaving {
			l.since = old.since
		}
		hosts[h.Name] = l
	}
	v.hosts, v.listed = hosts, true
}

func (Outside) apply(v *View, now time.Time) { v.outside = now }
