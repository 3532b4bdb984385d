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

// prepare finds the endpoint of the next attempt. For a prompt that needs a
// group, the group is formed and has computed all but its last part then.
func (s *session) prepare(ctx context.Context) (*link, *rudderv1.End) {
	if s.o.completion == nil || !s.g.needsGroup(s.o.completion) {
		return s.place()
	}
	if s.group != nil {
		return s.group.ready, nil // the order was refused for another reason than the group
	}
	if s.o.claims != nil && s.known(ctx) {
		return s.g.linkOf(s.o.claims), nil
	}
	gr := newGroup(s)
	l, end := gr.form(ctx)
	if end != nil {
		s.g.meter.group("failed")
		return nil, end
	}
	s.g.meter.group("formed")
	gr.ready, s.group = l, gr
	if s.o.claims != nil {
		return l, nil
	}
	return s.named(l)
}

// known reports whether the agent that the ticket names has the run already: an
// order then attaches to it, and no group is needed.
func (s *session) known(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reserveTime)
	defer cancel()
	stream, err := s.g.linkOf(s.o.claims).client.Attach(ctx, connect.NewRequest(&rudderv1.AttachRequest{Ticket: s.o.ticket}))
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

// attempted makes one attempt at l and gives a group's memory back after it. An
// order planned under an old configuration is given again, with the same group.
func (s *session) attempted(ctx context.Context, l *link) *rudderv1.End {
	end := s.order(ctx, l)
	if result.Code(end.Code) == result.LeaseLost {
		end.Code = uint32(callerCode(result.LeaseLost))
	}
	switch {
	case s.group == nil || result.Code(end.Code) == result.OldGeneration:
	case result.Code(end.Code) == result.OK:
		s.group.stop() // the run's end gave the last lease back
		s.group = nil
	default:
		s.disband()
	}
	return end
}

// disband gives a group's memory back.
func (s *session) disband() {
	if s.group != nil {
		s.group.disband()
		s.group = nil
	}
}

// chooseLast plans a group and chooses its last endpoint, without forming it.
func (s *session) chooseLast() (*link, routing.Decision) {
	rooms, links := newGroup(s).rooms(time.Now())
	p := memory.PlanRequest{Prompt: s.o.completion.PromptTokens, Answer: s.o.completion.MaxTokens}.Plan(rooms)
	if p == nil {
		return nil, routing.Decision{Index: -1, Reason: routing.FilterMemory}
	}
	return links[p[len(p)-1].Endpoint], routing.Decision{}
}

// fill names the group's spans in an order.
func (gr *group) fill(c *rudderv1.Completion) {
	if gr == nil {
		return
	}
	c.Group, c.Spans = gr.reservation(), gr.spans
}
