package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// holdBack is how many bytes of a service's answer are kept back until its
// end is known, so that a short answer is whole or a problem, never cut.
const holdBack = 256 << 10

// hopHeaders are not passed on between caller and service.
var hopHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	headerTicket: true, headerDeadline: true, headerRepeatable: true,
}

// serveService passes a call on to a plain service.
func (g *Gateway) serveService(x *exchange) {
	name := x.param("name")
	if !allowed(x.workspace.Services, name) {
		g.refuse(x.w, x.r, result.New(result.UnknownService, name))
		return
	}
	body, err := g.readBody(x)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	o, err := g.newOrder(x, repeatableMethod(x.r.Method))
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	o.body, o.skip = body, 0 // Last-Event-ID is the service's own here
	o.call = &rudderv1.ServiceCall{Service: name, Method: x.r.Method, Path: servicePath(x), Headers: forward(x.r.Header)}
	if err := g.limits.admit(x.workspace.Name, 0); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	defer g.limits.done(x.workspace.Name)
	if err := g.claim(x, o); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	out := newCallWriter(g, x, o)
	out.finish(g.serve(x.r.Context(), o, out))
}

// repeatableMethod: idempotent methods (RFC 9110) may run again unless said otherwise.
func repeatableMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func servicePath(x *exchange) string {
	path := "/" + x.param("path")
	if q := x.r.URL.RawQuery; q != "" {
		path += "?" + q
	}
	return path
}

func forward(h http.Header) []*rudderv1.Header {
	var out []*rudderv1.Header
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &rudderv1.Header{Name: name, Value: v})
		}
	}
	return out
}

// callWriter writes one service answer to its caller.
type callWriter struct {
	g     *Gateway
	x     *exchange
	o     *order
	rc    *http.ResponseController
	known bool // the caller may have been told its ticket
	head  *rudderv1.ServiceHead
	held  []byte
	begun bool
}

func newCallWriter(g *Gateway, x *exchange, o *order) *callWriter {
	return &callWriter{g: g, x: x, o: o, rc: http.NewResponseController(x.raw)}
}

// Named implements sink.
func (c *callWriter) Named(ticket string) {
	if c.begun {
		return
	}
	setNames(c.x.w.Header(), ticket, c.o.id)
	if !c.o.repeatable && earlyTicket(c.x) {
		c.known = true
	}
}

// Known implements sink.
func (c *callWriter) Known() bool { return c.known || c.begun }

// Head implements sink.
func (c *callWriter) Head(h *rudderv1.ServiceHead) error {
	c.head = h
	return nil
}

// Text implements sink.
func (c *callWriter) Text(text []byte, _ uint64) error {
	c.held = append(c.held, text...)
	if !c.begun && len(c.held) <= holdBack {
		return nil
	}
	return c.flush()
}

// errBegun is why a service's answer cannot begin again.
var errBegun = errors.New("part of the answer was sent")

// Restart implements sink: what was not sent yet is dropped. A plain service's
// answer has no event that could void the part that was sent.
func (c *callWriter) Restart() error {
	if c.begun {
		return errBegun
	}
	c.held, c.head = nil, nil
	return nil
}

// flush sends the head, once, and what was held back.
func (c *callWriter) flush() error {
	if !c.begun {
		c.begun = true
		for _, kv := range c.head.GetHeaders() {
			if !hopHeaders[http.CanonicalHeaderKey(kv.Name)] {
				c.x.w.Header().Add(kv.Name, kv.Value)
			}
		}
		c.x.w.WriteHeader(int(c.head.GetStatus()))
	}
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.g.cfg.WriteTime))
	_, err := c.x.w.Write(c.held)
	c.held = c.held[:0]
	return err
}

// finish tells the caller how its call ended. An answer that breaks off after
// its head was sent ends the connection, so that it cannot be taken for whole.
func (c *callWriter) finish(end *rudderv1.End) {
	switch {
	case result.Code(end.Code) == result.OK:
		_ = c.flush()
	case !c.begun:
		writeProblem(c.x.w, problemOf(end, c.o.id, c.o.ticket))
	default:
		panic(http.ErrAbortHandler)
	}
}
