package agent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/rudderv1"
)

// loadSpacing is the time between two reports of a changed load for each
// endpoint of the data centre: a gateway hears all of them, so that its bytes
// a second stay bounded however many there are.
const loadSpacing = 12 * time.Millisecond

// reportStream is one gateway's stream of reports with what it was told.
type reportStream struct {
	a       *Agent
	gateway string
	short   bool // it understands reports without what is unchanged
	loads   bool // and takes a load in them

	told    *rudderv1.AgentReport // the last report as a whole; nil before the first
	loadAt  time.Time             // when a load was last reported
	changed <-chan struct{}       // closed at the next change of anything
	moved   <-chan struct{}       // closed at the next generation

	counted   uint64 // the generation that endpoints was counted in
	endpoints int    // declared in the agent's data centre
}

func newReportStream(a *Agent, req *rudderv1.SubscribeRequest) *reportStream {
	return &reportStream{a: a, gateway: req.Gateway, short: req.ShortReports, loads: req.ShortLoads}
}

// next returns the report that is due.
func (s *reportStream) next() *rudderv1.AgentReport {
	s.moved = s.a.deps.Keeper.Changed()
	s.a.mu.Lock()
	now := s.a.report()
	s.changed = s.a.changed
	s.a.mu.Unlock()
	now.OfferRank = s.a.subscribers.rank(s.gateway, s.a.cfg.Endpoint)
	told := s.told
	s.told = now
	if !s.short || told == nil || !sameBesidesLoad(told, now) {
		s.loadAt = time.Now()
		return now
	}
	r := &rudderv1.AgentReport{AgentMs: now.AgentMs, Generation: now.Generation, OfferRank: now.OfferRank, GenerationOnly: true}
	switch {
	case idle(now.Load) && proto.Equal(told.Load, now.Load):
		return r
	case s.loads:
		r.Load = now.Load
	default:
		r = now
	}
	s.loadAt = time.Now()
	return r
}

// idle reports whether nothing waits or runs. Only then a load that is equal
// to the last one need not be told: a gateway takes a load that ages for work
// that is being done.
func idle(l *rudderv1.Load) bool { return l.Queued == 0 && l.Running == 0 }

// sameBesidesLoad reports whether two reports differ in nothing but what every
// short report tells and the load.
func sameBesidesLoad(a, b *rudderv1.AgentReport) bool {
	c := proto.CloneOf(b)
	c.AgentMs, c.Generation, c.OfferRank, c.Load = a.AgentMs, a.Generation, a.OfferRank, a.Load
	return proto.Equal(a, c)
}

// wait waits until the next report is due: at once for a new generation or
// when the agent begins to leave or has a successor, after the shortest
// interval for any other change, later if only the load has changed, or the
// heartbeat. It reports false when the subscriber or the agent is gone.
func (s *reportStream) wait(ctx context.Context) bool {
	heartbeat := time.NewTimer(s.a.cfg.Heartbeat)
	defer heartbeat.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.a.ctx.Done():
		return false
	case <-s.moved:
		return true
	case <-heartbeat.C:
		return true
	case <-s.changed:
	}
	pause := time.NewTimer(s.a.cfg.ReportInterval)
	defer pause.Stop()
	for {
		next, urgent := s.a.urgentSince(s.told)
		if urgent {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-s.a.ctx.Done():
			return false
		case <-s.moved:
			return true
		case <-heartbeat.C:
			return true
		case <-pause.C:
			rest := s.untilDue()
			if rest <= 0 {
				return true
			}
			pause.Reset(min(rest, s.a.cfg.ReportInterval))
		case <-next:
		}
	}
}

// untilDue returns how long a report of the changes so far has to wait.
func (s *reportStream) untilDue() time.Duration {
	rest := s.pace() - time.Since(s.loadAt)
	if rest <= 0 {
		return 0
	}
	s.a.mu.Lock()
	now := s.a.report()
	s.a.mu.Unlock()
	if !sameBesidesLoad(s.told, now) {
		return 0
	}
	return rest
}

// pace is the shortest time between two reports of a changed load.
func (s *reportStream) pace() time.Duration {
	doc := s.a.deps.Keeper.Document()
	if doc.Generation != s.counted {
		s.counted, s.endpoints = doc.Generation, endpointsIn(doc, s.a.cfg.DataCentre)
	}
	return time.Duration(s.endpoints) * loadSpacing
}

// endpointsIn counts the endpoints that a document declares in a data centre.
func endpointsIn(doc *rudderv1.Document, dataCentre string) int {
	n := 0
	for _, e := range doc.Endpoints {
		if e.DataCentre == dataCentre {
			n++
		}
	}
	return n
}
