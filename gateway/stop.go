package gateway

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/daemon/keepalive"
	"github.com/micarudder/micarudder/result"
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

// Drain takes the gateway out of service within the deadline of ctx. The gateway becomes not ready, so that the load
// balancer stops sending requests to it, and refuses new requests after the leave time. Drain returns when the requests
// in flight have ended, and with an error if it had to end them.
func (g *Gateway) Drain(ctx context.Context) error {
	now := time.Now()
	g.drain.Begin(drain.Schedule{DrainTime: timeLeft(ctx, now), NoticeTime: g.cfg.LeaveTime}, now)
	g.deps.Log.Info("Not ready any more; waiting for the load balancer to notice.", "requests", g.active.Load())
	if err := g.drain.Run(ctx, callerRequests{g.callers, g}); err != nil {
		return err
	}
	if g.drain.Phase() >= drain.Answering {
		return errors.New("requests were still in flight")
	}
	return nil
}

// callerRequests are the requests of callers, which implement drain.Requests.
type callerRequests struct {
	*keepalive.Conns
	g *Gateway
}

// InFlight implements drain.Requests.
func (r callerRequests) InFlight() int64 { return max(r.g.active.Load(), r.Conns.InFlight()) }

// errDraining refuses a request because the gateway is shutting down.
func errDraining() *result.Err {
	err := result.New(result.Draining, "")
	err.RetryAfter = defaultRetryAfter.Milliseconds()
	return err
}

// timeLeft returns the time until the deadline of ctx.
func timeLeft(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return deadline.Sub(now)
}
