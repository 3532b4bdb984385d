package agent

import (
	"slices"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1"
)

// report returns a complete report of the agent's state; the caller holds mu.
func (a *Agent) report() *rudderv1.AgentReport {
	return &rudderv1.AgentReport{
		Endpoint:    a.cfg.Endpoint,
		Host:        a.cfg.Host,
		DataCentre:  a.cfg.DataCentre,
		Incarnation: a.incarnation,
		AgentMs:     a.clockMS(),
		State:       a.effectiveState(),
		Generation:  a.deps.Tracker.Generation(),
		Load:        a.load(),
		Models:      a.loadedModels(),
		Role:        a.role,
		Service:     a.cfg.Service,
		Holds:       a.orders.Holds(),
		Order:       a.orderStatus(),
		Successor:   a.successor,
		Inherited:   a.inheritedIncarnations(),
	}
}

// orderStatus returns the status of the latest order; the caller holds mu.
func (a *Agent) orderStatus() *rudderv1.OrderStatus {
	if a.deps.Engine == nil {
		return nil
	}
	return a.orders.Status(a.blockers(), time.Now())
}

// loadedModels returns the models on which gateways may rely: what the order in progress
// unloads is not served any more. The caller holds mu.
func (a *Agent) loadedModels() []*rudderv1.LoadedModel {
	o := a.orders.Order()
	out := make([]*rudderv1.LoadedModel, 0, len(a.models)+1)
	loading := o.Kind == engine.OrderLoadModel
	for _, m := range a.models {
		same := m.Name == o.Model && m.Version == o.Version
		l := &rudderv1.LoadedModel{Model: m.Name, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading}
		switch {
		case same && o.Kind == engine.OrderUnloadModel:
			l.Unloading = true
		case same && o.Kind == engine.OrderUnloadAdapter:
			l.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(id string) bool { return id == o.Adapter })
		case same:
			loading = false
		}
		out = append(out, l)
	}
	if loading {
		out = append(out, &rudderv1.LoadedModel{Model: o.Model, Version: o.Version, Loading: true})
	}
	return out
}

// load returns the agent's exact load; the caller holds mu.
func (a *Agent) load() *rudderv1.Load {
	t := a.queue.Load(time.Now())
	l := &rudderv1.Load{
		Queued:             uint32(t.Queued),
		Running:            uint32(a.running),
		QueuedTokens:       t.QueuedTokens,
		MemoryTokens:       a.cfg.MemoryTokens,
		FreeTokens:         a.capacity().FreeTokens,
		PrefillUsPerToken:  float64(t.Cost.PrefillPerToken) / float64(time.Microsecond),
		PrefillUsPerToken2: t.Cost.PrefillPerTokenSquared,
		DecodeUsPerToken:   float64(t.Cost.DecodePerToken) / float64(time.Microsecond),
		LongTokens:         t.LongTokens,
		ReserveLimit:       a.mem.leases.Limit(),
		ReservedTokens:     a.mem.unavailableTokens(),
	}
	for _, w := range t.Wait {
		l.WaitMs = append(l.WaitMs, w.Milliseconds())
	}
	return l
}
