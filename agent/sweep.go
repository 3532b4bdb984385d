package agent

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/micarudder/micarudder/engine"
)

// freeTime bounds the order to free one span.
const freeTime = 2 * time.Second

// sweep asks the engine what it holds and frees every span whose lease is over
// or was never this agent's. It is the only way memory comes back, so that
// what was lost on the way (an answer, an order, an earlier agent) makes no
// difference.
func (a *Agent) sweep() (engine.State, error) {
	select {
	case a.sweeping <- struct{}{}:
		defer func() { <-a.sweeping }()
	case <-a.ctx.Done():
		return engine.State{}, a.ctx.Err()
	}
	ended := a.endedLeases()
	ctx, cancel := context.WithTimeout(a.ctx, probeTime)
	defer cancel()
	st, err := a.askState()
	if err != nil {
		return st, err
	}
	a.cancelLeft(ctx, st.Running)
	left := make(map[string]uint64)
	for _, h := range st.Held {
		if !a.freeOrphan(h) {
			left[h.Owner] += h.Tokens
		}
	}
	a.settleFreed(ended, left)
	return st, nil
}

// cancelLeft cancels the runs at the engine whose cancelling failed before.
func (a *Agent) cancelLeft(ctx context.Context, running []string) {
	a.mu.Lock()
	ids := slices.Collect(maps.Keys(a.desk.uncancelled))
	a.mu.Unlock()
	for _, id := range ids {
		if slices.Contains(running, id) && a.deps.Engine.Cancel(ctx, id) != nil {
			continue
		}
		a.mu.Lock()
		delete(a.desk.uncancelled, id)
		a.mu.Unlock()
	}
}

// endedLeases returns the leases that are over and have no work left.
func (a *Agent) endedLeases() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	busy := make(map[string]bool)
	for _, j := range a.desk.jobs {
		if !j.over() {
			busy[j.req.Reservation] = true
		}
	}
	var out []string
	for _, l := range a.desk.book.Expire(time.Now()) {
		if !busy[l.ID] {
			out = append(out, l.ID)
		}
	}
	return out
}

// freeOrphan frees a span unless a live lease owns it; it reports whether the
// span need not be thought of any more.
func (a *Agent) freeOrphan(h engine.Held) bool {
	a.mu.Lock()
	live := a.desk.book.Live(h.Owner, time.Now())
	a.mu.Unlock()
	if live {
		return true
	}
	ctx, cancel := context.WithTimeout(a.ctx, freeTime)
	defer cancel()
	err := a.deps.Engine.Free(ctx, h.ID)
	if err != nil && !errors.Is(err, engine.ErrNotFound) {
		a.deps.Log.Warn("Freeing a span failed.", "span", h.ID, "err", err)
		return false
	}
	a.deps.Log.Info("Freed a span.", "span", h.ID, "tokens", h.Tokens)
	a.meter.freed(h.Tokens)
	return true
}

// settleFreed writes off the ended leases of which nothing is left, and counts
// what is left of others.
func (a *Agent) settleFreed(ended []string, left map[string]uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before, freed := a.desk.orphans, false
	for _, id := range ended {
		if left[id] > 0 {
			continue
		}
		freed = true
		a.desk.book.RecordFreed(id)
		a.forgetJobs(id)
	}
	a.desk.orphans = 0
	for owner, tokens := range left {
		if !a.desk.book.Known(owner) {
			a.desk.orphans += tokens
		}
	}
	if freed || a.desk.orphans != before {
		a.notify()
		a.poke()
	}
}

// forgetJobs drops the finished span jobs and imports of a lease; the caller holds mu.
func (a *Agent) forgetJobs(reservation string) {
	for id, j := range a.desk.jobs {
		if j.req.Reservation == reservation && j.over() {
			delete(a.desk.jobs, id)
		}
	}
	for id, m := range a.desk.moves {
		if m.reservation == reservation {
			delete(a.desk.moves, id)
		}
	}
}
