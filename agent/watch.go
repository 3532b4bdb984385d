package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/sleep"
)

// The wait for an engine's answer is no sign that it works on what was ordered. Slots, memory
// and callers wait as long, so that the agent asks.

const (
	// watchPause is the time between two questions to the engine whether it works on an order.
	watchPause = 2 * time.Second
	// watchMisses is how many answers in a row that do not name the order mean that it was lost. A
	// group's memory is reserved and unused meanwhile: with probeTime for each question that
	// is eight seconds at most, and users allow nine.
	watchMisses = 2
)

// errNotWorkedOn ends an order that the engine neither works on nor has done.
var errNotWorkedOn = fmt.Errorf("%w: it was ordered, and the engine does not work on it", engine.ErrLost)

// work is an order to the engine that has not been answered yet.
type work struct {
	id     string      // as the engine names it
	silent func() bool // whether nothing has come of it since the last question
	// mustAnswer is set when a question without an answer counts as a miss. A run is left to an engine
	// that says nothing at all: it may go on after a while, and run then.
	mustAnswer bool
}

// watchWork asks the engine about an order until ctx ends, and ends the order when the engine
// does not work on it.
func (a *Agent) watchWork(ctx context.Context, end context.CancelCauseFunc, w work) {
	for misses := 0; sleep.For(ctx, watchPause); {
		if !w.silent() {
			misses = 0
			continue
		}
		st, err := a.askState()
		if err != nil && !w.mustAnswer {
			continue
		}
		if err == nil && names(st, w.id) {
			misses = 0
			continue
		}
		if misses++; misses == watchMisses && ctx.Err() == nil {
			a.deps.Log.Warn("Engine does not work on an order; it is given up.", "order", w.id, "running", len(st.Running), "err", err)
			end(errNotWorkedOn)
			return
		}
	}
}

// names reports whether the engine works on an order, or holds the span that came of it.
func names(st engine.State, id string) bool {
	return slices.Contains(st.Running, id) || slices.ContainsFunc(st.Held, func(h engine.Held) bool { return h.ID == id })
}
