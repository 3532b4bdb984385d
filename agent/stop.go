package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/inner"
)

// closeTimeout limits the wait for streams that began while the agent was stopping.
const closeTimeout = time.Second

// Stop shuts the agent down: it refuses new work, waits within ctx for running work to end,
// hands the records over to a peer, and closes the agent and its listener. Without a peer,
// requests with a ticket that names this agent are answered "may have run" afterwards.
func (a *Agent) Stop(ctx context.Context, srv *http.Server) error {
	err := a.Drain(ctx)
	_ = a.HandOver(context.WithoutCancel(ctx))
	a.Close()
	a.awaitReaders()
	inner.Stop(srv, closeTimeout)
	return err
}

// awaitReaders waits for response streams that began after the drain.
func (a *Agent) awaitReaders() {
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	for {
		a.mu.Lock()
		readers, ch := a.readers, a.changed
		a.mu.Unlock()
		if readers == 0 {
			return
		}
		select {
		case <-ch:
		case <-timeout.C:
			return
		}
	}
}

// Drain refuses new work and returns when every run has ended, its response was read to the end
// and no group uses the endpoint, or when ctx ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.beginStop()
	a.deps.Log.Info("Draining.")
	for {
		a.mu.Lock()
		busy, grouped, ch := a.records.unfinishedRuns()+a.readers, a.mem.inUse(), a.changed
		a.mu.Unlock()
		if busy == 0 && !grouped {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			a.deps.Log.Warn("Drain ended early.", "runs", busy)
			return ctx.Err()
		}
	}
}
