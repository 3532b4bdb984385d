package relay

import "time"

// hostPollInterval is how often a gateway checks how late its processor runs, and one without requests
// whether its host was suspended.
const hostPollInterval = 50 * time.Millisecond

// checkSuspension returns how long the host was suspended in total. If that has grown since the last
// check, it discards what is outdated: proofs of the configuration, the age of the list of
// endpoints, and idle connections, which the other side may have dropped.
func (g *Gateway) checkSuspension() time.Duration {
	now := time.Now()
	total, fresh := g.suspensions.Check(now)
	if fresh == 0 {
		return total
	}
	g.state.DropProof(now, fresh)
	g.storeReads.invalidateList(now)
	g.endpointLimits.ClearVotes()
	g.deps.Endpoints.CloseIdle()
	g.peerClient.CloseIdle()
	g.grantClient.CloseIdle()
	g.meter.suspensions.Inc()
	g.deps.Log.Logger().Warn("Host was suspended.", "for", fresh, "in_flight", g.inFlight.Load())
	return total
}

// pollHost checks for suspensions periodically, so that a gateway without requests refreshes its data as soon
// as its host resumes, and how late the processor runs the gateway.
func (g *Gateway) pollHost() {
	for {
		began := time.Now()
		if !g.pause(hostPollInterval) {
			return
		}
		g.recordDelay(time.Since(began) - hostPollInterval)
		g.checkSuspension()
		g.memoryReport.Check(g.inFlight.Load(), time.Now())
	}
}

// recordDelay records how much later than planned the processor ran the gateway.
func (g *Gateway) recordDelay(delay time.Duration) {
	if refused, changed := g.deps.Overload.Timer(delay, time.Now()); changed {
		g.deps.Log.Logger().Warn("Share of new connections that is refused changed.", "share", refused, "delay_ms", delay.Milliseconds(), "in_flight", g.inFlight.Load())
	}
}

// pauseOrResume waits for d or until a suspension of the host is detected. It reports false if the
// gateway was closed first.
func (g *Gateway) pauseOrResume(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.suspensions.Next():
		return true
	case <-g.ctx.Done():
		return false
	}
}

// deductSuspension subtracts time for which the host was suspended from the time that the request
// has left.
func (x *exchange) deductSuspension() {
	total := x.g.checkSuspension()
	if d := total - x.countedSuspension; d > 0 {
		x.started, x.deadline = x.started.Add(-d), x.deadline.Add(-d)
		x.countedSuspension = total
	}
}
