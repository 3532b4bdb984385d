package agent

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	probeTimeout    = 2 * time.Second
	probeInterval   = 5 * time.Second
	maxProbeBackoff = 2 * time.Second // longest wait between probes of a lost endpoint
	// spanGracePeriod is how long span jobs continue while the endpoint does not answer
	// probes.
	spanGracePeriod = 8 * time.Second
)

// watchEndpoint probes the endpoint: it learns what the endpoint holds, and detects that it is
// lost or back.
func (a *Agent) watchEndpoint() {
	probeBackoff := newProbeBackoff()
	lastResponse := time.Now()
	for a.ctx.Err() == nil {
		interval := probeInterval
		if err := a.probe(); err != nil {
			a.endpointLost()
			if time.Since(lastResponse) > spanGracePeriod {
				a.stopSpans(result.New(result.EndpointLost, err.Error()))
			}
			interval = probeBackoff.NextBackOff()
		} else {
			lastResponse = time.Now()
			probeBackoff.Reset()
		}
		select {
		case <-time.After(interval):
		case <-a.ctx.Done():
		}
	}
}

func newProbeBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = maxProbeBackoff
	return b
}

// probe queries the endpoint's state and frees what no lease owns, so that an agent starts to
// serve only after a search for memory orphaned by earlier agents.
func (a *Agent) probe() error {
	if a.deps.Engine == nil {
		a.recordModels(time.Now(), nil, "")
		return nil
	}
	_, err := a.sweep()
	return err
}

// recordModels records the models and the role that the endpoint reported. queriedAt is the time
// of the query; a response that a later one has overtaken is ignored.
func (a *Agent) recordModels(queriedAt time.Time, models []engine.Model, role string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if queriedAt.Before(a.modelsAsOf) {
		return
	}
	a.modelsAsOf = queriedAt
	if !sameModels(a.models, models) || a.role != role {
		a.models, a.role = models, role
		a.orders.ModelsChanged()
		a.notify()
	}
	a.setState(rudderv1.AgentState_AGENT_STATE_SERVING)
}

// endpointLost records that the endpoint is unreachable.
func (a *Agent) endpointLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setState(rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST)
}

func sameModels(a, b []engine.Model) bool {
	return slices.EqualFunc(a, b, func(x, y engine.Model) bool {
		return x.Name == y.Name && x.Version == y.Version && x.Loading == y.Loading && slices.Equal(x.Adapters, y.Adapters)
	})
}
