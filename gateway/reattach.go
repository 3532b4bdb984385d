package gateway

import (
	"github.com/micarudder/micarudder/rudderv1"
)

// reattachedModel is the model name in the response of a run that is attached to
// by its ticket. The original request, which names the model, is not available
// then.
const reattachedModel = ""

// reattachWriter writes the response of a run that may be a completion or a call
// to a plain service. The kind is not known until the response begins: only that
// of a service has a head.
type reattachWriter struct {
	g      *Gateway
	x      *exchange
	cr     *callerRequest
	stream bool
	out    finishingSink
}

// finishingSink is a sink that also writes the end.
type finishingSink interface {
	sink
	finish(end *rudderv1.End)
}

func (a *reattachWriter) target() finishingSink {
	if a.out == nil {
		a.out = newCompletionWriter(a.g, a.x, a.cr, reattachedModel, a.stream, chatPath)
	}
	return a.out
}

// SetTicket implements sink. The caller already has the ticket.
func (a *reattachWriter) SetTicket(ticket string) { setRunHeaders(a.x.w.Header(), ticket, a.cr.id) }

// TicketSent implements sink.
func (a *reattachWriter) TicketSent() bool { return true }

// Head implements sink.
func (a *reattachWriter) Head(h *rudderv1.ServiceHead) error {
	if a.out == nil {
		a.out = newServiceWriter(a.g, a.x, a.cr)
		a.cr.resumeOffset = 0 // the response of a service is sent complete or not at all
	}
	return a.out.Head(h)
}

// Text implements sink.
func (a *reattachWriter) Text(text []byte, end uint64) error { return a.target().Text(text, end) }

// Restart implements sink.
func (a *reattachWriter) Restart() error { return a.target().Restart() }

func (a *reattachWriter) finish(end *rudderv1.End) { a.target().finish(end) }
