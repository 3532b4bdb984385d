package agent

import (
	"time"

	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// responseBytesPerToken is the buffer size reserved for each response token.
	responseBytesPerToken = 8
	// callResponseBytes is the buffer size reserved for the response of a plain service.
	callResponseBytes = 64 << 10
	// responseGrowth is the additional size reserved for a response that exceeds its reservation.
	responseGrowth = 64 << 10
)

// records is the table of runs and tombstones of this incarnation, by request ID. Its size is
// bounded: when it is full, new IDs are refused, and no record is removed before its ticket
// has expired. The agent's lock guards it.
type records struct {
	max        int
	maxBytes   int64
	runs       map[string]*run
	tombstones map[string]time.Time // expiry of each tombstone
	bytes      int64                // reserved for request bodies and responses
	unfinished int
}

func newRecords(max int, maxBytes int64) *records {
	return &records{max: max, maxBytes: maxBytes, runs: make(map[string]*run), tombstones: make(map[string]time.Time)}
}

// fits reports whether there is room to record the order.
func (t *records) fits(req *rudderv1.RunRequest) bool {
	return len(t.runs) < t.max && t.bytes+orderBytes(req) <= t.maxBytes
}

// add records a new run and reserves its buffer space.
func (t *records) add(r *run) {
	t.runs[r.req.RequestId] = r
	t.setReserved(r, orderBytes(r.req))
	t.unfinished++
}

// setReserved sets the number of bytes reserved for a run.
func (t *records) setReserved(r *run, bytes int64) {
	t.bytes += bytes - r.reservedBytes
	r.reservedBytes = bytes
}

// grow reserves more space for a response; it returns false if the limit would be exceeded.
func (t *records) grow(r *run, more int64) bool {
	if t.bytes+more > t.maxBytes {
		return false
	}
	t.setReserved(r, r.reservedBytes+more)
	return true
}

// ended reduces a run's reservation to the size of its response.
func (t *records) ended(r *run) {
	t.unfinished--
	t.setReserved(r, r.releaseInputs())
}

// drop drops the response of a run and keeps its record.
func (t *records) drop(r *run) {
	r.drop()
	t.setReserved(r, 0)
}

// forget removes a run.
func (t *records) forget(r *run) {
	t.drop(r)
	if t.runs[r.req.RequestId] == r {
		delete(t.runs, r.req.RequestId)
	}
}

// seal records that an ID never ran here; it returns false if the table is full.
func (t *records) seal(id string, until time.Time) bool {
	if len(t.tombstones) >= t.max {
		return false
	}
	t.tombstones[id] = until
	return true
}

// sealed reports whether the ID was refused in this incarnation.
func (t *records) sealed(id string) bool {
	if _, ok := t.tombstones[id]; ok {
		return true
	}
	r, ok := t.runs[id]
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifecycle.State == lifecycle.Refused
}

// unfinishedRuns returns the number of runs that have not ended.
func (t *records) unfinishedRuns() int { return t.unfinished }

// orderBytes returns the space that an order needs: its body, which is kept until the run
// has ended, and its response.
func orderBytes(req *rudderv1.RunRequest) int64 { return int64(len(req.Body)) + responseBytes(req) }

func responseBytes(req *rudderv1.RunRequest) int64 {
	if req.Call != nil {
		return callResponseBytes
	}
	return int64(req.GetCompletion().GetMaxTokens())*responseBytesPerToken + int64(len(req.GetCompletion().GetResumeText()))
}
