package gateway

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

func damagedEnd(err error) *rudderv1.End {
	var coded *result.Err
	if errors.As(err, &coded) {
		return endOf(coded)
	}
	return endOf(result.New(result.AnswerDamaged, err.Error()))
}

// brokenEnd returns the end of an attempt whose stream broke off.
func (s *session) brokenEnd(ctx context.Context, err error, received bool) *rudderv1.End {
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	switch {
	case isDialError(err):
		return endOf(&result.Err{Code: result.AgentLost, Outcome: result.NotRun, Detail: detail})
	case drain.Ended(ctx):
		return endOf(result.New(result.OrderUnanswered, drain.ErrShutdown.Error()))
	case errors.Is(ctx.Err(), context.DeadlineExceeded), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		// The deadline is propagated with the call, so the agent may report it
		// before ctx ends.
		return endOf(result.New(result.DeadlinePassed, ""))
	case ctx.Err() != nil:
		s.callerErr = ctx.Err()
		return endOf(result.New(result.Canceled, ""))
	case received:
		return endOf(result.New(result.AgentLost, detail))
	default:
		return endOf(result.New(result.OrderUnanswered, detail))
	}
}

// isDialError reports whether the error proves that no byte of the order was
// sent, because the connection could not be established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// void asks the agent to seal the request ID, so that "not run" may be
// reported.
func (s *session) void(ctx context.Context, l *link, last *rudderv1.End) *rudderv1.End {
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	l = s.g.linkForTicket(s.ticket, l) // the agent may have stopped in the meantime
	resp, err := l.client.Void(ctx, connect.NewRequest(&rudderv1.VoidRequest{Ticket: s.ticket}))
	if err == nil {
		last.Sealed = resp.Msg.Sealed
	}
	return last
}

// reportableEnd sets the outcome of the request's last end to what the evidence
// of all attempts supports. If a run may exist, the ticket of that run is
// reported to the caller.
func (s *session) reportableEnd(end *rudderv1.End) *rudderv1.End {
	reportable := s.dispatch.ReportableOutcome(s.attemptResult(end))
	end.Outcome = rudderv1.Outcome(reportable)
	if reportable != result.NotRun {
		s.cr.ticket = s.ticket
		s.replaceNotRunCode(end)
	}
	return end
}

// replaceNotRunCode replaces a code that implies "not run" if that cannot be
// claimed. Repeatable requests keep the code, because a caller that retries
// needs its retry delay.
func (s *session) replaceNotRunCode(end *rudderv1.End) {
	if s.cr.repeatable || result.Lookup(result.Code(end.Code)).Outcome != result.NotRun {
		return
	}
	end.Detail = result.Code(end.Code).String()
	end.Code = uint32(result.OrderUnanswered)
}

// cancelAbandoned cancels the run of a caller that disconnected, to free its
// resources. It does not if the caller has a ticket and may come back, or if
// the call is to a plain service, which must not be interrupted.
func (s *session) cancelAbandoned(ctx context.Context, l *link) {
	if s.cr.completion == nil || s.dispatch.HasName || s.out.TicketSent() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTimeout)
	defer cancel()
	if _, err := l.client.Cancel(ctx, connect.NewRequest(&rudderv1.CancelRequest{Ticket: s.ticket})); err != nil {
		s.g.deps.Log.Warn("Failed to cancel an abandoned run.", "request", s.cr.id, "err", err)
	}
}

// attemptResult converts an end frame to the input of the dispatch decision.
func (s *session) attemptResult(e *rudderv1.End) lifecycle.AttemptResult {
	return lifecycle.AttemptResult{Code: result.Code(e.Code), Outcome: result.Outcome(e.Outcome), Sealed: e.Sealed, Attached: s.attached}
}

func endOf(err *result.Err) *rudderv1.End {
	return &rudderv1.End{
		Code: uint32(err.Code), Outcome: rudderv1.Outcome(err.Known()), Detail: err.Detail, RetryAfterMs: err.RetryAfter,
	}
}
