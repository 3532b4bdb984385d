package e2e

import (
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

// coordinatorClient sends a coordinator's requests to one agent.
type coordinatorClient struct {
	b      *cluster
	is     *is.I
	name   string
	client rudderv1connect.AgentServiceClient
}

func (b *cluster) coordinatorClient(name string) *coordinatorClient {
	c := b.innerClient()
	return &coordinatorClient{b, is.New(b.t), name, rudderv1connect.NewAgentServiceClient(c, c.URL(agentAddr(name)))}
}

func (d *coordinatorClient) reserve(group string, epoch, tokens uint64) *rudderv1.ReserveResponse {
	d.b.t.Helper()
	resp, err := d.client.Reserve(d.b.t.Context(), connect.NewRequest(&rudderv1.ReserveRequest{
		Group: group, Epoch: epoch, Tokens: tokens, LeaseMs: 2000, Holder: "test",
	}))
	d.is.NoErr(err)
	return resp.Msg
}

func (d *coordinatorClient) prefill(reservation, prompt string, start, tokens uint64, before ...*rudderv1.KVHandle) *rudderv1.PrefillResponse {
	d.b.t.Helper()
	resp, err := d.client.Prefill(d.b.t.Context(), connect.NewRequest(&rudderv1.PrefillRequest{
		Reservation: reservation, Model: model, Body: []byte(chat(prompt, 8, false)), Path: chatPath,
		StartToken: start, Tokens: tokens, Before: before, RemainingMs: 60_000,
	}))
	d.is.NoErr(err)
	return resp.Msg
}

func (d *coordinatorClient) renew(reservation string) bool {
	resp, err := d.client.Renew(d.b.t.Context(), connect.NewRequest(&rudderv1.RenewRequest{Reservation: reservation, LeaseMs: 2000}))
	return err == nil && resp.Msg.Held
}

// heldTokens counts the tokens that an engine holds outside runs.
func (b *cluster) heldTokens(name string) (sum uint64) {
	for _, h := range b.engines[name].State().Held {
		sum += h.Tokens
	}
	return sum
}

// TestLeaseUnderFaults: whatever fault hits a lease or its holder, the engine's
// memory is free in the end and the agent can reserve all of it again.
func TestLeaseUnderFaults(t *testing.T) {
	prompt := strings.Repeat("archive ", 4_000) // 8000 tokens
	cases := []struct {
		name string
		do   func(d *coordinatorClient)
	}{
		{"coordinator dies after the reservation", func(d *coordinatorClient) { d.is.True(d.reserve("g", 1, 300_000).Granted) }},
		{"coordinator dies after the span", func(d *coordinatorClient) {
			d.reserve("g", 1, 300_000)
			d.is.Equal(d.prefill("g.1", prompt, 0, 4000).Code, uint32(result.OK))
			d.is.Equal(d.b.heldTokens("a"), uint64(4000))
		}},
		{"lapsed leases are refused", func(d *coordinatorClient) {
			d.reserve("g", 1, 300_000)
			time.Sleep(2001 * time.Millisecond)
			d.is.True(!d.renew("g.1"))
			d.is.Equal(d.prefill("g.1", prompt, 0, 4000).Code, uint32(result.LeaseLost))
			d.is.Equal(d.reserve("g", 1, 300_000).Code, uint32(result.LeaseLost))
		}},
		{"order given twice", func(d *coordinatorClient) {
			d.reserve("g", 1, 300_000)
			first := d.prefill("g.1", prompt, 0, 4000)
			again := d.prefill("g.1", prompt, 0, 4000)
			d.is.Equal(again.Handle.Id, first.Handle.Id)
			d.is.Equal(d.b.heldTokens("a"), uint64(4000))
		}},
		{"engine loses the answer of the span", func(d *coordinatorClient) {
			d.reserve("g", 1, 300_000)
			d.b.engines["a"].SetFaults(standengine.Faults{LoseOrderAnswer: true})
			d.is.Equal(d.prefill("g.1", prompt, 0, 4000).Code, uint32(result.OK))
		}},
		{"engine dies with the span", func(d *coordinatorClient) {
			d.reserve("g", 1, 300_000)
			time.AfterFunc(100*time.Millisecond, d.b.engines["a"].Crash)
			d.is.Equal(d.prefill("g.1", prompt, 0, 4000).Code, uint32(result.EndpointLost))
		}},
		{"engine freezes in the span and thaws", func(d *coordinatorClient) {
			d.reserve("g", 1, 300_000)
			time.AfterFunc(100*time.Millisecond, func() { d.b.engines["a"].SetFaults(standengine.Faults{Hang: true}) })
			time.AfterFunc(20*time.Second, func() { d.b.engines["a"].SetFaults(standengine.Faults{}) })
			d.is.Equal(d.prefill("g.1", prompt, 0, 4000).Code, uint32(result.LeaseLost))
		}},
		{"engine ignores that the span is cancelled", func(d *coordinatorClient) {
			d.reserve("g", 1, 300_000)
			d.b.engines["a"].SetFaults(standengine.Faults{IgnoreCancel: true, SlowFactor: 100})
			d.is.Equal(d.prefill("g.1", prompt, 0, 4000).Code, uint32(result.LeaseLost))
			d.b.engines["a"].SetFaults(standengine.Faults{IgnoreCancel: true})
		}},
		{"agent dies after the span", func(d *coordinatorClient) {
			d.reserve("g", 1, 300_000)
			d.prefill("g.1", prompt, 0, 4000)
			d.b.kill(agentAddr("a"))
			d.b.agents["a"].Close()
			d.is.Equal(d.b.heldTokens("a"), uint64(4000))
			d.b.agent("a", "", 450_000)
		}},
		{"the free order is lost", func(d *coordinatorClient) {
			d.reserve("g", 1, 300_000)
			d.prefill("g.1", prompt, 0, 4000)
			d.b.engines["a"].SetFaults(standengine.Faults{Hang: true})
			time.AfterFunc(20*time.Second, func() { d.b.engines["a"].SetFaults(standengine.Faults{}) })
		}},
		{"no room beside other work", func(d *coordinatorClient) {
			d.is.True(d.reserve("g", 1, 300_000).Granted)
			d.is.Equal(d.reserve("h", 1, 300_000).Code, uint32(result.MemoryHeld))
			d.is.True(d.b.coordinatorClient("a").reserve("e", 1, 90_000).Granted)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runSession(t, func(b *cluster) {
				b.engine("a", nil)
				b.gateway("gw1")
				b.publish()
				c.do(b.coordinatorClient("a"))
				time.Sleep(time.Minute)
				b.requireMemoryFree()
			})
		})
	}
}

// requireMemoryFree checks that no engine holds memory or runs anything, and
// that no agent accounts for any memory as in use.
func (b *cluster) requireMemoryFree() {
	b.t.Helper()
	is := is.New(b.t)
	for name, e := range b.engines {
		st := e.State()
		is.Equal(len(st.Held), 0)    // held spans
		is.Equal(len(st.Running), 0) // runs
		is.Equal(st.Load.FreeTokens, st.Load.MemoryTokens)
		resp := b.coordinatorClient(name).reserve("check-"+name, 1, 1)
		is.True(resp.Granted)
		is.Equal(resp.Load.ReservedTokens, uint64(1))
		is.Equal(resp.Load.FreeTokens, st.Load.MemoryTokens-1)
	}
}

// TestOrphansFreedAtStart: memory that an earlier agent left held at the engine
// is freed before the next agent serves.
func TestOrphansFreedAtStart(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.kill(agentAddr("a"))
		b.agents["a"].Close()
		c := engine.NewClient(engine.Options{BaseURL: "http://" + engineAddr("a"), HTTPClient: b.httpClient()})
		is.NoErr(c.Prefill(b.t.Context(), engine.Span{
			ID: "x", Owner: "old.1", Path: chatPath, Body: []byte(chat(strings.Repeat("x", 40_000), 1, false)), Tokens: 10_000,
		}))
		is.Equal(b.heldTokens("a"), uint64(10_000))
		a := b.agent("a", "", 450_000)
		for !a.Ready() {
			time.Sleep(time.Millisecond)
		}
		is.Equal(b.heldTokens("a"), uint64(0))
	})
}
