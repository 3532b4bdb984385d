package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/inner"
)

// closeTime bounds the end of streams that began while the agent stopped.
const closeTime = time.Second

// Stop ends the agent in order: nothing new is taken, what runs ends within
// ctx, the records go to a peer, then the agent and its listener close. Without
// a peer, tickets that name it say "may have run" afterwards.
func (a *Agent) Stop(ctx context.Context, srv *http.Server) error {
	err := a.Drain(ctx)
	_ = a.HandOver(context.WithoutCancel(ctx))
	a.Close()
	a.awaitReaders()
	inner.Stop(srv, closeTime)
	return err
}

// awaitReaders waits for streams of answers that began after the drain.
func (a *Agent) awaitReaders() {
	over := time.NewTimer(closeTime)
	defer over.Stop()
	for {
		a.mu.Lock()
		readers, ch := a.readers, a.changed
		a.mu.Unlock()
		if readers == 0 {
			return
		}
		select {
		case <-ch:
		case <-over.C:
			return
		}
	}
}

// Drain refuses new work from now on and returns when every run has ended and
// been read to its end and no group uses the endpoint, or when ctx ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.stopping()
	a.deps.Log.Info("Draining.")
	for {
		a.mu.Lock()
		busy, grouped, ch := a.records.busy()+a.readers, a.desk.busy(), a.changed
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
