package gateway

import (
	"sync"
	"time"

	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// explainKeep is the number of requests whose decisions are kept.
const explainKeep = 512

// explainEach is the number of decisions kept of one request, the latest.
const explainEach = 8

// explainer keeps the routing decisions of the latest requests.
type explainer struct {
	mu    sync.Mutex
	byID  map[string][]recorded
	order []string // ring of request ids, oldest at next
	next  int
}

type recorded struct {
	at       time.Time
	attempt  int
	picked   string
	decision routing.Decision
}

func newExplainer() *explainer {
	return &explainer{byID: make(map[string][]recorded), order: make([]string, explainKeep)}
}

func (e *explainer) record(id string, attempt int, picked string, d routing.Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.byID[id]; !ok {
		delete(e.byID, e.order[e.next])
		e.order[e.next] = id
		e.next = (e.next + 1) % explainKeep
	}
	kept := append(e.byID[id], recorded{time.Now(), attempt, picked, d})
	e.byID[id] = kept[max(0, len(kept)-explainEach):]
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
