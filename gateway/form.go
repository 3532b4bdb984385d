package gateway

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/memory"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	reserveTimeout = time.Second
	// maxPrefillAttempts bounds how often one span is ordered. The agent joins
	// retried orders for a span, so retrying after a lost response costs
	// nothing.
	maxPrefillAttempts = 3
	prefillRetryDelay  = 200 * time.Millisecond
)

// execute carries out one step of the current attempt and records its result in
// the state.
func (gr *group) execute(ctx context.Context, a memory.Action) {
	if ctx.Err() != nil {
		gr.failAttempt(a.Member, result.Code(endBeforeRun(ctx, result.New(result.DeadlineTooNear, "")).Code))
		return
	}
	if m, expired := gr.expiredMember(); expired {
		gr.failAttempt(m, result.LeaseLost)
		return
	}
	if a.Kind == memory.ActionReserve {
		gr.reserve(a.Member)
		return
	}
	gr.prefill(ctx, a)
}

// expiredMember returns a member whose lease may have expired. It is checked
// before every step, so that nothing is done under an expired lease after this
// process was frozen.
func (gr *group) expiredMember() (int, bool) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.state.ExpiredMember(time.Now())
}

// failAttempt ends the attempt. If the endpoint is at fault, it is avoided for
// avoidDuration.
func (gr *group) failAttempt(member int, code result.Code) {
	l := gr.links[member]
	gr.s.g.deps.Log.Info("Group attempt failed.", "group", gr.id, "endpoint", l.declared.Name, "code", uint32(code))
	switch code {
	case result.MemoryHeld, result.Canceled, result.DeadlineTooNear, result.DeadlinePassed:
	default:
		gr.failedAt[l.declared.Name] = time.Now()
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.state.RecordFailure(code)
}

// reserve reserves one member's part of the memory.
func (gr *group) reserve(member int) {
	l, m := gr.links[member], gr.member(member)
	gr.mu.Lock()
	gr.state.RecordRequested(member)
	epoch := gr.state.Epoch()
	gr.mu.Unlock()
	ctx, cancel := context.WithTimeout(gr.ctx, reserveTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := l.client.Reserve(ctx, connect.NewRequest(&rudderv1.ReserveRequest{
		Group: gr.id, Holder: gr.s.g.cfg.Name, Tokens: m.ReserveTokens, LeaseMs: groupLeaseTTL.Milliseconds(),
		Epoch: epoch, SinceUnixMs: gr.requestedAt.UnixMilli(), Model: gr.s.cr.completion.Model,
	}))
	if err != nil {
		gr.failAttempt(member, gr.lostCallCode(err))
		return
	}
	l.recordLoad(resp.Msg.Load)
	if !resp.Msg.Granted {
		gr.failAttempt(member, result.Code(resp.Msg.Code))
		return
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.state.RecordGranted(member, sent, groupLeaseTTL)
}

func (gr *group) member(i int) memory.Member {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.state.Plan()[i]
}

// lostCallCode returns the code for a call that got no response.
func (gr *group) lostCallCode(err error) result.Code {
	if expired := (*leaseExpiredError)(nil); errors.As(context.Cause(gr.ctx), &expired) {
		return result.LeaseLost
	}
	if gr.ctx.Err() != nil {
		return result.Code(endBeforeRun(gr.ctx, result.New(result.DeadlineTooNear, "")).Code)
	}
	gr.s.g.deps.Log.Warn("Call to a group member failed.", "group", gr.id, "err", err)
	return result.AgentLost
}

// memberAtFault returns the member whose lease expired or, if none did, the
// given one.
func (gr *group) memberAtFault(member int) int {
	if expired := (*leaseExpiredError)(nil); errors.As(context.Cause(gr.ctx), &expired) {
		return expired.member
	}
	return member
}

// prefill has a member import the spans before its own and, unless it is the
// last, compute its own span.
func (gr *group) prefill(ctx context.Context, a memory.Action) {
	m, c := gr.member(a.Member), gr.s.cr.completion
	req := &rudderv1.PrefillRequest{
		Reservation: gr.reservation(), RequestId: gr.s.cr.id, Model: c.Model, Path: c.Path, Body: gr.s.cr.body,
		StartToken: m.Start, Tokens: m.Tokens, Before: gr.spans,
		Workspace: gr.s.cr.workspace.Name, Weight: gr.s.cr.workspace.Weight, Priority: gr.s.cr.workspace.Priority,
	}
	if a.Kind == memory.ActionImport {
		req.Tokens, req.Body = 0, nil
	}
	resp, err := gr.callPrefill(gr.links[a.Member], req)
	switch {
	case err != nil:
		gr.failAttempt(gr.memberAtFault(a.Member), gr.lostCallCode(err))
	case result.Code(resp.Code) == result.AgentLost && a.Member > 0:
		gr.failAttempt(a.Member-1, result.AgentLost) // the previous member could not export its spans
	case result.Code(resp.Code) != result.OK:
		gr.failAttempt(a.Member, result.Code(resp.Code))
	default:
		gr.recordComputed(a, resp.Handle)
	}
}

// callPrefill orders a span and retries if the response is lost.
func (gr *group) callPrefill(l *link, req *rudderv1.PrefillRequest) (*rudderv1.PrefillResponse, error) {
	for attempt := 1; ; attempt++ {
		req.RemainingMs = time.Until(gr.s.cr.deadline).Milliseconds()
		resp, err := l.client.Prefill(gr.ctx, connect.NewRequest(req))
		if err == nil {
			return resp.Msg, nil
		}
		if gr.ctx.Err() != nil || attempt == maxPrefillAttempts {
			return nil, err
		}
		select {
		case <-time.After(prefillRetryDelay):
		case <-gr.ctx.Done():
			return nil, err
		}
	}
}

// recordComputed records that a member has done its part. The member now holds
// all spans up to its own, so the members before it that are no longer needed
// are released.
func (gr *group) recordComputed(a memory.Action, h *rudderv1.KVHandle) {
	if a.Kind == memory.ActionCompute {
		gr.spans = append(gr.spans, h)
	}
	name := gr.links[a.Member].declared.Name
	for i, old := range gr.spans {
		gr.spans[i] = &rudderv1.KVHandle{Id: old.Id, Endpoint: name, StartToken: old.StartToken, Tokens: old.Tokens}
	}
	gr.mu.Lock()
	free := gr.state.RecordComputed(a.Member)
	gr.mu.Unlock()
	gr.releaseMembers(free)
	if a.Kind == memory.ActionCompute {
		gr.preload(a.Member+2, h)
	}
}

// preload has the members after the next one import the span while the next one
// computes. Nothing waits for the result: an import that fails is retried when
// the member's step comes.
func (gr *group) preload(from int, h *rudderv1.KVHandle) {
	req := &rudderv1.PrefillRequest{
		Reservation: gr.reservation(), RequestId: gr.s.cr.id, StartToken: h.StartToken, Before: []*rudderv1.KVHandle{h},
		RemainingMs: time.Until(gr.s.cr.deadline).Milliseconds(),
	}
	ctx := gr.ctx
	for _, l := range gr.links[min(from, len(gr.links)):] {
		gr.background.Go(func() { _, _ = l.client.Prefill(ctx, connect.NewRequest(req)) })
	}
}

func (gr *group) reservation() string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.state.Reservation()
}
