package agent

import (
	"time"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// admit finds or creates the run that an order names. A refusal comes back as
// the end to send; attached tells that the run existed before.
func (a *Agent) admit(req *rudderv1.RunRequest) (r *run, attached bool, refusal *rudderv1.End) {
	claims, end := a.checkTicket(req.Ticket, req.RequestId)
	if end != nil {
		return nil, false, end
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if claims.Incarnation != a.incarnation {
		return a.admitInherited(req, claims)
	}
	if old, ok := a.records.runs[req.RequestId]; ok {
		return a.again(old, req)
	}
	if a.records.sealed(req.RequestId) {
		return nil, false, endOf(result.New(result.TicketVoided, ""), true)
	}
	if a.clockMS() > claims.ExpiresAgentMs {
		return nil, false, endOf(result.New(result.TicketExpired, ""), false)
	}
	if gen := a.deps.Keeper.Generation(); req.Generation < gen {
		end := endOf(result.New(result.OldGeneration, ""), false)
		end.Newer = a.deps.Keeper.Update(req.Generation)
		return nil, false, end
	}
	req.RemainingMs -= a.transit(req)
	if err := a.refuse(req); err != nil {
		return nil, false, a.sealRefusal(req, claims, err)
	}
	return a.enqueue(req, claims)
}

// admitInherited answers an order under an inherited ticket: nothing is ever
// run under one.
func (a *Agent) admitInherited(req *rudderv1.RunRequest, claims *rudderv1.TicketClaims) (*run, bool, *rudderv1.End) {
	old, end := a.findInherited(claims)
	if end != nil {
		return nil, false, end
	}
	return a.again(old, req)
}

// again leads a further order of a known id to its run, if it asks for the same.
func (a *Agent) again(old *run, req *rudderv1.RunRequest) (*run, bool, *rudderv1.End) {
	if old.digest != digestOf(req) {
		return nil, false, endOf(result.New(result.KeyReused, ""), true)
	}
	return old, true, nil
}

// maxTransit is the time, in milliseconds, that an order takes at most when
// neither side was frozen; the gateway's idea of the agent's clock is late by
// no more.
const maxTransit = 1000

// transit returns how long an order was held back, by a freeze of its gateway
// after it was decided or of this agent before it was read. That time is gone
// from what the order has left, though nobody counted it.
func (a *Agent) transit(req *rudderv1.RunRequest) int64 {
	if req.SentAgentMs == 0 {
		return 0
	}
	if t := a.clockMS() - req.SentAgentMs; t > maxTransit {
		return t
	}
	return 0
}

// owed reports whether what was promised before the agent began to leave is
// still taken; the caller holds mu.
func (a *Agent) owed() bool {
	return a.current() == rudderv1.AgentState_AGENT_STATE_LEAVING && !a.leave.closed
}

// refuse checks everything that does not depend on the queue. A run whose group
// was granted a lease is owed, though the agent or the model has begun to leave.
func (a *Agent) refuse(req *rudderv1.RunRequest) *result.Err {
	group := req.GetCompletion().GetGroup()
	promised := a.desk.book.Live(group, time.Now())
	if err := a.notServing(); err != nil && !(promised && a.owed()) {
		return err
	}
	switch {
	case req.RemainingMs <= 0:
		return result.New(result.OrderExpired, "")
	case (req.Call != nil) != (a.deps.Service != nil):
		return result.New(result.EndpointRefused, "wrong kind of endpoint")
	case group != "" && !promised:
		return result.New(result.LeaseLost, "")
	}
	if m := req.GetCompletion().GetModel(); m != "" && !promised && !a.serves(m) {
		return result.New(result.EndpointRefused, "the endpoint does not serve "+m)
	}
	if !a.records.fits(req) {
		return result.New(result.RecordsFull, "")
	}
	return a.resting(time.Now())
}

// enqueue offers the run to the queue.
func (a *Agent) enqueue(req *rudderv1.RunRequest, claims *rudderv1.TicketClaims) (*run, bool, *rudderv1.End) {
	now := time.Now()
	r := newRun(a.ctx, req, now)
	r.believed = a.cache.Cached(req.GetCompletion().GetPrefix())
	r.item = a.item(req, now, r.deadline)
	if err := a.leavesRoom(r.item, now); err != nil {
		r.cancel()
		return nil, false, a.sealRefusal(req, claims, err)
	}
	v := a.queue.Offer(r.item, a.capacity(), now)
	if !v.Admitted {
		r.cancel()
		err := result.New(v.Code, v.Detail)
		err.RetryAfter = v.RetryAfter.Milliseconds()
		return nil, false, a.sealRefusal(req, claims, err)
	}
	r.expires = r.deadline.Add(a.untilExpiry(claims))
	a.records.add(r)
	a.waiting[r.item.ID] = r
	if time.Now().Before(a.withdraw) {
		a.block(r)
	}
	if group := req.GetCompletion().GetGroup(); group != "" {
		a.desk.book.Pin(group, now)
	}
	a.notify()
	a.poke()
	a.forgetLater(r, claims)
	return r, false, nil
}

// item describes the run to admission.
func (a *Agent) item(req *rudderv1.RunRequest, now, deadline time.Time) admission.Item {
	c := req.GetCompletion()
	it := admission.Item{
		ID:           req.RequestId,
		Workspace:    req.Workspace,
		Weight:       req.Weight,
		Priority:     req.Priority,
		Class:        routing.ClassOf(c.GetPromptTokens()),
		PromptTokens: c.GetPromptTokens() - a.cachedTokens(c),
		MemoryTokens: c.GetPromptTokens() + c.GetMaxTokens(),
		OutputTokens: c.GetMaxTokens(),
		Arrived:      now,
		Deadline:     deadline,
	}
	if c.GetGroup() != "" {
		it.ContextTokens = spanTokens(c.Spans)
		it.PromptTokens = c.GetPromptTokens() - min(c.GetPromptTokens(), it.ContextTokens)
		it.MemoryTokens = 0 // reserved
	}
	return it
}

func spanTokens(spans []*rudderv1.KVHandle) (sum uint64) {
	for _, s := range spans {
		sum += s.Tokens
	}
	return sum
}

// sealRefusal refuses an order. A named id is sealed with it, so that "not
// run" stays true when the same order arrives again.
func (a *Agent) sealRefusal(req *rudderv1.RunRequest, claims *rudderv1.TicketClaims, err *result.Err) *rudderv1.End {
	if req.Ephemeral {
		return endOf(err, false)
	}
	sealed := a.records.seal(req.RequestId, time.Now().Add(a.untilExpiry(claims)))
	if sealed {
		a.unsealLater(req.RequestId, claims)
	}
	return endOf(err, sealed)
}

// checkTicket verifies a ticket and that it names this incarnation or one that
// this agent answers for.
func (a *Agent) checkTicket(text, id string) (*rudderv1.TicketClaims, *rudderv1.End) {
	claims, err := a.deps.Signer.Parse(text)
	if err != nil || (id != "" && claims.RequestId != id) {
		return nil, endOf(result.New(result.BadTicket, ""), false)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if claims.Incarnation != a.incarnation && a.heir(claims.Incarnation) == nil {
		return nil, endOf(result.New(result.IncarnationGone, ""), false)
	}
	return claims, nil
}

// forgetLater drops the record once its ticket has expired: from then on the
// ticket itself is refused.
func (a *Agent) forgetLater(r *run, claims *rudderv1.TicketClaims) {
	time.AfterFunc(max(time.Until(r.expires), expirySlack), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		_, final := r.final()
		switch {
		case final:
			a.records.forget(r)
		case a.ctx.Err() == nil:
			a.forgetLater(r, claims)
		}
	})
}

func (a *Agent) unsealLater(id string, claims *rudderv1.TicketClaims) {
	time.AfterFunc(a.untilExpiry(claims), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.records.tombs, id)
	})
}

func (a *Agent) untilExpiry(claims *rudderv1.TicketClaims) time.Duration {
	return time.Duration(claims.ExpiresAgentMs-a.clockMS()+1) * time.Millisecond
}

// capacity is what the endpoint has for new work; the caller holds mu.
func (a *Agent) capacity() admission.Capacity {
	free, whole := uint64(0), a.cfg.MemoryTokens
	if held := a.used + a.desk.tokens(); held < whole {
		free = whole - held
	}
	if whole > 0 {
		// Work that does not fit beside the reservations is refused at once.
		whole -= min(a.desk.tokens(), whole-1)
	}
	running := a.running
	if a.resting(time.Now()) != nil {
		running = max(running, a.cfg.MaxRunning) // what waits is started after the rest
	}
	return admission.Capacity{FreeTokens: free, MemoryTokens: whole, Running: running, MaxRunning: a.cfg.MaxRunning}
}

// endOf makes the end frame of a refusal.
func endOf(err *result.Err, sealed bool) *rudderv1.End {
	return &rudderv1.End{
		Code:         uint32(err.Code),
		Outcome:      rudderv1.Outcome(err.Known()),
		RetryAfterMs: err.RetryAfter,
		Detail:       err.Detail,
		Sealed:       sealed,
	}
}

// endRun settles the books after a run's final step.
func (a *Agent) endRun(r *run) {
	r.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, r.item.ID)
	a.records.ended(r)
	if group := r.req.GetCompletion().GetGroup(); group != "" {
		a.desk.book.Unpin(group)
		a.desk.poke()
	}
	a.notify()
	a.poke()
	time.AfterFunc(a.cfg.AnswerKeep, func() { a.keepOver(r) })
}

// keepOver drops an answer that was kept long enough. The record of a
// repeatable run goes with it: it may run again, and no "not run" is ever said
// under its name.
func (a *Agent) keepOver(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.req.Repeatable {
		a.records.forget(r)
		return
	}
	a.records.drop(r)
}
