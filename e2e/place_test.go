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
	loadTime    = 10 * time.Second // for a model's weights with a single reader
	weightBytes = 1 << 20
)

// placer sends placement requests to one agent, as the placer in a gateway
// does.
type placer struct {
	b      *cluster
	client rudderv1connect.AgentServiceClient
}

func (b *cluster) placerClient(name string) *placer {
	client, err := inner.NewClient(inner.KeyFiles{}, b.dial)
	if err != nil {
		b.t.Fatal(err)
	}
	b.cleanup = append(b.cleanup, client.CloseIdleConnections)
	return &placer{b, rudderv1connect.NewAgentServiceClient(client, client.URL(agentAddr(name)))}
}

// offer sends the agent the cluster's document.
func (h *placer) offer() {
	_, err := h.client.Offer(h.b.t.Context(), connect.NewRequest(&rudderv1.OfferRequest{Document: h.b.doc}))
	if err != nil {
		h.b.t.Fatal(err)
	}
}

func (h *placer) place(req *rudderv1.PlaceRequest) *rudderv1.PlaceResponse {
	h.b.t.Helper()
	ctx, cancel := context.WithTimeout(h.b.t.Context(), time.Minute)
	defer cancel()
	resp, err := h.client.Place(ctx, connect.NewRequest(req))
	if err != nil {
		h.b.t.Fatal(err)
	}
	return resp.Msg
}

func (h *placer) report() *rudderv1.AgentReport { return h.place(&rudderv1.PlaceRequest{}).Report }

// permit returns a permit based on the agent's present report.
func (h *placer) permit(o engine.Order) *rudderv1.PlaceRequest {
	r := h.report()
	return &rudderv1.PlaceRequest{
		Incarnation: r.Incarnation, Generation: r.Generation, Holds: r.Holds, ExpiresAgentMs: r.AgentMs + 1000,
		Kind: string(o.Kind), Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role,
	}
}

// await waits until the agent has no order in progress and returns its report.
func (h *placer) await() *rudderv1.AgentReport {
	h.b.t.Helper()
	for range 600 {
		r := h.report()
		if r.Order == nil || r.Order.Phase == rudderv1.OrderPhase_ORDER_PHASE_FAILED {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.b.t.Fatal("order is still in progress after a minute")
	return nil
}

// setMaxModels lets every declared endpoint hold n models.
func (b *cluster) setMaxModels(n uint32) {
	for _, e := range b.doc.Endpoints {
		e.MaxModels = n
	}
}

// addWeightStore adds a weight store that serves the given number of concurrent
// readers in loadTime.
func (b *cluster) addWeightStore(readers int) *weights.Server {
	s := weights.NewServer(weights.Config{BytesPerSecond: float64(readers) * weightBytes / loadTime.Seconds(), DefaultBytes: weightBytes})
	b.serve(weightsAddr, s.Handler())
	return s
}

// useWeightStore configures an engine to read its weights from the weight
// store.
func (b *cluster) useWeightStore(c *standengine.Config) {
	c.WeightsURL, c.HTTPClient = "http://"+weightsAddr, b.httpClient()
}

var (
	load2   = engine.Order{Kind: engine.OrderLoadModel, Model: model, Version: "2"}
	unload1 = engine.Order{Kind: engine.OrderUnloadModel, Model: model, Version: "1"}
)

// nextVersion sets the document's model to its next version.
func (b *cluster) nextVersion() {
	b.doc = cloneDocument(b.doc)
	b.doc.Generation++
	b.doc.PlanId = "plan-" + string(rune('0'+b.doc.Generation))
	b.doc.Models[0].Version = string(rune('0' + b.doc.Generation))
	b.doc.Models[0].Weights = model + "-" + b.doc.Models[0].Version
}

func TestUnloadWaitsForRuns(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		h := b.placerClient("a")
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
		change func(b *cluster, h *placer, p *rudderv1.PlaceRequest)
		want   result.Code
	}{
		{"older generation", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) { b.nextVersion(); h.offer() }, result.OldGeneration},
		{"unknown generation", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) { p.Generation++ }, result.NotConfigured},
		{"other incarnation", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) { p.Incarnation = "x" }, result.IncarnationGone},
		{"older report", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) { p.Holds-- }, result.FenceOld},
		{"late", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) { time.Sleep(1100 * time.Millisecond) }, result.OrderExpired},
		{"not held", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) { p.Version = "7" }, result.NotAllowed},
		{"unknown kind", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) { p.Kind = "stop" }, result.NotAllowed},
		{"not in the document", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) { p.Kind, p.Version = string(load2.Kind), "7" }, result.NotAllowed},
		{"full", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) {
			b.nextVersion()
			h.offer()
			p.Kind, p.Version, p.Generation = string(load2.Kind), "2", 2
		}, result.NotAllowed},
		{"twice", func(b *cluster, h *placer, p *rudderv1.PlaceRequest) {
			b.engines["a"].SetFaults(standengine.Faults{Hang: true})
			if !h.place(p).Accepted {
				b.t.Fatal("the first permit was not accepted")
			}
		}, result.OrderInProgress},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runSession(t, func(b *cluster) {
				is := is.New(b.t)
				b.engine("a", nil)
				h := b.placerClient("a")
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
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		synctest.Wait()
		h := b.placerClient("a")
		h.offer()
		is.Equal(result.Code(h.place(h.permit(unload1)).Code), result.OrderInProgress)
		is.Equal(h.report().Order.Phase, rudderv1.OrderPhase_ORDER_PHASE_FOUND)
		time.Sleep(orders.ResolveTime + time.Second)
		is.True(h.report().Order == nil)
	})
}

// TestUnloadGivesGatewaysTime: a run that a gateway sends before it has learned
// of the unload is accepted, and the unload waits for it.
func TestUnloadGivesGatewaysTime(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		h := b.placerClient("a")
		h.await()
		is.True(h.place(h.permit(unload1)).Accepted)
		got := b.ask("gw1", "POST", chatPath, chat("just in time", 100, true), nil)
		is.Equal(got.text, answerTo("just in time", 100))
		is.True(got.done)
		time.Sleep(time.Second)
		is.Equal(b.engines["a"].Counts().Died, 0)
		is.Equal(b.ordersAt("a")[0].order.Kind, engine.OrderUnloadModel)
	})
}

// TestPausedAgentGivesNothing pauses an agent between reading the endpoint's
// state and sending the order, with and without a new generation meanwhile. The
// agent must not send the order.
func TestPausedAgentGivesNothing(t *testing.T) {
	for _, newGeneration := range []bool{false, true} {
		runSession(t, func(b *cluster) {
			is := is.New(b.t)
			b.engine("a", nil)
			h := b.placerClient("a")
			h.offer()
			h.await()
			b.setDelay("a", time.Minute)
			is.True(h.place(h.permit(unload1)).Accepted)
			time.Sleep(time.Second)
			if newGeneration {
				b.nextVersion()
				h.offer()
			}
			time.Sleep(2 * time.Minute)
			b.setDelay("a", 0)
			time.Sleep(2 * time.Minute)
			is.Equal(len(b.ordersAt("a")), 0)
			is.True(h.report().Order == nil)
			is.True(!h.report().Models[0].Unloading)
		})
	}
}

// TestLateEndpointStateIgnored: state that the endpoint reported before an
// order and that arrives after the order's end changes nothing.
func TestLateEndpointStateIgnored(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		h := b.placerClient("a")
		h.offer()
		h.await()
		b.setDelay("a", 30*time.Second)
		time.Sleep(6 * time.Second) // a probe is in flight
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
