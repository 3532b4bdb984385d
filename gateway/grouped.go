package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/memory"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// prepare returns the link for the next attempt. If the prompt needs a group,
// it forms one, which has then computed all spans but the last.
func (s *session) prepare(ctx context.Context) (*link, *rudderv1.End) {
	if s.cr.completion == nil || !s.g.needsGroup(s.cr.completion) {
		return s.selectEndpoint(ctx)
	}
	if s.group != nil {
		return s.group.runLink, nil // the order was refused for a reason unrelated to the group
	}
	if s.cr.claims != nil && s.runExists(ctx) {
		return s.g.linkForClaims(s.cr.claims), nil
	}
	gr := newGroup(s)
	l, end := gr.form(ctx)
	if end != nil {
		s.g.meter.recordGroupStep("failed")
		return nil, end
	}
	s.g.meter.recordGroupStep("formed")
	gr.runLink, s.group = l, gr
	if s.cr.claims != nil {
		return l, nil
	}
	return s.issueTicket(l)
}

// runExists reports whether the agent named by the ticket already has the run.
// An order then attaches to that run and needs no group.
func (s *session) runExists(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	stream, err := s.g.linkForClaims(s.cr.claims).client.Attach(ctx, connect.NewRequest(&rudderv1.AttachRequest{Ticket: s.cr.ticket}))
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	if !stream.Receive() {
		return false
	}
	end := stream.Msg().GetEnd()
	return end == nil || result.Code(end.Code) != result.UnknownRun
}

// runAttempt makes one attempt at l and then releases the group's memory. The
// group is kept if the order was planned under an old configuration, because
// that order is retried with the same group.
func (s *session) runAttempt(ctx context.Context, l *link) *rudderv1.End {
	end := s.sendAttempt(ctx, l)
	if result.Code(end.Code) == result.LeaseLost {
		end.Code = uint32(callerCode(result.LeaseLost))
	}
	switch {
	case s.group == nil || result.Code(end.Code) == result.OldGeneration:
	case result.Code(end.Code) == result.OK:
		s.group.stopBackground() // the end of the run released the last lease
		s.group = nil
	default:
		s.releaseGroup()
	}
	return end
}

// releaseGroup releases the group's memory, if there is a group.
func (s *session) releaseGroup() {
	if s.group != nil {
		s.group.releaseAll()
		s.group = nil
	}
}

// chooseLastMember plans a group and returns its last endpoint, without forming
// the group.
func (s *session) chooseLastMember() (*link, routing.Decision) {
	memories, links := newGroup(s).memories(time.Now())
	p := memory.PlanRequest{Prompt: s.cr.completion.PromptTokens, Output: s.cr.completion.MaxTokens}.Plan(memories)
	if p == nil {
		return nil, routing.Decision{Index: -1, Reason: routing.FilterMemory}
	}
	return links[p[len(p)-1].Endpoint], routing.Decision{}
}

// fillCompletion adds the group's reservation and spans to an order.
func (gr *group) fillCompletion(c *rudderv1.Completion) {
	if gr == nil {
		return
	}
	c.Group, c.Spans = gr.reservation(), gr.spans
}
