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

// orderKinds are the orders of the fault table with the effect that each must
// have in the end. The engine holds the model's version 1 with style@1.
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

// orderFaults are the faults of the table; begin switches one on before the
// order is permitted, during it happens while the order is on its way, and end
// switches it off.
var orderFaults = []struct {
	name               string
	begin, during, end func(b *bubble, store *weights.Server)
}{
	{name: "none"},
	{name: "agent dies", during: func(b *bubble, _ *weights.Server) { b.restartAgent("a") }},
	{
		name:  "agent paused before the order",
		begin: func(b *bubble, _ *weights.Server) { b.setDelay("a", time.Minute) },
		end:   func(b *bubble, _ *weights.Server) { b.setDelay("a", 0) },
	},
	{
		name: "answer lost",
		begin: func(b *bubble, _ *weights.Server) {
			b.engines["a"].SetFaults(standengine.Faults{LoseOrderAnswer: true})
		},
		end: func(b *bubble, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{}) },
	},
	{name: "engine restarts", during: func(b *bubble, _ *weights.Server) { b.engines["a"].Crash() }},
	{
		name:   "engine hangs",
		during: func(b *bubble, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{Hang: true}) },
		end:    func(b *bubble, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{}) },
	},
	{
		name:  "engine fails orders",
		begin: func(b *bubble, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{FailOrders: true}) },
		end:   func(b *bubble, _ *weights.Server) { b.engines["a"].SetFaults(standengine.Faults{}) },
	},
	{
		name:  "weight store away",
		begin: func(_ *bubble, s *weights.Server) { s.SetFaults(weights.Faults{Refuse: true}) },
		end:   func(_ *bubble, s *weights.Server) { s.SetFaults(weights.Faults{}) },
	},
	{
		name:  "weight store cuts",
		begin: func(_ *bubble, s *weights.Server) { s.SetFaults(weights.Faults{CutAfterBytes: 1000}) },
		end:   func(_ *bubble, s *weights.Server) { s.SetFaults(weights.Faults{}) },
	},
}

// restartAgent kills an agent and starts its successor.
func (b *bubble) restartAgent(name string) {
	old := b.agents[name]
	b.kill(agentAddr(name))
	old.Close()
	b.agent(name, "", standengine.Default().MemoryTokens)
}

func (b *bubble) setDelay(name string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay[name] = d
}

// TestOrderFaultTable gives each kind of order under each fault, to engines
// that check fencing numbers and to those that ignore them, and permits it
// again until its effect is there. Orders never overlap and their numbers grow.
func TestOrderFaultTable(t *testing.T) {
	for _, k := range orderKinds {
		for _, f := range orderFaults {
			for _, checks := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/checks fencing %t", k.order.Kind, f.name, checks), func(t *testing.T) {
					run(t, func(b *bubble) {
						is := is.New(b.t)
						store := b.store(1)
						b.engine("a", func(c *standengine.Config) {
							b.fromStore(c)
							c.ChecksFencing = checks
							c.Models = []string{model + "@1+" + styleOne}
						})
						h := b.prepare(k.order)
						call := func(fault func(*bubble, *weights.Server)) {
							if fault != nil {
								fault(b, store)
							}
						}
						call(f.begin)
						h.try(k.order)
						time.Sleep(2 * time.Second)
						call(f.during)
						time.Sleep(3 * time.Second)
						h.try(k.order)
						time.Sleep(time.Minute)
						call(f.end)
						h.drive(k.order, k.done)
						b.requireInTurn("a")
						is.True(k.done(b.engines["a"].State()))
					})
				})
			}
		}
	}
}

// prepare declares what the orders of the table ask for.
func (b *bubble) prepare(o engine.Order) *hand {
	m := b.doc.Models[0]
	m.Weights = model + "-1"
	m.Adapters = []*rudderv1.Adapter{{Name: "style", Version: "2", Weights: "style-2"}}
	if o.Version == "2" {
		m.Version = "2"
	}
	b.doc.Endpoints[0].Role = o.Role
	b.slots(2)
	h := b.hand("a")
	h.offer()
	h.await()
	return h
}

// try permits an order once, whatever comes of it.
func (h *hand) try(o engine.Order) {
	if h.b.agents["a"].Ready() {
		h.place(h.permit(o))
	}
}

// drive permits an order until its effect is there.
func (h *hand) drive(o engine.Order, done func(engine.State) bool) {
	h.b.t.Helper()
	for range 600 {
		if done(h.b.engines["a"].State()) && h.report().Order == nil {
			return
		}
		h.offer()
		h.try(o)
		time.Sleep(time.Second)
	}
	h.b.t.Fatalf("no effect after ten minutes: %v, %v", h.report().Order, h.b.engines["a"].State())
}

// requireInTurn checks that an engine got its orders one at a time and under
// growing fencing numbers.
func (b *bubble) requireInTurn(name string) {
	b.t.Helper()
	var last orderSeen
	for _, o := range b.seen(name) {
		if o.order.Fence <= last.order.Fence && b.fenced(name) {
			b.t.Fatalf("fence %d after %d", o.order.Fence, last.order.Fence)
		}
		if o.status == http.StatusConflict {
			b.t.Fatalf("%v refused: out of turn", o.order)
		}
		if !last.begin.IsZero() && (last.end.IsZero() || o.begin.Before(last.end)) {
			b.t.Fatalf("%v given at %v before the end of %v at %v", o.order, o.begin, last.order, last.end)
		}
		last = o
	}
}

// fenced tells whether the engine remembers the fencing number for the next agent.
func (b *bubble) fenced(name string) bool { return b.engines[name].State().Fence > 0 }
