package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/upstream"
)

// testProtocol is a protocol with header fields of its own.
type testProtocol struct{}

func (testProtocol) Call(h http.Header) (Call, error) {
	c := Call{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("After")}
	if text := h.Get("Tokens"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return c, err
		}
		c.Input = n
	}
	if text := h.Get("Wait-Ms"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return c, err
		}
		c.Deadline = time.Duration(ms) * time.Millisecond
	}
	return c, nil
}

func (testProtocol) Header(caller http.Header, _ Call, s Send) http.Header {
	h := caller.Clone()
	h.Del("Key")
	h.Del("Content-Length")
	h.Set("Endpoint", s.EndpointID)
	h.Set("Workspace", s.Workspace)
	h.Set("Left-Ms", strconv.FormatInt(s.Remaining.Milliseconds(), 10))
	h.Set("After", s.LastEventID)
	return h
}

func (testProtocol) Verdict(res *http.Response) Verdict {
	switch {
	case res.StatusCode == http.StatusMisdirectedRequest:
		return WrongEndpoint
	case res.Header.Get("Not-Run") != "":
		return NotRun
	case res.StatusCode >= 500:
		return Failed
	}
	return Final
}

func (testProtocol) Reserve(_, id string, tokens int, _ time.Duration) *upstream.Request {
	return &upstream.Request{Method: "POST", Target: "/reserve/" + id + "/" + strconv.Itoa(tokens)}
}

func (testProtocol) Release(_, id string) *upstream.Request {
	return &upstream.Request{Method: "POST", Target: "/release/" + id}
}

func (testProtocol) Echo() string { return "Id" }

// testSource is a store whose content a test sets.
type testSource struct {
	mu        sync.Mutex
	config    *catalog.Configuration
	endpoints []catalog.Endpoint
	err       error
}

func (s *testSource) set(c *catalog.Configuration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config, s.err = c, err
}

func (s *testSource) Configuration(context.Context) (*catalog.Configuration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.err
}

func (s *testSource) Endpoints(context.Context) ([]catalog.Endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints, s.err
}

func (s *testSource) Gateways(context.Context) ([]string, error) { return nil, nil }

// bench is a gateway before scripted endpoints.
type bench struct {
	t       *testing.T
	gateway *Gateway
	source  *testSource
	url     string
	play    script

	mu   sync.Mutex
	seen []*http.Request // at all endpoints, in the order of arrival
}

// script answers one request of an endpoint; n counts the requests at all
// endpoints from 1.
type script func(n int, w *bufio.Writer, c *net.TCPConn, r *http.Request)

func testConfig(version uint64) *catalog.Configuration {
	route := func(name string, k catalog.Kind, resumable bool) catalog.Route {
		return catalog.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: k, Resumable: resumable, MaxAttempts: 2,
			Timeout: 20 * time.Second, Objective: 10 * time.Second, Targets: []catalog.Target{{Service: "s", Weight: 1}}}
	}
	return &catalog.Configuration{
		Version:      version,
		Routes:       []catalog.Route{route("safe", catalog.Safe, false), route("once", catalog.Unsafe, false), route("stream", catalog.Streaming, true), route("story", catalog.Streaming, false)},
		Services:     []catalog.Service{{Name: "s"}},
		Workspaces:   []catalog.Workspace{{Name: "w", Keys: []string{"k"}}},
		KeysRequired: true,
	}
}

// newBench starts a gateway before two endpoints that play the script.
func newBench(t *testing.T, play script) *bench {
	t.Helper()
	b := &bench{t: t, play: play, source: &testSource{config: testConfig(1)}}
	for _, id := range []string{"a", "b"} {
		b.source.endpoints = append(b.source.endpoints, catalog.Endpoint{ID: id, Service: "s", Address: b.endpoint(play), Slots: 4})
	}
	events := eventlog.New(io.Discard, eventlog.Options{Level: log.InfoLevel, LinesPerSecond: 100})
	b.gateway = New(Config{
		Name: "g", RevokeAfter: time.Minute, DrainTime: time.Minute, Policy: balance.Default(),
		Retries: limits.WindowConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}, Deps{
		Protocol: testProtocol{}, Source: b.source, Log: events, Metrics: metrics.NewSet(),
		Endpoints: upstream.New(upstream.Options{DialTimeout: 5 * time.Second, MaxIdle: time.Minute, IdlePerHost: 4}),
	})
	front := httptest.NewServer(b.gateway)
	b.url = front.URL
	t.Cleanup(func() { front.Close(); b.gateway.Close(); events.Close(time.Second) })
	return b
}

// know makes the gateway read its source once.
func (b *bench) know() {
	b.t.Helper()
	if err := b.gateway.readConfiguration(time.Now()); err != nil {
		b.t.Fatal(err)
	}
	list, _ := b.source.Endpoints(b.t.Context())
	b.gateway.state.Listed(list, time.Now(), time.Time{})
}

func (b *bench) endpoint(play script) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c.(*net.TCPConn), play)
		}
	}()
	return l.Addr().String()
}

func (b *bench) serve(c *net.TCPConn, play script) {
	defer c.Close()
	br, bw := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		b.mu.Lock()
		b.seen = append(b.seen, r)
		n := len(b.seen)
		b.mu.Unlock()
		play(n, bw, c, r)
		if bw.Flush() != nil {
			return
		}
	}
}

// request returns the nth request that arrived, counted from 0.
func (b *bench) request(n int) *http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen[n]
}

func (b *bench) arrivals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

// ask sends a request with a good key to the gateway.
func (b *bench) ask(ctx context.Context, method, path, body string, header http.Header) reply {
	b.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, b.url+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	for name, values := range header {
		r.Header[name] = values
	}
	res, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	p, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(p), err}
}

// answer writes a whole answer.
func answer(w *bufio.Writer, status, header, body string) {
	_, _ = w.WriteString("HTTP/1.1 " + status + "\r\nId: r1\r\n" + header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// reset breaks the connection without an answer.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func TestRelayIsUnchanged(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		answer(w, "203 Fine", "Seal: x\r\nTwice: 1\r\nTwice: 2\r\nKeep-Alive: timeout=5\r\n", "body")
	})
	b.know()
	got := b.ask(t.Context(), "POST", "/safe/%2F/x?q=%20&q", "asked", http.Header{"Twice": {"1", "2"}})
	is.NoErr(got.err)
	is.Equal(got.status, 203)
	is.Equal(got.body, "body")
	is.Equal(got.header["Twice"], []string{"1", "2"})
	is.Equal(got.header.Get("Keep-Alive"), "")
	sent := b.request(0)
	is.Equal(sent.RequestURI, "/safe/%2F/x?q=%20&q")
	is.Equal(sent.Host, "h.example")
	is.Equal(sent.Header["Twice"], []string{"1", "2"})
	is.Equal(sent.Header.Get("Workspace"), "w")
	is.Equal(sent.Header.Get("Key"), "")
	p, _ := io.ReadAll(sent.Body)
	is.Equal(string(p), "asked")
}

// TestFaults: what a caller gets and how often endpoints are asked, by route and
// fault of the first send.
func TestFaults(t *testing.T) {
	reset := func(_ *bufio.Writer, c *net.TCPConn) { reset(c) }
	full := func(w *bufio.Writer, _ *net.TCPConn) { answer(w, "503 Full", "Not-Run: 1\r\n", "") }
	failed := func(w *bufio.Writer, _ *net.TCPConn) { answer(w, "500 Failed", "", "why") }
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
			b := newBench(t, func(n int, w *bufio.Writer, c *net.TCPConn, _ *http.Request) {
				if n == 1 {
					tc.fault(w, c)
					return
				}
				answer(w, "200 OK", "", "second\n\n")
			})
			b.know()
			got := b.ask(t.Context(), "POST", tc.path, "", nil)
			is.Equal(got.status, tc.status)
			is.Equal(got.body, tc.body)
			is.Equal(got.err != nil, tc.broken)
			is.Equal(b.arrivals(), tc.arrivals)
		})
	}
}

// TestAllFull: a request that no endpoint took is refused with a time to come
// back, after as many sends as its route allows.
func TestAllFull(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		answer(w, "503 Full", "Not-Run: 1\r\nSeal: x\r\n", "")
	})
	b.know()
	got := b.ask(t.Context(), "POST", "/once/", "", nil)
	is.Equal(got.status, 503)
	is.Equal(got.header.Get("Seal"), "")
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(b.arrivals(), 2)
}

// TestStreamGoesOn: a stream that breaks inside an event goes on at the other
// endpoint after the last whole event, under the head of the first.
func TestStreamGoesOn(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(n int, w *bufio.Writer, c *net.TCPConn, _ *http.Request) {
		_, _ = w.WriteString("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: " + strconv.Itoa(n) + "\r\nTransfer-Encoding: chunked\r\n\r\n")
		if n == 1 {
			_, _ = w.WriteString("17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n")
			_ = w.Flush()
			_ = c.Close()
			return
		}
		_, _ = w.WriteString("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
	})
	b.know()
	got := b.ask(t.Context(), "POST", "/stream/", "", nil)
	is.NoErr(got.err)
	is.Equal(got.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.Equal(got.header.Get("Seal"), "1")
	is.Equal(b.request(1).Header.Get("After"), "1")
	is.True(b.request(0).Header.Get("Endpoint") != b.request(1).Header.Get("Endpoint"))
}

// TestStreamNotResumedForever: a stream that breaks at each endpoint is cut for
// the caller, so that it does not look whole.
func TestStreamNotResumedForever(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(n int, w *bufio.Writer, c *net.TCPConn, _ *http.Request) {
		_, _ = w.WriteString("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nid: " + strconv.Itoa(n) + "\ndata: a\n\nid:")
		_ = w.Flush()
		_ = c.Close()
	})
	b.know()
	got := b.ask(t.Context(), "POST", "/stream/", "", nil)
	is.True(got.err != nil)
	is.Equal(got.body, "id: 1\ndata: a\n\nid: 2\ndata: a\n\n")
	is.Equal(b.arrivals(), 2)
}

// TestWrongEndpoint: an endpoint whose address another incarnation has is not
// sent to again.
func TestWrongEndpoint(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, r *http.Request) {
		if r.Header.Get("Endpoint") == "a" {
			answer(w, "421 Misdirected", "", "")
			return
		}
		answer(w, "200 OK", "", "")
	})
	b.know()
	for range 3 {
		got := b.ask(t.Context(), "POST", "/once/", "", nil)
		is.Equal(got.status, 200)
	}
	is.Equal(b.arrivals(), 4)
}

func TestDenied(t *testing.T) {
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { answer(w, "200 OK", "", "") })
	if got := b.ask(t.Context(), "GET", "/safe/", "", nil); got.status != 503 {
		t.Fatalf("before a configuration: %d", got.status)
	}
	b.know()
	cases := []struct {
		path   string
		header http.Header
		status int
	}{
		{"/none/", nil, 404},
		{"/safe/", http.Header{"Key": {"other"}}, 401},
		{"/safe/", http.Header{"Key": nil}, 401},
		{"/safe/", http.Header{"Wait-Ms": {"x"}}, 400},
	}
	for _, tc := range cases {
		if got := b.ask(t.Context(), "GET", tc.path, "", tc.header); got.status != tc.status {
			t.Errorf("%s %v: %d, want %d", tc.path, tc.header, got.status, tc.status)
		}
	}
	if n := b.arrivals(); n != 0 {
		t.Errorf("%d requests arrived", n)
	}
}

// TestNoProof: without a young proof of the configuration nothing is sent for a
// key, and unknown routes and keys are not called unknown.
func TestNoProof(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { answer(w, "200 OK", "", "") })
	b.gateway.state.Take(testConfig(1))
	b.gateway.state.Prove(1, time.Now().Add(-time.Hour))
	for _, path := range []string{"/safe/", "/none/"} {
		got := b.ask(t.Context(), "GET", path, "", nil)
		is.Equal(got.status, 503)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(b.arrivals(), 0)
}

// TestKeyWithdrawnBetweenSends: a second send is not made for a key that was
// withdrawn after the first.
func TestKeyWithdrawnBetweenSends(t *testing.T) {
	is := is.New(t)
	var b *bench
	b = newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		c := testConfig(2)
		c.Workspaces = nil
		b.source.set(c, nil)
		_ = b.gateway.readConfiguration(time.Now())
		answer(w, "503 Full", "Not-Run: 1\r\n", "")
	})
	b.know()
	got := b.ask(t.Context(), "GET", "/safe/", "", nil)
	is.Equal(got.status, 401)
	is.Equal(b.arrivals(), 1)
}

// TestKeyWithdrawnWhileWaiting: a request that waited for an endpoint is not sent
// for a key that was withdrawn meanwhile.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { answer(w, "200 OK", "", "") })
	is.NoErr(b.gateway.readConfiguration(time.Now())) // no endpoint is known yet
	answers := make(chan reply, 1)
	go func() { answers <- b.ask(t.Context(), "GET", "/safe/", "", nil) }()
	for b.gateway.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * queueStep) // it has looked for an endpoint
	c := testConfig(2)
	c.Workspaces = nil
	b.source.set(c, nil)
	b.know()
	is.Equal((<-answers).status, 401)
	is.Equal(b.arrivals(), 0)
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	b := newBench(t, func(int, *bufio.Writer, *net.TCPConn, *http.Request) { <-hold })
	defer close(hold)
	b.know()
	got := b.ask(t.Context(), "GET", "/safe/", "", http.Header{"Wait-Ms": {"200"}})
	is.Equal(got.status, 504)
	left, err := strconv.Atoi(b.request(0).Header.Get("Left-Ms"))
	is.NoErr(err)
	is.True(left <= 200)
	got = b.ask(t.Context(), "GET", "/safe/", "", http.Header{"Wait-Ms": {"1"}})
	is.Equal(got.status, 503) // not sent, so it has not run
	is.Equal(b.arrivals(), 1)
}

// TestNoMemoryAtOneEndpoint: a prompt that needs memory at helpers is placed
// without an endpoint that refused to set it aside.
func TestNoMemoryAtOneEndpoint(t *testing.T) {
	is := is.New(t)
	var b *bench
	var mu sync.Mutex
	refused, reserved := "", 0
	b = newBench(t, func(_ int, w *bufio.Writer, c *net.TCPConn, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch at := c.LocalAddr().String(); {
		case !strings.HasPrefix(r.RequestURI, "/reserve/"):
			answer(w, "200 OK", "", "")
		case refused == "" || refused == at:
			refused = at
			answer(w, "409 Conflict", "", "")
		default:
			reserved++
			answer(w, "200 OK", "", "")
		}
	})
	config := testConfig(1)
	config.Services[0].Engine = &catalog.Engine{Slots: 16, MemoryTokens: 1000, StepMs: 1, ReadPerMs: 10, Stride: 1}
	b.source.set(config, nil)
	for _, id := range []string{"c", "d", "e", "f", "g", "h"} {
		b.source.endpoints = append(b.source.endpoints, catalog.Endpoint{ID: id, Service: "s", Address: b.endpoint(b.play), Slots: 16})
	}
	b.know()
	got := b.ask(t.Context(), "POST", "/once/", "", http.Header{"Tokens": {"1500"}})
	is.Equal(got.status, 200)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(reserved, 1)
}

// TestCallerThatDoesNotRead: a caller that takes nothing of its answer holds its
// request no longer than its time.
func TestCallerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		_, _ = w.WriteString("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n")
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	b.know()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /story/ HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: k\r\nWait-Ms: 200\r\n\r\n")
	is.NoErr(err)
	for b.arrivals() == 0 || b.gateway.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestBodyMemory: bodies over the memory for them are refused as not run.
func TestBodyMemory(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { answer(w, "200 OK", "", "") })
	b.know()
	b.gateway.config.BodyMemory = 10
	is.Equal(b.ask(t.Context(), "POST", "/once/", "0123456789", nil).status, 200)
	got := b.ask(t.Context(), "POST", "/once/", "0123456789a", nil)
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(b.ask(t.Context(), "POST", "/once/", "0123456789", nil).status, 200)
	is.Equal(b.arrivals(), 2)
}

// TestCallerGone: the end of the caller's connection reaches the endpoint.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	arrived, closed := make(chan struct{}), make(chan struct{})
	b := newBench(t, func(_ int, _ *bufio.Writer, c *net.TCPConn, _ *http.Request) {
		close(arrived)
		_, err := c.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			close(closed)
		}
	})
	b.know()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	got := b.ask(ctx, "GET", "/safe/", "", nil)
	is.True(got.err != nil)
	<-closed
	is.Equal(b.arrivals(), 1)
}

// TestStop: a stop makes the gateway not ready at once and lets what is in
// flight end, on a connection that is closed after its answer.
func TestStop(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		close(arrived)
		<-release
		answer(w, "200 OK", "", "whole")
	})
	b.know()
	is.True(b.gateway.Ready())
	answers := make(chan reply, 1)
	go func() { answers <- b.ask(t.Context(), "POST", "/once/", "", nil) }()
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
