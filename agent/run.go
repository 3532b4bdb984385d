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

// maxChunk bounds the text of one data frame, in bytes.
const maxChunk = 32 << 10

// run is one execution with its buffered answer. Its own lock guards all
// fields below it; it is taken after the agent's when both are needed.
type run struct {
	req      *rudderv1.RunRequest
	item     admission.Item
	deadline time.Time
	admitted time.Time
	expires  time.Time       // when the record goes; not before its ticket
	believed int             // leading blocks believed cached when admitted
	ctx      context.Context // ends with the deadline, a cancel or the agent
	cancel   context.CancelFunc

	digest uint64 // of what was asked for
	held   int64  // bytes booked for it in the records; the agent's lock guards it
	size   int64  // answer bytes so far; only the worker uses it
	room   int64  // answer bytes that are booked; only the worker uses it

	mu      sync.Mutex
	life    lifecycle.Run
	buf     []byte // the answer, from offset 0
	sum     *xxhash.Digest
	head    *rudderv1.ServiceHead
	end     *rudderv1.End
	dropped bool // the answer is no longer kept
	changed chan struct{}
	// retryAfter is the time to come back that the endpoint named when it refused the run; 0: none.
	retryAfter time.Duration
	readers    int
	idle       *time.Timer // runs while a repeatable run has no reader
}

func newRun(parent context.Context, req *rudderv1.RunRequest, now time.Time) *run {
	deadline := now.Add(time.Duration(req.RemainingMs) * time.Millisecond)
	r := &run{req: req, deadline: deadline, admitted: now, changed: make(chan struct{}), sum: xxhash.New()}
	r.ctx, r.cancel = context.WithDeadline(parent, deadline)
	r.digest = digestOf(req)
	r.room = answerSpace(req)
	if resume := req.GetCompletion().GetResumeText(); len(resume) > 0 {
		r.buf = append(r.buf, resume...)
		r.size = int64(len(resume))
		_, _ = r.sum.Write(resume)
	}
	return r
}

// digestOf names what an order asks for, whatever its attempt.
func digestOf(req *rudderv1.RunRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.GetCall().GetMethod() + " " + req.GetCall().GetPath() + req.GetCompletion().GetPath() + "\n")
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// apply makes a step of the state machine. A final step fixes the end that
// every reader will see.
func (r *run) apply(ev lifecycle.Event, detail string) lifecycle.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	action := r.life.Apply(ev)
	if action != lifecycle.ActIgnore && r.life.State.Final() {
		r.finish(detail)
	}
	return action
}

// finish builds the end; the caller holds the lock.
func (r *run) finish(detail string) {
	r.end = &rudderv1.End{
		Code:     uint32(r.life.Code),
		Outcome:  rudderv1.Outcome(r.life.Outcome),
		Length:   uint64(len(r.buf)),
		Checksum: r.sum.Sum64(),
		Detail:   detail,
		Sealed:   r.life.State == lifecycle.Refused,

		RetryAfterMs: r.retryAfter.Milliseconds(),
	}
	r.broadcast()
}

// append adds answer text.
func (r *run) append(text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	r.buf = append(r.buf, text...)
	_, _ = r.sum.Write(text)
	r.broadcast()
}

// setHead records a plain service's status and headers.
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

// view is what a reader sees at one moment.
type view struct {
	state   lifecycle.State
	head    *rudderv1.ServiceHead
	text    []byte // a part of the answer from the offset asked for
	end     *rudderv1.End
	dropped bool
	changed <-chan struct{}
}

// read returns the answer from the offset, the end once all was read, and a
// channel that is closed at the next change.
func (r *run) read(offset uint64) view {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := view{state: r.life.State, head: r.head, dropped: r.dropped, changed: r.changed}
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

// attach counts a reader in.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.idle != nil {
		r.idle.Stop()
		r.idle = nil
	}
}

// detach counts a reader out. The last reader of an unfinished repeatable run
// leaves it running for the window only; idle is called when it has passed.
func (r *run) detach(window time.Duration, idle func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers > 0 || r.end != nil || !r.req.Repeatable {
		return
	}
	r.idle = time.AfterFunc(window, idle)
}

// abandoned reports whether nobody reads the run.
func (r *run) abandoned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0
}

// drop forgets the answer but keeps the record and its end.
func (r *run) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf, r.dropped = nil, true
}

// trim lets go of what an ended run does not need and returns what it keeps.
func (r *run) trim() (kept int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.req.Body = nil
	if c := r.req.Completion; c != nil {
		c.ResumeText = nil
	}
	return int64(len(r.buf))
}

// outcome returns the run's final code, or 0.
func (r *run) final() (result.Code, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life.Code, r.life.State.Final()
}
