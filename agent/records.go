package agent

import (
	"github.com/micarudder/micarudder/lifecycle"
)

// answerBytesPerToken is the buffer space set aside for each answer token.
const answerBytesPerToken = 8

// records is the table of runs and tombstones of this incarnation, by request
// id. It is bounded: at the bound new ids are refused, and no record is
// dropped before its ticket has expired. The agent's lock guards it.
type records struct {
	max        int
	maxBytes   int64
	runs       map[string]*run
	tombs      map[string]struct{}
	bytes      int64 // set aside or used by answers
	unfinished int
}

func newRecords(max int, maxBytes int64) *records {
	return &records{max: max, maxBytes: maxBytes, runs: make(map[string]*run), tombs: make(map[string]struct{})}
}

// fits reports whether a run with the given answer size can be recorded.
func (t *records) fits(answer int64) bool {
	return len(t.runs) < t.max && t.bytes+answer <= t.maxBytes
}

// add records a new run and sets its answer space aside.
func (t *records) add(r *run) {
	t.runs[r.req.RequestId] = r
	t.bytes += answerSpace(r)
	t.unfinished++
}

// ended replaces the space set aside by what the answer took.
func (t *records) ended(r *run) {
	t.unfinished--
	r.mu.Lock()
	defer r.mu.Unlock()
	t.bytes += int64(len(r.buf)) - answerSpace(r)
}

// forget removes the run if it is still the one recorded under its id.
func (t *records) forget(r *run) {
	t.bytes -= int64(r.drop())
	if t.runs[r.req.RequestId] == r {
		delete(t.runs, r.req.RequestId)
	}
}

// seal records that an id never ran here; it reports false at the bound.
func (t *records) seal(id string) bool {
	if len(t.tombs) >= t.max {
		return false
	}
	t.tombs[id] = struct{}{}
	return true
}

// sealed reports whether the id was refused in this incarnation.
func (t *records) sealed(id string) bool {
	if _, ok := t.tombs[id]; ok {
		return true
	}
	r, ok := t.runs[id]
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life.State == lifecycle.Refused
}

// busy returns the number of runs that have not ended.
func (t *records) busy() int { return t.unfinished }

func answerSpace(r *run) int64 {
	return int64(r.req.GetCompletion().GetMaxTokens()) * answerBytesPerToken
}
