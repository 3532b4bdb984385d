package agent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/rudderv1"
)

// loadSpacing is the part that each endpoint of the data centre adds to the minimum time
// between two reports of a changed load. A gateway receives the reports of all of them, so
// this bounds its bytes per second for any number of endpoints.
const loadSpacing = 12 * time.Millisecond

// reportStream is the stream of reports to one gateway, with what was last sent.
type reportStream struct {
	a            *Agent
	gateway      string
	shortReports bool // the gateway accepts reports that omit unchanged fields
	shortLoads   bool // the gateway accepts a load in such reports

	last              *rudderv1.AgentReport // the last report, complete; nil before the first
	loadSentAt        time.Time             // when a load was last sent
	changed           <-chan struct{}       // closed at the next change of the agent
	generationChanged <-chan struct{}       // closed at the next generation

	countedGeneration uint64 // the generation for which endpoints was counted
	endpoints         int    // number declared in the agent's data centre
}

func newReportStream(a *Agent, req *rudderv1.SubscribeRequest) *reportStream {
	return &reportStream{a: a, gateway: req.Gateway, shortReports: req.ShortReports, shortLoads: req.ShortLoads}
}

// next returns the next report to send.
func (s *reportStream) next() *rudderv1.AgentReport {
	s.generationChanged = s.a.deps.Tracker.Changed()
	s.a.mu.Lock()
	now := s.a.report()
	s.changed = s.a.changed
	s.a.mu.Unlock()
	now.OfferRank = s.a.subscribers.rank(s.gateway, s.a.cfg.Endpoint)
	last := s.last
	s.last = now
	if !s.shortReports || last == nil || !sameBesidesLoad(last, now) {
		s.loadSentAt = time.Now()
		return now
	}
	r := &rudderv1.AgentReport{AgentMs: now.AgentMs, Generation: now.Generation, OfferRank: now.OfferRank, GenerationOnly: true}
	switch {
	case idle(now.Load) && proto.Equal(last.Load, now.Load):
		return r
	case s.shortLoads:
		r.Load = now.Load
	default:
		r = now
	}
	s.loadSentAt = time.Now()
	return r
}

// idle reports whether no work is queued or running. Only then can a load that has not changed
// be omitted: a gateway assumes that work is being done as a load gets older.
func idle(l *rudderv1.Load) bool { return l.Queued == 0 && l.Running == 0 }

// sameBesidesLoad reports whether two reports differ only in the load and in the fields that
// every short report contains.
func sameBesidesLoad(a, b *rudderv1.AgentReport) bool {
	c := proto.CloneOf(b)
	c.AgentMs, c.Generation, c.OfferRank, c.Load = a.AgentMs, a.Generation, a.OfferRank, a.Load
	return proto.Equal(a, c)
}

// wait waits until the next report is due: at once for a new generation or if the agent begins
// to drain or has a successor, after the minimum interval for any other change, later if only
// the load has changed, and at the latest after the heartbeat interval. It returns false when
// the subscriber or the agent is gone.
func (s *reportStream) wait(ctx context.Context) bool {
	heartbeat := time.NewTimer(s.a.cfg.Heartbeat)
	defer heartbeat.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.a.ctx.Done():
		return false
	case <-s.generationChanged:
		return true
	case <-heartbeat.C:
		return true
	case <-s.changed:
	}
	minInterval := time.NewTimer(s.a.cfg.ReportInterval)
	defer minInterval.Stop()
	for {
		next, urgent := s.a.urgentSince(s.last)
		if urgent {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-s.a.ctx.Done():
			return false
		case <-s.generationChanged:
			return true
		case <-heartbeat.C:
			return true
		case <-minInterval.C:
			remaining := s.untilDue()
			if remaining <= 0 {
				return true
			}
			minInterval.Reset(min(remaining, s.a.cfg.ReportInterval))
		case <-next:
		}
	}
}

// untilDue returns the time until a report of the current changes is due.
func (s *reportStream) untilDue() time.Duration {
	remaining := s.loadInterval() - time.Since(s.loadSentAt)
	if remaining <= 0 {
		return 0
	}
	s.a.mu.Lock()
	now := s.a.report()
	s.a.mu.Unlock()
	if !sameBesidesLoad(s.last, now) {
		return 0
	}
	return remaining
}

// loadInterval returns the minimum time between two reports of a changed load.
func (s *reportStream) loadInterval() time.Duration {
	doc := s.a.deps.Tracker.Document()
	if doc.Generation != s.countedGeneration {
		s.countedGeneration, s.endpoints = doc.Generation, endpointsIn(doc, s.a.cfg.DataCentre)
	}
	return time.Duration(s.endpoints) * loadSpacing
}

// endpointsIn returns the number of endpoints that a document declares in a data centre.
func endpointsIn(doc *rudderv1.Document, dataCentre string) int {
	n := 0
	for _, e := range doc.Endpoints {
		if e.DataCentre == dataCentre {
			n++
		}
	}
	return n
}
