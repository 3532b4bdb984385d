package agent

import (
	"errors"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/result"
)

// recordBackoff records the retry delay of a run that the engine refused.
func (a *Agent) recordBackoff(r *run, err error) {
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
	if !until.After(a.backoffUntil) {
		return
	}
	a.backoffUntil = until
	a.deps.Log.Info("Engine requested a backoff.", "for", refusal.RetryAfter, "waiting", len(a.waiting))
}

// backoffError returns the error, with the retry delay, for new work while the engine has
// asked for a backoff, otherwise nil; the caller holds mu.
func (a *Agent) backoffError(now time.Time) *result.Err {
	remaining := a.backoffUntil.Sub(now)
	if remaining <= 0 {
		return nil
	}
	err := result.New(result.EndpointRefused, "the engine asks for rest")
	err.RetryAfter = remaining.Milliseconds()
	return err
}
