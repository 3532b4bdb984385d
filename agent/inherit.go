package agent

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// maxInherited is the maximum number of incarnations whose records an agent takes over.
	maxInherited = 64
	// partWait is how long an unfinished handover waits for its next part.
	partWait = 30 * time.Second
	// minInheritTime is the minimum time for which an agent answers for an inherited
	// incarnation. It covers tickets that were never used and therefore have no record.
	minInheritTime = time.Hour
	// expirySlack is added to the lifetime of a record, so that it never expires before its
	// ticket.
	expirySlack = time.Second
)

// inheritedRecords contains the records of a stopped incarnation. That incarnation refused all
// new work before the records were taken. Once they are complete, an unrepeatable ID that they
// do not contain has not run and never will.
type inheritedRecords struct {
	startedAt  time.Time // start of the incarnation, never earlier than the actual start
	runs       map[string]*run
	tombstones map[string]time.Time
	complete   bool
	expires    time.Time // expiry of the last record
	keepUntil  time.Time // when all records are removed
}

func (h *inheritedRecords) size() int { return len(h.runs) + len(h.tombstones) }

// ticketExpired reports whether a ticket has expired on the clock of the incarnation.
func (h *inheritedRecords) ticketExpired(c *rudderv1.TicketClaims, now time.Time) bool {
	return now.Sub(h.startedAt).Milliseconds() > c.ExpiresAgentMs
}

// missingEnd returns the end frame for a ticket that has no run. The record of a repeatable
// run may have been removed before the handover.
func (h *inheritedRecords) missingEnd(c *rudderv1.TicketClaims, now time.Time) *rudderv1.End {
	_, voided := h.tombstones[c.RequestId]
	switch {
	case voided:
		return refusalEnd(result.New(result.TicketVoided, ""), true)
	case h.ticketExpired(c, now):
		return refusalEnd(result.New(result.TicketExpired, ""), false)
	case c.Repeatable:
		return refusalEnd(result.New(result.IncarnationGone, ""), false)
	default:
		return refusalEnd(result.New(result.Draining, "the agent of this ticket has stopped"), true)
	}
}

// Handover accepts one part of the records of a stopped incarnation.
func (s *server) Handover(_ context.Context, req *connect.Request[rudderv1.HandoverRequest]) (*connect.Response[rudderv1.HandoverResponse], error) {
	code := s.a.acceptHandover(req.Msg)
	return connect.NewResponse(&rudderv1.HandoverResponse{
		Accepted: code == result.OK, Code: uint32(code), Incarnation: s.a.incarnation,
	}), nil
}

// acceptHandover accepts one part; parts may arrive more than once.
func (a *Agent) acceptHandover(m *rudderv1.HandoverRequest) result.Code {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.From == "" || m.From == a.incarnation {
		return result.BadTicket
	}
	if a.effectiveState() == rudderv1.AgentState_AGENT_STATE_LEAVING {
		return result.Draining
	}
	now := time.Now()
	h := a.inheritedFor(m, now)
	if h == nil {
		return result.RecordsFull
	}
	for _, rec := range m.Records {
		if !a.inheritRecord(h, rec, now) {
			a.dropInherited(m.From)
			return result.RecordsFull
		}
	}
	if !m.Last || h.complete {
		return result.OK
	}
	if uint64(h.size()) != m.Total {
		a.dropInherited(m.From)
		return result.IncarnationGone // a part was sent to an earlier incarnation of this agent
	}
	h.complete = true
	a.deps.Log.Info("Took over records.", "endpoint", m.Endpoint, "incarnation", m.From, "records", h.size())
	a.scheduleExpiry(m.From, h, max(time.Until(h.expires), minInheritTime))
	a.notify()
	return result.OK
}

// inheritedFor returns the records that a part belongs to, or nil if the limit is reached.
func (a *Agent) inheritedFor(m *rudderv1.HandoverRequest, now time.Time) *inheritedRecords {
	h, ok := a.inherited[m.From]
	if ok {
		if !h.complete {
			h.keepUntil = now.Add(partWait)
		}
		return h
	}
	if len(a.inherited) >= maxInherited {
		return nil
	}
	h = &inheritedRecords{
		startedAt: now.Add(-time.Duration(m.AgentMs) * time.Millisecond),
		runs:      make(map[string]*run), tombstones: make(map[string]time.Time),
	}
	a.inherited[m.From] = h
	a.scheduleExpiry(m.From, h, partWait)
	return h
}

// scheduleExpiry removes inherited records after a time, unless their expiry is postponed.
func (a *Agent) scheduleExpiry(from string, h *inheritedRecords, keep time.Duration) {
	h.keepUntil = time.Now().Add(keep)
	time.AfterFunc(keep, func() { a.expireInherited(from, h) })
}

func (a *Agent) expireInherited(from string, h *inheritedRecords) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inherited[from] != h {
		return
	}
	if remaining := time.Until(h.keepUntil); remaining > 0 {
		time.AfterFunc(remaining, func() { a.expireInherited(from, h) })
		return
	}
	a.dropInherited(from)
}

// dropInherited removes inherited records; the caller holds mu.
func (a *Agent) dropInherited(from string) {
	for _, r := range a.inherited[from].runs {
		a.records.drop(r)
	}
	delete(a.inherited, from)
	a.notify()
}

// inheritRecord adds one record; it returns false if the limit is reached. A response that does
// not fit is dropped, and its end is kept.
func (a *Agent) inheritRecord(h *inheritedRecords, rec *rudderv1.RunRecord, now time.Time) bool {
	if _, ok := h.runs[rec.RequestId]; ok || rec.RequestId == "" {
		return true
	}
	if _, ok := h.tombstones[rec.RequestId]; ok {
		return true
	}
	if a.inheritedSize() >= 2*a.cfg.MaxRecords {
		return false
	}
	expires := now.Add(time.Duration(rec.ExpiresInMs)*time.Millisecond + expirySlack)
	if expires.After(h.expires) {
		h.expires = expires
	}
	if rec.Tombstone {
		h.tombstones[rec.RequestId] = expires
		return true
	}
	r := runFromRecord(rec, expires)
	h.runs[rec.RequestId] = r
	if !a.records.grow(r, int64(len(r.buf))) {
		a.records.drop(r)
	}
	time.AfterFunc(a.cfg.AnswerKeep, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.records.drop(r)
	})
	return true
}

// inheritedSize returns the number of all inherited records; the caller holds mu.
func (a *Agent) inheritedSize() int {
	n := 0
	for _, h := range a.inherited {
		n += h.size()
	}
	return n
}

// runFromRecord creates an ended run from its record.
func runFromRecord(rec *rudderv1.RunRecord, expires time.Time) *run {
	r := &run{
		req: &rudderv1.RunRequest{
			RequestId: rec.RequestId, Attempt: rec.Attempt, Workspace: rec.Workspace, Repeatable: rec.Repeatable,
		},
		expires: expires, digest: rec.Digest, buf: rec.Answer, head: rec.Head, end: rec.End, changed: make(chan struct{}),
	}
	if r.end == nil {
		r.end = refusalEnd(result.New(result.AgentLost, "the agent stopped before the run ended"), false)
	}
	r.dropped = uint64(len(rec.Answer)) < r.end.Length
	r.lifecycle = lifecycle.Run{State: finalState(r.end), Code: result.Code(r.end.Code), Outcome: result.Outcome(r.end.Outcome)}
	return r
}

func finalState(e *rudderv1.End) lifecycle.State {
	switch e.Outcome {
	case rudderv1.Outcome_OUTCOME_NOT_RUN:
		return lifecycle.Refused
	case rudderv1.Outcome_OUTCOME_RAN:
		return lifecycle.Finished
	default:
		return lifecycle.Unknown
	}
}

// completeInherited returns the records of an incarnation if they are complete, otherwise nil;
// the caller holds mu.
func (a *Agent) completeInherited(incarnation string) *inheritedRecords {
	if h := a.inherited[incarnation]; h != nil && h.complete {
		return h
	}
	return nil
}

// findRun returns the run that a ticket names, or the end frame to send.
func (a *Agent) findRun(c *rudderv1.TicketClaims) (*run, *rudderv1.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Incarnation != a.incarnation {
		return a.findInherited(c)
	}
	if r, ok := a.records.runs[c.RequestId]; ok {
		return r, nil
	}
	return nil, missingRunEnd(a.records.sealed(c.RequestId), a.clockMS() > c.ExpiresAgentMs)
}

func (a *Agent) findInherited(c *rudderv1.TicketClaims) (*run, *rudderv1.End) {
	h := a.completeInherited(c.Incarnation)
	if h == nil {
		return nil, refusalEnd(result.New(result.IncarnationGone, ""), false)
	}
	if r, ok := h.runs[c.RequestId]; ok {
		return r, nil
	}
	return nil, h.missingEnd(c, time.Now())
}

// voidInherited handles a void request for an inherited ticket; the caller holds mu. No order
// runs under such a ticket any more, so an unknown ID is already sealed.
func (a *Agent) voidInherited(c *rudderv1.TicketClaims) *rudderv1.VoidResponse {
	r, end := a.findInherited(c)
	switch {
	case r != nil:
		return r.voidResponse()
	case end.Sealed:
		return voidedResponse(true)
	default:
		return &rudderv1.VoidResponse{Outcome: end.Outcome, Code: end.Code}
	}
}

// inheritedIncarnations returns the incarnations that this agent answers for; the caller holds
// mu.
func (a *Agent) inheritedIncarnations() []string {
	var names []string
	for inc, h := range a.inherited {
		if h.complete {
			names = append(names, inc)
		}
	}
	slices.Sort(names)
	return names
}
