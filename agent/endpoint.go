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
	probeTime     = 2 * time.Second
	probeInterval = 5 * time.Second
	probeMax      = 2 * time.Second // longest wait between probes of a lost endpoint
	// spanPatience is how long spans are waited for at an endpoint that does
	// not answer probes.
	spanPatience = 8 * time.Second
)

// watchEndpoint learns what the endpoint holds, and notices when it comes back
// after it was lost.
func (a *Agent) watchEndpoint() {
	wait := newProbeBackoff()
	answered := time.Now()
	for a.ctx.Err() == nil {
		pause := probeInterval
		if err := a.probe(); err != nil {
			a.endpointLost()
			if time.Since(answered) > spanPatience {
				a.stopSpans(result.New(result.EndpointLost, err.Error()))
			}
			pause = wait.NextBackOff()
		} else {
			answered = time.Now()
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

// probe asks the endpoint for its state and frees what no lease holds, so that
// an agent serves only after the orphans of earlier ones were looked for.
func (a *Agent) probe() error {
	if a.deps.Engine == nil {
		a.serving(time.Now(), nil, "")
		return nil
	}
	_, err := a.sweep()
	return err
}

// serving records what the endpoint said it serves when it was asked at the
// given time. An answer that was overtaken by a later one does not count.
func (a *Agent) serving(asked time.Time, models []engine.Model, role string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if asked.Before(a.stated) {
		return
	}
	a.stated = asked
	if !sameModels(a.models, models) || a.role != role {
		a.models, a.role = models, role
		a.book.ModelsChanged()
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

func sameModels(a, b []engine.Model) bool {
	return slices.EqualFunc(a, b, func(x, y engine.Model) bool {
		return x.Name == y.Name && x.Version == y.Version && x.Loading == y.Loading && slices.Equal(x.Adapters, y.Adapters)
	})
}
