package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

// longUpload is more than the kernel holds for an endpoint that does not read.
const longUpload = 16 << 20

// serveConns calls serve for each connection to a new listener, with its number, counted from 1. It returns the
// address.
func serveConns(t *testing.T, serve func(n int, c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var accepted atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(int(accepted.Add(1)), c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// newRawGateway starts a gateway with two endpoints at one address, where serve is called for each connection.
func newRawGateway(t *testing.T, serve func(n int, c *net.TCPConn)) *testGateway {
	t.Helper()
	b := newTestGateway(t, nil)
	address := serveConns(t, serve)
	b.source.endpoints = []catalog.Endpoint{{ID: "a", Service: "s", Address: address, Slots: 4}, {ID: "b", Service: "s", Address: address, Slots: 4}}
	b.readSource()
	return b
}

const (
	event = "id: 1\ndata: x\n\n"
	// okHead and eventBody are parts of a complete response.
	okHead    = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
	eventBody = "Content-Length: 15\r\n\r\n" + event
)

// answer reads a request, writes the response to its header and closes the connection.
func answer(c *net.TCPConn, response func(h http.Header) string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, response(r.Header))
}

// answerAndClose returns an endpoint that reads a request, writes the response and closes the connection.
func answerAndClose(response string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) { answer(c, func(http.Header) string { return response }) }
}

// soundResponse returns a complete response, which any route takes for one.
func soundResponse(h http.Header) string {
	if h.Get("After") == "1" {
		return okHead + "Connection: close\r\nContent-Length: 0\r\n\r\n"
	}
	return okHead + "Connection: close\r\n" + eventBody
}

// checkNotDelivered sends a request to each kind of route, whose first attempt is served by broken. What may be repeated has
// to be served by the next attempt; of anything else the caller has to learn that it may have run.
func checkNotDelivered(t *testing.T, upload string, broken func(c *net.TCPConn)) {
	t.Helper()
	for _, route := range []string{"safe", "once", "stream", "story"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			b := newRawGateway(t, func(n int, c *net.TCPConn) {
				if n > 1 {
					answer(c, soundResponse)
					return
				}
				broken(c)
			})
			got := b.send(t.Context(), http.MethodPost, "/"+route+"/a", upload, nil)
			if route == "safe" || route == "stream" {
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, event)
				return
			}
			if route == "story" && got.err != nil {
				return // what had begun was passed on, and its connection closed before the end
			}
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(got.header.Get("Seal"), "")
			is.Equal(got.body, "")
		})
	}
}

// TestResetDuringUpload guards against a response without a length that reaches a caller as complete, although the endpoint
// has reset its connection while the request was sent.
func TestResetDuringUpload(t *testing.T) {
	upload := strings.Repeat("x", longUpload)
	for name, response := range map[string]string{"with a part of the body": okHead + "\r\n" + event, "without a body": okHead + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			checkNotDelivered(t, upload, func(c *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, response)
				reset(c)
			})
		})
	}
}

// TestMalformedStatus guards against a status that is none and reaches a caller, or ends its request without an answer.
func TestMalformedStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "+20", "-00", "20", "20x", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			checkNotDelivered(t, "", answerAndClose("HTTP/1.1 "+status+"\r\nId: r1\r\nSeal: s\r\n"+eventBody))
		})
	}
}

// TestMalformedFieldName guards against a header field whose name holds a blank or a control byte, and after which a caller
// gets as complete what is not the body of the endpoint.
func TestMalformedFieldName(t *testing.T) {
	const chunks = "f\r\n" + event + "\r\n0\r\n\r\n"
	for name, response := range map[string]string{
		"blank before the colon of the coding": okHead + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"blank before the colon of the length": okHead + "Content-Length : 2\r\n\r\n" + event,
		"blank within a name":                  okHead + "Bad Name: x\r\n" + eventBody,
		"blank before the first name":          "HTTP/1.1 200 OK\r\n Id: r1\r\nId: r1\r\nSeal: s\r\n" + eventBody,
		"tab":                                  okHead + "Bad\tName: x\r\n" + eventBody,
		"control byte":                         okHead + "Bad\x01Name: x\r\n" + eventBody,
		"zero byte":                            okHead + "Bad\x00: x\r\n" + eventBody,
		"delete":                               okHead + "Bad\x7f: x\r\n" + eventBody,
		"carriage return":                      okHead + "Bad\r: x\r\n" + eventBody,
		"separator":                            okHead + "Bad(Name): x\r\n" + eventBody,
		"empty":                                okHead + ": x\r\n" + eventBody,
		"no colon":                             okHead + "Name\r\n" + eventBody,
		"control byte in a value":              okHead + "Name: x\x01y\r\n" + eventBody,
	} {
		t.Run(name, func(t *testing.T) { checkNotDelivered(t, "", answerAndClose(response)) })
	}
}

// TestMalformedStatusLine guards against a status line of another protocol, or with control bytes, that passes for one of
// HTTP/1.
func TestMalformedStatusLine(t *testing.T) {
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1200", "200 OK"} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			checkNotDelivered(t, "", answerAndClose(line+"\r\nId: r1\r\nSeal: s\r\n"+eventBody))
		})
	}
}

// TestCodingInHTTP10 guards against a transfer coding in an HTTP/1.0 response, of which a caller gets the framing as the body.
func TestCodingInHTTP10(t *testing.T) {
	const response = "HTTP/1.0 200 OK\r\nId: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n0\r\n\r\n"
	checkNotDelivered(t, "", answerAndClose(response))
}

// TestCutResponse guards against a response whose head or body has ended too early and reaches a caller as complete.
func TestCutResponse(t *testing.T) {
	const chunked = okHead + "Transfer-Encoding: chunked\r\n\r\nf\r\n"
	for name, response := range map[string]string{
		"status line":                      "HTTP/1.1 200",
		"no field":                         "HTTP/1.1 200 OK\r\n",
		"name of a field":                  okHead + "Content-Le",
		"value of a field":                 okHead + "Content-Length: 1",
		"no blank line":                    okHead,
		"last byte of the head missing":    okHead + "\r",
		"body with a length":               okHead + "Content-Length: 15\r\n\r\nid: 1\n",
		"no body":                          okHead + "Content-Length: 15\r\n\r\n",
		"chunk":                            chunked + "id: 1\n",
		"no last chunk":                    chunked + event + "\r\n",
		"last byte of the framing missing": chunked + event + "\r\n0\r\n\r",
	} {
		t.Run(name, func(t *testing.T) { checkNotDelivered(t, "", answerAndClose(response)) })
	}
}

// TestBrokenAnswersToOwnCalls guards against a broken response that counts as a report, a reservation, a release or the answer
// to a health check.
func TestBrokenAnswersToOwnCalls(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\nPace: 1\r\n"
		body = "Content-Length: 2\r\n\r\n{}"
		slow = 3
	)
	forms := map[string]string{
		"status 000":        "HTTP/1.1 000 OK\r\nPace: 1\r\n" + body,
		"blank in a name":   ok + "Bad Name: x\r\n" + body,
		"cut head":          ok + "Content-Len",
		"cut body":          ok + "Content-Length: 2\r\n\r\n{",
		"cut chunk":         ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{",
		"missing last part": ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
	}
	calls := map[string]func(g *Gateway, e catalog.Endpoint) error{
		"report": func(g *Gateway, e catalog.Endpoint) error { _, err := g.fetchReport(t.Context(), e); return err },
		"status query": func(g *Gateway, e catalog.Endpoint) error {
			g.queryEndpoint(&watchedEndpoint{Endpoint: e, service: catalog.Service{Name: "s", Engine: new(catalog.Engine)}})
			return nil
		},
		"health check": func(g *Gateway, e catalog.Endpoint) error {
			g.queryEndpoint(&watchedEndpoint{Endpoint: e, service: catalog.Service{Name: "s", HealthPath: "/health"}})
			return nil
		},
		"reservation": func(g *Gateway, e catalog.Endpoint) error {
			return g.sendOrder(t.Context(), &reservation{endpoint: e}, g.deps.Protocol.Reserve(e.ID, "m", 1, time.Second))
		},
		"release": func(g *Gateway, e catalog.Endpoint) error {
			return g.sendOrder(t.Context(), &reservation{endpoint: e}, g.deps.Protocol.Release(e.ID, "m"))
		},
	}
	for form, response := range forms {
		for call, do := range calls {
			t.Run(call+"/"+form, func(t *testing.T) {
				is := is.New(t)
				b := newRawGateway(t, func(_ int, c *net.TCPConn) { answerAndClose(response)(c) })
				e := b.source.endpoints[0]
				b.gateway.picker.recordReport(e.ID, EndpointReport{Slowdown: slow}, time.Now())
				err := do(b.gateway, e)
				if strings.HasPrefix(call, "status") || strings.HasPrefix(call, "health") {
					b.gateway.picker.mu.Lock()
					defer b.gateway.picker.mu.Unlock()
					is.Equal(b.gateway.picker.health.Slowdown(e.ID, time.Now()), float64(slow)) // as before
					return
				}
				is.True(err != nil)
			})
		}
	}
}
