package relay

import (
	"context"
	"time"

	"github.com/micarudder/micarudder/daemon/drain"
)

// unreadyDetectionTime is how long the load balancer takes to notice that this gateway is not ready: two failed
// checks one second apart, and one more for timers that fire late.
const unreadyDetectionTime = 3 * time.Second

// Shutdown ends the gateway. It reports not ready at once, continues to serve, closes connections after their next
// response, refuses requests once the load balancer must have noticed, and returns when nothing is in flight or ctx ends.
// Requests that are still in flight shortly before the end of the drain time are answered then.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.drain.Begin(drain.Schedule{DrainTime: g.config.DrainTime, NoticeTime: unreadyDetectionTime}, time.Now())
	g.deps.Log.Logger().Info("Stop begun.", "in_flight", g.inFlight.Load(), "drain_ms", g.config.DrainTime.Milliseconds())
	g.callers.EndIdle()
	err := g.drain.Run(ctx, g.callers)
	if g.drain.Phase() >= drain.Answering {
		g.deps.Log.Logger().Warn("Drain time ended with requests in flight.", "in_flight", g.inFlight.Load())
	} else {
		g.deps.Log.Logger().Info("No requests in flight.")
	}
	return err
}

// endReason returns why a context of the request has ended, other than by its caller.
func endReason(ctx context.Context) outcome {
	if drain.Ended(ctx) {
		return refusedShutdown
	}
	return outOfTime
}
