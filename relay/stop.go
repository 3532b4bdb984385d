package relay

import (
	"context"
	"time"
)

const (
	// unreadyDetectionTime is how long the load balancer takes to notice that this gateway is not
	// ready: two failed checks one second apart, and one more for timers that fire late.
	unreadyDetectionTime = 3 * time.Second
	// shutdownMargin is the part of the drain time that is left for the process to exit: a freeze
	// of a fraction of a second must not make it exceed its grace period.
	shutdownMargin = time.Second
	// drainPollInterval is how often the number of requests in flight is checked.
	drainPollInterval = 20 * time.Millisecond
)

// Shutdown ends the gateway without interrupting a request. The gateway reports not ready at once,
// continues to serve, closes connections after their next response, refuses requests once the load
// balancer must have noticed, and returns when nothing is in flight or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	now := time.Now()
	g.stoppedAt.Store(&now)
	g.shuttingDown.Store(true)
	g.deps.Log.Logger().Info("Stop begun.", "in_flight", g.inFlight.Load(), "drain_ms", g.config.DrainTime.Milliseconds())
	g.servers.disableKeepAlives()
	suspendedBefore := g.checkSuspension()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			if g.shutdownNoticed() && g.inFlight.Load() == 0 {
				g.deps.Log.Logger().Info("No requests in flight.")
				return nil
			}
			// The platform counts the time for which the host was suspended towards the drain time.
			if time.Since(now)+g.checkSuspension()-suspendedBefore > g.config.DrainTime-shutdownMargin {
				g.deps.Log.Logger().Warn("Drain time ended with requests in flight.", "in_flight", g.inFlight.Load())
				return nil
			}
		}
	}
}

// shutdownNoticed reports whether the load balancer must have noticed the shutdown by now.
func (g *Gateway) shutdownNoticed() bool {
	stoppedAt := g.stoppedAt.Load()
	return stoppedAt != nil && time.Since(*stoppedAt) > unreadyDetectionTime
}
