package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// maxChunk is the maximum size of the text in one data frame, in bytes.
const maxChunk = 32 << 10

// run is one execution with its buffered response. Its mutex guards all fields declared after
// it; when both locks are needed, the agent's is taken first.
type run struct {
	req          *rudderv1.RunRequest
	item         admission.Item
	deadline     time.Time
	admitted     time.Time
	expires      time.Time       // when the record is removed; not before the ticket expires
	cachedBlocks int             // leading blocks assumed to be cached at admission
	ctx          context.Context // ends at the deadline, on cancellation or when the agent closes
	cancel       context.CancelFunc

	digest        uint64 // digest of the request, see requestDigest
	reservedBytes int64  // bytes reserved in the records; guarded by the agent's lock
	responseSize  int64  // response bytes so far; used only by the worker
	responseLimit int64  // response bytes that are reserved; used only by the worker

	mu        sync.Mutex
	lifecycle lifecycle.Run
	buf       []byte // the response, from offset 0
	checksum  *xxhash.Digest
	head      *rudderv1.ServiceHead
	end       *rudderv1.End
	dropped   bool // the response is no longer kept
	changed   chan struct{}
	// retryAfter is the retry delay that the endpoint returned when it refused the run; 0 if
	// it returned none.
	retryAfter  time.Duration
	readers     int
	unreadTimer *time.Timer // runs while a repeatable run has no reader
}

func newRun(parent context.Context, req *rudderv1.RunRequest, now time.Time) *run {
	deadline := now.Add(time.Duration(req.RemainingMs) * time.Millisecond)
	r := &run{req: req, deadline: deadline, admitted: now, changed: make(chan struct{}), checksum: xxhash.New()}
	r.ctx, r.cancel = context.WithDeadline(parent, deadline)
	r.digest = requestDigest(req)
	r.responseLimit = responseBytes(req)
	if resume := req.GetCompletion().GetResumeText(); len(resume) > 0 {
		r.buf = append(r.buf, resume...)
		r.responseSize = int64(len(resume))
		_, _ = r.checksum.Write(resume)
	}
	return r
}

// requestDigest returns a digest of what an order asks for, which is the same for all
// attempts.
func requestDigest(req *rudderv1.RunRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.GetCall().GetMethod() + " " + req.GetCall().GetPath() + req.GetCompletion().GetPath() + "\n")
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// apply applies an event to the state machine. A final step also sets the end that every
// reader receives.
func (r *run) apply(ev lifecycle.Event, detail string) lifecycle.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	action := r.lifecycle.Apply(ev)
	if action != lifecycle.ActIgnore && r.lifecycle.State.Final() {
		r.finish(detail)
	}
	return action
}

// finish sets the end; the caller holds the lock.
func (r *run) finish(detail string) {
	r.end = &rudderv1.End{
		Code:     uint32(r.lifecycle.Code),
		Outcome:  rudderv1.Outcome(r.lifecycle.Outcome),
		Length:   uint64(len(r.buf)),
		Checksum: r.checksum.Sum64(),
		Detail:   detail,
		Sealed:   r.lifecycle.State == lifecycle.Refused,

		RetryAfterMs: r.retryAfter.Milliseconds(),
	}
	r.broadcast()
}

// append appends text to the response.
func (r *run) append(text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	r.buf = append(r.buf, text...)
	_, _ = r.checksum.Write(text)
	r.broadcast()
}

// setHead records the status and headers of a plain service.
func (r *run) setHead(h *rudderv1.ServiceHead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = h
	r.broadcast()
}

// broadcast wakes the readers; the caller holds the lock.
func (r *run) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// responseView is a snapshot of the response for a reader.
type responseView struct {
	state   lifecycle.State
	head    *rudderv1.ServiceHead
	text    []byte // part of the response from the requested offset
	end     *rudderv1.End
	dropped bool
	changed <-chan struct{}
}

// read returns the response from the offset, the end once everything before it was read, and a
// channel that is closed at the next change.
func (r *run) read(offset uint64) responseView {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := responseView{state: r.lifecycle.State, head: r.head, dropped: r.dropped, changed: r.changed}
	total := uint64(len(r.buf))
	if offset < total {
		v.text = r.buf[offset:]
		if len(v.text) > maxChunk {
			v.text = v.text[:maxChunk]
		}
	}
	if offset+uint64(len(v.text)) >= total {
		v.end = r.end
	}
	return v
}

// attach registers a reader.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.unreadTimer != nil {
		r.unreadTimer.Stop()
		r.unreadTimer = nil
	}
}

// detach unregisters a reader. When the last reader of an unfinished repeatable run has left,
// the run continues for the window only; then onUnread is called.
func (r *run) detach(window time.Duration, onUnread func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers > 0 || r.end != nil || !r.req.Repeatable {
		return
	}
	r.unreadTimer = time.AfterFunc(window, onUnread)
}

// unread reports whether the run has no reader.
func (r *run) unread() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0
}

// drop drops the response and keeps the record and its end.
func (r *run) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf, r.dropped = nil, true
}

// releaseInputs releases the inputs that an ended run no longer needs and returns the size of
// its response.
func (r *run) releaseInputs() (kept int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.req.Body = nil
	if c := r.req.Completion; c != nil {
		c.ResumeText = nil
	}
	return int64(len(r.buf))
}

// final returns the run's result code and whether the run has ended.
func (r *run) final() (result.Code, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifecycle.Code, r.lifecycle.State.Final()
}
