package agent

import (
	"errors"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/result"
)

// noteRest takes in what an engine's refusal of a run says of the time to come back.
func (a *Agent) noteRest(r *run, err error) {
	var refusal *engine.Error
	if !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
		return
	}
	r.mu.Lock()
	r.retryAfter = refusal.RetryAfter
	r.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	until := time.Now().Add(refusal.RetryAfter)
	if !until.After(a.restsTo) {
		return
	}
	a.restsTo = until
	a.deps.Log.Info("The engine asks for rest.", "for", refusal.RetryAfter, "waiting", len(a.waiting))
}

// resting says why the agent gives its engine no new work, with the time to come back, nil when it does; the caller holds mu.
func (a *Agent) resting(now time.Time) *result.Err {
	left := a.restsTo.Sub(now)
	if left <= 0 {
		return nil
	}
	err := result.New(result.EndpointRefused, "the engine asks for rest")
	err.RetryAfter = left.Milliseconds()
	return err
}
