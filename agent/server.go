package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

// server implements rudder.v1.AgentService for an Agent.
type server struct {
	a *Agent
}

// Handler returns the path and handler of the agent's inner protocol.
func (a *Agent) Handler() (string, http.Handler) {
	return rudderv1connect.NewAgentServiceHandler(&server{a: a},
		append(inner.HandlerOptions(), connect.WithReadMaxBytes(inner.MaxMessage), connect.WithSendMaxBytes(inner.MaxMessage))...)
}

// Run admits an order and streams its response.
func (s *server) Run(ctx context.Context, req *connect.Request[rudderv1.RunRequest], stream *connect.ServerStream[rudderv1.Frame]) error {
	m := req.Msg
	r, attached, refusal := s.a.admit(m)
	if refusal != nil {
		s.a.meter.refused(result.Code(refusal.Code))
		return stream.Send(&rudderv1.Frame{RequestId: m.RequestId, Attempt: m.Attempt, Body: &rudderv1.Frame_End{End: refusal}})
	}
	s.a.meter.admitted(attached)
	return s.a.streamResponse(ctx, r, attached, uint64(len(m.GetCompletion().GetResumeText())), stream)
}

// Attach streams the response of an existing run from an offset.
func (s *server) Attach(ctx context.Context, req *connect.Request[rudderv1.AttachRequest], stream *connect.ServerStream[rudderv1.Frame]) error {
	claims, end := s.a.checkTicket(req.Msg.Ticket, "")
	if end != nil {
		return stream.Send(&rudderv1.Frame{Body: &rudderv1.Frame_End{End: end}})
	}
	r, end := s.a.findRun(claims)
	if end != nil {
		return stream.Send(&rudderv1.Frame{RequestId: claims.RequestId, Body: &rudderv1.Frame_End{End: end}})
	}
	return s.a.streamResponse(ctx, r, true, req.Msg.Offset, stream)
}

// missingRunEnd returns the end frame for a ticket that has no run.
func missingRunEnd(sealed, expired bool) *rudderv1.End {
	switch {
	case sealed:
		return refusalEnd(result.New(result.TicketVoided, ""), true)
	case expired:
		return refusalEnd(result.New(result.TicketExpired, ""), false)
	default:
		return refusalEnd(result.New(result.UnknownRun, ""), false)
	}
}

// streamResponse streams the response of a run to one reader.
func (a *Agent) streamResponse(ctx context.Context, r *run, attached bool, offset uint64, stream *connect.ServerStream[rudderv1.Frame]) error {
	r.attach()
	defer r.detach(a.cfg.ReattachWindow, func() { a.cancelIfUnread(r) })
	a.addReaders(1)
	defer a.addReaders(-1)
	frame := func() *rudderv1.Frame {
		return &rudderv1.Frame{RequestId: r.req.RequestId, Attempt: r.req.Attempt, Offset: offset}
	}
	if err := stream.Send(withAccepted(frame(), a.accepted(attached))); err != nil {
		return err
	}
	headSent := false
	for {
		v := r.read(offset)
		if v.dropped && v.end != nil && offset < v.end.Length {
			return stream.Send(withEnd(frame(), refusalEnd(result.New(result.AnswerDropped, ""), false)))
		}
		if v.head != nil && !headSent {
			headSent = true
			if err := stream.Send(withHead(frame(), v.head)); err != nil {
				return err
			}
		}
		if len(v.text) > 0 {
			if err := stream.Send(withData(frame(), v.text)); err != nil {
				return err
			}
			offset += uint64(len(v.text))
		}
		if v.end != nil && a.canceledByStop(v.end) {
			return connect.NewError(connect.CodeUnavailable, errStopped)
		}
		if v.end != nil {
			return stream.Send(withEnd(frame(), v.end))
		}
		if len(v.text) > 0 {
			continue
		}
		select {
		case <-v.changed:
		case <-a.drainEnded:
			return connect.NewError(connect.CodeUnavailable, errStopped)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// errStopped ends the streams that are still open when a drain times out.
var errStopped = errors.New("agent: stopped")

// canceledByStop reports whether a run was canceled because the agent stops.
func (a *Agent) canceledByStop(end *rudderv1.End) bool {
	select {
	case <-a.drainEnded:
		return result.Code(end.Code) == result.Canceled
	default:
		return false
	}
}

// addReaders adds n to the number of response streams.
func (a *Agent) addReaders(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers += n
	if a.draining.stopping {
		a.notify()
	}
}

func withAccepted(f *rudderv1.Frame, x *rudderv1.Accepted) *rudderv1.Frame {
	f.Body = &rudderv1.Frame_Accepted{Accepted: x}
	return f
}

func withHead(f *rudderv1.Frame, x *rudderv1.ServiceHead) *rudderv1.Frame {
	f.Body = &rudderv1.Frame_Head{Head: x}
	return f
}

func withData(f *rudderv1.Frame, text []byte) *rudderv1.Frame {
	f.Body = &rudderv1.Frame_Data{Data: &rudderv1.Data{Text: text}}
	return f
}

func withEnd(f *rudderv1.Frame, x *rudderv1.End) *rudderv1.Frame {
	f.Offset = x.Length
	f.Body = &rudderv1.Frame_End{End: x}
	return f
}

func (a *Agent) accepted(attached bool) *rudderv1.Accepted {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &rudderv1.Accepted{Attached: attached, Load: a.load(), Generation: a.deps.Tracker.Generation()}
}

// cancelIfUnread cancels a repeatable run if it has no reader.
func (a *Agent) cancelIfUnread(r *run) {
	if r.unread() {
		a.cancelRun(r)
	}
}

// cancelRun cancels a run on behalf of its caller.
func (a *Agent) cancelRun(r *run) {
	a.mu.Lock()
	_, waiting := a.waiting[r.item.ID]
	waiting = waiting && a.queue.Remove(r.item.ID)
	a.mu.Unlock()
	if waiting {
		r.apply(lifecycle.Event{Kind: lifecycle.EvCancel}, "")
		a.endRun(r)
		return
	}
	r.cancel()
}

// Void seals an ID unless its run has started, and returns what is known about the run.
func (s *server) Void(_ context.Context, req *connect.Request[rudderv1.VoidRequest]) (*connect.Response[rudderv1.VoidResponse], error) {
	claims, end := s.a.checkTicket(req.Msg.Ticket, "")
	if end != nil {
		return connect.NewResponse(&rudderv1.VoidResponse{Outcome: end.Outcome, Code: end.Code}), nil
	}
	return connect.NewResponse(adjustForRepeatable(claims, s.a.void(claims))), nil
}

func (a *Agent) void(claims *rudderv1.TicketClaims) *rudderv1.VoidResponse {
	a.mu.Lock()
	if claims.Incarnation != a.incarnation {
		defer a.mu.Unlock()
		return a.voidInherited(claims)
	}
	r, ok := a.records.runs[claims.RequestId]
	if !ok {
		defer a.mu.Unlock()
		return a.voidUnknown(claims)
	}
	queued := a.waiting[r.item.ID] == r && a.queue.Remove(r.item.ID)
	a.mu.Unlock()
	if queued {
		r.apply(lifecycle.Event{Kind: lifecycle.EvVoid}, "")
		a.endRun(r)
	}
	return r.voidResponse()
}

// adjustForRepeatable replaces "not run" by "may have run" for a repeatable request, because
// the order may have been sent to other agents too.
func adjustForRepeatable(claims *rudderv1.TicketClaims, resp *rudderv1.VoidResponse) *rudderv1.VoidResponse {
	if claims.Repeatable && resp.Outcome == rudderv1.Outcome_OUTCOME_NOT_RUN {
		resp.Outcome = rudderv1.Outcome_OUTCOME_MAY_HAVE_RUN
	}
	return resp
}

// voidUnknown seals an ID that has no run; the caller holds mu.
func (a *Agent) voidUnknown(claims *rudderv1.TicketClaims) *rudderv1.VoidResponse {
	if a.records.sealed(claims.RequestId) {
		return voidedResponse(true)
	}
	if a.clockMS() > claims.ExpiresAgentMs {
		return &rudderv1.VoidResponse{Outcome: rudderv1.Outcome_OUTCOME_MAY_HAVE_RUN, Code: uint32(result.TicketExpired)}
	}
	if !a.records.seal(claims.RequestId, time.Now().Add(a.untilExpiry(claims))) {
		return &rudderv1.VoidResponse{Outcome: rudderv1.Outcome_OUTCOME_MAY_HAVE_RUN, Code: uint32(result.RecordsFull)}
	}
	a.scheduleUnseal(claims.RequestId, claims)
	return voidedResponse(true)
}

func voidedResponse(sealed bool) *rudderv1.VoidResponse {
	return &rudderv1.VoidResponse{Outcome: rudderv1.Outcome_OUTCOME_NOT_RUN, Code: uint32(result.Voided), Sealed: sealed}
}

// voidResponse returns what is known about a run that was to be voided.
func (r *run) voidResponse() *rudderv1.VoidResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.lifecycle.State == lifecycle.Refused:
		return voidedResponse(true)
	case r.end == nil:
		return &rudderv1.VoidResponse{Outcome: rudderv1.Outcome_OUTCOME_MAY_HAVE_RUN, Code: uint32(result.OrderUnanswered)}
	default:
		return &rudderv1.VoidResponse{Outcome: r.end.Outcome, Code: r.end.Code, Finished: r.lifecycle.State == lifecycle.Finished}
	}
}

// Cancel cancels a run.
func (s *server) Cancel(_ context.Context, req *connect.Request[rudderv1.CancelRequest]) (*connect.Response[rudderv1.CancelResponse], error) {
	claims, end := s.a.checkTicket(req.Msg.Ticket, "")
	if end != nil {
		return connect.NewResponse(&rudderv1.CancelResponse{Outcome: end.Outcome}), nil
	}
	s.a.mu.Lock()
	r, ok := s.a.records.runs[claims.RequestId]
	s.a.mu.Unlock()
	if ok && claims.Incarnation == s.a.incarnation {
		s.a.cancelRun(r)
	}
	return connect.NewResponse(&rudderv1.CancelResponse{Outcome: rudderv1.Outcome_OUTCOME_MAY_HAVE_RUN}), nil
}

// Place accepts a permitted order for the endpoint, or returns the reason for refusing it.
func (s *server) Place(_ context.Context, req *connect.Request[rudderv1.PlaceRequest]) (*connect.Response[rudderv1.PlaceResponse], error) {
	return connect.NewResponse(s.a.place(req.Msg)), nil
}

// Subscribe streams reports until the subscriber disconnects. A report is complete at the
// start of the stream and when something other than the load has changed, otherwise short.
func (s *server) Subscribe(ctx context.Context, req *connect.Request[rudderv1.SubscribeRequest], stream *connect.ServerStream[rudderv1.AgentReport]) error {
	reports := newReportStream(s.a, req.Msg)
	leave := s.a.subscribers.join(reports.gateway)
	defer leave()
	sub, done := s.a.subscribe()
	defer done()
	for {
		if err := stream.Send(reports.next()); err != nil {
			return err
		}
		s.a.recordSent(sub, reports.last)
		if !reports.wait(ctx) {
			return nil
		}
	}
}
