package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// spanJob computes one span of a prompt under a lease, or only imports the spans before it. It
// continues if its caller is lost, and ends with its lease.
type spanJob struct {
	id      string
	req     *rudderv1.PrefillRequest
	item    admission.Item
	ctx     context.Context
	cancel  context.CancelCauseFunc
	started chan struct{} // closed when the queue starts the job
	done    chan struct{}
	handle  *rudderv1.KVHandle // set when done
	err     *result.Err        // set when done
}

// stop ends the job with the given reason.
func (j *spanJob) stop(reason *result.Err) { j.cancel(reason) }

func (j *spanJob) finished() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// spanID returns the ID of a span, made of its reservation and first token. An order that only
// imports has an ID of its own.
func spanID(m *rudderv1.PrefillRequest) string {
	if m.Tokens == 0 {
		return fmt.Sprintf("%s/import/%d", m.Reservation, m.StartToken)
	}
	return fmt.Sprintf("%s/%d", m.Reservation, m.StartToken)
}

// Prefill computes a span under a lease and keeps it in memory. Retrying the order joins the
// job or returns its result.
func (s *server) Prefill(ctx context.Context, req *connect.Request[rudderv1.PrefillRequest]) (*connect.Response[rudderv1.PrefillResponse], error) {
	j, err := s.a.spanJob(req.Msg)
	if err != nil {
		return connect.NewResponse(&rudderv1.PrefillResponse{Code: uint32(err.Code), Detail: err.Detail}), nil
	}
	select {
	case <-j.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if j.err != nil {
		return connect.NewResponse(&rudderv1.PrefillResponse{Code: uint32(j.err.Code), Detail: j.err.Detail}), nil
	}
	return connect.NewResponse(&rudderv1.PrefillResponse{Code: uint32(result.OK), Handle: j.handle}), nil
}

// spanJob returns the job of an order and starts it if it does not exist yet.
func (a *Agent) spanJob(m *rudderv1.PrefillRequest) (*spanJob, *result.Err) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.deps.Engine == nil {
		return nil, result.New(result.EndpointRefused, "wrong kind of endpoint")
	}
	now := time.Now()
	a.stopExpiredJobs(now)
	if !a.mem.leases.Live(m.Reservation, now) {
		return nil, result.New(result.LeaseLost, "")
	}
	id := spanID(m)
	if j, ok := a.mem.jobs[id]; ok {
		return j, nil
	}
	j := a.newSpanJob(id, m, now)
	a.mem.jobs[id] = j
	a.workers.Go(func() { a.runSpan(j) })
	return j, nil
}

func (a *Agent) newSpanJob(id string, m *rudderv1.PrefillRequest, now time.Time) *spanJob {
	deadline := now.Add(time.Duration(m.RemainingMs) * time.Millisecond)
	j := &spanJob{id: id, req: m, started: make(chan struct{}), done: make(chan struct{})}
	ctx, cancel := context.WithDeadlineCause(a.ctx, deadline, result.New(result.DeadlineTooNear, ""))
	j.ctx, j.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(j.ctx, cancel)
	j.item = admission.Item{
		ID: id, Workspace: m.Workspace, Weight: m.Weight, Priority: m.Priority,
		Class: routing.ClassOf(m.StartToken + m.Tokens), PromptTokens: m.Tokens, ContextTokens: m.StartToken,
		Arrived: now, Deadline: deadline,
	}
	return j
}

// runSpan executes the job and records its result. A failed job is removed, so that the order
// may be retried.
func (a *Agent) runSpan(j *spanJob) {
	err := a.prepareSpan(j)
	if err == nil && j.req.Tokens > 0 {
		err = a.computeSpan(j)
	}
	var resultErr *result.Err
	if err != nil && !errors.As(err, &resultErr) {
		resultErr = a.spanFailure(j, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	j.err = resultErr
	if resultErr != nil {
		delete(a.mem.jobs, j.id)
		a.deps.Log.Warn("Span job failed.", "span", j.id, "err", resultErr)
	}
	j.handle = &rudderv1.KVHandle{Id: j.id, Endpoint: a.cfg.Endpoint, StartToken: j.req.StartToken, Tokens: j.req.Tokens}
	j.req.Body = nil
	j.cancel(nil)
	close(j.done)
	a.mem.wakeLoop()
}

// prepareSpan waits until the lease's memory is available and imports the preceding spans.
func (a *Agent) prepareSpan(j *spanJob) error {
	if err := a.awaitMemory(j.ctx); err != nil {
		return err
	}
	for _, h := range j.req.Before {
		if err := a.importSpan(j, h); err != nil {
			return err
		}
	}
	return nil
}

// awaitMemory waits until the work that ran before the leases were granted has left the
// endpoint. New work is started only in memory that is neither used nor reserved.
func (a *Agent) awaitMemory(ctx context.Context) error {
	for {
		a.mu.Lock()
		ready, changed := a.usedTokens+a.mem.unavailableTokens() <= a.cfg.MemoryTokens, a.changed
		a.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// computeSpan queues the span and, when it is started, has the engine compute it.
func (a *Agent) computeSpan(j *spanJob) error {
	a.mu.Lock()
	v := a.queue.Offer(j.item, a.capacity(), time.Now())
	if v.Admitted {
		a.mem.queuedJobs++
	}
	a.mu.Unlock()
	if !v.Admitted {
		return result.New(v.Code, v.Detail)
	}
	a.wakeDispatch()
	select {
	case <-j.started:
	case <-j.ctx.Done():
		a.leaveQueue(j)
		return context.Cause(j.ctx)
	}
	start := time.Now()
	err := a.confirmedPrefill(j)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if err != nil {
		a.queue.Remove(j.item.ID)
	} else {
		a.queue.Done(j.item, start.Sub(j.item.Arrived), time.Since(start), 0, j.item.ContextTokens)
	}
	a.notify()
	a.wakeDispatch()
	return err
}

// leaveQueue removes an ended job from the queue.
func (a *Agent) leaveQueue(j *spanJob) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Remove(j.item.ID)
	select {
	case <-j.started:
		a.running--
	default:
		a.mem.queuedJobs--
	}
	a.wakeDispatch()
}

// startSpan starts the waiting job that the queue selected; the caller holds mu.
func (a *Agent) startSpan(it admission.Item) {
	j, ok := a.mem.jobs[it.ID]
	if !ok {
		a.queue.Remove(it.ID)
		return
	}
	a.mem.queuedJobs--
	a.running++
	close(j.started)
}

// expireSpan ends a waiting job that cannot finish in time; the caller holds mu.
func (a *Agent) expireSpan(it admission.Item) {
	if j, ok := a.mem.jobs[it.ID]; ok {
		j.stop(result.New(result.DeadlineTooNear, "waited too long"))
	}
}

// confirmedPrefill sends the prefill order and, if its response is lost, queries the engine to
// find out whether it holds the span.
func (a *Agent) confirmedPrefill(j *spanJob) error {
	err := a.watchedPrefill(j)
	if err == nil {
		return nil
	}
	if j.ctx.Err() != nil {
		a.cancelAtEngine(j.id)
		return context.Cause(j.ctx)
	}
	if !errors.Is(err, engine.ErrLost) {
		return err
	}
	ctx, cancel := context.WithTimeout(j.ctx, probeTimeout)
	defer cancel()
	st, stateErr := a.deps.Engine.State(ctx)
	if stateErr != nil {
		return err
	}
	if slices.ContainsFunc(st.Held, func(h engine.HeldMemory) bool { return h.ID == j.id }) {
		return nil
	}
	return err
}

// watchedPrefill sends the prefill order and ends it if the engine does not work on it: the
// coordinator keeps the memory of all members of the group reserved meanwhile.
func (a *Agent) watchedPrefill(j *spanJob) error {
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	a.workers.Go(func() {
		a.watchOrder(ctx, cancel, pendingOrder{id: j.id, noProgress: func() bool { return true }, countErrors: true})
	})
	err := a.deps.Engine.Prefill(ctx, engine.Span{
		ID: j.id, Owner: j.req.Reservation, Path: j.req.Path, Body: j.req.Body,
		Start: j.req.StartToken, Tokens: j.req.Tokens, Import: spanIDs(j.req.Before), Priority: admission.EnginePriority(j.item),
	})
	if err != nil && errors.Is(context.Cause(ctx), errOrderLost) {
		return errOrderLost
	}
	return err
}

// spanFailure returns the result code for an error of the engine.
func (a *Agent) spanFailure(j *spanJob, err error) *result.Err {
	switch {
	case j.ctx.Err() != nil:
		return result.New(result.LeaseLost, "the agent is stopping")
	case errors.Is(err, engine.ErrNoMemory):
		return result.New(result.MemoryHeld, err.Error())
	case errors.Is(err, engine.ErrUnreachable):
		a.endpointLost()
		return result.New(result.EndpointLost, err.Error())
	case errors.Is(err, engine.ErrLost):
		return result.New(result.EndpointLost, err.Error())
	default:
		return result.New(result.EndpointRefused, err.Error())
	}
}

// stopSpans ends all span jobs with the given reason.
func (a *Agent) stopSpans(reason *result.Err) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, j := range a.mem.jobs {
		j.stop(reason)
	}
}
