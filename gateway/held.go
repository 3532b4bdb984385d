package gateway

import (
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/orders"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/rudderv1"
)

// reportedState returns the endpoint's state according to its agent's latest
// report, the ID of that report, and whether the agent can be reached.
func (l *link) reportedState(now time.Time) (placement.EndpointState, reportID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reachableAt(now) {
		return placement.EndpointState{}, reportID{}, false
	}
	r := l.report
	id := reportID{r.Incarnation, r.Holds, r.AgentMs, r.AgentMs + now.Sub(l.lastReportAt).Milliseconds()}
	return endpointState(r), id, true
}

func (l *link) reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reachableAt(time.Now())
}

// reachableAt reports whether the agent is connected and serving. The caller
// must hold mu.
func (l *link) reachableAt(now time.Time) bool {
	return l.report != nil && l.connected && now.Sub(l.lastReportAt) < maxReportAge && l.report.State == rudderv1.AgentState_AGENT_STATE_SERVING
}

// endpointState converts a report to the input of placement.
func endpointState(r *rudderv1.AgentReport) placement.EndpointState {
	state := placement.EndpointState{Role: r.Role, Serving: true}
	for _, m := range r.Models {
		state.Models = append(state.Models, engine.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading})
	}
	if o := r.Order; o != nil && o.Phase != rudderv1.OrderPhase_ORDER_PHASE_FAILED {
		state = state.DuringOrder(engine.Order{Kind: engine.OrderKind(o.Kind), Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role})
	}
	return state
}

// servedVariant returns the exact variant name that the endpoint uses for a
// request for the given name, according to its agent's latest report; "" if
// unknown.
func (l *link) servedVariant(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var models []engine.Model
	for _, m := range l.report.GetModels() {
		if !m.Unloading {
			models = append(models, engine.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading})
		}
	}
	return orders.VariantName(models, name)
}
