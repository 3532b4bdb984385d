package membership

import (
	"time"

	"github.com/micarudder/micarudder/rudderv1"
)

// Verdicts returns the verdict on each of the named endpoints. A LastResort
// endpoint is promoted if no Normal one among them serves one of its pools (a
// service or a model).
func (v *View) Verdicts(endpoints []string, now time.Time) []Verdict {
	out := make([]Verdict, len(endpoints))
	anyLastResort := false
	for i, name := range endpoints {
		if m, ok := v.members[name]; ok {
			out[i] = v.evaluate(m, now)
			anyLastResort = anyLastResort || out[i].Use == LastResort
		}
	}
	if anyLastResort {
		v.promote(endpoints, out)
	}
	return out
}

// promote marks the LastResort endpoints that have a pool without Normal ones.
func (v *View) promote(endpoints []string, out []Verdict) {
	served := make(map[string]bool)
	for i, name := range endpoints {
		if out[i].Use != Normal {
			continue
		}
		for _, p := range v.members[name].pools {
			served[p] = true
		}
	}
	for i, name := range endpoints {
		if out[i].Use == LastResort {
			out[i].Promoted = hasUnservedPool(v.members[name], served)
		}
	}
}

func hasUnservedPool(m *member, served map[string]bool) bool {
	for _, p := range m.pools {
		if !served[p] {
			return true
		}
	}
	return false
}

// evaluate returns the verdict on one endpoint, by its strongest evidence.
func (v *View) evaluate(m *member, now time.Time) Verdict {
	switch {
	case m.decl.Draining:
		return Verdict{State: Draining, Evidence: ByDeclaration}
	case m.incarnation == "":
		return Verdict{State: NeverReported}
	case m.reportedDraining():
		return Verdict{State: Draining, Evidence: ByAgent}
	case v.listedDraining(m, now):
		return Verdict{State: Draining, Evidence: ByList}
	case !m.connected:
		return v.evaluateDisconnected(m, now)
	case now.Sub(m.lastReport) > v.cfg.StaleAfter:
		return Verdict{State: Silent, Use: LastResort, Evidence: ByConnection}
	default:
		return v.evaluateConnected(m, now)
	}
}

// evaluateConnected returns the verdict on an endpoint whose agent is connected,
// by the agent's last report.
func (v *View) evaluateConnected(m *member, now time.Time) Verdict {
	switch m.state {
	case rudderv1.AgentState_AGENT_STATE_SERVING:
		if m.flap.decay(v.cfg.Flap, now) {
			return Verdict{State: Damped, Use: LastResort, Evidence: ByFlapping}
		}
		return Verdict{State: Serving, Use: Normal, Evidence: ByAgent}
	case rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST:
		return Verdict{State: EndpointLost, Evidence: ByAgent}
	default:
		return Verdict{State: Starting, Evidence: ByAgent}
	}
}

// evaluateDisconnected returns the verdict on an endpoint whose agent lost its
// connection. An order to such an agent either cannot be sent or reaches an agent
// that decides for itself, so trying is safe, only slow.
func (v *View) evaluateDisconnected(m *member, now time.Time) Verdict {
	if m.state != rudderv1.AgentState_AGENT_STATE_SERVING {
		return Verdict{State: Gone, Evidence: ByConnection}
	}
	if _, known := v.hosts[m.decl.Host]; v.listed && !known {
		return Verdict{State: Gone, Evidence: ByList}
	}
	grace := v.cfg.Grace
	if !v.noAgentSince.IsZero() {
		grace = v.cfg.NoAgentGrace
	}
	if now.Sub(m.disconnectedAt) > grace {
		return Verdict{State: Gone, Evidence: ByConnection}
	}
	return Verdict{State: Silent, Use: LastResort, Evidence: ByConnection}
}

// listedDraining reports whether the platform lists the endpoint's host as draining.
// If the agent restarted after the host was first listed so, the host may have come
// back, so the list is disregarded for ListLag.
func (v *View) listedDraining(m *member, now time.Time) bool {
	l, ok := v.hosts[m.decl.Host]
	if !ok || !l.draining {
		return false
	}
	if m.firstReport.After(l.since) && m.previous != "" {
		return now.Sub(m.firstReport) > v.cfg.ListLag
	}
	return true
}

// CutOff reports whether this process itself is cut off: at least one agent has
// reported before, none has been connected for CutOffAfter, and since then no
// message came from a peer or the platform. If one came, the agents are lost and
// this process is not cut off.
func (v *View) CutOff(now time.Time) bool {
	if v.noAgentSince.IsZero() || now.Sub(v.noAgentSince) < v.cfg.CutOffAfter {
		return false
	}
	hadAgents := false
	for _, m := range v.members {
		hadAgents = hadAgents || m.incarnation != ""
	}
	return hadAgents && !v.lastOtherContact.After(v.noAgentSince)
}
