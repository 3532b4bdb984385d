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
	reserveTime = time.Second
	// prefillTries bounds how often one span is ordered: the agent joins
	// repeated orders, so that a lost answer costs nothing.
	prefillTries = 3
	prefillPause = 200 * time.Millisecond
)

// step carries out one step of the present attempt and tells the state what
// came of it.
func (gr *group) step(ctx context.Context, a memory.Action) {
	if ctx.Err() != nil {
		gr.fail(a.Member, result.Code(unformed(ctx, result.New(result.DeadlineTooNear, "")).Code))
		return
	}
	if m, lapsed := gr.lapsed(); lapsed {
		gr.fail(m, result.LeaseLost)
		return
	}
	if a.Kind == memory.ActionReserve {
		gr.reserve(a.Member)
		return
	}
	gr.prefill(ctx, a)
}

// lapsed returns a member whose lease may be over: after a freeze of this
// process the check comes before anything is done under the lease.
func (gr *group) lapsed() (int, bool) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.state.ExpiredMember(time.Now())
}

// fail ends the attempt. An endpoint that is at fault is avoided for a while.
func (gr *group) fail(member int, code result.Code) {
	l := gr.links[member]
	gr.s.g.deps.Log.Info("Group attempt failed.", "group", gr.id, "endpoint", l.declared.Name, "code", uint32(code))
	switch code {
	case result.MemoryHeld, result.Canceled, result.DeadlineTooNear, result.DeadlinePassed:
	default:
		gr.avoid[l.declared.Name] = time.Now()
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.state.RecordFailure(code)
}

// reserve asks one member for its part of the memory.
func (gr *group) reserve(member int) {
	l, m := gr.links[member], gr.member(member)
	gr.mu.Lock()
	gr.state.RecordRequested(member)
	epoch := gr.state.Epoch()
	gr.mu.Unlock()
	ctx, cancel := context.WithTimeout(gr.ctx, reserveTime)
	defer cancel()
	sent := time.Now()
	resp, err := l.client.Reserve(ctx, connect.NewRequest(&rudderv1.ReserveRequest{
		Group: gr.id, Holder: gr.s.g.cfg.Name, Tokens: m.ReserveTokens, LeaseMs: groupLease.Milliseconds(),
		Epoch: epoch, SinceUnixMs: gr.since.UnixMilli(), Model: gr.s.o.completion.Model,
	}))
	if err != nil {
		gr.fail(member, gr.lost(err))
		return
	}
	l.takeLoad(resp.Msg.Load)
	if !resp.Msg.Granted {
		gr.fail(member, result.Code(resp.Msg.Code))
		return
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.state.RecordGranted(member, sent, groupLease)
}

func (gr *group) member(i int) memory.Member {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.state.Plan()[i]
}

// lost is the code for a call that got no answer.
func (gr *group) lost(err error) result.Code {
	if lost := (*lapse)(nil); errors.As(context.Cause(gr.ctx), &lost) {
		return result.LeaseLost
	}
	if gr.ctx.Err() != nil {
		return result.Code(unformed(gr.ctx, result.New(result.DeadlineTooNear, "")).Code)
	}
	gr.s.g.deps.Log.Warn("Call to a group's member failed.", "group", gr.id, "err", err)
	return result.AgentLost
}

// atFault returns the member whose lease lapsed, or else the one given.
func (gr *group) atFault(member int) int {
	if lost := (*lapse)(nil); errors.As(context.Cause(gr.ctx), &lost) {
		return lost.member
	}
	return member
}

// prefill has a member import the spans before its own and, unless it is the
// last, compute its own.
func (gr *group) prefill(ctx context.Context, a memory.Action) {
	m, c := gr.member(a.Member), gr.s.o.completion
	req := &rudderv1.PrefillRequest{
		Reservation: gr.reservation(), RequestId: gr.s.o.id, Model: c.Model, Path: c.Path, Body: gr.s.o.body,
		StartToken: m.Start, Tokens: m.Tokens, Before: gr.spans,
		Workspace: gr.s.o.workspace.Name, Weight: gr.s.o.workspace.Weight, Priority: gr.s.o.workspace.Priority,
	}
	if a.Kind == memory.ActionImport {
		req.Tokens, req.Body = 0, nil
	}
	resp, err := gr.callPrefill(gr.links[a.Member], req)
	switch {
	case err != nil:
		gr.fail(gr.atFault(a.Member), gr.lost(err))
	case result.Code(resp.Code) == result.AgentLost && a.Member > 0:
		gr.fail(a.Member-1, result.AgentLost) // it could not hand on what it holds
	case result.Code(resp.Code) != result.OK:
		gr.fail(a.Member, result.Code(resp.Code))
	default:
		gr.computed(a, resp.Handle)
	}
}

// callPrefill orders a span, again when the answer is lost.
func (gr *group) callPrefill(l *link, req *rudderv1.PrefillRequest) (*rudderv1.PrefillResponse, error) {
	for try := 1; ; try++ {
		req.RemainingMs = time.Until(gr.s.o.deadline).Milliseconds()
		resp, err := l.client.Prefill(gr.ctx, connect.NewRequest(req))
		if err == nil {
			return resp.Msg, nil
		}
		if gr.ctx.Err() != nil || try == prefillTries {
			return nil, err
		}
		select {
		case <-time.After(prefillPause):
		case <-gr.ctx.Done():
			return nil, err
		}
	}
}

// computed takes in what a member did. It holds all spans up to its own now, so
// that the others before it are released.
func (gr *group) computed(a memory.Action, h *rudderv1.KVHandle) {
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
	gr.release(free)
	if a.Kind == memory.ActionCompute {
		gr.preload(a.Member+2, h)
	}
}

// preload has the members after the next import a span already, while the next
// one computes. It is not waited for: what fails is done when its turn comes.
func (gr *group) preload(from int, h *rudderv1.KVHandle) {
	req := &rudderv1.PrefillRequest{
		Reservation: gr.reservation(), RequestId: gr.s.o.id, StartToken: h.StartToken, Before: []*rudderv1.KVHandle{h},
		RemainingMs: time.Until(gr.s.o.deadline).Milliseconds(),
	}
	ctx := gr.ctx
	for _, l := range gr.links[min(from, len(gr.links)):] {
		gr.leases.Go(func() { _, _ = l.client.Prefill(ctx, connect.NewRequest(req)) })
	}
}

func (gr *group) reservation() string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.state.Reservation()
}
