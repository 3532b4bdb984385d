package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// order sends one attempt to the agent behind l and relays its answer.
func (s *session) order(ctx context.Context, l *link) (end *rudderv1.End) {
	s.attempt++
	s.attached = false
	s.life.Attempts++
	s.asm.Begin(s.attempt)
	req := s.request(l)
	class := routing.ClassOf(s.o.completion.GetPromptTokens())
	work, believed := l.predict(req)
	if s.life.Attempts == 1 {
		s.alone = work
	}
	s.g.lanes.add(class, work)
	settled := l.sent(class, work)
	defer settled()
	defer func() { l.outcome(result.Code(end.Code)) }()
	if s.group == nil {
		l.cache.RecordSent(s.o.completion.GetPrefix())
	}
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
	s.attached = a.Attached
	if len(s.delivered) == 0 {
		s.using = l.using(s.o.completion.GetModel())
	}
	if !a.Attached && s.o.skip > s.asm.Offset() {
		s.startOver()
	}
	s.out.Named(s.ticket)
	s.life.HasName = s.life.HasName || s.out.Known()
}

// startOver serves a caller that has bytes of a run that is gone: a new run's
// answer cannot be joined to them.
func (s *session) startOver() {
	if s.gone = s.out.Restart(); s.gone != nil {
		return
	}
	s.o.skip = 0
	if len(s.delivered) > 0 {
		s.gone = s.out.Text(s.delivered, uint64(len(s.delivered)))
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
		l.takeRefusal(b.End)
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
	if s.o.resumable() {
		s.delivered = append(s.delivered, fresh...)
	}
	s.life.Delivered = s.asm.Offset()
	if err := s.pass(fresh); err != nil {
		s.gone = err
		return endOf(result.New(result.ReaderTooSlow, err.Error()))
	}
	s.life.HasName = s.life.HasName || s.out.Known()
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

// end checks a whole answer; other ends are taken as they are. The bytes that
// a caller has beyond the answer's end cannot be of this answer.
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
	if s.o.skip > e.Length {
		return endOf(result.New(result.OffsetPast, ""))
	}
	return e
}
