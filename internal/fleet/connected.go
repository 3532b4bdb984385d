package fleet

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

const connectedInterval = 20 * time.Millisecond

// waitConnected waits until every gateway is connected to every agent. A
// gateway reports ready before that.
func (f *Fleet) waitConnected(ctx context.Context) error {
	client, err := inner.NewClient(inner.KeyFiles{}, nil)
	if err != nil {
		return err
	}
	for _, address := range f.Inner {
		gateway := rudderv1connect.NewGatewayServiceClient(client, client.URL(address))
		for !f.connected(ctx, gateway) {
			select {
			case <-time.After(connectedInterval):
			case <-ctx.Done():
				return trace.Wrap(ctx.Err(), "gateway %s is not connected to every agent", address)
			}
		}
	}
	return nil
}

func (f *Fleet) connected(ctx context.Context, gateway rudderv1connect.GatewayServiceClient) bool {
	status, err := gateway.Status(ctx, connect.NewRequest(&rudderv1.StatusRequest{}))
	if err != nil || len(status.Msg.Endpoints) < len(f.Agents) {
		return false
	}
	for _, e := range status.Msg.Endpoints {
		if !e.Connected {
			return false
		}
	}
	return true
}
