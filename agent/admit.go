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
	if old, ok := a.records.runs[req.RequestId]; ok && !a.replaceable(old, req) {
		return old, true, nil
	}
	if a.records.sealed(req.RequestId) {
		return nil, false, endOf(result.New(result.TicketVoided, ""), true)
	}
	if a.clockMS() > claims.ExpiresAgentMs {
		return nil, false, endOf(result.New(result.TicketExpired, ""), false)
	}
	if gen := a.deps.Keeper.Generation(); req.Generation < gen {
		end := endOf(result.New(result.OldGeneration, ""), false)
		end.Newer = &rudderv1.OfferRequest{Document: a.deps.Keeper.Document()}
		return nil, false, end
	}
	if err := a.refuse(req); err != nil {
		return nil, false, a.sealRefusal(req, claims, err)
	}
	return a.enqueue(req, claims)
}

// replaceable reports whether a later attempt may take the place of a run that
// ended badly.
func (a *Agent) replaceable(old *run, req *rudderv1.RunRequest) bool {
	code, final := old.final()
	return req.Repeatable && final && code != result.OK && req.Attempt > old.req.Attempt
}

// refuse checks everything that does not depend on the queue.
func (a *Agent) refuse(req *rudderv1.RunRequest) *result.Err {
	switch {
	case a.state == rudderv1.AgentState_AGENT_STATE_LEAVING:
		return result.New(result.Draining, "")
	case a.state == rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST:
		return result.New(result.EndpointRefused, "endpoint unreachable")
	case a.state != rudderv1.AgentState_AGENT_STATE_SERVING:
		return result.New(result.Starting, "")
	case req.RemainingMs <= 0:
		return result.New(result.OrderExpired, "")
	case (req.Call != nil) != (a.deps.Service != nil):
		return result.New(result.EndpointRefused, "wrong kind of endpoint")
	}
	if m := req.GetCompletion().GetModel(); m != "" && !a.serves(m) {
		return result.New(result.EndpointRefused, "the endpoint does not serve "+m)
	}
	space := int64(req.GetCompletion().GetMaxTokens()) * answerBytesPerToken
	if !a.records.fits(space) {
		return result.New(result.RecordsFull, "")
	}
	return nil
}

// enqueue offers the run to the queue.
func (a *Agent) enqueue(req *rudderv1.RunRequest, claims *rudderv1.TicketClaims) (*run, bool, *rudderv1.End) {
	now := time.Now()
	r := newRun(a.ctx, req, now)
	r.believed = a.cache.Cached(req.GetCompletion().GetPrefix())
	r.item = a.item(req, now, r.deadline)
	v := a.queue.Offer(r.item, a.capacity(), now)
	if !v.Admitted {
		r.cancel()
		err := result.New(v.Code, v.Detail)
		err.RetryAfter = v.RetryAfter.Milliseconds()
		return nil, false, a.sealRefusal(req, claims, err)
	}
	if old, ok := a.records.runs[req.RequestId]; ok {
		a.records.forget(old)
	}
	a.records.add(r)
	a.waiting[r.item.ID] = r
	a.notify()
	a.poke()
	a.forgetLater(r, claims)
	return r, false, nil
}

// item describes the run to admission.
func (a *Agent) item(req *rudderv1.RunRequest, now, deadline time.Time) admission.Item {
	c := req.GetCompletion()
	return admission.Item{
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
}

// sealRefusal refuses an order. A named id is sealed with it, so that "not
// run" stays true when the same order arrives again.
func (a *Agent) sealRefusal(req *rudderv1.RunRequest, claims *rudderv1.TicketClaims, err *result.Err) *rudderv1.End {
	if req.Ephemeral {
		return endOf(err, false)
	}
	sealed := a.records.seal(req.RequestId)
	if sealed {
		a.unsealLater(req.RequestId, claims)
	}
	return endOf(err, sealed)
}

// checkTicket verifies a ticket and that it names this incarnation.
func (a *Agent) checkTicket(text, id string) (*rudderv1.TicketClaims, *rudderv1.End) {
	claims, err := a.deps.Signer.Parse(text)
	if err != nil || (id != "" && claims.RequestId != id) {
		return nil, endOf(result.New(result.BadTicket, ""), false)
	}
	if claims.Incarnation != a.incarnation {
		return nil, endOf(result.New(result.IncarnationGone, ""), false)
	}
	return claims, nil
}

// forgetLater drops the record once its ticket has expired: from then on the
// ticket itself is refused.
func (a *Agent) forgetLater(r *run, claims *rudderv1.TicketClaims) {
	after := a.untilExpiry(claims) + time.Until(r.deadline)
	time.AfterFunc(after, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if _, final := r.final(); final {
			a.records.forget(r)
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
	free := uint64(0)
	if held := a.used + a.reserved; held < a.cfg.MemoryTokens {
		free = a.cfg.MemoryTokens - held
	}
	return admission.Capacity{FreeTokens: free, MemoryTokens: a.cfg.MemoryTokens, Running: a.running, MaxRunning: a.cfg.MaxRunning}
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
	a.notify()
	a.poke()
	time.AfterFunc(a.cfg.AnswerKeep, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.records.bytes -= int64(r.drop())
	})
}
