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

// gateways opens the inner interface of every gateway named on the command line.
func (a *app) gateways() ([]rudderv1connect.GatewayServiceClient, error) {
	keys := inner.KeyFiles{Cert: a.Cert, Key: a.Key, CA: a.CA}
	if err := keys.Check(); err != nil {
		return nil, usage(err.Error())
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

// gatewayView is one gateway's answer, or why there is none.
type gatewayView struct {
	Address string
	Status  *rudderv1.StatusResponse
	Err     error
}

// askStatus asks all gateways at once and keeps the order they were given in.
func (a *app) askStatus() ([]gatewayView, error) {
	clients, err := a.gateways()
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

// viewOf merges the gateways' views: an endpoint serves when one gateway is
// connected to it, and its freshest report counts. It is nil when no gateway
// answered.
func viewOf(views []gatewayView) placement.View {
	best := freshest(views)
	if best == nil {
		return nil
	}
	out := make(placement.View, len(best))
	for name, e := range best {
		out[name] = heldOf(e)
	}
	return out
}

// freshest picks the best report of each endpoint; nil when no gateway answered.
func freshest(views []gatewayView) map[string]*rudderv1.EndpointStatus {
	var best map[string]*rudderv1.EndpointStatus
	for _, v := range views {
		if v.Status == nil {
			continue
		}
		if best == nil {
			best = make(map[string]*rudderv1.EndpointStatus)
		}
		for _, e := range v.Status.Endpoints {
			name := e.GetReport().GetEndpoint()
			if old := best[name]; old == nil || fresher(e, old) {
				best[name] = e
			}
		}
	}
	return best
}

func fresher(a, b *rudderv1.EndpointStatus) bool {
	if a.Connected != b.Connected {
		return a.Connected
	}
	return a.SilentMs < b.SilentMs
}

func heldOf(e *rudderv1.EndpointStatus) placement.EndpointState {
	r := e.GetReport()
	h := placement.EndpointState{
		Role:    r.GetRole(),
		Serving: e.Connected && r.GetState() == rudderv1.AgentState_AGENT_STATE_SERVING,
	}
	for _, m := range r.GetModels() {
		if m.Unloading {
			continue // it goes whatever is planned
		}
		h.Models = append(h.Models, engine.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading})
	}
	return h
}
