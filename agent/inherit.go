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
	// maxInherited bounds the incarnations that one agent answers for.
	maxInherited = 64
	// partsTime is how long an unfinished handover may wait for its next part.
	partsTime = 30 * time.Second
	// inheritKeep is how long an agent answers at least for an incarnation: for
	// tickets that were never used, which no record tells of.
	inheritKeep = time.Hour
	// expirySlack is added to a record's time, so that it never goes before its
	// ticket.
	expirySlack = time.Second
)

// inheritance is the records of an incarnation that stopped. That incarnation
// refused everything new before they were taken, so once they are complete an
// unrepeatable id that they lack has not run and never will.
type inheritance struct {
	began    time.Time // of the incarnation; not before its true beginning
	runs     map[string]*run
	tombs    map[string]time.Time
	complete bool
	expires  time.Time // when the last record does
	until    time.Time // when all is forgotten
}

func (h *inheritance) size() int { return len(h.runs) + len(h.tombs) }

// late reports whether a ticket has expired on the incarnation's clock.
func (h *inheritance) late(c *rudderv1.TicketClaims, now time.Time) bool {
	return now.Sub(h.began).Milliseconds() > c.ExpiresAgentMs
}

// missing is the end for a ticket without a run. The record of a repeatable
// run may have been given up before the handover.
func (h *inheritance) missing(c *rudderv1.TicketClaims, now time.Time) *rudderv1.End {
	_, voided := h.tombs[c.RequestId]
	switch {
	case voided:
		return endOf(result.New(result.TicketVoided, ""), true)
	case h.late(c, now):
		return endOf(result.New(result.TicketExpired, ""), false)
	case c.Repeatable:
		return endOf(result.New(result.IncarnationGone, ""), false)
	default:
		return endOf(result.New(result.Draining, "the agent of this ticket has stopped"), true)
	}
}

// Handover takes one part of a stopped incarnation's records.
func (s *server) Handover(_ context.Context, req *connect.Request[rudderv1.HandoverRequest]) (*connect.Response[rudderv1.HandoverResponse], error) {
	code := s.a.inherit(req.Msg)
	return connect.NewResponse(&rudderv1.HandoverResponse{
		Accepted: code == result.OK, Code: uint32(code), Incarnation: s.a.incarnation,
	}), nil
}

// inherit takes one part; parts may come more than once.
func (a *Agent) inherit(m *rudderv1.HandoverRequest) result.Code {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.From == "" || m.From == a.incarnation {
		return result.BadTicket
	}
	if a.current() == rudderv1.AgentState_AGENT_STATE_LEAVING {
		return result.Draining
	}
	now := time.Now()
	h := a.beginInheritance(m, now)
	if h == nil {
		return result.RecordsFull
	}
	for _, rec := range m.Records {
		if !a.inheritRecord(h, rec, now) {
			a.disinherit(m.From)
			return result.RecordsFull
		}
	}
	if !m.Last || h.complete {
		return result.OK
	}
	if uint64(h.size()) != m.Total {
		a.disinherit(m.From)
		return result.IncarnationGone // a part went to an earlier life of this agent
	}
	h.complete = true
	a.deps.Log.Info("Took over records.", "endpoint", m.Endpoint, "incarnation", m.From, "records", h.size())
	a.keepInheritance(m.From, h, max(time.Until(h.expires), inheritKeep))
	a.notify()
	return result.OK
}

// beginInheritance returns the inheritance that a part belongs to, or nil at
// the bound.
func (a *Agent) beginInheritance(m *rudderv1.HandoverRequest, now time.Time) *inheritance {
	h, ok := a.inherited[m.From]
	if ok {
		if !h.complete {
			h.until = now.Add(partsTime)
		}
		return h
	}
	if len(a.inherited) >= maxInherited {
		return nil
	}
	h = &inheritance{
		began: now.Add(-time.Duration(m.AgentMs) * time.Millisecond),
		runs:  make(map[string]*run), tombs: make(map[string]time.Time),
	}
	a.inherited[m.From] = h
	a.keepInheritance(m.From, h, partsTime)
	return h
}

// keepInheritance forgets an inheritance after a time, unless that is put off.
func (a *Agent) keepInheritance(from string, h *inheritance, keep time.Duration) {
	h.until = time.Now().Add(keep)
	time.AfterFunc(keep, func() { a.endInheritance(from, h) })
}

func (a *Agent) endInheritance(from string, h *inheritance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inherited[from] != h {
		return
	}
	if left := time.Until(h.until); left > 0 {
		time.AfterFunc(left, func() { a.endInheritance(from, h) })
		return
	}
	a.disinherit(from)
}

// disinherit forgets an inheritance; the caller holds mu.
func (a *Agent) disinherit(from string) {
	for _, r := range a.inherited[from].runs {
		a.records.drop(r)
	}
	delete(a.inherited, from)
	a.notify()
}

// inheritRecord takes one record; it reports false at the bound. An answer for
// which there is no room is dropped, its end is kept.
func (a *Agent) inheritRecord(h *inheritance, rec *rudderv1.RunRecord, now time.Time) bool {
	if _, ok := h.runs[rec.RequestId]; ok || rec.RequestId == "" {
		return true
	}
	if _, ok := h.tombs[rec.RequestId]; ok {
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
		h.tombs[rec.RequestId] = expires
		return true
	}
	r := runOf(rec, expires)
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

// inheritedSize counts the records of all inheritances; the caller holds mu.
func (a *Agent) inheritedSize() int {
	n := 0
	for _, h := range a.inherited {
		n += h.size()
	}
	return n
}

// runOf makes an ended run from its record.
func runOf(rec *rudderv1.RunRecord, expires time.Time) *run {
	r := &run{
		req: &rudderv1.RunRequest{
			RequestId: rec.RequestId, Attempt: rec.Attempt, Workspace: rec.Workspace, Repeatable: rec.Repeatable,
		},
		expires: expires, digest: rec.Digest, buf: rec.Answer, head: rec.Head, end: rec.End, changed: make(chan struct{}),
	}
	if r.end == nil {
		r.end = endOf(result.New(result.AgentLost, "the agent stopped before the run ended"), false)
	}
	r.dropped = uint64(len(rec.Answer)) < r.end.Length
	r.life = lifecycle.Run{State: endedState(r.end), Code: result.Code(r.end.Code), Outcome: result.Outcome(r.end.Outcome)}
	return r
}

func endedState(e *rudderv1.End) lifecycle.State {
	switch e.Outcome {
	case rudderv1.Outcome_OUTCOME_NOT_RUN:
		return lifecycle.Refused
	case rudderv1.Outcome_OUTCOME_RAN:
		return lifecycle.Finished
	default:
		return lifecycle.Unknown
	}
}

// heir returns the complete inheritance of an incarnation, or nil; the caller
// holds mu.
func (a *Agent) heir(incarnation string) *inheritance {
	if h := a.inherited[incarnation]; h != nil && h.complete {
		return h
	}
	return nil
}

// find returns the run that a ticket names, or the end to give.
func (a *Agent) find(c *rudderv1.TicketClaims) (*run, *rudderv1.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Incarnation != a.incarnation {
		return a.findInherited(c)
	}
	if r, ok := a.records.runs[c.RequestId]; ok {
		return r, nil
	}
	return nil, missingRun(a.records.sealed(c.RequestId), a.clockMS() > c.ExpiresAgentMs)
}

func (a *Agent) findInherited(c *rudderv1.TicketClaims) (*run, *rudderv1.End) {
	h := a.heir(c.Incarnation)
	if h == nil {
		return nil, endOf(result.New(result.IncarnationGone, ""), false)
	}
	if r, ok := h.runs[c.RequestId]; ok {
		return r, nil
	}
	return nil, h.missing(c, time.Now())
}

// voidInherited answers a void order for an inherited ticket; the caller holds
// mu. Nothing runs under one any more, so an unknown id is sealed as it is.
func (a *Agent) voidInherited(c *rudderv1.TicketClaims) *rudderv1.VoidResponse {
	r, end := a.findInherited(c)
	switch {
	case r != nil:
		return r.voidResponse()
	case end.Sealed:
		return voided(true)
	default:
		return &rudderv1.VoidResponse{Outcome: end.Outcome, Code: end.Code}
	}
}

// inheritedNames lists the incarnations that this agent answers for; the
// caller holds mu.
func (a *Agent) inheritedNames() []string {
	var names []string
	for inc, h := range a.inherited {
		if h.complete {
			names = append(names, inc)
		}
	}
	slices.Sort(names)
	return names
}
