package orders

import (
	"strings"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1"
)

// The pauses before an order that failed may be permitted again.
const (
	retryFirst = time.Second
	retryMax   = 2 * time.Minute
	// retryForget is how long after its retry time a failure is forgotten.
	retryForget = 10 * time.Minute
)

// failure counts how often an order failed in a row.
type failure struct {
	order  engine.Order
	count  uint32
	until  time.Time
	detail string
}

// key names what an order asks for.
func key(o engine.Order) string {
	return strings.Join([]string{string(o.Kind), o.Model, o.Version, o.Adapter, o.Role}, "\x00")
}

// fail records a failure. The pause doubles with each one and is drawn from
// its upper half, so that endpoints that failed together do not retry together.
func (b *Book) fail(detail string, jitter float64, now time.Time) {
	b.forget(now)
	f, ok := b.failures[key(b.order)]
	if !ok {
		f = &failure{order: b.order}
		b.failures[key(b.order)] = f
	}
	pause := retryMax
	if f.count < 16 {
		pause = min(retryMax, retryFirst<<f.count)
	}
	f.count++
	f.detail = detail
	f.until = now.Add(pause/2 + time.Duration(jitter*float64(pause/2)))
}

// forget drops failures long past, so that the book stays small.
func (b *Book) forget(now time.Time) {
	for k, f := range b.failures {
		if now.Sub(f.until) > retryForget {
			delete(b.failures, k)
		}
	}
}

func (b *Book) retryIn(o engine.Order, now time.Time) time.Duration {
	f, ok := b.failures[key(o)]
	if !ok {
		return 0
	}
	return max(0, f.until.Sub(now))
}

// Status describes the order in progress, or else the latest failure that is
// not yet mended; nil when there is neither. runs is what it waits for.
func (b *Book) Status(runs int, now time.Time) *rudderv1.OrderStatus {
	if b.phase != 0 {
		st := describe(b.order)
		st.Phase, st.Detail, st.Runs = b.phase, b.detail, uint32(runs)
		if f, ok := b.failures[key(b.order)]; ok {
			st.Failures = f.count
		}
		return st
	}
	var last *failure
	for _, f := range b.failures {
		if last == nil || f.until.After(last.until) {
			last = f
		}
	}
	if last == nil {
		return nil
	}
	st := describe(last.order)
	st.Phase, st.Detail, st.Failures = rudderv1.OrderPhase_ORDER_PHASE_FAILED, last.detail, last.count
	st.RetryInMs = max(0, last.until.Sub(now)).Milliseconds()
	return st
}

func describe(o engine.Order) *rudderv1.OrderStatus {
	return &rudderv1.OrderStatus{Kind: string(o.Kind), Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role}
}
