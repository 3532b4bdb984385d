package membership

import (
	"time"

	"github.com/micarudder/micarudder/rudderv1"
)

// Verdicts returns the verdict of each named endpoint. A last resort is
// promoted when no other endpoint serves one of its pools: a service, or a
// model.
func (v *View) Verdicts(endpoints []string, now time.Time) []Verdict {
	out := make([]Verdict, len(endpoints))
	last := false
	for i, name := range endpoints {
		if m, ok := v.members[name]; ok {
			out[i] = v.judge(m, now)
			last = last || out[i].Use == LastResort
		}
	}
	if last {
		v.promote(endpoints, out)
	}
	return out
}

// promote marks the last resorts of pools that nothing better serves.
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
			out[i].Promoted = needed(v.members[name], served)
		}
	}
}

func needed(m *member, served map[string]bool) bool {
	for _, p := range m.pools {
		if !served[p] {
			return true
		}
	}
	return false
}

// judge ranks the evidence about one endpoint.
func (v *View) judge(m *member, now time.Time) Verdict {
	switch {
	case m.decl.Leaving:
		return Verdict{State: Leaving, Evidence: ByDeclaration}
	case m.incarnation == "":
		return Verdict{State: Unheard}
	case m.saidLeaving():
		return Verdict{State: Leaving, Evidence: ByAgent}
	case v.listedLeaving(m, now):
		return Verdict{State: Leaving, Evidence: ByList}
	case !m.connected:
		return v.judgeLost(m, now)
	case now.Sub(m.heard) > v.cfg.StaleAfter:
		return Verdict{State: Silent, Use: LastResort, Evidence: ByConnection}
	default:
		return v.judgeHeard(m, now)
	}
}

// judgeHeard takes a connected agent's word.
func (v *View) judgeHeard(m *member, now time.Time) Verdict {
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

// judgeLost decides about an agent whose connection was lost. An order to it
// either cannot leave or reaches an agent that decides by itself, so trying is
// safe; it is only slow.
func (v *View) judgeLost(m *member, now time.Time) Verdict {
	if m.state != rudderv1.AgentState_AGENT_STATE_SERVING {
		return Verdict{State: Gone, Evidence: ByConnection}
	}
	if _, known := v.hosts[m.decl.Host]; v.listed && !known {
		return Verdict{State: Gone, Evidence: ByList}
	}
	grace := v.cfg.Grace
	if !v.silence.IsZero() {
		grace = v.cfg.SilenceGrace
	}
	if now.Sub(m.lostAt) > grace {
		return Verdict{State: Gone, Evidence: ByConnection}
	}
	return Verdict{State: Silent, Use: LastResort, Evidence: ByConnection}
}

// listedLeaving reports whether the platform's list takes the endpoint's host
// away. An incarnation that began after the list first said so may stand on a
// host that came back: it is believed for as long as the list can be late.
func (v *View) listedLeaving(m *member, now time.Time) bool {
	l, ok := v.hosts[m.decl.Host]
	if !ok || !l.leaving {
		return false
	}
	if m.firstHeard.After(l.since) && m.previous != "" {
		return now.Sub(m.firstHeard) > v.cfg.ListLag
	}
	return true
}

// CutOff reports whether this process itself is cut off: it had agents, none
// is connected, and since then neither a peer nor the platform was heard.
// Mere silence of all agents, with others in hearing, is a loss of agents.
func (v *View) CutOff(now time.Time) bool {
	if v.silence.IsZero() || now.Sub(v.silence) < v.cfg.CutOffAfter {
		return false
	}
	had := false
	for _, m := range v.members {
		had = had || m.incarnation != ""
	}
	return had && !v.outside.After(v.silence)
}
