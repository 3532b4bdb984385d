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

// chooseOrAwaitAgent chooses an endpoint. Within startGrace, it waits until one
// can be chosen.
func (s *session) chooseOrAwaitAgent() (*link, routing.Decision) {
	l, d := s.choose()
	for l == nil && s.g.starting() && time.Until(s.cr.deadline) > startPollInterval {
		time.Sleep(startPollInterval)
		l, d = s.choose()
	}
	return l, d
}
