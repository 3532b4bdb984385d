package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// maxHeldBack is how many bytes of a service's response are buffered until its
// end is known. A shorter response is delivered complete or replaced by a
// problem, never truncated.
const maxHeldBack = 256 << 10

// unforwardedHeaders are the headers that are not forwarded between caller and
// service.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	headerTicket: true, headerDeadline: true, headerRepeatable: true,
}

// serveService forwards a call to a plain service.
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
	cr, err := g.newCallerRequest(x, isIdempotent(x.r.Method))
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	cr.body, cr.resumeOffset = body, 0 // Last-Event-ID belongs to the service's own protocol here
	cr.call = &rudderv1.ServiceCall{Service: name, Method: x.r.Method, Path: servicePath(x), Headers: forwardedHeaders(x.r.Header)}
	if err := g.limits.admit(x.workspace.Name, 0); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	defer g.limits.done(x.workspace.Name)
	if err := g.claim(x, cr); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	out := newServiceWriter(g, x, cr)
	out.finish(g.serve(x.r.Context(), cr, out))
}

// isIdempotent reports whether a method is idempotent (RFC 9110). A request
// with such a method may run again unless its headers say otherwise.
func isIdempotent(m string) bool {
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

func forwardedHeaders(h http.Header) []*rudderv1.Header {
	var out []*rudderv1.Header
	for name, values := range h {
		if unforwardedHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &rudderv1.Header{Name: name, Value: v})
		}
	}
	return out
}

// serviceWriter writes the response of a plain service to the caller.
type serviceWriter struct {
	g          *Gateway
	x          *exchange
	cr         *callerRequest
	rc         *http.ResponseController
	ticketSent bool // the caller may have received its ticket
	head       *rudderv1.ServiceHead
	heldBack   []byte
	headSent   bool
}

func newServiceWriter(g *Gateway, x *exchange, cr *callerRequest) *serviceWriter {
	return &serviceWriter{g: g, x: x, cr: cr, rc: http.NewResponseController(x.raw)}
}

// SetTicket implements sink.
func (c *serviceWriter) SetTicket(ticket string) {
	if c.headSent {
		return
	}
	setRunHeaders(c.x.w.Header(), ticket, c.cr.id)
	if !c.cr.repeatable && sendEarlyHints(c.x) {
		c.ticketSent = true
	}
}

// TicketSent implements sink.
func (c *serviceWriter) TicketSent() bool { return c.ticketSent || c.headSent }

// Head implements sink.
func (c *serviceWriter) Head(h *rudderv1.ServiceHead) error {
	c.head = h
	return nil
}

// Text implements sink.
func (c *serviceWriter) Text(text []byte, _ uint64) error {
	c.heldBack = append(c.heldBack, text...)
	if !c.headSent && len(c.heldBack) <= maxHeldBack {
		return nil
	}
	return c.flush()
}

// errHeadSent is returned by Restart once the head of the response has been sent.
var errHeadSent = errors.New("answer cannot restart: part of it was already sent")

// Restart implements sink. It drops what was not sent yet. It fails once part
// of the response was sent, because the response of a plain service, unlike an
// event stream, has no means to invalidate that part.
func (c *serviceWriter) Restart() error {
	if c.headSent {
		return errHeadSent
	}
	c.heldBack, c.head = nil, nil
	return nil
}

// flush sends the buffered bytes, and before the first of them the head.
func (c *serviceWriter) flush() error {
	if !c.headSent {
		c.headSent = true
		for _, kv := range c.head.GetHeaders() {
			if !unforwardedHeaders[http.CanonicalHeaderKey(kv.Name)] {
				c.x.w.Header().Add(kv.Name, kv.Value)
			}
		}
		c.x.w.WriteHeader(int(c.head.GetStatus()))
	}
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.g.cfg.WriteTime))
	_, err := c.x.w.Write(c.heldBack)
	c.heldBack = c.heldBack[:0]
	return err
}

// finish sends the end of the call. If the response breaks off after its head was
// sent, it aborts the connection, so that the caller does not take the response
// for complete.
func (c *serviceWriter) finish(end *rudderv1.End) {
	switch {
	case result.Code(end.Code) == result.OK:
		_ = c.flush()
	case !c.headSent:
		writeProblem(c.x.w, problemOf(end, c.cr.id, c.cr.ticket))
	default:
		panic(http.ErrAbortHandler)
	}
}
