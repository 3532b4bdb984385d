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
	cancelTimeout  = 2 * time.Second
	readChunkBytes = 32 << 10
)

// dispatchLoop starts waiting work whenever the endpoint has capacity for it.
func (a *Agent) dispatchLoop() {
	timer := time.NewTimer(admission.PollInterval)
	defer timer.Stop()
	for {
		if a.startReady() {
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

// startReady ends expired work, starts what fits, and reports whether work is still waiting.
func (a *Agent) startReady() bool {
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
		a.start(it)
	}
	return len(a.waiting) > 0 || a.mem.queuedJobs > 0
}

// expire ends waiting work that can no longer finish in time; the caller holds mu.
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

// start allocates the endpoint's capacity to an item and executes it; the caller holds mu.
func (a *Agent) start(it admission.Item) {
	r, ok := a.waiting[it.ID]
	if !ok {
		a.startSpan(it)
		return
	}
	delete(a.waiting, it.ID)
	a.running++
	a.usedTokens += it.MemoryTokens
	a.workers.Go(func() {
		a.execute(r)
		a.mu.Lock()
		a.running--
		a.usedTokens -= it.MemoryTokens
		a.queue.Remove(it.ID) // no effect after Done
		a.mu.Unlock()
		a.endRun(r)
	})
}

// execute sends the order to the endpoint and reads the response to its end.
func (a *Agent) execute(r *run) {
	if r.ctx.Err() != nil {
		r.apply(a.interruptionEvent(r), "before the order")
		return
	}
	if r.apply(lifecycle.Event{Kind: lifecycle.EvDispatch}, "") != lifecycle.ActOrder {
		return
	}
	if r.req.Call != nil {
		a.runCall(r)
		return
	}
	a.runCompletion(r)
}

// interruptionEvent returns the event for the reason why a run's context ended.
func (a *Agent) interruptionEvent(r *run) lifecycle.Event {
	if errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
		return lifecycle.Event{Kind: lifecycle.EvExpire}
	}
	return lifecycle.Event{Kind: lifecycle.EvCancel}
}

// runCompletion executes a completion at the engine.
func (a *Agent) runCompletion(r *run) {
	started := time.Now()
	c := r.req.Completion
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	var events atomic.Int64
	a.workers.Go(func() {
		a.watchOrder(ctx, cancel, pendingOrder{id: attemptID(r.req), noProgress: func() bool { return events.Swap(0) == 0 }})
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
		err = a.readStream(r, stream, &events, started)
	}
	if err != nil && errors.Is(context.Cause(ctx), errOrderLost) {
		err = errOrderLost
	}
	if err != nil {
		a.recordFailure(r, err)
	}
}

// readStream copies the engine's stream into the buffer and counts its events. It returns the
// reason why the stream broke, or nil if it did not.
func (a *Agent) readStream(r *run, stream engine.Stream, events *atomic.Int64, started time.Time) error {
	var first time.Time
	var usage engine.Usage
	var finish string
	for {
		ev, err := stream.Recv()
		if errors.Is(err, io.EOF) && finish != "" {
			a.finishCompletion(r, finish, usage, started, first)
			return nil
		}
		if err != nil {
			return err
		}
		events.Add(1)
		if len(ev.Text) > 0 {
			if first.IsZero() {
				first = time.Now()
				a.recordPrefilled(r, first)
				r.apply(lifecycle.Event{Kind: lifecycle.EvResponse}, "")
			}
			if !a.bufferResponse(r, ev.Text) {
				return nil
			}
		}
		if ev.Finish != "" {
			finish, usage = ev.Finish, ev.Usage
		}
	}
}

// recordPrefilled informs the queue that a run has produced its first token.
func (a *Agent) recordPrefilled(r *run, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Prefilled(r.item.ID, now)
}

// bufferResponse appends text to the buffered response. If the response exceeds the space available
// for all responses, it ends the run and returns false.
func (a *Agent) bufferResponse(r *run, text []byte) bool {
	r.responseSize += int64(len(text))
	if r.responseSize > r.responseLimit && !a.growResponse(r) {
		r.apply(lifecycle.Event{Kind: lifecycle.EvEnd, Code: result.AnswerTooLong}, "")
		a.cancelAtEngine(attemptID(r.req))
		return false
	}
	r.append(text)
	return true
}

// growResponse reserves more space for the run's response.
func (a *Agent) growResponse(r *run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	more := r.responseSize - r.responseLimit + responseGrowth
	if !a.records.grow(r, more) {
		return false
	}
	r.responseLimit += more
	return true
}

func (a *Agent) finishCompletion(r *run, finish string, u engine.Usage, started, first time.Time) {
	now := time.Now()
	if first.IsZero() {
		first = now
	}
	queued, prefill, decode := started.Sub(r.admitted), first.Sub(started), now.Sub(first)
	a.mu.Lock()
	a.queue.Done(r.item, queued, prefill, decode, u.CachedTokens)
	load := a.load()
	a.mu.Unlock()
	a.cache.RecordRun(r.req.GetCompletion().GetPrefix(), r.cachedBlocks, u.CachedTokens)
	r.finishOK(finish, &rudderv1.Usage{PromptTokens: u.PromptTokens, CachedTokens: u.CachedTokens, OutputTokens: u.OutputTokens},
		&rudderv1.RunTimes{QueuedUs: queued.Microseconds(), PrefillUs: prefill.Microseconds(), DecodeUs: decode.Microseconds()}, load)
}

// recordFailure applies the event that an error of the endpoint is evidence for.
func (a *Agent) recordFailure(r *run, err error) {
	if r.ctx.Err() != nil {
		if r.apply(a.interruptionEvent(r), "") == lifecycle.ActStop {
			a.cancelAtEngine(attemptID(r.req))
		}
		return
	}
	a.deps.Log.Warn("Run failed.", "request", r.req.RequestId, "err", err)
	a.recordBackoff(r, err)
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

// cancelAtEngine asks the engine, asynchronously, to cancel a run and free its memory.
func (a *Agent) cancelAtEngine(id string) {
	if a.deps.Engine == nil {
		return
	}
	a.workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
		defer cancel()
		if err := a.deps.Engine.Cancel(ctx, id); err != nil && !errors.Is(err, engine.ErrNotFound) {
			a.deps.Log.Warn("Cancellation at the engine failed.", "run", id, "err", err)
			a.mu.Lock()
			defer a.mu.Unlock()
			a.mem.uncancelled[id] = struct{}{}
		}
	})
}

// finishOK ends a run successfully and records its usage and times.
func (r *run) finishOK(finish string, u *rudderv1.Usage, t *rudderv1.RunTimes, load *rudderv1.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lifecycle.Apply(lifecycle.Event{Kind: lifecycle.EvEnd, Code: result.OK}) == lifecycle.ActIgnore {
		return
	}
	r.finish("")
	r.end.FinishReason, r.end.Usage, r.end.Times, r.end.Load = finish, u, t, load
}

// attemptID returns the ID of one attempt at the endpoint.
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
