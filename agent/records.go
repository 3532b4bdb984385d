package agent

import (
	"time"

	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// answerBytesPerToken is the buffer space booked for each answer token.
	answerBytesPerToken = 8
	// callSpace is the buffer space booked for a plain service's answer.
	callSpace = 64 << 10
	// growth is by how much the space of an answer that outgrows it is raised.
	growth = 64 << 10
)

// records is the table of runs and tombstones of this incarnation, by request
// id. It is bounded: at the bound new ids are refused, and no record is
// dropped before its ticket has expired. The agent's lock guards it.
type records struct {
	max        int
	maxBytes   int64
	runs       map[string]*run
	tombs      map[string]time.Time // until when each is kept
	bytes      int64                // booked for bodies and answers
	unfinished int
}

func newRecords(max int, maxBytes int64) *records {
	return &records{max: max, maxBytes: maxBytes, runs: make(map[string]*run), tombs: make(map[string]time.Time)}
}

// fits reports whether the order can be recorded.
func (t *records) fits(req *rudderv1.RunRequest) bool {
	return len(t.runs) < t.max && t.bytes+spaceOf(req) <= t.maxBytes
}

// add records a new run and books its space.
func (t *records) add(r *run) {
	t.runs[r.req.RequestId] = r
	t.hold(r, spaceOf(r.req))
	t.unfinished++
}

// hold sets the bytes booked for a run.
func (t *records) hold(r *run, bytes int64) {
	t.bytes += bytes - r.held
	r.held = bytes
}

// grow books more space for an answer; it reports false at the bound.
func (t *records) grow(r *run, more int64) bool {
	if t.bytes+more > t.maxBytes {
		return false
	}
	t.hold(r, r.held+more)
	return true
}

// ended replaces the space booked by what the answer took.
func (t *records) ended(r *run) {
	t.unfinished--
	t.hold(r, r.trim())
}

// drop forgets a run's answer but not the run.
func (t *records) drop(r *run) {
	r.drop()
	t.hold(r, 0)
}

// forget removes the run.
func (t *records) forget(r *run) {
	t.drop(r)
	if t.runs[r.req.RequestId] == r {
		delete(t.runs, r.req.RequestId)
	}
}

// seal records that an id never ran here; it reports false at the bound.
func (t *records) seal(id string, until time.Time) bool {
	if len(t.tombs) >= t.max {
		return false
	}
	t.tombs[id] = until
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

// spaceOf is the space that an order needs: its body until it has ended, and
// its answer.
func spaceOf(req *rudderv1.RunRequest) int64 { return int64(len(req.Body)) + answerSpace(req) }

func answerSpace(req *rudderv1.RunRequest) int64 {
	if req.Call != nil {
		return callSpace
	}
	return int64(req.GetCompletion().GetMaxTokens())*answerBytesPerToken + int64(len(req.GetCompletion().GetResumeText()))
}
