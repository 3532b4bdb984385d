package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/weights"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	styleOne = "style@1"
	styleTwo = "style@2"
)

// orderKinds are the orders of the fault table, each with the state that it
// must lead to in the end. The engine starts with version 1 of the model and
// the adapter style@1.
var orderKinds = []struct {
	order engine.Order
	done  func(st engine.State) bool
}{
	{load2, func(st engine.State) bool { return holds(st, "2") }},
	{unload1, func(st engine.State) bool { return !holds(st, "1") }},
	{engine.Order{Kind: engine.OrderLoadAdapter, Model: model, Version: "1", Adapter: styleTwo}, func(st engine.State) bool { return hasAdapter(st, styleTwo) }},
	{engine.Order{Kind: engine.OrderUnloadAdapter, Model: model, Version: "1", Adapter: styleOne}, func(st engine.State) bool { return !hasAdapter(st, styleOne) }},
	{engine.Order{Kind: engine.OrderSetRole, Role: "prefill"}, func(st engine.State) bool { return st.Role == "prefill" }},
}

func holds(st engine.State, version string) bool {
	return slices.ContainsFunc(st.Models, func(m engine.Model) bool { return m.Version == version && !m.Loading })
}

func hasAdapter(st engine.State, id string) bool {
	return slices.ContainsFunc(st.Models, func(m engine.Model) bool { return slices.Contains(m.Adapters, id) })
}

// orderFaults are the faults of the table. begin switches a fault on before the
// order is permitted, during acts while the order is in progress, and end
// switches the fault off.
var orderFaults = []struct {
	name               string
	begin, during, end func(b *cluster, store *weights.Server)
}{
	{name: "none"},
	{name: "agent dies", during: func(b *cluster, _ *weights.Server) { b.restartAgent("a") }},
	{
		name:  "agent paused before the order",
		begin: func(b *cluster, _ *weights.Server) { b.setDelay("a", time.Minute) },
		end:   func(b *cluster, _ *weights.Server) { b.setDelay("a", 0) },
	},
	{
		name: "answer lost",
		begin: func(b *cluster, _ *weights.Server) {
			b.engines["a"].SetFaults(standengine.Faults{LoseOrderAnswer: true})
		},
		end: func(b *cluster, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{}) },
	},
	{name: "engine restarts", during: func(b *cluster, _ *weights.Server) { b.engines["a"].Crash() }},
	{
		name:   "engine hangs",
		during: func(b *cluster, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{Hang: true}) },
		end:    func(b *cluster, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{}) },
	},
	{
		name:  "engine fails orders",
		begin: func(b *cluster, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{FailOrders: true}) },
		end:   func(b *cluster, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{}) },
	},
	{
		name:  "weight store away",
		begin: func(_ *cluster, s *weights.Server) { s.SetFaults(weights.Faults{Refuse: true}) },
		end:   func(_ *cluster, s *weights.Server) { s.SetFaults(weights.Faults{}) },
	},
	{
		name:  "weight store cuts",
		begin: func(_ *cluster, s *weights.Server) { s.SetFaults(weights.Faults{CutAfterBytes: 1000}) },
		end:   func(_ *cluster, s *weights.Server) { s.SetFaults(weights.Faults{}) },
	},
}

// restartAgent kills an agent and starts a new incarnation of it.
func (b *cluster) restartAgent(name string) {
	old := b.agents[name]
	b.kill(agentAddr(name))
	old.Close()
	b.agent(name, "", standengine.Default().MemoryTokens)
}

func (b *cluster) setDelay(name string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateDelay[name] = d
}

// TestOrderFaultTable permits each kind of order under each fault, to engines
// that check fencing numbers and to those that ignore them, and permits it
// again until it has taken effect. Orders never overlap and their fencing
// numbers increase.
func TestOrderFaultTable(t *testing.T) {
	for _, k := range orderKinds {
		for _, f := range orderFaults {
			for _, checks := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/checks fencing %t", k.order.Kind, f.name, checks), func(t *testing.T) {
					runSession(t, func(b *cluster) {
						is := is.New(b.t)
						store := b.addWeightStore(1)
						b.engine("a", func(c *standengine.Config) {
							b.useWeightStore(c)
							c.ChecksFencing = checks
							c.Models = []string{model + "@1+" + styleOne}
						})
						h := b.declareOrderTarget(k.order)
						call := func(fault func(*cluster, *weights.Server)) {
							if fault != nil {
								fault(b, store)
							}
						}
						call(f.begin)
						h.permitOnce(k.order)
						time.Sleep(2 * time.Second)
						call(f.during)
						time.Sleep(3 * time.Second)
						h.permitOnce(k.order)
						time.Sleep(time.Minute)
						call(f.end)
						h.permitUntilDone(k.order, k.done)
						b.requireSequentialOrders("a")
						is.True(k.done(b.engines["a"].State()))
					})
				})
			}
		}
	}
}

// declareOrderTarget declares what the order is to load or set.
func (b *cluster) declareOrderTarget(o engine.Order) *placer {
	m := b.doc.Models[0]
	m.Weights = model + "-1"
	m.Adapters = []*rudderv1.Adapter{{Name: "style", Version: "2", Weights: "style-2"}}
	if o.Version == "2" {
		m.Version = "2"
	}
	b.doc.Endpoints[0].Role = o.Role
	b.setMaxModels(2)
	h := b.placerClient("a")
	h.offer()
	h.await()
	return h
}

// permitOnce sends one permit for an order and ignores the result.
func (h *placer) permitOnce(o engine.Order) {
	if h.b.agents["a"].Ready() {
		h.place(h.permit(o))
	}
}

// permitUntilDone permits an order repeatedly until it has taken effect.
func (h *placer) permitUntilDone(o engine.Order, done func(engine.State) bool) {
	h.b.t.Helper()
	for range 600 {
		if done(h.b.engines["a"].State()) && h.report().Order == nil {
			return
		}
		h.offer()
		h.permitOnce(o)
		time.Sleep(time.Second)
	}
	h.b.t.Fatalf("order has no effect after ten minutes: order %v, engine state %v", h.report().Order, h.b.engines["a"].State())
}

// requireSequentialOrders checks that an engine got its orders one at a time
// and with increasing fencing numbers.
func (b *cluster) requireSequentialOrders(name string) {
	b.t.Helper()
	var last recordedOrder
	for _, o := range b.ordersAt(name) {
		if o.order.Fence <= last.order.Fence && b.hasFence(name) {
			b.t.Fatalf("fencing number %d came after %d", o.order.Fence, last.order.Fence)
		}
		if o.status == http.StatusConflict {
			b.t.Fatalf("engine refused %v as conflicting", o.order)
		}
		if !last.begin.IsZero() && (last.end.IsZero() || o.begin.Before(last.end)) {
			b.t.Fatalf("%v was sent at %v, before the end of %v at %v", o.order, o.begin, last.order, last.end)
		}
		last = o
	}
}

// hasFence reports whether the engine keeps the fencing number for the next
// agent.
func (b *cluster) hasFence(name string) bool { return b.engines[name].State().Fence > 0 }
