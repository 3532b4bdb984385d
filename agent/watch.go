package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/sleep"
)

// A pending response does not show that the engine is working on the order. Slots, memory and
// callers wait for that response, so the agent queries the engine meanwhile.

const (
	// watchInterval is the time between two queries whether the engine works on an order.
	watchInterval = 2 * time.Second
	// maxWatchMisses is the number of consecutive responses without the order after which it
	// counts as lost. A group's memory is reserved and unused meanwhile: with probeTimeout for
	// each query that takes at most eight seconds, and users accept nine.
	maxWatchMisses = 2
)

// errOrderLost ends an order that the engine has neither finished nor is working on.
var errOrderLost = fmt.Errorf("%w: it was ordered, and the engine does not work on it", engine.ErrLost)

// pendingOrder is an order to the engine that has no response yet.
type pendingOrder struct {
	id         string      // the ID at the engine
	noProgress func() bool // reports whether there was no result since the last query
	// countErrors is set if a query without a response counts as a miss. It is not set for
	// runs: an engine that does not answer at all may recover after a while and still execute
	// the run.
	countErrors bool
}

// watchOrder queries the engine about an order until ctx ends, and cancels the order if the
// engine does not work on it.
func (a *Agent) watchOrder(ctx context.Context, cancel context.CancelCauseFunc, o pendingOrder) {
	for misses := 0; sleep.For(ctx, watchInterval); {
		if !o.noProgress() {
			misses = 0
			continue
		}
		st, err := a.queryState()
		if err != nil && !o.countErrors {
			continue
		}
		if err == nil && knowsOrder(st, o.id) {
			misses = 0
			continue
		}
		if misses++; misses == maxWatchMisses && ctx.Err() == nil {
			a.deps.Log.Warn("Engine does not work on an order; order canceled.", "order", o.id, "running", len(st.Running), "err", err)
			cancel(errOrderLost)
			return
		}
	}
}

// knowsOrder reports whether the engine works on an order, or holds the span that the order
// produced.
func knowsOrder(st engine.State, id string) bool {
	return slices.Contains(st.Running, id) || slices.ContainsFunc(st.Held, func(h engine.HeldMemory) bool { return h.ID == id })
}
