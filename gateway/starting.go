package gateway

import (
	"context"
	"time"

	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// startGrace is how long after its start a gateway lets requests wait for
	// the configuration and for the first word of the agents.
	startGrace = 2 * time.Second
	startPoll  = 10 * time.Millisecond
)

// starting reports whether the gateway may still be waiting for the first word
// of the configuration or the agents.
func (g *Gateway) starting() bool { return time.Since(g.started) < startGrace }

// configured waits, at the start only, for the first document.
func (g *Gateway) configured(ctx context.Context) *rudderv1.Document {
	for {
		changed := g.deps.Keeper.Changed()
		doc := g.deps.Keeper.Document()
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

// chooseAtStart chooses an endpoint; at the start only, it waits until an
// agent of the model or service has been heard.
func (s *session) chooseAtStart() (*link, routing.Decision) {
	l, d := s.choose()
	for l == nil && s.g.starting() && time.Until(s.o.deadline) > startPoll {
		time.Sleep(startPoll)
		l, d = s.choose()
	}
	return l, d
}
