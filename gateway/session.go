package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/prefix"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// defaultRetryAfter is the retry delay reported to callers if no better
	// value is known.
	defaultRetryAfter = time.Second
	// voidTimeout limits the call that voids or cancels a run.
	voidTimeout = time.Second
	// minRemaining is the shortest remaining time with which an order is still
	// sent.
	minRemaining = 5 * time.Millisecond
)

// callerRequest is a parsed and validated request of a caller.
type callerRequest struct {
	id           string
	workspace    *rudderv1.Workspace
	completion   *rudderv1.Completion  // set for a model request
	call         *rudderv1.ServiceCall // set for a call to a plain service
	body         []byte
	repeatable   bool
	hasKey       bool // the caller sent an idempotency key
	deadline     time.Time
	ticket       string                 // presented by the caller or read from a claim; else empty
	claims       *rudderv1.TicketClaims // of the ticket
	resumeOffset uint64                 // number of response bytes that the caller already has
}

// sink is the destination of a response. An error of a method means that the
// caller can no longer be reached, except for Restart.
type sink interface {
	// SetTicket passes the caller's ticket on before the response.
	SetTicket(ticket string)
	// TicketSent reports whether the caller may have received a ticket.
	TicketSent() bool
	// Head writes the status and headers of a plain service's response.
	Head(h *rudderv1.ServiceHead) error
	// Text writes response text; end is the offset of its end in the response.
	Text(text []byte, end uint64) error
	// Restart tells the caller that the response begins again. It returns an
	// error if that is not possible.
	Restart() error
}

// session serves one request over all its attempts.
type session struct {
	g               *Gateway
	cr              *callerRequest
	out             sink
	dispatch        lifecycle.Dispatch
	asm             lifecycle.Assembler
	attempt         uint32
	attached        bool   // the current attempt is attached to an existing run
	delivered       []byte // the response so far, if another attempt can continue it
	servedVariant   string // variant that produces the response, see link.servedVariant
	excluded        map[string]bool
	ticket          string // of the current attempt
	group           *group // set while several endpoints prefill the prompt
	callerErr       error  // why nothing can be written to the caller
	start           time.Time
	firstTextAt     time.Time
	unloadedPrefill time.Duration // predicted prefill time on an idle endpoint, at the first order
}

// serve serves the request and returns the end to report to the caller.
func (g *Gateway) serve(ctx context.Context, cr *callerRequest, out sink) *rudderv1.End {
	s := &session{g: g, cr: cr, out: out, excluded: make(map[string]bool), start: time.Now(), ticket: cr.ticket}
	s.dispatch = lifecycle.Dispatch{Repeatable: cr.repeatable, HasName: cr.ticket != "" || cr.hasKey, Resumable: cr.resumable()}
	ctx, cancel := context.WithDeadline(ctx, cr.deadline)
	defer cancel()
	end := s.reportableEnd(s.run(ctx))
	g.meter.recordEnd(s, end)
	return end
}

// resumable reports whether another endpoint can continue a partly delivered
// response.
func (cr *callerRequest) resumable() bool { return cr.repeatable && cr.completion != nil }

func (s *session) run(ctx context.Context) *rudderv1.End {
	last := endOf(result.New(result.NoEndpoint, ""))
	defer s.releaseGroup()
	for {
		if end := s.endIfExpired(ctx, last); end != nil {
			return end
		}
		l, end := s.prepare(ctx)
		if end != nil {
			return s.endUnplaced(ctx, end, last)
		}
		last = s.runAttempt(ctx, l)
		if s.callerErr != nil {
			s.cancelAbandoned(ctx, l)
			return last
		}
		if s.movedToSuccessor(l, last) {
			continue
		}
		switch step := s.dispatch.Next(s.attemptResult(last), s.allowRetry); step {
		case lifecycle.StepRespond:
			return last
		case lifecycle.StepVoid:
			return s.void(ctx, l, last)
		case lifecycle.StepReattach:
			s.retrySameAgent()
		case lifecycle.StepResend:
			l.learnFromRefusal(ctx, last)
		default:
			if step == lifecycle.StepRestart && s.restartResponse() != nil {
				return last
			}
			s.retryElsewhere(l, last)
		}
	}
}

// movedToSuccessor reports whether the agent of the presented ticket stopped
// during the attempt and a successor now holds its run records.
func (s *session) movedToSuccessor(l *link, last *rudderv1.End) bool {
	if s.cr.claims == nil || s.dispatch.Attempts >= lifecycle.MaxAttempts {
		return false
	}
	switch result.Code(last.Code) {
	case result.AgentLost, result.IncarnationGone, result.OrderUnanswered:
		return s.g.linkForClaims(s.cr.claims).declared.AgentAddress != l.declared.AgentAddress
	default:
		return false
	}
}

// endIfExpired returns the final end if there is not enough time left for
// another attempt, else nil.
func (s *session) endIfExpired(ctx context.Context, last *rudderv1.End) *rudderv1.End {
	if ctx.Err() == nil && time.Until(s.cr.deadline) > minRemaining {
		return nil
	}
	switch {
	case s.dispatch.Attempts > 0:
		return last
	case drain.Ended(ctx):
		return endOf(errDraining())
	default:
		return endOf(result.New(result.DeadlineTooNear, ""))
	}
}

// endUnplaced returns the end if no attempt could be made: the end of the last
// attempt if there was one, else the given reason. Nothing has run then, but an
// unrepeatable request with a name may still run through another gateway unless
// its agent seals the name.
func (s *session) endUnplaced(ctx context.Context, end, last *rudderv1.End) *rudderv1.End {
	if s.dispatch.Attempts > 0 {
		return last
	}
	if s.cr.claims != nil && !s.cr.repeatable {
		return s.void(ctx, s.g.linkForClaims(s.cr.claims), end)
	}
	return end
}

// retrySameAgent sends the next attempt to the agent named by the current
// ticket.
func (s *session) retrySameAgent() {
	if claims, err := s.g.readTicket(s.ticket, s.cr.workspace); err == nil {
		s.cr.claims = claims
	}
}

// retryElsewhere prepares the next attempt after the one at l ended with last.
// If that attempt was attached to an earlier run, or the ticket's incarnation
// is gone, the endpoint is not excluded, because the failure is not evidence
// against it. The request then continues under a new ID, since the old one
// leads to the old run.
func (s *session) retryElsewhere(l *link, last *rudderv1.End) {
	gone := s.cr.claims != nil && result.Code(last.Code) == result.IncarnationGone
	s.cr.claims = nil
	if s.attached || gone {
		s.cr.id = newID()
		return
	}
	s.excluded[l.declared.Name] = true
}

// restartResponse restarts the response at offset 0 and tells the caller.
func (s *session) restartResponse() error {
	if err := s.out.Restart(); err != nil {
		return err
	}
	s.asm.Restart(s.attempt)
	s.delivered, s.dispatch.Delivered, s.cr.resumeOffset = nil, 0, 0
	return nil
}

// allowRetry reports whether the workspace's retry budget permits another
// retry.
func (s *session) allowRetry() bool {
	ok := s.g.limits.allowRetry(s.cr.workspace.Name)
	s.g.meter.recordRetry(s.cr.workspace.Name, ok)
	return ok
}

// selectEndpoint selects the endpoint of the next attempt and issues its
// ticket.
func (s *session) selectEndpoint(ctx context.Context) (*link, *rudderv1.End) {
	if s.cr.claims != nil {
		return s.g.linkForClaims(s.cr.claims), nil
	}
	l, decision := s.chooseOrAwaitAgent(ctx)
	if l == nil {
		err := result.New(result.NoEndpoint, decision.Reason)
		err.RetryAfter = defaultRetryAfter.Milliseconds()
		if decision.Reason == routing.FilterBackoff {
			err.RetryAfter = s.g.links.shortestBackOff(time.Now()).Milliseconds()
		}
		return nil, endOf(err)
	}
	return s.issueTicket(l)
}

// issueTicket issues the ticket of an attempt at l.
func (s *session) issueTicket(l *link) (*link, *rudderv1.End) {
	t, err := s.g.issueTicket(l, s.cr)
	if err != nil {
		return nil, endOf(result.New(result.NoEndpoint, err.Error()))
	}
	s.ticket = t
	return l, nil
}

func (s *session) choose() (*link, routing.Decision) {
	if c := s.cr.completion; c != nil && s.g.needsGroup(c) {
		return s.chooseLastMember()
	}
	l, d := s.applyPolicy(s.routingRequest())
	if l != nil || s.servedVariant == "" || len(s.delivered) == 0 {
		return l, d
	}
	// No endpoint serves the version that produced the beginning of the response
	// any more.
	s.servedVariant = ""
	if l, d = s.applyPolicy(s.routingRequest()); l != nil {
		s.callerErr = s.restartResponse()
	}
	return l, d
}

// applyPolicy runs the routing policy and records its decision.
func (s *session) applyPolicy(req routing.Request) (*link, routing.Decision) {
	view, byIndex := s.g.links.candidates(time.Now())
	d := s.g.deps.Policy.Choose(req, view, rand.IntN, true)
	if d.Index < 0 {
		s.g.explain.record(s.cr.id, s.dispatch.Attempts+1, "", d)
		return nil, d
	}
	l := byIndex[d.Index]
	s.g.explain.record(s.cr.id, s.dispatch.Attempts+1, l.declared.Name, d)
	return l, d
}

// routingRequest returns the request as input of routing. A partly delivered
// response continues with the version that it began with.
func (s *session) routingRequest() routing.Request {
	c := s.cr.completion
	model := c.GetModel()
	if s.servedVariant != "" && len(s.delivered) > 0 {
		model = s.servedVariant
	}
	return routing.Request{
		ID: s.cr.id, Workspace: s.cr.workspace.Name, Model: model, Service: s.cr.call.GetService(),
		PromptTokens: c.GetPromptTokens(), MaxTokens: c.GetMaxTokens(), Prefix: c.GetPrefix(),
		Remaining: time.Until(s.cr.deadline), DataCentre: s.g.cfg.DataCentre, Excluded: s.excluded,
	}
}

// runRequest returns the order to send to the agent.
func (s *session) runRequest(l *link) *rudderv1.RunRequest {
	_, clock := l.incarnation()
	req := &rudderv1.RunRequest{
		RequestId: s.cr.id, Attempt: s.attempt, Ticket: s.ticket, Workspace: s.cr.workspace.Name,
		Repeatable: s.cr.repeatable, RemainingMs: time.Until(s.cr.deadline).Milliseconds(),
		Priority: s.cr.workspace.Priority, Weight: s.cr.workspace.Weight,
		Generation: s.g.deps.Tracker.Generation(), Gateway: s.g.cfg.Name,
		Completion: s.cr.completion, Call: s.cr.call, Body: s.cr.body, Ephemeral: !s.dispatch.HasName && !s.dispatch.EarlierMayHaveRun(),
		SentAgentMs: clock,
	}
	if c := s.cr.completion; c != nil && (len(s.delivered) > 0 || s.group != nil) {
		req.Completion = &rudderv1.Completion{
			Model: c.Model, Path: c.Path, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
			Prefix: c.Prefix, ResumeText: s.delivered,
		}
		s.group.fillCompletion(req.Completion)
	}
	return req
}

// recordRun updates the cache and cost estimates of the endpoint after a
// complete run.
func (s *session) recordRun(l *link, assumedCached int, end *rudderv1.End) {
	c := s.cr.completion
	if result.Code(end.Code) != result.OK || c == nil || s.group != nil {
		return
	}
	l.cache.RecordRun(c.Prefix, assumedCached, end.GetUsage().GetCachedTokens())
	l.recordPrefill(l.prefillTime(c.PromptTokens, end.GetUsage().GetCachedTokens()), time.Duration(end.GetTimes().GetPrefillUs())*time.Microsecond)
}

// predictPrefill estimates the prefill time of an order, and how many leading
// blocks of its prompt the endpoint has cached.
func (l *link) predictPrefill(req *rudderv1.RunRequest) (work time.Duration, assumedCached int) {
	c := req.GetCompletion()
	assumedCached = l.cache.Cached(c.GetPrefix())
	return l.prefillTime(c.GetPromptTokens(), uint64(assumedCached)*prefix.BlockTokens), assumedCached
}

// prefillTime estimates the time to prefill a prompt of which the first cached
// tokens are in the prefix cache.
func (l *link) prefillTime(prompt, cached uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return costOf(l.load).OrDefault().Prefill(prompt, cached)
}
