package orders

import (
	"strings"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1"
)

// The backoff before a failed order may be permitted again.
const (
	initialBackoff = time.Second
	maxBackoff     = 2 * time.Minute
	// failureRetention is how long a failure is kept after its retry time.
	failureRetention = 10 * time.Minute
)

// failure counts the consecutive failures of an order.
type failure struct {
	order   engine.Order
	count   uint32
	retryAt time.Time
	detail  string
}

// orderKey returns a key of the properties that identify what an order does.
func orderKey(o engine.Order) string {
	return strings.Join([]string{string(o.Kind), o.Model, o.Version, o.Adapter, o.Role}, "\x00")
}

// recordFailure records a failure of the order in progress. The backoff doubles
// with each consecutive failure, up to maxBackoff. Jitter places the retry in its
// upper half, so that endpoints that failed at the same time do not retry at the
// same time.
func (b *Tracker) recordFailure(detail string, jitter float64, now time.Time) {
	b.dropExpiredFailures(now)
	f, ok := b.failures[orderKey(b.order)]
	if !ok {
		f = &failure{order: b.order}
		b.failures[orderKey(b.order)] = f
	}
	backoff := maxBackoff
	if f.count < 16 {
		backoff = min(maxBackoff, initialBackoff<<f.count)
	}
	f.count++
	f.detail = detail
	f.retryAt = now.Add(backoff/2 + time.Duration(jitter*float64(backoff/2)))
}

// dropExpiredFailures removes old failures to bound the memory use of the tracker.
func (b *Tracker) dropExpiredFailures(now time.Time) {
	for k, f := range b.failures {
		if now.Sub(f.retryAt) > failureRetention {
			delete(b.failures, k)
		}
	}
}

// retryIn returns the remaining backoff of an order, or 0 if it may be permitted.
func (b *Tracker) retryIn(o engine.Order, now time.Time) time.Duration {
	f, ok := b.failures[orderKey(o)]
	if !ok {
		return 0
	}
	return max(0, f.retryAt.Sub(now))
}

// Status returns the status of the order in progress or, if there is none, of the
// failed order with the latest retry time; nil if there is neither. runs is the
// number of runs that the order in progress waits for.
func (b *Tracker) Status(runs int, now time.Time) *rudderv1.OrderStatus {
	if b.phase != 0 {
		st := orderStatus(b.order)
		st.Phase, st.Detail, st.Runs = b.phase, b.detail, uint32(runs)
		if f, ok := b.failures[orderKey(b.order)]; ok {
			st.Failures = f.count
		}
		return st
	}
	var latest *failure
	for _, f := range b.failures {
		if latest == nil || f.retryAt.After(latest.retryAt) {
			latest = f
		}
	}
	if latest == nil {
		return nil
	}
	st := orderStatus(latest.order)
	st.Phase, st.Detail, st.Failures = rudderv1.OrderPhase_ORDER_PHASE_FAILED, latest.detail, latest.count
	st.RetryInMs = max(0, latest.retryAt.Sub(now)).Milliseconds()
	return st
}

// orderStatus returns a status that identifies the order.
func orderStatus(o engine.Order) *rudderv1.OrderStatus {
	return &rudderv1.OrderStatus{Kind: string(o.Kind), Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role}
}
