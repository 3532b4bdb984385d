package relay

import (
	"context"
	"time"
)

const (
	// noticeTime is how long the balancer takes to notice that this gateway is
	// not ready: two misses, a second apart, and one more for late timers.
	noticeTime = 3 * time.Second
	// endMargin is kept of the drain time for the process to end in: a freeze of a
	// fraction of a second must not make it outlive its grace.
	endMargin = time.Second
	// drainStep is how often the requests in flight are counted.
	drainStep = 20 * time.Millisecond
)

// Shutdown ends the gateway without cutting off a request: it is not ready at
// once, goes on serving, closes connections after their next answer, refuses
// what comes after the balancer must have noticed, and returns when nothing is
// in flight or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	now := time.Now()
	g.stopAt.Store(&now)
	g.leaving.Store(true)
	g.deps.Log.Logger().Info("Stop begun.", "in_flight", g.inFlight.Load(), "drain_ms", g.config.DrainTime.Milliseconds())
	g.faces.closeIdle()
	slept := g.suspendedTime()
	tick := time.NewTicker(drainStep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			if g.ending() && g.inFlight.Load() == 0 {
				g.deps.Log.Logger().Info("Nothing is in flight any more.")
				return nil
			}
			// The platform counts the time for which the host was suspended.
			if time.Since(now)+g.suspendedTime()-slept > g.config.DrainTime-endMargin {
				g.deps.Log.Logger().Warn("Stop ends with requests in flight.", "in_flight", g.inFlight.Load())
				return nil
			}
		}
	}
}

// ending reports whether the balancer must have noticed the stop by now.
func (g *Gateway) ending() bool {
	at := g.stopAt.Load()
	return at != nil && time.Since(*at) > noticeTime
}
