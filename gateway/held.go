package gateway

import (
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/orders"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/rudderv1"
)

// held returns what the endpoint holds by its agent's latest report, the name
// of that report, and whether the agent can be reached.
func (l *link) held(now time.Time) (placement.EndpointState, word, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reachableAt(now) {
		return placement.EndpointState{}, word{}, false
	}
	r := l.report
	w := word{r.Incarnation, r.Holds, r.AgentMs, r.AgentMs + now.Sub(l.heard).Milliseconds()}
	return heldOf(r), w, true
}

func (l *link) reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reachableAt(time.Now())
}

// reachableAt tells whether the agent is connected and serves; the caller
// holds mu.
func (l *link) reachableAt(now time.Time) bool {
	return l.report != nil && l.connected && now.Sub(l.heard) < silence && l.report.State == rudderv1.AgentState_AGENT_STATE_SERVING
}

// heldOf turns a report into what placement knows of an endpoint.
func heldOf(r *rudderv1.AgentReport) placement.EndpointState {
	h := placement.EndpointState{Role: r.Role, Serving: true}
	for _, m := range r.Models {
		h.Models = append(h.Models, engine.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading})
	}
	if o := r.Order; o != nil && o.Phase != rudderv1.OrderPhase_ORDER_PHASE_FAILED {
		h = h.DuringOrder(engine.Order{Kind: engine.OrderKind(o.Kind), Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role})
	}
	return h
}

// using returns the exact name of what a request for the name runs on at the
// endpoint, as far as its agent's report tells; "" if unknown.
func (l *link) using(name string) string {
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
