package gateway

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

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
	case errors.Is(ctx.Err(), context.DeadlineExceeded), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		// The deadline travels with the call: the agent's end may come first.
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
	l = s.g.linkOfTicket(s.ticket, l) // its agent may have stopped meanwhile
	resp, err := l.client.Void(ctx, connect.NewRequest(&rudderv1.VoidRequest{Ticket: s.ticket}))
	if err == nil {
		last.Sealed = resp.Msg.Sealed
	}
	return last
}

// settle says of the request's last ending what the evidence of all attempts
// allows, and names the run that may exist.
func (s *session) settle(end *rudderv1.End) *rudderv1.End {
	claim := s.life.ReportableOutcome(s.ending(end))
	end.Outcome = rudderv1.Outcome(claim)
	if claim != result.NotRun {
		s.o.ticket = s.ticket
		s.forgo(end)
	}
	return end
}

// forgo replaces a code that stands for "not run" where that cannot be said.
// Repeatable work keeps it, for whoever asks again needs its time to come back.
func (s *session) forgo(end *rudderv1.End) {
	if s.o.repeatable || result.Lookup(result.Code(end.Code)).Outcome != result.NotRun {
		return
	}
	end.Detail = result.Code(end.Code).String()
	end.Code = uint32(result.OrderUnanswered)
}

// abandon frees what a caller that left used, unless it was told a ticket and
// may come back, or the call is to a plain service, which is not to be cut.
func (s *session) abandon(ctx context.Context, l *link) {
	if s.o.completion == nil || s.life.HasName || s.out.Known() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTime)
	defer cancel()
	if _, err := l.client.Cancel(ctx, connect.NewRequest(&rudderv1.CancelRequest{Ticket: s.ticket})); err != nil {
		s.g.deps.Log.Warn("Cancel failed.", "request", s.o.id, "err", err)
	}
}

// ending is an end frame as the decision sees it.
func (s *session) ending(e *rudderv1.End) lifecycle.AttemptResult {
	return lifecycle.AttemptResult{Code: result.Code(e.Code), Outcome: result.Outcome(e.Outcome), Sealed: e.Sealed, Attached: s.attached}
}

func endOf(err *result.Err) *rudderv1.End {
	return &rudderv1.End{
		Code: uint32(err.Code), Outcome: rudderv1.Outcome(err.Known()), Detail: err.Detail, RetryAfterMs: err.RetryAfter,
	}
}
