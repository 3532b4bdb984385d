package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/rudderv1"
)

const zone = "hall-mlynska"

// gatewayWithReports returns a gateway that has not been started and that has
// reports of n engines, all with version 1 of a model that the document
// declares with version 2.
func gatewayWithReports(t testing.TB, n int) *Gateway {
	t.Helper()
	client, err := inner.NewClient(inner.KeyFiles{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	g := New(Config{Name: "gw", DataCentre: zone}, Deps{Client: client, Tracker: generation.NewTracker(), Log: log.New(io.Discard)})
	doc := &rudderv1.Document{Generation: 2, Models: []*rudderv1.Model{{Name: "m", Version: "2", Floor: 1, Replicas: map[string]uint32{zone: uint32(n)}}}}
	for i := range n {
		doc.Endpoints = append(doc.Endpoints, &rudderv1.Endpoint{Name: fmt.Sprintf("e%03d", i), DataCentre: zone})
	}
	g.deps.Tracker.Offer(doc)
	for _, e := range doc.Endpoints {
		l := newLink(g, e)
		l.connected, l.lastReportAt = true, time.Now()
		l.report = &rudderv1.AgentReport{
			Incarnation: "i", AgentMs: 5000, Holds: 7, State: rudderv1.AgentState_AGENT_STATE_SERVING, Generation: 2,
			Models: []*rudderv1.LoadedModel{{Model: "m", Version: "1"}},
		}
		g.links.byName[e.Name] = l
		g.links.inOrder = append(g.links.inOrder, l)
	}
	return g
}

func TestPermitNamesReportItWasPlannedOn(t *testing.T) {
	is := is.New(t)
	g := gatewayWithReports(t, 4)
	p := g.placer
	planned := p.nextOrders(g.deps.Tracker.Document(), p.ownLinks(), time.Now().Add(300*time.Millisecond))
	is.Equal(len(planned), 1)
	l := g.links.byName[planned[0].Endpoint]
	l.report.Holds, l.report.AgentMs = 8, 60_000 // the plan was not based on this later report
	req := p.permitRequest(planned[0].Order, 2, p.decidedOn[planned[0].Endpoint])
	is.Equal(req.Kind, string(engine.OrderUnloadModel))
	is.Equal(req.Holds, uint64(7))
	is.True(req.ExpiresAgentMs >= 6300 && req.ExpiresAgentMs < 60_000)
}

func TestUnusableReports(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Gateway, *link)
		want   bool // the report is used and the endpoint may get an order
	}{
		{"usable", func(*Gateway, *link) {}, true},
		{"not connected", func(_ *Gateway, l *link) { l.connected = false }, false},
		{"silent", func(_ *Gateway, l *link) { l.lastReportAt = time.Now().Add(-maxReportAge) }, false},
		{"leaving", func(_ *Gateway, l *link) { l.report.State = rudderv1.AgentState_AGENT_STATE_LEAVING }, false},
		{"already unloading", func(_ *Gateway, l *link) { l.report.Models[0].Unloading = true; l.report.Order = unloadOrder() }, false},
		{"older than the agent's response", func(g *Gateway, l *link) {
			g.placer.leaseID = 1
			g.placer.confirmed = map[string]reportID{l.declared.Name: {incarnation: "i", holds: 8}}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := gatewayWithReports(t, 2)
			l := g.links.byName["e000"]
			c.change(g, l)
			p := g.placer
			view, _ := p.view(p.ownLinks(), time.Now())
			_, counts := view["e000"]
			is.Equal(counts && !view["e000"].Busy, c.want)
		})
	}
}

func unloadOrder() *rudderv1.OrderStatus {
	return &rudderv1.OrderStatus{Phase: rudderv1.OrderPhase_ORDER_PHASE_WAITING, Kind: string(engine.OrderUnloadModel), Model: "m", Version: "1"}
}

// BenchmarkPlacerRound measures one planning round for a data centre of the
// target size.
func BenchmarkPlacerRound(b *testing.B) {
	g := gatewayWithReports(b, 181)
	now := time.Now()
	for b.Loop() {
		g.placer.nextOrders(g.deps.Tracker.Document(), g.placer.ownLinks(), now)
	}
}
