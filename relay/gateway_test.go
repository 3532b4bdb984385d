package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/heldmemory"
)

func TestRelaysRequestUnchanged(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		writeResponse(w, "203 Fine", "Seal: x\r\nTwice: 1\r\nTwice: 2\r\nKeep-Alive: timeout=5\r\n", "body")
	})
	b.readSource()
	got := b.send(t.Context(), "POST", "/safe/%2F/x?q=%20&q", "asked", http.Header{"Twice": {"1", "2"}})
	is.NoErr(got.err)
	is.Equal(got.status, 203)
	is.Equal(got.body, "body")
	is.Equal(got.header["Twice"], []string{"1", "2"})
	is.Equal(got.header.Get("Keep-Alive"), "")
	sent := b.requestAt(0)
	is.Equal(sent.RequestURI, "/safe/%2F/x?q=%20&q")
	is.Equal(sent.Host, "h.example")
	is.Equal(sent.Header["Twice"], []string{"1", "2"})
	is.Equal(sent.Header.Get("Workspace"), "w")
	is.Equal(sent.Header.Get("Key"), "")
	p, _ := io.ReadAll(sent.Body)
	is.Equal(string(p), "asked")
}

// TestFirstAttemptFaults checks the response and the number of attempts by route and by the fault of
// the first attempt.
func TestFirstAttemptFaults(t *testing.T) {
	reset := func(_ *bufio.Writer, c *net.TCPConn) { reset(c) }
	full := func(w *bufio.Writer, _ *net.TCPConn) { writeResponse(w, "503 Full", "Not-Run: 1\r\n", "") }
	failed := func(w *bufio.Writer, _ *net.TCPConn) { writeResponse(w, "500 Failed", "", "why") }
	cut := func(w *bufio.Writer, c *net.TCPConn) {
		_, _ = w.WriteString("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhalf")
		_ = w.Flush()
		_ = c.Close()
	}
	cases := []struct {
		name     string
		path     string
		fault    func(*bufio.Writer, *net.TCPConn)
		status   int
		body     string
		broken   bool
		arrivals int
	}{
		{"safe, reset", "/safe/", reset, 200, "second\n\n", false, 2},
		{"safe, full", "/safe/", full, 200, "second\n\n", false, 2},
		{"safe, failed", "/safe/", failed, 200, "second\n\n", false, 2},
		{"safe, cut off", "/safe/", cut, 200, "second\n\n", false, 2},
		{"once, cut off", "/once/", cut, 502, "", false, 1},
		{"once, reset", "/once/", reset, 502, "", false, 1},
		{"once, full", "/once/", full, 200, "second\n\n", false, 2},
		{"once, failed", "/once/", failed, 500, "why", false, 1},
		{"story, reset", "/story/", reset, 502, "", false, 1},
		{"story, cut off", "/story/", cut, 200, "half", true, 1},
		{"stream, cut off", "/stream/", cut, 200, "second\n\n", false, 2},
		{"stream, reset", "/stream/", reset, 200, "second\n\n", false, 2},
		{"stream, failed", "/stream/", failed, 200, "second\n\n", false, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestGateway(t, func(n int, w *bufio.Writer, c *net.TCPConn, _ *http.Request) {
				if n == 1 {
					tc.fault(w, c)
					return
				}
				writeResponse(w, "200 OK", "", "second\n\n")
			})
			b.readSource()
			got := b.send(t.Context(), "POST", tc.path, "", nil)
			is.Equal(got.status, tc.status)
			is.Equal(got.body, tc.body)
			is.Equal(got.err != nil, tc.broken)
			is.Equal(b.requestCount(), tc.arrivals)
		})
	}
}

// TestAllEndpointsFull: a request that no endpoint accepted is refused with a Retry-After, after as
// many attempts as its route allows.
func TestAllEndpointsFull(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		writeResponse(w, "503 Full", "Not-Run: 1\r\nSeal: x\r\n", "")
	})
	b.readSource()
	got := b.send(t.Context(), "POST", "/once/", "", nil)
	is.Equal(got.status, 503)
	is.Equal(got.header.Get("Seal"), "")
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(b.requestCount(), 2)
}

// TestStreamResumesElsewhere: a stream that breaks inside an event resumes at the other endpoint
// after the last complete event, under the head of the first response.
func TestStreamResumesElsewhere(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(n int, w *bufio.Writer, c *net.TCPConn, _ *http.Request) {
		_, _ = w.WriteString("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: " + strconv.Itoa(n) + "\r\nTransfer-Encoding: chunked\r\n\r\n")
		if n == 1 {
			_, _ = w.WriteString("17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n")
			_ = w.Flush()
			_ = c.Close()
			return
		}
		_, _ = w.WriteString("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
	})
	b.readSource()
	got := b.send(t.Context(), "POST", "/stream/", "", nil)
	is.NoErr(got.err)
	is.Equal(got.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.Equal(got.header.Get("Seal"), "1")
	is.Equal(b.requestAt(1).Header.Get("After"), "1")
	is.True(b.requestAt(0).Header.Get("Endpoint") != b.requestAt(1).Header.Get("Endpoint"))
}

// TestStreamNotResumedForever: the caller's connection is aborted if a stream breaks at each
// endpoint, so that the response does not look complete.
func TestStreamNotResumedForever(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(n int, w *bufio.Writer, c *net.TCPConn, _ *http.Request) {
		_, _ = w.WriteString("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nid: " + strconv.Itoa(n) + "\ndata: a\n\nid:")
		_ = w.Flush()
		_ = c.Close()
	})
	b.readSource()
	got := b.send(t.Context(), "POST", "/stream/", "", nil)
	is.True(got.err != nil)
	is.Equal(got.body, "id: 1\ndata: a\n\nid: 2\ndata: a\n\n")
	is.Equal(b.requestCount(), 2)
}

// TestWrongEndpoint: an endpoint whose address belongs to another incarnation is not used again.
// The test picks whichever endpoint gets the first request.
func TestWrongEndpoint(t *testing.T) {
	is := is.New(t)
	wrong := ""
	b := newTestGateway(t, func(n int, w *bufio.Writer, _ *net.TCPConn, r *http.Request) {
		if n == 1 {
			wrong = r.Header.Get("Endpoint")
		}
		if r.Header.Get("Endpoint") == wrong {
			writeResponse(w, "421 Misdirected", "", "")
			return
		}
		writeResponse(w, "200 OK", "", "")
	})
	b.readSource()
	for range 3 {
		got := b.send(t.Context(), "POST", "/once/", "", nil)
		is.Equal(got.status, 200)
	}
	is.Equal(b.requestCount(), 4)
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	b := newTestGateway(t, func(int, *bufio.Writer, *net.TCPConn, *http.Request) { <-hold })
	defer close(hold)
	b.readSource()
	got := b.send(t.Context(), "GET", "/safe/", "", http.Header{"Wait-Ms": {"200"}})
	is.Equal(got.status, 504)
	left, err := strconv.Atoi(b.requestAt(0).Header.Get("Left-Ms"))
	is.NoErr(err)
	is.True(left <= 200)
	got = b.send(t.Context(), "GET", "/safe/", "", http.Header{"Wait-Ms": {"1"}})
	is.Equal(got.status, 503) // not sent, so it has not run
	is.Equal(b.requestCount(), 1)
}

// TestReservationRefusedByOneEndpoint: a prompt that needs memory at helpers is placed again
// without the endpoint that refused the reservation.
func TestReservationRefusedByOneEndpoint(t *testing.T) {
	is := is.New(t)
	var b *testGateway
	var mu sync.Mutex
	refused, reserved := "", 0
	b = newTestGateway(t, func(_ int, w *bufio.Writer, c *net.TCPConn, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch at := c.LocalAddr().String(); {
		case !strings.HasPrefix(r.RequestURI, "/reserve/"):
			writeResponse(w, "200 OK", "", "")
		case refused == "" || refused == at:
			refused = at
			writeResponse(w, "409 Conflict", "", "")
		default:
			reserved++
			writeResponse(w, "200 OK", "", "")
		}
	})
	b.configureEngines(1000, "c", "d", "e", "f", "g", "h")
	got := b.send(t.Context(), "POST", "/once/", "", http.Header{"Tokens": {"1500"}})
	is.Equal(got.status, 200)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(reserved, 1)
}

// TestFailedHelper: a prompt whose helper is dead is sent again without that helper, and the
// endpoint that reported the helper is used as before.
func TestFailedHelper(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	dead := ""
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		helpers := r.Header["Helper"]
		if dead == "" && len(helpers) > 0 {
			dead = helpers[0]
		}
		if slices.Contains(helpers, dead) {
			writeResponse(w, "503 Service Unavailable", "Not-Run: 1\r\nFault: "+dead+"\r\n", "")
			return
		}
		writeResponse(w, "200 OK", "", "")
	})
	b.configureEngines(100000, "c", "d")
	got := b.send(t.Context(), "POST", "/once/", "", http.Header{"Tokens": {"9000"}})
	is.Equal(got.status, 200)
	is.True(dead != "") // the first attempt had a helper
	is.Equal(b.requestCount(), 2)
	suspects := 0
	for _, e := range b.source.endpoints {
		if b.gateway.picker.health.Suspect(e.ID, time.Now()) {
			suspects++
			is.Equal(e.Address, dead)
		}
	}
	is.Equal(suspects, 1)
}

// TestSeveralFailedHelpers: a prompt meets another dead helper in each of its first three attempts.
// It is served in the end, without using more endpoints than its route allows.
func TestSeveralFailedHelpers(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var dead []string
	used := make(map[string]bool)
	b := newTestGateway(t, func(_ int, w *bufio.Writer, c *net.TCPConn, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		used[c.LocalAddr().String()] = true
		helpers := r.Header["Helper"]
		if len(dead) < 3 && len(helpers) > 0 {
			dead = append(dead, helpers[0])
		}
		for _, helper := range helpers {
			if slices.Contains(dead, helper) {
				writeResponse(w, "503 Service Unavailable", "Not-Run: 1\r\nFault: "+helper+"\r\n", "")
				return
			}
		}
		writeResponse(w, "200 OK", "", "")
	})
	b.configureEngines(100000, "c", "d", "e", "f", "g", "h")
	got := b.send(t.Context(), "POST", "/once/", "", http.Header{"Tokens": {"9000"}})
	is.Equal(got.status, 200)
	is.Equal(len(dead), 3)
	is.Equal(b.requestCount(), 4)
	is.True(len(used) <= 2)
}

// TestCallerDoesNotReadResponse: a caller that reads nothing of its response occupies the gateway no
// longer than its deadline.
func TestCallerDoesNotReadResponse(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		_, _ = w.WriteString("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n")
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	b.readSource()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /story/ HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: k\r\nWait-Ms: 200\r\n\r\n")
	is.NoErr(err)
	for b.requestCount() == 0 || b.gateway.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestBodyMemoryLimit: bodies that exceed the memory for all bodies are refused as not run.
func TestBodyMemoryLimit(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { writeResponse(w, "200 OK", "", "") })
	b.readSource()
	b.gateway.bodies = heldmemory.NewBodies(10)
	is.Equal(b.send(t.Context(), "POST", "/once/", "0123456789", nil).status, 200)
	got := b.send(t.Context(), "POST", "/once/", "0123456789a", nil)
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(b.send(t.Context(), "POST", "/once/", "0123456789", nil).status, 200)
	is.Equal(b.requestCount(), 2)
}

// TestChunkedBodyMemory guards against callers that upload large bodies in chunks and together outgrow the memory
// for bodies, and against refusing a small request beside them.
func TestChunkedBodyMemory(t *testing.T) {
	is := is.New(t)
	const size, limit = 1 << 20, 4 << 20
	release := make(chan struct{})
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, r *http.Request) {
		if r.ContentLength == size {
			<-release
		}
		writeResponse(w, "200 OK", "", "")
	})
	config := testConfig(1)
	config.Limits.BodyBytes = size
	b.source.setConfiguration(config, nil)
	b.readSource()
	b.gateway.bodies = heldmemory.NewBodies(limit)
	responses := make(chan response, 8)
	for range cap(responses) {
		go func() { responses <- b.upload(strings.Repeat("x", size)) }()
	}
	for range cap(responses) - 3 {
		got := <-responses
		is.Equal(got.status, 503)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.True(b.gateway.bodies.Held() <= limit)
	is.Equal(b.upload("small").status, 200)
	close(release)
	for range 3 {
		is.Equal((<-responses).status, 200)
	}
	for b.gateway.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(b.gateway.bodies.Held(), int64(0))
}

// upload sends a body in chunks.
func (b *testGateway) upload(body string) response {
	r, err := http.NewRequestWithContext(b.t.Context(), "POST", b.url+"/safe/", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return response{err: err}
	}
	r.Host = "h.example"
	r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	res, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{err: err}
	}
	defer res.Body.Close()
	return response{status: res.StatusCode, header: res.Header}
}

// TestCallerGone: closing the caller's connection closes the connection to the endpoint.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	arrived, closed := make(chan struct{}), make(chan struct{})
	b := newTestGateway(t, func(_ int, _ *bufio.Writer, c *net.TCPConn, _ *http.Request) {
		close(arrived)
		_, err := c.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			close(closed)
		}
	})
	b.readSource()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	got := b.send(ctx, "GET", "/safe/", "", nil)
	is.True(got.err != nil)
	<-closed
	is.Equal(b.requestCount(), 1)
}

// TestShutdown: a shutdown makes the gateway not ready at once and lets requests in flight finish;
// their connections are closed after the response.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		close(arrived)
		<-release
		writeResponse(w, "200 OK", "", "whole")
	})
	b.readSource()
	is.True(b.gateway.Ready())
	answers := make(chan response, 1)
	go func() { answers <- b.send(t.Context(), "POST", "/once/", "", nil) }()
	<-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- b.gateway.Shutdown(t.Context()) }()
	for b.gateway.Ready() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	got := <-answers
	is.NoErr(got.err)
	is.Equal(got.body, "whole")
	is.NoErr(<-stopped)
	is.Equal(b.gateway.inFlight.Load(), int64(0))
}

// TestRequestBeforeFirstConfiguration: a request that arrives before the first configuration of a
// process that has just started waits for it and is served. Later it is refused at once.
func TestRequestBeforeFirstConfiguration(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { writeResponse(w, "200 OK", "", "x") })
	done := make(chan response)
	go func() { done <- b.send(t.Context(), "POST", "/safe/x", "", nil) }()
	for b.gateway.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.readSource()
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)

	b = newTestGateway(t, nil)
	b.gateway.started = time.Now().Add(-startupWait)
	got = b.send(t.Context(), "POST", "/safe/x", "", nil)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(b.requestCount(), 0)
}
