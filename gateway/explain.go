package gateway

import (
	"sync"
	"time"

	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// maxExplainedRequests is the number of recent requests whose decisions are
// kept.
const maxExplainedRequests = 512

// maxDecisionsPerRequest is the number of most recent decisions kept for each
// request.
const maxDecisionsPerRequest = 8

// explainer keeps the routing decisions of recent requests.
type explainer struct {
	mu    sync.Mutex
	byID  map[string][]recordedDecision
	order []string // ring buffer of request IDs, the oldest at next
	next  int
}

type recordedDecision struct {
	at       time.Time
	attempt  int
	picked   string
	decision routing.Decision
}

func newExplainer() *explainer {
	return &explainer{byID: make(map[string][]recordedDecision), order: make([]string, maxExplainedRequests)}
}

func (e *explainer) record(id string, attempt int, picked string, d routing.Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.byID[id]; !ok {
		delete(e.byID, e.order[e.next])
		e.order[e.next] = id
		e.next = (e.next + 1) % maxExplainedRequests
	}
	kept := append(e.byID[id], recordedDecision{time.Now(), attempt, picked, d})
	e.byID[id] = kept[max(0, len(kept)-maxDecisionsPerRequest):]
}

func (e *explainer) lookup(id string) (bool, []*rudderv1.Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*rudderv1.Decision
	for _, r := range e.byID[id] {
		d := &rudderv1.Decision{Attempt: uint32(r.attempt), Picked: r.picked, Reason: r.decision.Reason, AgeMs: time.Since(r.at).Milliseconds()}
		for _, s := range r.decision.Scores {
			d.Candidates = append(d.Candidates, &rudderv1.CandidateScore{
				Endpoint: s.Endpoint, Kept: s.Kept, FilteredBy: s.Filtered, Score: s.Total, Parts: s.Parts,
			})
		}
		out = append(out, d)
	}
	return len(out) > 0, out
}
