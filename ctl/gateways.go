package ctl

import (
	"sync"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

// gatewayClients returns clients for the inner interfaces of all gateways named on the command line.
func (a *app) gatewayClients() ([]rudderv1connect.GatewayServiceClient, error) {
	keys := inner.KeyFiles{Cert: a.Cert, Key: a.Key, CA: a.CA}
	if err := keys.Check(); err != nil {
		return nil, usageError(err.Error())
	}
	client, err := inner.NewClient(keys, nil)
	if err != nil {
		return nil, result.New(result.BadRequest, err.Error())
	}
	var out []rudderv1connect.GatewayServiceClient
	for _, address := range a.Gateways {
		out = append(out, rudderv1connect.NewGatewayServiceClient(client, client.URL(address)))
	}
	return out, nil
}

// gatewayView is one gateway's status, or the error of the call.
type gatewayView struct {
	Address string
	Status  *rudderv1.StatusResponse
	Err     error
}

// fetchStatuses fetches the status of all gateways in parallel and returns them in
// the order of the command line.
func (a *app) fetchStatuses() ([]gatewayView, error) {
	clients, err := a.gatewayClients()
	if err != nil {
		return nil, err
	}
	views := make([]gatewayView, len(clients))
	var wg sync.WaitGroup
	for i, client := range clients {
		wg.Go(func() {
			views[i].Address = a.Gateways[i]
			r, err := client.Status(a.ctx, connect.NewRequest(&rudderv1.StatusRequest{}))
			if err != nil {
				views[i].Err = err
				return
			}
			views[i].Status = r.Msg
		})
	}
	wg.Wait()
	return views, nil
}

// mergeViews merges the gateways' views using the best report of each endpoint, as
// chosen by isNewerReport; an endpoint is serving only if a gateway is connected to
// it. It returns nil if no gateway answered.
func mergeViews(views []gatewayView) placement.View {
	latest := latestReports(views)
	if latest == nil {
		return nil
	}
	out := make(placement.View, len(latest))
	for name, e := range latest {
		out[name] = endpointState(e)
	}
	return out
}

// latestReports returns the best report of each endpoint, or nil if no gateway answered.
func latestReports(views []gatewayView) map[string]*rudderv1.EndpointStatus {
	var latest map[string]*rudderv1.EndpointStatus
	for _, v := range views {
		if v.Status == nil {
			continue
		}
		if latest == nil {
			latest = make(map[string]*rudderv1.EndpointStatus)
		}
		for _, e := range v.Status.Endpoints {
			name := e.GetReport().GetEndpoint()
			if old := latest[name]; old == nil || isNewerReport(e, old) {
				latest[name] = e
			}
		}
	}
	return latest
}

// isNewerReport reports whether a is preferred to b: a report of a gateway that is connected
// to the endpoint comes first, then the more recent one.
func isNewerReport(a, b *rudderv1.EndpointStatus) bool {
	if a.Connected != b.Connected {
		return a.Connected
	}
	return a.SilentMs < b.SilentMs
}

// endpointState converts a report to the planner's view of an endpoint.
func endpointState(e *rudderv1.EndpointStatus) placement.EndpointState {
	r := e.GetReport()
	state := placement.EndpointState{
		Role:    r.GetRole(),
		Serving: e.Connected && r.GetState() == rudderv1.AgentState_AGENT_STATE_SERVING,
	}
	for _, m := range r.GetModels() {
		if m.Unloading {
			continue // it is removed regardless of the plan
		}
		state.Models = append(state.Models, engine.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading})
	}
	return state
}
