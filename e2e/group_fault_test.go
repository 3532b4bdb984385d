package e2e

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
)

const (
	smallMemory = 45_000
	groupTokens = 100_000
	groupAnswer = 200
	downTime    = 3 * time.Second
	frozenTime  = 15 * time.Second
)

// smallFleet starts four engines of a tenth of the usual size; a prompt of
// groupTokens needs all of them.
func (b *bubble) smallFleet(gateways ...string) {
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		b.engine(name, func(c *standengine.Config) { c.MemoryTokens = smallMemory })
	}
	for _, g := range gateways {
		b.gateway(g)
	}
	b.publish()
}

// moment is a step of a group, seen at the engines. The members compute in the
// order of their names.
type moment struct {
	name  string
	seen  func(b *bubble) bool
	after time.Duration // more, from when it was seen
	who   []string      // members that have a part in it
}

func (b *bubble) runs(name string) int { return len(b.engines[name].State().Running) }
func (b *bubble) helds(name string) int {
	return len(b.engines[name].State().Held)
}

var moments = []moment{
	{"first span", func(b *bubble) bool { return b.runs("e1") > 0 }, 0, []string{"e1", "e4"}},
	{"hand over", func(b *bubble) bool { return b.helds("e1") > 0 && b.runs("e2") == 0 }, 0, []string{"e1", "e2"}},
	{"second span", func(b *bubble) bool { return b.runs("e2") > 0 }, 0, []string{"e2"}},
	{"last import", func(b *bubble) bool { return b.helds("e4") > 0 && b.runs("e4") == 0 }, 0, []string{"e3", "e4"}},
	{"last span", func(b *bubble) bool { return b.runs("e4") > 0 }, 0, []string{"e4"}},
	{"answer", func(b *bubble) bool { return b.runs("e4") > 0 }, 3 * time.Second, []string{"e4"}},
}

// fault is something that befalls one process.
type fault struct {
	name string
	do   func(b *bubble)
	// lone: nobody is left who could answer the caller.
	lone bool
}

func dies(name string) func(b *bubble) {
	return func(b *bubble) {
		b.crash(name, agentAddr(name))
		time.AfterFunc(downTime, func() {
			b.agents[name].Close()
			b.revive(name)
			b.agent(name, "", smallMemory)
		})
	}
}

func freezes(ends ...string) func(b *bubble) {
	return func(b *bubble) {
		b.freeze(ends...)
		time.AfterFunc(frozenTime, func() { b.thaw(ends...) })
	}
}

func hangs(name string, f standengine.Faults, after time.Duration) func(b *bubble) {
	return func(b *bubble) {
		b.engines[name].SetFaults(f)
		time.AfterFunc(after, func() { b.engines[name].SetFaults(standengine.Faults{}) })
	}
}

func breaks(ends ...string) func(b *bubble) { return func(b *bubble) { b.breakConns(ends...) } }

func both(f, g func(b *bubble)) func(b *bubble) { return func(b *bubble) { f(b); g(b) } }

func faults(members []string) []fault {
	out := []fault{
		{"coordinator dies", func(b *bubble) { b.crash("gw1", "gw1") }, true},
		{"coordinator freezes", freezes("gw1"), false},
		{"coordinator loses messages", breaks("gw1"), true}, // its caller's connection too
		{"caller leaves", func(b *bubble) { b.breakConns("") }, true},
	}
	for _, name := range members {
		out = append(out,
			fault{"agent " + name + " dies", dies(name), false},
			fault{"agent " + name + " freezes", freezes(name, agentAddr(name)), false},
			fault{"agent " + name + " loses messages", breaks(name, agentAddr(name)), false},
			fault{"engine " + name + " dies", func(b *bubble) { b.engines[name].Crash() }, false},
			fault{"engine " + name + " freezes", hangs(name, standengine.Faults{Hang: true}, frozenTime), false},
			fault{"engine " + name + " loses messages", hangs(name, standengine.Faults{LoseOrderAnswer: true}, downTime), false},
			fault{"coordinator and agent " + name + " die", both(func(b *bubble) { b.crash("gw1", "gw1") }, dies(name)), true},
			fault{"coordinator and engine " + name + " freeze",
				both(freezes("gw1"), hangs(name, standengine.Faults{Hang: true}, frozenTime+time.Second)), false},
		)
	}
	return out
}

// TestGroupUnderFaults: whatever befalls a group at any step, the caller gets
// the whole answer or a definite code in time, unrepeatable work runs at most
// once, and no engine loses memory.
func TestGroupUnderFaults(t *testing.T) {
	for _, m := range moments {
		for _, f := range faults(m.who) {
			for _, repeatable := range []bool{true, false} {
				name := m.name + "/" + f.name
				if !repeatable {
					name += "/unrepeatable"
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					run(t, func(b *bubble) { groupFault(b, m, f, repeatable) })
				})
			}
		}
	}
}

func groupFault(b *bubble, m moment, f fault, repeatable bool) {
	is := is.New(b.t)
	b.smallFleet("gw1", "gw2")
	const deadline = 3 * time.Minute
	prompt := longPrompt("archive", groupTokens)
	header := map[string]string{"Rudder-Deadline": deadline.String()}
	if !repeatable {
		header["Rudder-Repeatable"] = "false"
	}
	got := make(chan reply, 1)
	began := time.Now()
	go func() { got <- b.ask("gw1", "POST", chatPath, chat(prompt, groupAnswer, true), header) }()
	for !m.seen(b) {
		if time.Since(began) > deadline {
			b.t.Fatal("the moment never came")
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(m.after)
	f.do(b)
	r := <-got
	if ticket := r.header.Get("Rudder-Ticket"); !r.done && !definite(r) && ticket != "" {
		r = b.ask("gw2", "GET", "/v1/runs/"+ticket, "", header) // the stream was cut: read the answer elsewhere
		is.True(r.done || definite(r))
	}
	is.True(time.Since(began) <= deadline+time.Second)
	ran := 0
	for _, e := range b.engines {
		ran += len(e.Executions())
	}
	whole := r.err == nil && r.done && r.text == answerTo(prompt, groupAnswer)
	b.t.Logf("after %v: status %d, whole %t, ran %d, %s%s", time.Since(began), r.status, whole, ran, r.body, r.problem)
	if !f.lone && repeatable {
		is.True(whole)
	}
	if !f.lone && !whole {
		is.True(definite(r)) // a problem with a code
	}
	if !repeatable {
		is.True(ran <= 1)
	}
	time.Sleep(2 * time.Minute)
	b.allFree()
}

// definite reports whether the caller was told a numbered code.
func definite(r reply) bool {
	var whole struct {
		Code    int
		Outcome string
	}
	var event struct {
		Error struct {
			Code    int
			Outcome string
		}
	}
	_ = json.Unmarshal([]byte(r.body), &whole)
	_ = json.Unmarshal([]byte(r.problem), &event)
	return whole.Code > 2000 && whole.Outcome != "" || event.Error.Code > 2000 && event.Error.Outcome != ""
}
