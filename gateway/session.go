package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/prefix"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// comeBack is the time to come back given when nothing better is known.
	comeBack = time.Second
	// voidTime bounds a void order that settles a refusal.
	voidTime = time.Second
	// minRemaining is the shortest time left that is worth an order.
	minRemaining = 5 * time.Millisecond
)

// order is one caller's request, read and checked.
type order struct {
	id         string
	workspace  *rudderv1.Workspace
	completion *rudderv1.Completion  // set for a model request
	call       *rudderv1.ServiceCall // set for a service call
	body       []byte
	repeatable bool
	keyed      bool // the caller gave an idempotency key
	deadline   time.Time
	ticket     string                 // presented or claimed; empty otherwise
	claims     *rudderv1.TicketClaims // of the ticket
	skip       uint64                 // answer bytes that the caller has already
}

// sink is where an answer goes. Each method's error means that the caller is gone.
type sink interface {
	// Named offers the caller its ticket before the answer.
	Named(ticket string)
	// Known reports whether the caller may have been told a ticket.
	Known() bool
	// Head passes on a plain service's status and headers.
	Head(h *rudderv1.ServiceHead) error
	// Text passes on answer text; end is the offset after it.
	Text(text []byte, end uint64) error
	// Restart tells the caller that the answer begins again; an error says that
	// it cannot.
	Restart() error
}

// session serves one order over all its attempts.
type session struct {
	g         *Gateway
	o         *order
	out       sink
	life      lifecycle.Dispatch
	asm       lifecycle.Assembler
	attempt   uint32
	attached  bool   // the current attempt's run existed before
	delivered []byte // the answer so far, where another attempt can go on after it
	using     string // what the answer began under, see link.using
	excluded  map[string]bool
	ticket    string // of the current attempt
	group     *group // set while the prompt is run by several endpoints
	gone      error  // why the caller cannot be written to
	began     time.Time
	firstText time.Time
	alone     time.Duration // predicted prefill with nothing beside it, at the first order
}

// serve runs the order to its end and returns what to tell the caller.
func (g *Gateway) serve(ctx context.Context, o *order, out sink) *rudderv1.End {
	s := &session{g: g, o: o, out: out, excluded: make(map[string]bool), began: time.Now(), ticket: o.ticket}
	s.life = lifecycle.Dispatch{Repeatable: o.repeatable, HasName: o.ticket != "" || o.keyed, Resumable: o.resumable()}
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	end := s.settle(s.run(ctx))
	g.meter.done(s, end)
	return end
}

// resumable reports whether an answer can go on at another endpoint.
func (o *order) resumable() bool { return o.repeatable && o.completion != nil }

func (s *session) run(ctx context.Context) *rudderv1.End {
	last := endOf(result.New(result.NoEndpoint, ""))
	defer s.disband()
	for {
		if end := s.timeOver(ctx, last); end != nil {
			return end
		}
		l, end := s.prepare(ctx)
		if end != nil {
			return s.unplaced(ctx, end, last)
		}
		last = s.attempted(ctx, l)
		if s.gone != nil {
			s.abandon(ctx, l)
			return last
		}
		if s.forwarded(l, last) {
			continue
		}
		switch step := s.life.Next(s.ending(last), s.budget); step {
		case lifecycle.StepAnswer:
			return last
		case lifecycle.StepVoid:
			return s.void(ctx, l, last)
		case lifecycle.StepReattach:
			s.stay()
		case lifecycle.StepResend:
			l.relearn(ctx, last)
		default:
			if step == lifecycle.StepRestart && s.restart() != nil {
				return last
			}
			s.moveOn(l, last)
		}
	}
}

// forwarded reports whether the agent of the presented ticket stopped while it
// was asked, and another one answers for it now.
func (s *session) forwarded(l *link, last *rudderv1.End) bool {
	if s.o.claims == nil || s.life.Attempts >= lifecycle.MaxAttempts {
		return false
	}
	switch result.Code(last.Code) {
	case result.AgentLost, result.IncarnationGone, result.OrderUnanswered:
		return s.g.linkOf(s.o.claims).declared.AgentAddress != l.declared.AgentAddress
	default:
		return false
	}
}

// timeOver returns the final answer when no time is left for another attempt.
func (s *session) timeOver(ctx context.Context, last *rudderv1.End) *rudderv1.End {
	if ctx.Err() == nil && time.Until(s.o.deadline) > minRemaining {
		return nil
	}
	if s.life.Attempts > 0 {
		return last
	}
	return endOf(result.New(result.DeadlineTooNear, ""))
}

// unplaced is the answer when no attempt could be made: what the last attempt
// said, or else the reason. Nothing ran for it, but an unrepeatable request with
// a name may run through another gateway unless its agent seals it.
func (s *session) unplaced(ctx context.Context, end, last *rudderv1.End) *rudderv1.End {
	if s.life.Attempts > 0 {
		return last
	}
	if s.o.claims != nil && !s.o.repeatable {
		return s.void(ctx, s.g.linkOf(s.o.claims), end)
	}
	return end
}

// stay keeps the next attempt at the agent that the current ticket names.
func (s *session) stay() {
	if claims, err := s.g.readTicket(s.ticket, s.o.workspace); err == nil {
		s.o.claims = claims
	}
}

// moveOn prepares the next attempt after one at l ended as last. What became of
// an earlier presentation says nothing against its endpoint; the request goes
// on under an id of its own, for the old id leads to the old run.
func (s *session) moveOn(l *link, last *rudderv1.End) {
	gone := s.o.claims != nil && result.Code(last.Code) == result.IncarnationGone
	s.o.claims = nil
	if s.attached || gone {
		s.o.id = newID()
		return
	}
	s.excluded[l.declared.Name] = true
}

// restart begins the answer again at offset 0 and tells the caller.
func (s *session) restart() error {
	if err := s.out.Restart(); err != nil {
		return err
	}
	s.asm.Restart(s.attempt)
	s.delivered, s.life.Delivered, s.o.skip = nil, 0, 0
	return nil
}

// budget reports whether the workspace may spend another retry.
func (s *session) budget() bool {
	ok := s.g.limits.retry(s.o.workspace.Name)
	s.g.meter.retry(s.o.workspace.Name, ok)
	return ok
}

// place chooses the endpoint of the next attempt and makes its ticket.
func (s *session) place() (*link, *rudderv1.End) {
	if s.o.claims != nil {
		return s.g.linkOf(s.o.claims), nil
	}
	l, decision := s.chooseAtStart()
	if l == nil {
		err := result.New(result.NoEndpoint, decision.Reason)
		err.RetryAfter = comeBack.Milliseconds()
		if decision.Reason == routing.FilterBackoff {
			err.RetryAfter = s.g.links.restLeft(time.Now()).Milliseconds()
		}
		return nil, endOf(err)
	}
	return s.named(l)
}

// named makes the ticket of an attempt at l.
func (s *session) named(l *link) (*link, *rudderv1.End) {
	t, err := s.g.mint(l, s.o)
	if err != nil {
		return nil, endOf(result.New(result.NoEndpoint, err.Error()))
	}
	s.ticket = t
	return l, nil
}

func (s *session) choose() (*link, routing.Decision) {
	if c := s.o.completion; c != nil && s.g.needsGroup(c) {
		return s.chooseLast()
	}
	l, d := s.pick(s.route())
	if l != nil || s.using == "" || len(s.delivered) == 0 {
		return l, d
	}
	// Nobody serves the version that the answer began under any more.
	s.using = ""
	if l, d = s.pick(s.route()); l != nil {
		s.gone = s.restart()
	}
	return l, d
}

// pick asks the policy and records its decision.
func (s *session) pick(req routing.Request) (*link, routing.Decision) {
	view, order := s.g.links.view(time.Now())
	d := s.g.deps.Policy.Choose(req, view, rand.IntN, true)
	if d.Index < 0 {
		s.g.explain.record(s.o.id, s.life.Attempts+1, "", d)
		return nil, d
	}
	l := order[d.Index]
	s.g.explain.record(s.o.id, s.life.Attempts+1, l.declared.Name, d)
	return l, d
}

// route is the request as routing sees it. An answer that has begun goes on
// under the version that it began under.
func (s *session) route() routing.Request {
	c := s.o.completion
	model := c.GetModel()
	if s.using != "" && len(s.delivered) > 0 {
		model = s.using
	}
	return routing.Request{
		ID: s.o.id, Workspace: s.o.workspace.Name, Model: model, Service: s.o.call.GetService(),
		PromptTokens: c.GetPromptTokens(), MaxTokens: c.GetMaxTokens(), Prefix: c.GetPrefix(),
		Remaining: time.Until(s.o.deadline), DataCentre: s.g.cfg.DataCentre, Excluded: s.excluded,
	}
}

// request is the order as the agent gets it.
func (s *session) request(l *link) *rudderv1.RunRequest {
	_, clock := l.incarnation()
	req := &rudderv1.RunRequest{
		RequestId: s.o.id, Attempt: s.attempt, Ticket: s.ticket, Workspace: s.o.workspace.Name,
		Repeatable: s.o.repeatable, RemainingMs: time.Until(s.o.deadline).Milliseconds(),
		Priority: s.o.workspace.Priority, Weight: s.o.workspace.Weight,
		Generation: s.g.deps.Keeper.Generation(), Gateway: s.g.cfg.Name,
		Completion: s.o.completion, Call: s.o.call, Body: s.o.body, Ephemeral: !s.life.HasName && !s.life.EarlierMayHaveRun(),
		SentAgentMs: clock,
	}
	if c := s.o.completion; c != nil && (len(s.delivered) > 0 || s.group != nil) {
		req.Completion = &rudderv1.Completion{
			Model: c.Model, Path: c.Path, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
			Prefix: c.Prefix, ResumeText: s.delivered,
		}
		s.group.fill(req.Completion)
	}
	return req
}

// learn takes in what a whole run tells about the endpoint.
func (s *session) learn(l *link, believed int, end *rudderv1.End) {
	c := s.o.completion
	if result.Code(end.Code) != result.OK || c == nil || s.group != nil {
		return
	}
	l.cache.RecordRun(c.Prefix, believed, end.GetUsage().GetCachedTokens())
	l.observe(l.prefill(c.PromptTokens, end.GetUsage().GetCachedTokens()), time.Duration(end.GetTimes().GetPrefillUs())*time.Microsecond)
}

// predict estimates the prefill that an order brings, and how many leading
// blocks of it the endpoint is believed to hold.
func (l *link) predict(req *rudderv1.RunRequest) (work time.Duration, believed int) {
	c := req.GetCompletion()
	believed = l.cache.Cached(c.GetPrefix())
	return l.prefill(c.GetPromptTokens(), uint64(believed)*prefix.BlockTokens), believed
}

// prefill estimates the time to prefill a prompt of which a part is cached.
func (l *link) prefill(prompt, cached uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return costOf(l.load).OrDefault().Prefill(prompt, cached)
}
