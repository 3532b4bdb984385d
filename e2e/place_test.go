package e2e

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/inner"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/weights"
	"github.com/micarudder/micarudder/orders"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

const (
	weightsAddr = "weights:9000"
	loadTime    = 10 * time.Second // of a model's weights when nobody else reads
	weightBytes = 1 << 20
)

// hand gives orders to one agent as a placer would.
type hand struct {
	b      *bubble
	client rudderv1connect.AgentServiceClient
}

func (b *bubble) hand(name string) *hand {
	client, err := inner.NewClient(inner.KeyFiles{}, b.dial)
	if err != nil {
		b.t.Fatal(err)
	}
	b.cleanup = append(b.cleanup, client.CloseIdleConnections)
	return &hand{b, rudderv1connect.NewAgentServiceClient(client, client.URL(agentAddr(name)))}
}

// offer hands the agent the bubble's document.
func (h *hand) offer() {
	_, err := h.client.Offer(h.b.t.Context(), connect.NewRequest(&rudderv1.OfferRequest{Document: h.b.doc}))
	if err != nil {
		h.b.t.Fatal(err)
	}
}

func (h *hand) place(req *rudderv1.PlaceRequest) *rudderv1.PlaceResponse {
	h.b.t.Helper()
	ctx, cancel := context.WithTimeout(h.b.t.Context(), time.Minute)
	defer cancel()
	resp, err := h.client.Place(ctx, connect.NewRequest(req))
	if err != nil {
		h.b.t.Fatal(err)
	}
	return resp.Msg
}

func (h *hand) report() *rudderv1.AgentReport { return h.place(&rudderv1.PlaceRequest{}).Report }

// permit makes a permit on the agent's present report.
func (h *hand) permit(o engine.Order) *rudderv1.PlaceRequest {
	r := h.report()
	return &rudderv1.PlaceRequest{
		Incarnation: r.Incarnation, Generation: r.Generation, Holds: r.Holds, ExpiresAgentMs: r.AgentMs + 1000,
		Kind: string(o.Kind), Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role,
	}
}

// await waits until the agent has no order in progress and returns its report.
func (h *hand) await() *rudderv1.AgentReport {
	h.b.t.Helper()
	for range 600 {
		r := h.report()
		if r.Order == nil || r.Order.Phase == rudderv1.OrderPhase_ORDER_PHASE_FAILED {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.b.t.Fatal("the order does not end")
	return nil
}

// slots gives every declared endpoint room for n models.
func (b *bubble) slots(n uint32) {
	for _, e := range b.doc.Endpoints {
		e.MaxModels = n
	}
}

// store adds a weight store that serves n readers in loadTime.
func (b *bubble) store(n int) *weights.Server {
	s := weights.NewServer(weights.Config{BytesPerSecond: float64(n) * weightBytes / loadTime.Seconds(), DefaultBytes: weightBytes})
	b.serve(weightsAddr, s.Handler())
	return s
}

// fromStore lets an engine read its weights from the store.
func (b *bubble) fromStore(c *standengine.Config) {
	c.WeightsURL, c.HTTPClient = "http://"+weightsAddr, b.httpClient()
}

var (
	load2   = engine.Order{Kind: engine.OrderLoadModel, Model: model, Version: "2"}
	unload1 = engine.Order{Kind: engine.OrderUnloadModel, Model: model, Version: "1"}
)

// nextVersion raises the document's model to the next version.
func (b *bubble) nextVersion() {
	b.doc = cloneDocument(b.doc)
	b.doc.Generation++
	b.doc.PlanId = "plan-" + string(rune('0'+b.doc.Generation))
	b.doc.Models[0].Version = string(rune('0' + b.doc.Generation))
	b.doc.Models[0].Weights = model + "-" + b.doc.Models[0].Version
}

func TestUnloadWaitsForRuns(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		h := b.hand("a")
		h.await()
		answer := make(chan reply, 1)
		go func() { answer <- b.ask("gw1", "POST", chatPath, chat("a long bid", 400, true), nil) }()
		time.Sleep(time.Second)
		is.True(h.place(h.permit(unload1)).Accepted)
		time.Sleep(500 * time.Millisecond)
		r := h.report()
		is.Equal(r.Order.Phase, rudderv1.OrderPhase_ORDER_PHASE_WAITING)
		is.Equal(r.Order.Runs, uint32(1))
		is.True(r.Models[0].Unloading)
		is.Equal(len(b.engines["a"].State().Models), 1)
		refused := b.ask("gw1", "POST", chatPath, chat("late", 5, false), nil)
		is.Equal(refused.status, 503)
		got := <-answer
		is.Equal(got.text, answerTo("a long bid", 400))
		is.True(got.done)
		h.await()
		is.Equal(len(b.engines["a"].State().Models), 0)
	})
}

func TestPermitsThatAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *bubble, h *hand, p *rudderv1.PlaceRequest)
		want   result.Code
	}{
		{"older generation", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) { b.nextVersion(); h.offer() }, result.OldGeneration},
		{"unknown generation", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) { p.Generation++ }, result.NotConfigured},
		{"other incarnation", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) { p.Incarnation = "x" }, result.IncarnationGone},
		{"older report", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) { p.Holds-- }, result.FenceOld},
		{"late", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) { time.Sleep(1100 * time.Millisecond) }, result.OrderExpired},
		{"not held", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) { p.Version = "7" }, result.NotAllowed},
		{"unknown kind", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) { p.Kind = "stop" }, result.NotAllowed},
		{"not in the document", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) { p.Kind, p.Version = string(load2.Kind), "7" }, result.NotAllowed},
		{"full", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) {
			b.nextVersion()
			h.offer()
			p.Kind, p.Version, p.Generation = string(load2.Kind), "2", 2
		}, result.NotAllowed},
		{"twice", func(b *bubble, h *hand, p *rudderv1.PlaceRequest) {
			b.engines["a"].SetFaults(standengine.Faults{Hang: true})
			if !h.place(p).Accepted {
				b.t.Fatal("not accepted")
			}
		}, result.OrderInProgress},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(b *bubble) {
				is := is.New(b.t)
				b.engine("a", nil)
				h := b.hand("a")
				h.offer()
				h.await()
				p := h.permit(unload1)
				c.change(b, h, p)
				resp := h.place(p)
				is.True(!resp.Accepted)
				is.Equal(result.Code(resp.Code), c.want)
				b.engines["a"].SetFaults(standengine.Faults{})
			})
		})
	}
}

func TestPermitBeforeTheEndpointIsKnown(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		synctest.Wait()
		h := b.hand("a")
		h.offer()
		is.Equal(result.Code(h.place(h.permit(unload1)).Code), result.OrderInProgress)
		is.Equal(h.report().Order.Phase, rudderv1.OrderPhase_ORDER_PHASE_FOUND)
		time.Sleep(orders.ResolveTime + time.Second)
		is.True(h.report().Order == nil)
	})
}

// TestUnloadGivesGatewaysTime: a run that a gateway sends before it has heard
// of the unload is taken, and the unload waits for it.
func TestUnloadGivesGatewaysTime(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		h := b.hand("a")
		h.await()
		is.True(h.place(h.permit(unload1)).Accepted)
		got := b.ask("gw1", "POST", chatPath, chat("just in time", 100, true), nil)
		is.Equal(got.text, answerTo("just in time", 100))
		is.True(got.done)
		time.Sleep(time.Second)
		is.Equal(b.engines["a"].Counts().Died, 0)
		is.Equal(b.seen("a")[0].order.Kind, engine.OrderUnloadModel)
	})
}

// TestPausedAgentGivesNothing pauses an agent between the endpoint's word and
// the order, with and without a new generation in the meantime.
func TestPausedAgentGivesNothing(t *testing.T) {
	for _, renewed := range []bool{false, true} {
		run(t, func(b *bubble) {
			is := is.New(b.t)
			b.engine("a", nil)
			h := b.hand("a")
			h.offer()
			h.await()
			b.setDelay("a", time.Minute)
			is.True(h.place(h.permit(unload1)).Accepted)
			time.Sleep(time.Second)
			if renewed {
				b.nextVersion()
				h.offer()
			}
			time.Sleep(2 * time.Minute)
			b.setDelay("a", 0)
			time.Sleep(2 * time.Minute)
			is.Equal(len(b.seen("a")), 0)
			is.True(h.report().Order == nil)
			is.True(!h.report().Models[0].Unloading)
		})
	}
}

// TestLateWordOfTheEndpoint: what the endpoint said before an order, and what
// arrives after its end, changes nothing.
func TestLateWordOfTheEndpoint(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		h := b.hand("a")
		h.offer()
		h.await()
		b.setDelay("a", 30*time.Second)
		time.Sleep(6 * time.Second) // a probe is on its way
		b.setDelay("a", 0)
		is.True(h.place(h.permit(unload1)).Accepted)
		h.await()
		is.Equal(len(h.report().Models), 0)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(len(h.report().Models), 0)
		}
	})
}
