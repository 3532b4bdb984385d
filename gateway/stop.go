package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// closeTimeout limits the time to close the listeners after all requests have
// ended.
const closeTimeout = time.Second

// Stop shuts the gateway down in order: it drains requests, closes the
// listeners once the last bytes are sent, and stops the background work.
func (g *Gateway) Stop(ctx context.Context, callers, inner *http.Server) error {
	err := g.Drain(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	_ = callers.Shutdown(ctx)
	_ = callers.Close()
	_ = inner.Close()
	g.Close()
	return err
}

// Drain takes the gateway out of service. The gateway becomes not ready, so
// that the load balancer stops sending requests to it, and refuses new requests
// after the leave time. Drain returns when the requests in flight have ended or
// ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	g.shuttingDown.Store(true)
	g.deps.Log.Info("Not ready any more; waiting for the load balancer to notice.", "requests", g.active.Load())
	select {
	case <-time.After(g.cfg.LeaveTime):
	case <-ctx.Done():
	}
	g.refusing.Store(true)
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
