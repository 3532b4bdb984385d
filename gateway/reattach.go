package gateway

import (
	"github.com/micarudder/micarudder/rudderv1"
)

// attachedModel is the model name in re-attached answers, where the original
// request is not at hand.
const attachedModel = ""

// attachWriter writes the answer of a run whose kind shows only when the
// answer begins: a plain service's has a head.
type attachWriter struct {
	g      *Gateway
	x      *exchange
	o      *order
	stream bool
	to     writer
}

// writer is a sink that also tells the end.
type writer interface {
	sink
	finish(end *rudderv1.End)
}

func (a *attachWriter) writer() writer {
	if a.to == nil {
		a.to = newCompletionWriter(a.g, a.x, a.o, attachedModel, a.stream, pathChat)
	}
	return a.to
}

// Named implements sink. The caller has the ticket already.
func (a *attachWriter) Named(ticket string) { setNames(a.x.w.Header(), ticket, a.o.id) }

// Known implements sink.
func (a *attachWriter) Known() bool { return true }

// Head implements sink.
func (a *attachWriter) Head(h *rudderv1.ServiceHead) error {
	if a.to == nil {
		a.to = newCallWriter(a.g, a.x, a.o)
		a.o.skip = 0 // a service's answer comes whole or not at all
	}
	return a.to.Head(h)
}

// Text implements sink.
func (a *attachWriter) Text(text []byte, end uint64) error { return a.writer().Text(text, end) }

// Restart implements sink.
func (a *attachWriter) Restart() error { return a.writer().Restart() }

func (a *attachWriter) finish(end *rudderv1.End) { a.writer().finish(end) }
