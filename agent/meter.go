package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/result"
)

// meter contains the agent's metrics.
type meter struct{ set *metrics.Set }

func newMeter(set *metrics.Set) *meter {
	if set == nil {
		set = metrics.NewSet()
	}
	return &meter{set}
}

// registerGauges registers the gauges that read the agent's state.
func (m *meter) registerGauges(a *Agent) {
	gauge := func(name string, f func() float64) {
		m.set.NewGauge(name, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return f()
		})
	}
	gauge("rudder_agent_running", func() float64 { return float64(a.running) })
	gauge("rudder_agent_waiting", func() float64 { return float64(len(a.waiting)) })
	gauge("rudder_agent_memory_used_tokens", func() float64 { return float64(a.usedTokens) })
	gauge("rudder_agent_memory_reserved_tokens", func() float64 { return float64(a.mem.leases.Reserved()) })
	gauge("rudder_agent_memory_orphaned_tokens", func() float64 { return float64(a.mem.orphanedTokens) })
	gauge("rudder_agent_records", func() float64 { return float64(len(a.records.runs)) })
	gauge("rudder_agent_tombstones", func() float64 { return float64(len(a.records.tombstones)) })
	gauge("rudder_agent_answer_bytes", func() float64 { return float64(a.records.bytes) })
	generation.RegisterMetrics(m.set, "agent", a.deps.Tracker)
}

func (m *meter) reserved(granted bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_agent_reservations_total{granted="%t"}`, granted)).Inc()
}

// freed counts freed cache memory that no live lease owned.
func (m *meter) freed(tokens uint64) {
	m.set.GetOrCreateCounter("rudder_agent_memory_freed_tokens_total").Add(int(tokens))
}

func (m *meter) admitted(attached bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_agent_orders_total{attached="%t"}`, attached)).Inc()
}

func (m *meter) refused(c result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_agent_refused_total{code="%d"}`, c)).Inc()
}

func (m *meter) order(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_agent_endpoint_orders_total{kind="%s"}`, kind)).Inc()
}

func (m *meter) orderFailed(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_agent_endpoint_orders_failed_total{kind="%s"}`, kind)).Inc()
}

func (m *meter) permitRefused(c result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_agent_permits_refused_total{code="%d"}`, c)).Inc()
}
