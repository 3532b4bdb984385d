package agent

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/micarudder/micarudder/engine"
)

// freeTimeout limits the request to free one span.
const freeTimeout = 2 * time.Second

// sweep queries what the engine holds and frees every span whose lease has ended or that does
// not belong to a lease of this agent. Spans are freed nowhere else, so a lost response, a lost
// order or a restart of the agent leaks none.
func (a *Agent) sweep() (engine.State, error) {
	select {
	case a.sweeping <- struct{}{}:
		defer func() { <-a.sweeping }()
	case <-a.ctx.Done():
		return engine.State{}, a.ctx.Err()
	}
	ended := a.endedLeases()
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	st, err := a.queryState()
	if err != nil {
		return st, err
	}
	a.retryCancels(ctx, st.Running)
	remaining := make(map[string]uint64)
	for _, h := range st.Held {
		if !a.freeOrphan(h) {
			remaining[h.Owner] += h.Tokens
		}
	}
	a.recordFreed(ended, remaining)
	return st, nil
}

// retryCancels cancels the runs at the engine whose earlier cancellation failed.
func (a *Agent) retryCancels(ctx context.Context, running []string) {
	a.mu.Lock()
	ids := slices.Collect(maps.Keys(a.mem.uncancelled))
	a.mu.Unlock()
	for _, id := range ids {
		if slices.Contains(running, id) && a.deps.Engine.Cancel(ctx, id) != nil {
			continue
		}
		a.mu.Lock()
		delete(a.mem.uncancelled, id)
		a.mu.Unlock()
	}
}

// endedLeases returns the ended leases that have no unfinished jobs.
func (a *Agent) endedLeases() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	busy := make(map[string]bool)
	for _, j := range a.mem.jobs {
		if !j.finished() {
			busy[j.req.Reservation] = true
		}
	}
	var out []string
	for _, l := range a.mem.leases.Expire(time.Now()) {
		if !busy[l.ID] {
			out = append(out, l.ID)
		}
	}
	return out
}

// freeOrphan frees a span unless a live lease owns it. It returns true if the span was freed,
// was already gone or has a live owner.
func (a *Agent) freeOrphan(h engine.HeldMemory) bool {
	a.mu.Lock()
	live := a.mem.leases.Live(h.Owner, time.Now())
	a.mu.Unlock()
	if live {
		return true
	}
	ctx, cancel := context.WithTimeout(a.ctx, freeTimeout)
	defer cancel()
	err := a.deps.Engine.Free(ctx, h.ID)
	if err != nil && !errors.Is(err, engine.ErrNotFound) {
		a.deps.Log.Warn("Freeing a span failed.", "span", h.ID, "err", err)
		return false
	}
	a.deps.Log.Info("Freed a span without a live lease.", "span", h.ID, "tokens", h.Tokens)
	a.meter.freed(h.Tokens)
	return true
}

// recordFreed removes the ended leases whose memory was freed, and counts the tokens that are
// left without a lease.
func (a *Agent) recordFreed(ended []string, remaining map[string]uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before, freed := a.mem.orphanedTokens, false
	for _, id := range ended {
		if remaining[id] > 0 {
			continue
		}
		freed = true
		a.mem.leases.RecordFreed(id)
		a.forgetJobs(id)
	}
	a.mem.orphanedTokens = 0
	for owner, tokens := range remaining {
		if !a.mem.leases.Known(owner) {
			a.mem.orphanedTokens += tokens
		}
	}
	if freed || a.mem.orphanedTokens != before {
		a.notify()
		a.wakeDispatch()
	}
}

// forgetJobs removes the finished span jobs and the imports of a lease; the caller holds mu.
func (a *Agent) forgetJobs(reservation string) {
	for id, j := range a.mem.jobs {
		if j.req.Reservation == reservation && j.finished() {
			delete(a.mem.jobs, id)
		}
	}
	for id, m := range a.mem.imports {
		if m.reservation == reservation {
			delete(a.mem.imports, id)
		}
	}
}
