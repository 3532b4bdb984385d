package gateway

import (
	"context"
	"time"

	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// startGrace is how long after its start a gateway lets requests wait for
	// the configuration and for the first reports of agents.
	startGrace        = 2 * time.Second
	startPollInterval = 10 * time.Millisecond
	// resumeGrace is how long a partly delivered response waits for an endpoint
	// that can continue it: an agent that is running but not connected is found in
	// well under a second once links resubscribe.
	resumeGrace = 2 * time.Second
)

// starting reports whether the gateway is still within startGrace.
func (g *Gateway) starting() bool { return time.Since(g.started) < startGrace }

// awaitConfiguration returns the current document. Within startGrace, it waits
// for the first one.
func (g *Gateway) awaitConfiguration(ctx context.Context) *rudderv1.Document {
	for {
		changed := g.deps.Tracker.Changed()
		doc := g.deps.Tracker.Document()
		if doc.Generation > 0 || !g.starting() {
			return doc
		}
		timer := time.NewTimer(startGrace - time.Since(g.started))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return doc
		}
		timer.Stop()
	}
}

// chooseOrAwaitAgent chooses an endpoint. It waits until one can be chosen within
// startGrace of the gateway's start, and within resumeGrace if the caller already
// has the beginning of the response. A caller that is refused comes back soon, so
// that links that are not connected try again in any case.
func (s *session) chooseOrAwaitAgent(ctx context.Context) (*link, routing.Decision) {
	l, d := s.choose()
	if l != nil {
		return l, d
	}
	s.g.links.resubscribe()
	grace := time.Until(s.g.started.Add(startGrace))
	if len(s.delivered) > 0 {
		grace = max(grace, resumeGrace)
	}
	until := time.Now().Add(grace)
	for l == nil && ctx.Err() == nil && time.Now().Before(until) && time.Until(s.cr.deadline) > startPollInterval && s.callerErr == nil {
		time.Sleep(startPollInterval)
		l, d = s.choose()
	}
	return l, d
}
