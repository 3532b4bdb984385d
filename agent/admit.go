package agent

import (
	"time"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// admit finds or creates the run that an order names. If the order is refused, it returns the
// end frame to send. attached reports that the run existed before.
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
		return a.attachExisting(old, req)
	}
	if a.records.sealed(req.RequestId) {
		return nil, false, refusalEnd(result.New(result.TicketVoided, ""), true)
	}
	if a.clockMS() > claims.ExpiresAgentMs {
		return nil, false, refusalEnd(result.New(result.TicketExpired, ""), false)
	}
	if gen := a.deps.Tracker.Generation(); req.Generation < gen {
		end := refusalEnd(result.New(result.OldGeneration, ""), false)
		end.Newer = a.deps.Tracker.Update(req.Generation)
		return nil, false, end
	}
	req.RemainingMs -= a.transitDelay(req)
	if err := a.checkAdmissible(req); err != nil {
		return nil, false, a.sealRefusal(req, claims, err)
	}
	return a.enqueue(req, claims)
}

// admitInherited answers an order whose ticket names an inherited incarnation. Nothing is ever
// run for such a ticket.
func (a *Agent) admitInherited(req *rudderv1.RunRequest, claims *rudderv1.TicketClaims) (*run, bool, *rudderv1.End) {
	old, end := a.findInherited(claims)
	if end != nil {
		return nil, false, end
	}
	return a.attachExisting(old, req)
}

// attachExisting returns the existing run for a retried order if both ask for the same.
func (a *Agent) attachExisting(old *run, req *rudderv1.RunRequest) (*run, bool, *rudderv1.End) {
	if old.digest != requestDigest(req) {
		return nil, false, refusalEnd(result.New(result.KeyReused, ""), true)
	}
	return old, true, nil
}

// maxTransitMS is the maximum transit time of an order, in milliseconds, if neither side was
// suspended. The gateway's estimate of the agent's clock lags by no more than this.
const maxTransitMS = 1000

// transitDelay returns how long an order was delayed by a suspension of its gateway after the
// decision, or of this agent before the order was read; 0 if the delay is within maxTransitMS.
// No timer counted that time, so the caller subtracts it from the order's remaining time.
func (a *Agent) transitDelay(req *rudderv1.RunRequest) int64 {
	if req.SentAgentMs == 0 {
		return 0
	}
	if t := a.clockMS() - req.SentAgentMs; t > maxTransitMS {
		return t
	}
	return 0
}

// honorsLeases reports whether the agent is draining but still accepts runs under leases that
// it granted before; the caller holds mu.
func (a *Agent) honorsLeases() bool {
	return a.effectiveState() == rudderv1.AgentState_AGENT_STATE_LEAVING && !a.draining.admissionClosed
}

// checkAdmissible checks all conditions that do not depend on the queue. A run whose group
// holds a lease is accepted even if the agent is draining or no longer serves the model.
func (a *Agent) checkAdmissible(req *rudderv1.RunRequest) *result.Err {
	group := req.GetCompletion().GetGroup()
	leased := a.mem.leases.Live(group, time.Now())
	if err := a.servingError(); err != nil && !(leased && a.honorsLeases()) {
		return err
	}
	switch {
	case req.RemainingMs <= 0:
		return result.New(result.OrderExpired, "")
	case (req.Call != nil) != (a.deps.Service != nil):
		return result.New(result.EndpointRefused, "wrong kind of endpoint")
	case group != "" && !leased:
		return result.New(result.LeaseLost, "")
	}
	if m := req.GetCompletion().GetModel(); m != "" && !leased && !a.serves(m) {
		return result.New(result.EndpointRefused, "the endpoint does not serve "+m)
	}
	if !a.records.fits(req) {
		return result.New(result.RecordsFull, "")
	}
	return a.backoffError(time.Now())
}

// enqueue offers the run to the queue.
func (a *Agent) enqueue(req *rudderv1.RunRequest, claims *rudderv1.TicketClaims) (*run, bool, *rudderv1.End) {
	now := time.Now()
	r := newRun(a.ctx, req, now)
	r.cachedBlocks = a.cache.Cached(req.GetCompletion().GetPrefix())
	r.item = a.item(req, now, r.deadline)
	if err := a.checkGroupMemory(r.item, now); err != nil {
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
	if time.Now().Before(a.refuseUnloadingFrom) {
		a.addBlocker(r)
	}
	if group := req.GetCompletion().GetGroup(); group != "" {
		a.mem.leases.Pin(group, now)
	}
	a.notify()
	a.wakeDispatch()
	a.scheduleForget(r, claims)
	return r, false, nil
}

// item returns the description of the run for the queue.
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
		it.MemoryTokens = 0 // already reserved by the lease
	}
	return it
}

func spanTokens(spans []*rudderv1.KVHandle) (sum uint64) {
	for _, s := range spans {
		sum += s.Tokens
	}
	return sum
}

// sealRefusal refuses an order. Unless the ID is ephemeral, it also seals the ID, so
// that "not run" remains true when the same order arrives again.
func (a *Agent) sealRefusal(req *rudderv1.RunRequest, claims *rudderv1.TicketClaims, err *result.Err) *rudderv1.End {
	if req.Ephemeral {
		return refusalEnd(err, false)
	}
	sealed := a.records.seal(req.RequestId, time.Now().Add(a.untilExpiry(claims)))
	if sealed {
		a.scheduleUnseal(req.RequestId, claims)
	}
	return refusalEnd(err, sealed)
}

// checkTicket verifies a ticket and checks that it names this incarnation or an inherited one.
func (a *Agent) checkTicket(text, id string) (*rudderv1.TicketClaims, *rudderv1.End) {
	claims, err := a.deps.Signer.Parse(text)
	if err != nil || (id != "" && claims.RequestId != id) {
		return nil, refusalEnd(result.New(result.BadTicket, ""), false)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if claims.Incarnation != a.incarnation && a.completeInherited(claims.Incarnation) == nil {
		return nil, refusalEnd(result.New(result.IncarnationGone, ""), false)
	}
	return claims, nil
}

// scheduleForget removes the record once its ticket has expired and the run has ended;
// from then on the ticket itself is refused.
func (a *Agent) scheduleForget(r *run, claims *rudderv1.TicketClaims) {
	time.AfterFunc(max(time.Until(r.expires), expirySlack), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		_, final := r.final()
		switch {
		case final:
			a.records.forget(r)
		case a.ctx.Err() == nil:
			a.scheduleForget(r, claims)
		}
	})
}

func (a *Agent) scheduleUnseal(id string, claims *rudderv1.TicketClaims) {
	time.AfterFunc(a.untilExpiry(claims), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.records.tombstones, id)
	})
}

func (a *Agent) untilExpiry(claims *rudderv1.TicketClaims) time.Duration {
	return time.Duration(claims.ExpiresAgentMs-a.clockMS()+1) * time.Millisecond
}

// capacity returns the capacity of the endpoint for new work; the caller holds mu.
func (a *Agent) capacity() admission.Capacity {
	free, total := uint64(0), a.cfg.MemoryTokens
	if held := a.usedTokens + a.mem.unavailableTokens(); held < total {
		free = total - held
	}
	if total > 0 {
		// Work that does not fit beside the reserved memory is refused at once.
		total -= min(a.mem.unavailableTokens(), total-1)
	}
	running := a.running
	if a.backoffError(time.Now()) != nil {
		running = max(running, a.cfg.MaxRunning) // waiting work starts after the backoff
	}
	return admission.Capacity{FreeTokens: free, MemoryTokens: total, Running: running, MaxRunning: a.cfg.MaxRunning}
}

// refusalEnd returns the end frame of a refusal.
func refusalEnd(err *result.Err, sealed bool) *rudderv1.End {
	return &rudderv1.End{
		Code:         uint32(err.Code),
		Outcome:      rudderv1.Outcome(err.Known()),
		RetryAfterMs: err.RetryAfter,
		Detail:       err.Detail,
		Sealed:       sealed,
	}
}

// endRun updates the agent's state after the final step of a run.
func (a *Agent) endRun(r *run) {
	r.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, r.item.ID)
	a.records.ended(r)
	if group := r.req.GetCompletion().GetGroup(); group != "" {
		a.mem.leases.Unpin(group)
		a.mem.wakeLoop()
	}
	a.notify()
	a.wakeDispatch()
	time.AfterFunc(a.cfg.AnswerKeep, func() { a.expireResponse(r) })
}

// expireResponse drops a response whose retention period is over. For a repeatable run it also
// removes the record: the request may run again, and "not run" is never reported for its ID.
func (a *Agent) expireResponse(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.req.Repeatable {
		a.records.forget(r)
		return
	}
	a.records.drop(r)
}
