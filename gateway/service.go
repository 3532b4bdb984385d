package gateway

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

// maxFetchWait is the maximum duration of a peer's long poll.
const maxFetchWait = time.Minute

// server implements rudder.v1.GatewayService.
type server struct{ g *Gateway }

// InnerHandler returns the path and handler of the gateway's inner protocol.
func (g *Gateway) InnerHandler() (string, http.Handler) {
	return rudderv1connect.NewGatewayServiceHandler(&server{g}, inner.HandlerOptions()...)
}

// Status reports the gateway's view of the fleet.
func (s *server) Status(context.Context, *connect.Request[rudderv1.StatusRequest]) (*connect.Response[rudderv1.StatusResponse], error) {
	g := s.g
	silent := g.platform.silence()
	resp := &rudderv1.StatusResponse{
		Gateway: g.cfg.Name, DataCentre: g.cfg.DataCentre, Generation: g.deps.Tracker.Generation(),
		PlatformReachable: g.platform.reachable(), PlatformSilentMs: silent.Milliseconds(), Draining: g.drain.Begun(),
		Placing: g.placer.elector.heldID(time.Now()) != 0,
	}
	names, byIndex := g.links.namesAndLinks()
	verdicts := g.members.verdicts(names, time.Now())
	for i, l := range byIndex {
		st := l.status()
		st.Membership = verdicts[i].String()
		resp.Endpoints = append(resp.Endpoints, st)
	}
	return connect.NewResponse(resp), nil
}

func (l *link) status() *rudderv1.EndpointStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := &rudderv1.EndpointStatus{Report: l.report, Address: l.declared.AgentAddress, Connected: l.connected}
	if l.report == nil {
		st.Report = &rudderv1.AgentReport{Endpoint: l.declared.Name, Host: l.declared.Host, DataCentre: l.declared.DataCentre}
		st.SilentMs = -1
		return st
	}
	st.SilentMs = time.Since(l.lastReportAt).Milliseconds()
	return st
}

// Explain returns the recorded routing decisions of one request.
func (s *server) Explain(_ context.Context, req *connect.Request[rudderv1.ExplainRequest]) (*connect.Response[rudderv1.ExplainResponse], error) {
	found, decisions := s.g.explain.lookup(req.Msg.RequestId)
	return connect.NewResponse(&rudderv1.ExplainResponse{Found: found, Decisions: decisions}), nil
}
