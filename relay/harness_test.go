package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/upstream"
)

// testProtocol is a Protocol with header fields of its own.
type testProtocol struct{}

func (testProtocol) Call(h http.Header) (Call, error) {
	c := Call{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("After"), SharedParts: h["Parts"]}
	if text := h.Get("Tokens"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return c, err
		}
		c.PromptTokens = n
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

func (testProtocol) Header(caller http.Header, _ Call, s AttemptFields) http.Header {
	h := caller.Clone()
	h.Del("Key")
	h.Del("Content-Length")
	h.Set("Endpoint", s.EndpointID)
	h.Set("Workspace", s.Workspace)
	h.Set("Left-Ms", strconv.FormatInt(s.Remaining.Milliseconds(), 10))
	h.Set("After", s.LastEventID)
	for _, helper := range s.Helpers {
		h.Add("Helper", helper.Address)
		if helper.Reservation != "" {
			h.Add("Reservation", helper.Reservation)
		}
	}
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

func (testProtocol) FaultyEndpoint(res *http.Response) string { return res.Header.Get("Fault") }

func (testProtocol) Statement(res *http.Response) (s availability.Statement, err error) {
	if text := res.Header.Get("Limit"); text != "" {
		s.Limit.Set = true
		s.Limit.PerSecond, err = strconv.ParseFloat(text, 64)
	}
	s.Draining = res.Header.Get("Leaves") != ""
	if text := res.Header.Get("Rest-Ms"); text != "" {
		ms, _ := strconv.Atoi(text) // 0 if it is not a number
		s.Backoff = time.Duration(ms) * time.Millisecond
	}
	return s, err
}

func (testProtocol) Report(id string) *upstream.Request {
	return &upstream.Request{Method: "GET", Target: "/report", Header: http.Header{"Endpoint": {id}}}
}

func (testProtocol) HealthCheck(id, path string) *upstream.Request {
	return &upstream.Request{Method: "GET", Target: path, Header: http.Header{"Endpoint": {id}}}
}

func (testProtocol) ReadReport(res *http.Response) (r EndpointReport, ok bool, err error) {
	r.Slowdown, err = strconv.ParseFloat(res.Header.Get("Pace"), 64)
	r.Waiting, _ = strconv.Atoi(res.Header.Get("Waiting")) // 0 if it is not given
	r.Running, _ = strconv.Atoi(res.Header.Get("Running"))
	r.Reservations = make(map[string]ReservationState)
	for _, id := range res.Header["Idle"] {
		r.Reservations[id] = ReservationIdle
	}
	for _, id := range res.Header["Used"] {
		r.Reservations[id] = ReservationUsed
	}
	return r, err == nil, err
}

func (testProtocol) Reserve(_, id string, tokens int, hold time.Duration) *upstream.Request {
	return &upstream.Request{Method: "POST", Target: fmt.Sprintf("/reserve/%s/%d/%d", id, tokens, hold.Milliseconds())}
}

func (testProtocol) Release(_, id string) *upstream.Request {
	return &upstream.Request{Method: "POST", Target: "/release/" + id}
}

func (testProtocol) EchoedHeader() string { return "Id" }

// testSource is a store whose content is set by the test.
type testSource struct {
	mu          sync.Mutex
	config      *catalog.Configuration
	endpoints   []catalog.Endpoint
	err         error
	era         uint64
	settledEra  uint64 // as stored
	evacuations catalog.Evacuations
	unchanged   bool // whether the configuration is the one that was returned last
	stored      map[quarantine.Fingerprint]quarantine.Entry
}

func (s *testSource) setConfiguration(c *catalog.Configuration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config, s.err = c, err
}

func (s *testSource) OperatorSettings(context.Context) (OperatorSettings, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unchanged {
		return OperatorSettings{}, s.err
	}
	return OperatorSettings{Configuration: s.config, Evacuations: s.evacuations}, s.err
}

func (s *testSource) Endpoints(context.Context) ([]catalog.Endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints, s.err
}

func (s *testSource) Quarantined(context.Context) ([]quarantine.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.stored)), s.err
}

func (s *testSource) StoreQuarantined(_ context.Context, e quarantine.Entry, _ time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stored == nil {
		s.stored = make(map[quarantine.Fingerprint]quarantine.Entry)
	}
	s.stored[e.Fingerprint] = e
	return s.err
}

func (s *testSource) storedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.stored)
}

func (s *testSource) DropQuarantined(_ context.Context, f quarantine.Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stored, f)
	return s.err
}

func (s *testSource) StoreEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *testSource) SettledEra(context.Context) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settledEra, s.err
}

func (s *testSource) RecordSettledEra(_ context.Context, era uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settledEra = era
	return s.err
}

// restore increments the era of the store and replaces its content.
func (s *testSource) restore(c *catalog.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config, s.stored = c, nil
	s.era++
}

func (s *testSource) Announce(context.Context) error { return nil }

func (s *testSource) Gateways(context.Context) ([]peers.Member, error) { return nil, nil }

// testGateway is a gateway with scripted endpoints.
type testGateway struct {
	t       *testing.T
	gateway *Gateway
	source  *testSource
	url     string
	script  endpointScript

	mu        sync.Mutex
	requests  []*http.Request // at all endpoints, in the order of arrival
	listeners map[string]net.Listener

	suspended atomic.Int64 // how long the gateway's host was suspended, in nanoseconds
}

// endpointScript answers one request to an endpoint; n counts the requests to all endpoints from 1.
type endpointScript func(n int, w *bufio.Writer, c *net.TCPConn, r *http.Request)

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

// newTestGateway starts a gateway with two endpoints that run the script.
func newTestGateway(t *testing.T, script endpointScript) *testGateway {
	t.Helper()
	b := &testGateway{t: t, script: script, source: &testSource{config: testConfig(1)}, listeners: make(map[string]net.Listener)}
	for _, id := range []string{"a", "b"} {
		b.source.endpoints = append(b.source.endpoints, catalog.Endpoint{ID: id, Service: "s", Address: b.startEndpoint(script), Slots: 4})
	}
	events := eventlog.New(io.Discard, eventlog.Options{Level: log.InfoLevel, LinesPerSecond: 100})
	b.gateway = New(Config{
		Name: "g", RevokeAfter: time.Minute, DrainTime: time.Minute, Policy: balance.Default(),
		Retries: limits.RetryWindowConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}, Deps{
		Protocol: testProtocol{}, Source: b.source, Log: events, Metrics: metrics.NewSet(),
		Suspended: func() time.Duration { return time.Duration(b.suspended.Load()) },
		Endpoints: upstream.New(upstream.Options{DialTimeout: 5 * time.Second, MaxIdle: time.Minute, IdlePerHost: 4}),
	})
	front := httptest.NewServer(b.gateway)
	b.url = front.URL
	t.Cleanup(func() { front.Close(); b.gateway.Close(); events.Close(time.Second) })
	return b
}

// suspend adds time that the monotonic clock of the gateway's host does not count.
func (b *testGateway) suspend(d time.Duration) { b.suspended.Add(int64(d)) }

// readSource makes the gateway read its source once.
func (b *testGateway) readSource() {
	b.t.Helper()
	if err := b.gateway.readConfiguration(time.Now()); err != nil {
		b.t.Fatal(err)
	}
	list, _ := b.source.Endpoints(b.t.Context())
	b.gateway.state.ApplyList(list, time.Now(), time.Now(), time.Time{})
}

// configureEngines turns the service into one of engines with this much memory, adds endpoints to
// it, and makes the gateway read its source once.
func (b *testGateway) configureEngines(memoryTokens int, ids ...string) {
	b.t.Helper()
	config := testConfig(1)
	config.Services[0].Engine = &catalog.Engine{Slots: 16, MemoryTokens: memoryTokens, StepMs: 1, ReadPerMs: 10, Stride: 1}
	b.source.setConfiguration(config, nil)
	for _, id := range ids {
		b.source.endpoints = append(b.source.endpoints, catalog.Endpoint{ID: id, Service: "s", Address: b.startEndpoint(b.script), Slots: 16})
	}
	b.readSource()
}

func (b *testGateway) startEndpoint(script endpointScript) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = l.Close() })
	b.mu.Lock()
	b.listeners[l.Addr().String()] = l
	b.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c.(*net.TCPConn), script)
		}
	}()
	return l.Addr().String()
}

func (b *testGateway) serve(c *net.TCPConn, script endpointScript) {
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
		b.requests = append(b.requests, r)
		n := len(b.requests)
		b.mu.Unlock()
		script(n, bw, c, r)
		if bw.Flush() != nil {
			return
		}
	}
}

// crashEndpoint crashes the endpoint at the local end of c: its listener is closed and the
// connection reset.
func (b *testGateway) crashEndpoint(c *net.TCPConn) {
	b.mu.Lock()
	_ = b.listeners[c.LocalAddr().String()].Close()
	b.mu.Unlock()
	reset(c)
}

// requestAt returns the nth request that arrived, counted from 0.
func (b *testGateway) requestAt(n int) *http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests[n]
}

func (b *testGateway) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

type response struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

// send sends a request with a valid key to the gateway.
func (b *testGateway) send(ctx context.Context, method, path, body string, header http.Header) response {
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
		return response{err: err}
	}
	defer res.Body.Close()
	p, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header, string(p), err}
}

// sendHead sends the head of a request with a valid key over a connection of its own, which fails reads after some
// seconds and is closed with the test.
func (b *testGateway) sendHead(methodAndPath, header string) *net.TCPConn {
	b.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, methodAndPath+" HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: k\r\n"+header+"\r\n"); err != nil {
		b.t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// writeResponse writes a complete response.
func writeResponse(w *bufio.Writer, status, header, body string) {
	_, _ = w.WriteString("HTTP/1.1 " + status + "\r\nId: r1\r\n" + header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// reset resets the connection without a response.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
