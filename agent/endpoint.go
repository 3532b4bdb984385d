package agent

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	probeTime     = 2 * time.Second
	probeInterval = 5 * time.Second
	probeMax      = 2 * time.Second // longest wait between probes of a lost endpoint
)

// watchEndpoint learns what the endpoint holds, and notices when it comes back
// after it was lost.
func (a *Agent) watchEndpoint() {
	wait := newProbeBackoff()
	for a.ctx.Err() == nil {
		pause := probeInterval
		if err := a.probe(); err != nil {
			a.endpointLost()
			pause = wait.NextBackOff()
		} else {
			wait.Reset()
		}
		select {
		case <-time.After(pause):
		case <-a.ctx.Done():
		}
	}
}

func newProbeBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = probeMax
	return b
}

// probe asks the endpoint for its state.
func (a *Agent) probe() error {
	if a.deps.Engine == nil {
		a.serving(nil, "")
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, probeTime)
	defer cancel()
	st, err := a.deps.Engine.State(ctx)
	if err != nil {
		return err
	}
	a.serving(loadedModels(st.Models), st.Role)
	return nil
}

// serving records what the endpoint serves.
func (a *Agent) serving(models []*rudderv1.LoadedModel, role string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !sameModels(a.models, models) || a.role != role {
		a.models, a.role = models, role
		a.notify()
	}
	a.setState(rudderv1.AgentState_AGENT_STATE_SERVING)
}

// endpointLost records that the endpoint cannot be reached.
func (a *Agent) endpointLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setState(rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST)
}

func loadedModels(ms []engine.Model) []*rudderv1.LoadedModel {
	out := make([]*rudderv1.LoadedModel, 0, len(ms))
	for _, m := range ms {
		out = append(out, &rudderv1.LoadedModel{Model: m.Name, Version: m.Version, Adapters: m.Adapters, Loading: m.Loading})
	}
	return out
}

func sameModels(a, b []*rudderv1.LoadedModel) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Model != b[i].Model || a[i].Version != b[i].Version || a[i].Loading != b[i].Loading || len(a[i].Adapters) != len(b[i].Adapters) {
			return false
		}
	}
	return true
}
