package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// sendAttempt sends the next order to the agent of l and relays the response to
// the caller.
func (s *session) sendAttempt(ctx context.Context, l *link) (end *rudderv1.End) {
	s.attempt++
	s.attached = false
	s.dispatch.Attempts++
	s.asm.Begin(s.attempt)
	req := s.runRequest(l)
	class := routing.ClassOf(s.cr.completion.GetPromptTokens())
	work, assumedCached := l.predictPrefill(req)
	if s.dispatch.Attempts == 1 {
		s.unloadedPrefill = work
	}
	s.g.lanes.recordRouted(class, work)
	done := l.recordSend(class, work)
	defer done()
	defer func() { l.recordOutcome(result.Code(end.Code)) }()
	if s.group == nil {
		l.cache.RecordSent(s.cr.completion.GetPrefix())
	}
	stream, err := l.client.Run(ctx, connect.NewRequest(req))
	if err != nil {
		return s.brokenEnd(ctx, err, false)
	}
	defer func() { _ = stream.Close() }()
	received := false
	for stream.Receive() {
		f := stream.Msg()
		if !received {
			received = true
			done()
			s.handleAccepted(l, f)
		}
		if end := s.handleFrame(l, f); end != nil {
			s.recordRun(l, assumedCached, end)
			return end
		}
	}
	return s.brokenEnd(ctx, stream.Err(), received)
}

// handleAccepted handles the first frame of the response. An accepted frame means
// that the agent received the order.
func (s *session) handleAccepted(l *link, f *rudderv1.Frame) {
	a := f.GetAccepted()
	if a == nil {
		return
	}
	l.recordLoad(a.Load)
	s.attempt = f.Attempt // an attached run keeps its own attempt number
	s.asm.Begin(f.Attempt)
	s.attached = a.Attached
	if len(s.delivered) == 0 {
		s.servedVariant = l.servedVariant(s.cr.completion.GetModel())
	}
	if !a.Attached && s.cr.resumeOffset > s.asm.Offset() {
		s.restartForCaller()
	}
	s.out.SetTicket(s.ticket)
	s.dispatch.HasName = s.dispatch.HasName || s.out.TicketSent()
}

// restartForCaller handles a caller that holds the beginning of a response of a
// run that no longer exists. The response of a new run cannot be appended to
// that, so the response is sent from its start.
func (s *session) restartForCaller() {
	if s.callerErr = s.out.Restart(); s.callerErr != nil {
		return
	}
	s.cr.resumeOffset = 0
	if len(s.delivered) > 0 {
		s.callerErr = s.out.Text(s.delivered, uint64(len(s.delivered)))
	}
}

// handleFrame handles one frame and returns the end if the attempt is over.
func (s *session) handleFrame(l *link, f *rudderv1.Frame) *rudderv1.End {
	switch b := f.Body.(type) {
	case *rudderv1.Frame_Head:
		s.callerErr = s.out.Head(b.Head)
	case *rudderv1.Frame_Data:
		return s.handleData(f.Attempt, f.Offset, b.Data.Text)
	case *rudderv1.Frame_End:
		l.recordLoad(b.End.Load)
		l.recordRefusal(b.End)
		return s.handleEnd(f.Attempt, b.End)
	}
	if s.callerErr != nil {
		return endOf(result.New(result.Canceled, s.callerErr.Error()))
	}
	return nil
}

func (s *session) handleData(attempt uint32, offset uint64, text []byte) *rudderv1.End {
	fresh, err := s.asm.Data(attempt, offset, text)
	if err != nil {
		return damagedEnd(err)
	}
	if len(fresh) == 0 {
		return nil
	}
	if s.firstTextAt.IsZero() {
		s.firstTextAt = time.Now()
	}
	if s.cr.resumable() {
		s.delivered = append(s.delivered, fresh...)
	}
	s.dispatch.Delivered = s.asm.Offset()
	if err := s.forward(fresh); err != nil {
		s.callerErr = err
		return endOf(result.New(result.ReaderTooSlow, err.Error()))
	}
	s.dispatch.HasName = s.dispatch.HasName || s.out.TicketSent()
	return nil
}

// forward sends the caller those of the new bytes that it does not have yet.
func (s *session) forward(fresh []byte) error {
	end := s.asm.Offset()
	if end <= s.cr.resumeOffset {
		return nil
	}
	if begin := end - uint64(len(fresh)); begin < s.cr.resumeOffset {
		fresh = fresh[s.cr.resumeOffset-begin:]
	}
	return s.out.Text(fresh, end)
}

// handleEnd verifies the length and checksum of a complete response; other ends
// are returned unchanged. If the caller holds more bytes than the response has,
// those bytes are not from this response.
func (s *session) handleEnd(attempt uint32, e *rudderv1.End) *rudderv1.End {
	if result.Code(e.Code) != result.OK {
		return e
	}
	mine, err := s.asm.End(attempt, e.Length, e.Checksum)
	if err != nil {
		return damagedEnd(err)
	}
	if !mine {
		return nil
	}
	if s.cr.resumeOffset > e.Length {
		return endOf(result.New(result.OffsetPast, ""))
	}
	return e
}
