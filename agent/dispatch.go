package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/service"
)

const (
	cancelTime = 2 * time.Second
	readChunk  = 32 << 10
)

// dispatchLoop starts waiting work as the endpoint has room for it.
func (a *Agent) dispatchLoop() {
	timer := time.NewTimer(admission.PollInterval)
	defer timer.Stop()
	for {
		if a.startAll() {
			timer.Reset(admission.PollInterval)
		}
		select {
		case <-a.ctx.Done():
			return
		case <-a.wake:
		case <-timer.C:
		}
	}
}

// startAll expires and starts what it can and reports whether work waits.
func (a *Agent) startAll() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, it := range a.queue.Expire(now) {
		a.expire(it)
	}
	for {
		it, ok := a.queue.Next(a.capacity(), now)
		if !ok {
			break
		}
		a.begin(it)
	}
	return len(a.waiting) > 0 || a.desk.waiting > 0
}

// expire ends a run that can no longer be done in time; the caller holds mu.
func (a *Agent) expire(it admission.Item) {
	r, ok := a.waiting[it.ID]
	if !ok {
		a.expireSpan(it)
		return
	}
	if r.apply(lifecycle.Event{Kind: lifecycle.EvExpire}, "waited too long") != lifecycle.ActIgnore {
		go a.endRun(r)
	}
}

// begin takes the endpoint's room for a run and executes it; the caller holds mu.
func (a *Agent) begin(it admission.Item) {
	r, ok := a.waiting[it.ID]
	if !ok {
		a.beginSpan(it)
		return
	}
	delete(a.waiting, it.ID)
	a.running++
	a.used += it.MemoryTokens
	a.workers.Go(func() {
		a.execute(r)
		a.mu.Lock()
		a.running--
		a.used -= it.MemoryTokens
		a.queue.Remove(it.ID) // of no effect after Done
		a.mu.Unlock()
		a.endRun(r)
	})
}

// execute sends the order and reads the answer to its end.
func (a *Agent) execute(r *run) {
	if r.ctx.Err() != nil {
		r.apply(a.interrupted(r), "before the order")
		return
	}
	if r.apply(lifecycle.Event{Kind: lifecycle.EvDispatch}, "") != lifecycle.ActOrder {
		return
	}
	if r.req.Call != nil {
		a.call(r)
		return
	}
	a.complete(r)
}

// interrupted says why a run's context ended.
func (a *Agent) interrupted(r *run) lifecycle.Event {
	if errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
		return lifecycle.Event{Kind: lifecycle.EvExpire}
	}
	return lifecycle.Event{Kind: lifecycle.EvCancel}
}

// complete runs a completion at the engine.
func (a *Agent) complete(r *run) {
	begun := time.Now()
	c := r.req.Completion
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	var events atomic.Int64
	a.workers.Go(func() {
		a.watchWork(ctx, cancel, work{id: attemptID(r.req), silent: func() bool { return events.Swap(0) == 0 }})
	})
	stream, err := a.deps.Engine.Start(ctx, engine.Request{
		ID:         attemptID(r.req),
		Path:       c.Path,
		Body:       r.req.Body,
		Priority:   admission.EnginePriority(r.item),
		ResumeText: c.ResumeText,
		Import:     spanIDs(c.Spans),
		MaxTokens:  c.MaxTokens,
	})
	if err == nil {
		defer func() { _ = stream.Close() }()
		err = a.readStream(r, stream, &events, begun)
	}
	if err != nil && errors.Is(context.Cause(ctx), errNotWorkedOn) {
		err = errNotWorkedOn
	}
	if err != nil {
		a.fail(r, err)
	}
}

// readStream copies the engine's stream into the buffer, and counts its events. It returns why the
// stream broke, nil where it did not.
func (a *Agent) readStream(r *run, stream engine.Stream, events *atomic.Int64, begun time.Time) error {
	var first time.Time
	var usage engine.Usage
	var finish string
	for {
		ev, err := stream.Recv()
		if errors.Is(err, io.EOF) && finish != "" {
			a.finishCompletion(r, finish, usage, begun, first)
			return nil
		}
		if err != nil {
			return err
		}
		events.Add(1)
		if len(ev.Text) > 0 {
			if first.IsZero() {
				first = time.Now()
				a.prefilled(r, first)
				r.apply(lifecycle.Event{Kind: lifecycle.EvAnswer}, "")
			}
			if !a.take(r, ev.Text) {
				return nil
			}
		}
		if ev.Finish != "" {
			finish, usage = ev.Finish, ev.Usage
		}
	}
}

// prefilled tells the queue that a run has come to its first token.
func (a *Agent) prefilled(r *run, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Prefilled(r.item.ID, now)
}

// take buffers answer text. An answer that outgrows the space for all answers
// ends its run and reports false.
func (a *Agent) take(r *run, text []byte) bool {
	r.size += int64(len(text))
	if r.size > r.room && !a.widen(r) {
		r.apply(lifecycle.Event{Kind: lifecycle.EvEnd, Code: result.AnswerTooLong}, "")
		a.cancelAtEngine(attemptID(r.req))
		return false
	}
	r.append(text)
	return true
}

// widen books more space for the run's answer.
func (a *Agent) widen(r *run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	more := r.size - r.room + growth
	if !a.records.grow(r, more) {
		return false
	}
	r.room += more
	return true
}

func (a *Agent) finishCompletion(r *run, finish string, u engine.Usage, begun, first time.Time) {
	now := time.Now()
	if first.IsZero() {
		first = now
	}
	queued, prefill, decode := begun.Sub(r.admitted), first.Sub(begun), now.Sub(first)
	a.mu.Lock()
	a.queue.Done(r.item, queued, prefill, decode, u.CachedTokens)
	load := a.load()
	a.mu.Unlock()
	a.cache.RecordRun(r.req.GetCompletion().GetPrefix(), r.believed, u.CachedTokens)
	r.finishOK(finish, &rudderv1.Usage{PromptTokens: u.PromptTokens, CachedTokens: u.CachedTokens, OutputTokens: u.OutputTokens},
		&rudderv1.RunTimes{QueuedUs: queued.Microseconds(), PrefillUs: prefill.Microseconds(), DecodeUs: decode.Microseconds()}, load)
}

// fail turns an endpoint's error into the event it is evidence for.
func (a *Agent) fail(r *run, err error) {
	if r.ctx.Err() != nil {
		if r.apply(a.interrupted(r), "") == lifecycle.ActStop {
			a.cancelAtEngine(attemptID(r.req))
		}
		return
	}
	a.deps.Log.Warn("Run failed.", "request", r.req.RequestId, "err", err)
	a.noteRest(r, err)
	switch {
	case errors.Is(err, engine.ErrRefused), errors.Is(err, engine.ErrNoMemory), errors.Is(err, service.ErrRefused):
		r.apply(lifecycle.Event{Kind: lifecycle.EvRefused, Code: result.EndpointRefused}, err.Error())
	case errors.Is(err, engine.ErrUnreachable), errors.Is(err, service.ErrUnreachable):
		r.apply(lifecycle.Event{Kind: lifecycle.EvRefused, Code: result.EndpointRefused}, err.Error())
		a.endpointLost()
	case errors.Is(err, engine.ErrFailed):
		r.apply(lifecycle.Event{Kind: lifecycle.EvEnd, Code: result.EndpointFailed}, err.Error())
	default:
		if r.apply(lifecycle.Event{Kind: lifecycle.EvLost}, err.Error()) == lifecycle.ActStop {
			a.cancelAtEngine(attemptID(r.req))
		}
	}
}

// cancelAtEngine frees a run's memory at the engine, without waiting for it.
func (a *Agent) cancelAtEngine(id string) {
	if a.deps.Engine == nil {
		return
	}
	a.workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTime)
		defer cancel()
		if err := a.deps.Engine.Cancel(ctx, id); err != nil && !errors.Is(err, engine.ErrNotFound) {
			a.deps.Log.Warn("Cancel failed.", "run", id, "err", err)
			a.mu.Lock()
			defer a.mu.Unlock()
			a.desk.uncancelled[id] = struct{}{}
		}
	})
}

// finishOK ends a run well, with what it took.
func (r *run) finishOK(finish string, u *rudderv1.Usage, t *rudderv1.RunTimes, load *rudderv1.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life.Apply(lifecycle.Event{Kind: lifecycle.EvEnd, Code: result.OK}) == lifecycle.ActIgnore {
		return
	}
	r.finish("")
	r.end.FinishReason, r.end.Usage, r.end.Times, r.end.Load = finish, u, t, load
}

// attemptID names one attempt at the endpoint.
func attemptID(req *rudderv1.RunRequest) string {
	return fmt.Sprintf("%s.%d", req.RequestId, req.Attempt)
}

func spanIDs(spans []*rudderv1.KVHandle) []string {
	ids := make([]string, 0, len(spans))
	for _, s := range spans {
		ids = append(ids, s.Id)
	}
	return ids
}
