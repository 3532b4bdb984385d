package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// closeTime bounds the end of responses whose requests have ended.
const closeTime = time.Second

// Stop ends the gateway in order: Drain, then its listeners close once the
// last bytes are out, then its background work ends.
func (g *Gateway) Stop(ctx context.Context, callers, inner *http.Server) error {
	err := g.Drain(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTime)
	defer cancel()
	_ = callers.Shutdown(ctx)
	_ = callers.Close()
	_ = inner.Close()
	g.Close()
	return err
}

// Drain ends the gateway's service: it is not ready any more, so that the
// balancer looks elsewhere, and after the leave time refuses new requests. It
// returns when those in flight have ended or ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	g.leaving.Store(true)
	g.deps.Log.Info("Leaving the balancer.", "requests", g.active.Load())
	select {
	case <-time.After(g.cfg.LeaveTime):
	case <-ctx.Done():
	}
	g.draining.Store(true)
	g.deps.Log.Info("Draining.", "requests", g.active.Load())
	done := make(chan struct{})
	go func() {
		g.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	if g.active.Load() > 0 {
		return errors.New("requests were still in flight")
	}
	return nil
}
