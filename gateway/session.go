package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"connectrpc.com/connect"

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
	deadline   time.Time
	ticket     string                 // presented or claimed; empty otherwise
	claims     *rudderv1.TicketClaims // of the ticket
	skip       uint64                 // answer bytes that the caller has already
}

// sink is where an answer goes. Each method's error means that the caller is gone.
type sink interface {
	// Named tells the caller its ticket early; it reports whether it was sent.
	Named(ticket string) bool
	// Head passes on a plain service's status and headers.
	Head(h *rudderv1.ServiceHead) error
	// Text passes on answer text; end is the offset after it.
	Text(text []byte, end uint64) error
	// Restart tells the caller that the answer begins again.
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
	delivered []byte // the answer so far, for an attempt that goes on after it
	excluded  map[string]bool
	ticket    string // of the current attempt
	gone      error  // why the caller cannot be written to
	began     time.Time
	firstText time.Time
}

// serve runs the order to its end and returns what to tell the caller.
func (g *Gateway) serve(ctx context.Context, o *order, out sink) *rudderv1.End {
	s := &session{g: g, o: o, out: out, excluded: make(map[string]bool), began: time.Now(), ticket: o.ticket}
	s.life = lifecycle.Dispatch{Repeatable: o.repeatable, Named: o.ticket != "", Pinned: o.ticket != "" && !o.repeatable}
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	end := s.run(ctx)
	g.meter.done(s, end)
	return end
}

func (s *session) run(ctx context.Context) *rudderv1.End {
	last := endOf(result.New(result.NoEndpoint, ""))
	for {
		if end := s.timeOver(ctx, last); end != nil {
			return end
		}
		l, end := s.place()
		if end != nil {
			return s.noPlace(end, last)
		}
		last = s.order(ctx, l)
		if s.gone != nil {
			return last
		}
		switch s.life.Next(ending(last), s.budget) {
		case lifecycle.StepAnswer:
			return last
		case lifecycle.StepVoid:
			return s.void(ctx, l, last)
		case lifecycle.StepElsewhere, lifecycle.StepContinue:
			s.moveOn(l, last)
		}
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

// noPlace prefers what the last attempt said over "no endpoint".
func (s *session) noPlace(end, last *rudderv1.End) *rudderv1.End {
	if s.life.Attempts > 0 {
		return last
	}
	return end
}

// moveOn prepares the next attempt after one at l ended as last.
func (s *session) moveOn(l *link, last *rudderv1.End) {
	if result.Code(last.Code) == result.OldGeneration && !s.excluded[l.declared.Name] {
		s.g.learn(last.GetNewer().GetDocument(), "agent")
	}
	s.excluded[l.declared.Name] = true
	s.o.claims = nil
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
	l, decision := s.choose()
	if l == nil {
		err := result.New(result.NoEndpoint, decision.Reason)
		err.RetryAfter = comeBack.Milliseconds()
		return nil, endOf(err)
	}
	t, err := s.g.mint(l, s.o)
	if err != nil {
		return nil, endOf(result.New(result.NoEndpoint, err.Error()))
	}
	s.ticket = t
	return l, nil
}

func (s *session) choose() (*link, routing.Decision) {
	view, order := s.g.links.view(time.Now())
	d := s.g.deps.Policy.Choose(s.route(), view, rand.IntN, true)
	if d.Index < 0 {
		s.g.explain.record(s.o.id, s.life.Attempts+1, "", d)
		return nil, d
	}
	l := order[d.Index]
	s.g.explain.record(s.o.id, s.life.Attempts+1, l.declared.Name, d)
	return l, d
}

// route is the request as routing sees it.
func (s *session) route() routing.Request {
	c := s.o.completion
	return routing.Request{
		ID: s.o.id, Workspace: s.o.workspace.Name, Model: c.GetModel(), Service: s.o.call.GetService(),
		PromptTokens: c.GetPromptTokens(), MaxTokens: c.GetMaxTokens(), Prefix: c.GetPrefix(),
		Remaining: time.Until(s.o.deadline), DataCentre: s.g.cfg.DataCentre, Excluded: s.excluded,
	}
}

// order sends one attempt to the agent behind l and relays its answer.
func (s *session) order(ctx context.Context, l *link) (end *rudderv1.End) {
	s.attempt++
	s.life.Attempts++
	s.asm.Begin(s.attempt)
	req := s.request(l)
	class := routing.ClassOf(s.o.completion.GetPromptTokens())
	work, believed := l.predict(req)
	s.g.lanes.add(class, work)
	settled := l.sent(class, work)
	defer settled()
	defer func() { l.outcome(result.Code(end.Code)) }()
	l.cache.Sent(s.o.completion.GetPrefix())
	stream, err := l.client.Run(ctx, connect.NewRequest(req))
	if err != nil {
		return s.broken(ctx, err, false)
	}
	defer func() { _ = stream.Close() }()
	heard := false
	for stream.Receive() {
		f := stream.Msg()
		if !heard {
			heard = true
			settled()
			s.accepted(l, f)
		}
		if end := s.frame(l, f); end != nil {
			s.learn(l, believed, end)
			return end
		}
	}
	return s.broken(ctx, stream.Err(), heard)
}

// accepted takes the first frame: the order arrived.
func (s *session) accepted(l *link, f *rudderv1.Frame) {
	a := f.GetAccepted()
	if a == nil {
		return
	}
	l.takeLoad(a.Load)
	s.attempt = f.Attempt // an attached run keeps its own attempt number
	s.asm.Begin(f.Attempt)
	if s.out.Named(s.ticket) {
		s.life.Named = true
	}
}

// frame handles one frame and returns the end when the attempt is over.
func (s *session) frame(l *link, f *rudderv1.Frame) *rudderv1.End {
	switch b := f.Body.(type) {
	case *rudderv1.Frame_Head:
		s.gone = s.out.Head(b.Head)
	case *rudderv1.Frame_Data:
		return s.data(f.Attempt, f.Offset, b.Data.Text)
	case *rudderv1.Frame_End:
		l.takeLoad(b.End.Load)
		return s.end(f.Attempt, b.End)
	}
	if s.gone != nil {
		return endOf(result.New(result.Canceled, s.gone.Error()))
	}
	return nil
}

func (s *session) data(attempt uint32, offset uint64, text []byte) *rudderv1.End {
	fresh, err := s.asm.Data(attempt, offset, text)
	if err != nil {
		return damaged(err)
	}
	if len(fresh) == 0 {
		return nil
	}
	if s.firstText.IsZero() {
		s.firstText = time.Now()
	}
	s.delivered = append(s.delivered, fresh...)
	s.life.Delivered = uint64(len(s.delivered))
	if err := s.pass(fresh); err != nil {
		s.gone = err
		return endOf(result.New(result.ReaderTooSlow, err.Error()))
	}
	return nil
}

// pass gives the caller the bytes it does not have yet.
func (s *session) pass(fresh []byte) error {
	end := s.asm.Offset()
	if end <= s.o.skip {
		return nil
	}
	if begin := end - uint64(len(fresh)); begin < s.o.skip {
		fresh = fresh[s.o.skip-begin:]
	}
	return s.out.Text(fresh, end)
}

// end checks a whole answer; other ends are taken as they are.
func (s *session) end(attempt uint32, e *rudderv1.End) *rudderv1.End {
	if result.Code(e.Code) != result.OK {
		return e
	}
	mine, err := s.asm.End(attempt, e.Length, e.Checksum)
	if err != nil {
		return damaged(err)
	}
	if !mine {
		return nil
	}
	return e
}

func damaged(err error) *rudderv1.End {
	var coded *result.Err
	if errors.As(err, &coded) {
		return endOf(coded)
	}
	return endOf(result.New(result.AnswerDamaged, err.Error()))
}

// broken is the end of an attempt whose stream broke off.
func (s *session) broken(ctx context.Context, err error, heard bool) *rudderv1.End {
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	switch {
	case neverLeft(err):
		return endOf(&result.Err{Code: result.AgentLost, Outcome: result.NotRun, Detail: detail})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return endOf(result.New(result.DeadlinePassed, ""))
	case ctx.Err() != nil:
		s.gone = ctx.Err()
		return endOf(result.New(result.Canceled, ""))
	case heard:
		return endOf(result.New(result.AgentLost, detail))
	default:
		return endOf(result.New(result.OrderUnanswered, detail))
	}
}

// neverLeft reports whether the error proves that no byte of the order was
// sent: the connection could not be made.
func neverLeft(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// void asks the agent to seal the id, so that "not run" may be said.
func (s *session) void(ctx context.Context, l *link, last *rudderv1.End) *rudderv1.End {
	ctx, cancel := context.WithTimeout(ctx, voidTime)
	defer cancel()
	resp, err := l.client.Void(ctx, connect.NewRequest(&rudderv1.VoidRequest{Ticket: s.ticket}))
	if err == nil && resp.Msg.Outcome == rudderv1.Outcome_OUTCOME_NOT_RUN {
		last.Sealed = true
		return last
	}
	last.Outcome = rudderv1.Outcome_OUTCOME_MAY_HAVE_RUN
	if result.Lookup(result.Code(last.Code)).Outcome == result.NotRun {
		last.Code = uint32(result.OrderUnanswered)
	}
	return last
}

// request is the order as the agent gets it.
func (s *session) request(l *link) *rudderv1.RunRequest {
	req := &rudderv1.RunRequest{
		RequestId: s.o.id, Attempt: s.attempt, Ticket: s.ticket, Workspace: s.o.workspace.Name,
		Repeatable: s.o.repeatable, RemainingMs: time.Until(s.o.deadline).Milliseconds(),
		Priority: s.o.workspace.Priority, Weight: s.o.workspace.Weight,
		Generation: s.g.deps.Keeper.Generation(), Gateway: s.g.cfg.Name,
		Completion: s.o.completion, Call: s.o.call, Body: s.o.body, Ephemeral: !s.life.Named,
	}
	if c := s.o.completion; c != nil && len(s.delivered) > 0 {
		resumed := &rudderv1.Completion{
			Model: c.Model, Path: c.Path, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
			Prefix: c.Prefix, ResumeText: s.delivered,
		}
		req.Completion = resumed
	}
	return req
}

// learn takes in what a whole run tells about the endpoint.
func (s *session) learn(l *link, believed int, end *rudderv1.End) {
	c := s.o.completion
	if result.Code(end.Code) != result.OK || c == nil {
		return
	}
	l.cache.Ran(c.Prefix, believed, end.GetUsage().GetCachedTokens())
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

func ending(e *rudderv1.End) lifecycle.Ending {
	return lifecycle.Ending{Code: result.Code(e.Code), Outcome: result.Outcome(e.Outcome), Sealed: e.Sealed}
}

func endOf(err *result.Err) *rudderv1.End {
	return &rudderv1.End{
		Code: uint32(err.Code), Outcome: rudderv1.Outcome(err.Known()), Detail: err.Detail, RetryAfterMs: err.RetryAfter,
	}
}
