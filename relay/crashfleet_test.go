package relay

import (
	"bufio"
	"bytes"
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
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/quarantine"
)

const (
	crashPath = "/crash" // path of the request that crashes each engine that starts it
	crashPart = "bad"    // part of prompts that crashes each engine that starts them
	// startDelay is how long an engine usually takes to start a request, and crashDelay how long a
	// request that crashes it runs before the crash.
	startDelay = 100 * time.Millisecond
	crashDelay = 70 * time.Millisecond
	// restartDelay is how long after a crash the engine runs again, under a new name; its old entry
	// is removed entryTTL after the crash.
	restartDelay = 3 * time.Second
	entryTTL     = 2500 * time.Millisecond
	// streamEvents is the number of events in a stream, and eventInterval the time between two.
	streamEvents  = 12
	eventInterval = 50 * time.Millisecond
	// dialHang is how long connections to silent engines hang.
	dialHang = 250 * time.Millisecond
)

// crashFleet is a fleet under virtual time whose engines answer requests and crash when they run
// one particular request.
type crashFleet struct {
	*testFleet
	t *testing.T
	// startDelay is how long an engine takes to start a request.
	startDelay time.Duration
	// byPart makes all requests with crashPart crash engines, no two of which are alike, instead of the copies
	// of one request.
	byPart bool
	// crashPrefix is what an engine sends of a response before it crashes.
	crashPrefix string

	// beforeEvent is called before an engine writes the nth event of a stream; it may be nil.
	beforeEvent func(e *scriptedEngine, n int)
	// event returns the nth event of a stream; n is 0 for what is sent before the first one.
	event func(n int) string
	// rejects and breaks report whether an engine answers that it does not run a request, and whether it breaks
	// the connection instead of an answer; they may be nil.
	rejects, breaks func(*http.Request) bool
	// rejectHeader holds additional header lines of rejections, and breakDelay is the time before a break.
	rejectHeader string
	breakDelay   time.Duration
	// silent makes connections to engines hang.
	silent atomic.Bool
	// unreadLimit is the time after which an engine cuts off a stream that is not read; 0: never.
	unreadLimit time.Duration

	// listDelay is how long after the restart of an engine its new entry is read.
	listDelay time.Duration

	// immune is the address of an engine that does not crash, and immuneStatus its response to the
	// request that crashes the others; empty: there is none.
	immune, immuneStatus string

	mu             sync.Mutex
	engines        map[string]*scriptedEngine // by address
	attempts       []time.Time                // of the crashing request, at any engine
	crashes        []time.Time                // of engines that started it
	brokenHarmless int                        // harmless requests that were on these engines
	arrivals       []time.Time                // of all requests, at any engine
	lastEventAt    time.Time                  // when an engine last wrote an event

	refusedCrashing int // attempts of the crashing request that were refused
}

// scriptedEngine is one engine; it gets a new name at each start.
type scriptedEngine struct {
	catalog.Endpoint
	starts int
	down   bool
	listed bool
	conns  map[net.Conn]bool // true: it carries a harmless request
}

func newCrashFleet(t *testing.T, dataCentres, gateways, engines int) *crashFleet {
	c := &crashFleet{testFleet: newFleet(t, dataCentres, gateways, engines), t: t, startDelay: startDelay, event: identifiedEvent, engines: make(map[string]*scriptedEngine)}
	for _, e := range c.gateways[0].state.Endpoints("s") {
		c.engines[e.Address] = &scriptedEngine{Endpoint: e, listed: true, conns: make(map[net.Conn]bool)}
	}
	c.dialOverride = func(_ int, address string) (net.Conn, error) {
		if c.silent.Load() {
			time.Sleep(dialHang)
		}
		return c.dialEngine(address)
	}
	return c
}

// dialEngine connects to the engine at an address.
func (c *crashFleet) dialEngine(address string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[address]
	if e.down {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	e.conns[server] = false
	go c.serve(e, server)
	return client, nil
}

// serve answers the requests of one connection.
func (c *crashFleet) serve(e *scriptedEngine, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !c.answer(e, conn, r) {
			return
		}
	}
}

// answer answers one request. It reports false when the connection must be closed.
func (c *crashFleet) answer(e *scriptedEngine, conn net.Conn, r *http.Request) bool {
	crashing := strings.HasPrefix(r.URL.Path, crashPath) || slices.Contains(r.Header["Parts"], crashPart)
	c.mu.Lock()
	id := e.ID
	if r.Header.Get("Endpoint") != id {
		c.mu.Unlock()
		_, err := fmt.Fprint(conn, "HTTP/1.1 421 Misdirected Request\r\nId: ", r.Header.Get("Id"), "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if r.URL.Path == "/report" {
		c.mu.Unlock()
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nPace: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	c.arrivals = append(c.arrivals, time.Now())
	if crashing {
		c.attempts = append(c.attempts, time.Now())
	}
	e.conns[conn] = !crashing
	c.mu.Unlock()
	if c.rejects != nil && c.rejects(r) {
		_, err := fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nId: ", r.Header.Get("Id"), "\r\nNot-Run: 1\r\n", c.rejectHeader, "Content-Length: 0\r\n\r\n")
		return err == nil
	}
	if c.breaks != nil && c.breaks(r) {
		time.Sleep(c.breakDelay)
		return false
	}
	time.Sleep(c.startDelay)
	if crashing && c.immune == e.Address {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", c.immuneStatus, r.Header.Get("Id"))
		return err == nil
	}
	if crashing {
		time.Sleep(crashDelay)
		if c.crashPrefix != "" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), c.crashPrefix)
		}
		c.crash(e, id)
		return false
	}
	ok := c.stream(e, conn, r)
	c.mu.Lock()
	e.conns[conn] = false
	c.mu.Unlock()
	return ok
}

// stream sends the events that follow the one named in the request.
func (c *crashFleet) stream(e *scriptedEngine, conn net.Conn, r *http.Request) bool {
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id")); err != nil {
		return false
	}
	after, _ := strconv.Atoi(r.Header.Get("After"))
	if !c.writeChunk(conn, c.event(0)) {
		return false
	}
	for n := after + 1; n <= streamEvents; n++ {
		if c.beforeEvent != nil {
			c.beforeEvent(e, n)
		}
		if !c.writeChunk(conn, c.event(n)) {
			return false
		}
		c.mu.Lock()
		c.lastEventAt = time.Now()
		c.mu.Unlock()
		time.Sleep(eventInterval)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// identifiedEvent is the nth event of a stream that can be resumed.
func identifiedEvent(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("id: %d\n\n", n)
}

// writeChunk writes a part of a stream. It reports false when the connection must be closed.
func (c *crashFleet) writeChunk(conn net.Conn, text string) bool {
	if text == "" {
		return true
	}
	if c.unreadLimit > 0 {
		_ = conn.SetWriteDeadline(time.Now().Add(c.unreadLimit))
	}
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// crash crashes an engine that still has the given name; it restarts after restartDelay.
func (c *crashFleet) crash(e *scriptedEngine, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.down || e.ID != id {
		return
	}
	e.down = true
	c.crashes = append(c.crashes, time.Now())
	for conn, harmless := range e.conns {
		_ = conn.Close()
		if harmless {
			c.brokenHarmless++
		}
	}
	e.conns = make(map[net.Conn]bool)
	if c.listDelay == 0 { // else the old entry remains until the new one is read
		time.AfterFunc(entryTTL, func() { c.update(func() { e.listed = false }) })
	}
	time.AfterFunc(restartDelay, func() {
		restarted := func() {
			e.starts++
			e.ID = fmt.Sprintf("%s.%d", strings.SplitN(e.ID, ".", 2)[0], e.starts)
			e.down, e.listed = false, true
		}
		if c.listDelay == 0 {
			c.update(restarted)
			return
		}
		c.mu.Lock()
		restarted()
		c.mu.Unlock()
		time.AfterFunc(c.listDelay, func() { c.update(func() {}) })
	})
}

// update modifies an engine and passes the new list to all gateways.
func (c *crashFleet) update(do func()) {
	c.mu.Lock()
	do()
	list := c.list()
	gateways := slices.Clone(c.gateways)
	c.mu.Unlock()
	applyList(list, gateways...)
}

// applyList makes gateways use a list of endpoints that was read now.
func applyList(list []catalog.Endpoint, gateways ...*Gateway) {
	for _, g := range gateways {
		for _, changed := range g.state.ApplyList(list, time.Now(), time.Now(), time.Time{}) {
			g.handleEndpointChange(changed)
		}
	}
}

// callResult is what a caller got from one request.
type callResult struct {
	status     int
	lastID     int // of the newest event
	complete   bool
	retryAfter time.Duration
}

// attempt sends one request to one of the fleet's gateways.
func (c *crashFleet) attempt(gateway int, path string, after int) callResult {
	return c.attemptAt(c.gateways[gateway], path, after)
}

// attemptAt sends one request to the given gateway.
func (c *crashFleet) attemptAt(g *Gateway, path string, after int) callResult {
	return c.attemptWithin(c.t.Context(), g, path, after)
}

// attemptWithin is attemptAt for a caller that leaves when ctx ends.
func (c *crashFleet) attemptWithin(ctx context.Context, g *Gateway, path string, after int) callResult {
	return c.attemptPrompt(ctx, g, path, nil, after)
}

// attemptPrompt is attemptWithin for a prompt with the given shared parts.
func (c *crashFleet) attemptPrompt(ctx context.Context, g *Gateway, path string, parts []string, after int) (out callResult) {
	if c.byPart && path == crashPath {
		path, parts = fmt.Sprint("/prompt/", time.Now().UnixNano()), []string{crashPart}
	}
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
		out.status = w.Code
		out.lastID = max(after, after+strings.Count(w.Body.String(), "\n\n"))
		seconds, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		out.retryAfter = time.Duration(seconds * float64(time.Second))
	}()
	r := httptest.NewRequestWithContext(ctx, "POST", path, bytes.NewBufferString("text of "+path))
	r.Host = "h"
	r.Header = http.Header{"Id": {"r"}, "Tokens": {"5000"}, "Wait-Ms": {"10000"}}
	if len(parts) > 0 {
		r.Header["Parts"] = parts
	}
	if after > 0 {
		r.Header.Set("After", strconv.Itoa(after))
	}
	g.ServeHTTP(w, r)
	if path == crashPath && w.Code == http.StatusServiceUnavailable {
		c.mu.Lock()
		c.refusedCrashing++
		c.mu.Unlock()
	}
	return callResult{complete: true}
}

// fingerprint returns the fingerprint of the requests that attempt sends to a path.
func (c *crashFleet) fingerprint(path string) quarantine.Fingerprint {
	r := quarantine.Request{Method: "POST", Host: "h", Target: path, Body: []byte("text of " + path)}
	return r.Fingerprint()
}

// busyEngines returns the engines that have harmless requests, in the order of their addresses, with their names.
func (c *crashFleet) busyEngines() (engines []*scriptedEngine, ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range slices.Sorted(maps.Keys(c.engines)) {
		e := c.engines[address]
		if slices.Contains(slices.Collect(maps.Values(e.conns)), true) {
			engines, ids = append(engines, e), append(ids, e.ID)
		}
	}
	return engines, ids
}

// crashBusy crashes that many engines that have harmless requests, and fails the test if there are fewer.
func (c *crashFleet) crashBusy(n int) {
	c.t.Helper()
	engines, ids := c.busyEngines()
	if len(engines) < n {
		c.t.Fatalf("%d engines have requests, of which %d must crash", len(engines), n)
	}
	for i, e := range engines[:n] {
		c.crash(e, ids[i])
	}
}

// restartedGateways returns as many new gateways as the fleet has, without any state and without
// peers.
func (c *crashFleet) restartedGateways() []*Gateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Gateway
	for _, old := range c.gateways {
		deps := old.deps
		deps.Metrics = metrics.NewSet()
		g := New(old.config, deps)
		g.state.ApplyConfiguration(c.table.Configuration)
		g.state.ApplyList(c.list(), time.Now(), time.Now(), time.Time{})
		c.t.Cleanup(g.Close)
		out = append(out, g)
	}
	return out
}

// list returns the endpoints that have entries. The caller holds the lock.
func (c *crashFleet) list() []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, e := range c.engines {
		if e.listed {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// call sends a request as a caller does, with one retry at another gateway after a failure. It
// reports whether the response was complete, in one or two parts.
func (c *crashFleet) call(gateway int, path string) bool {
	first := c.attempt(gateway, path, 0)
	if first.complete && first.status == http.StatusOK {
		return true
	}
	time.Sleep(min(first.retryAfter, 3*time.Second))
	second := c.attempt((gateway+1)%len(c.gateways), path, first.lastID)
	return second.complete && second.status == http.StatusOK && second.lastID == streamEvents
}

// crashLoad describes the load that callers generate.
type crashLoad struct {
	duration         time.Duration
	harmlessInterval time.Duration
	crashInterval    time.Duration
}

// harmlessResult counts the harmless requests by result.
type harmlessResult struct{ sent, served int }

// run generates the load at all gateways in turn; a few of the callers are hit by each crash.
func (c *crashFleet) run(l crashLoad) harmlessResult {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var out harmlessResult
	end := time.Now().Add(l.duration)
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() { c.call(n%len(c.gateways), crashPath) })
			time.Sleep(l.crashInterval)
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		out.sent++
		wg.Go(func() {
			served := c.call(n%len(c.gateways), fmt.Sprint("/sound/", n))
			mu.Lock()
			defer mu.Unlock()
			if served {
				out.served++
			}
		})
		time.Sleep(l.harmlessInterval)
	}
	wg.Wait()
	return out
}

// attemptCount returns how often the crashing request reached an engine, and crashCount how many
// engines crashed.
func (c *crashFleet) attemptCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts)
}

func (c *crashFleet) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// contactTimeout is how long a gateway may be without messages from the others before it counts as
// partitioned.
const contactTimeout = 3 * time.Second

// attemptsAfterThird returns how many attempts of the crashing request reached engines later than
// contactTimeout after it had crashed three of them.
func (c *crashFleet) attemptsAfterThird() int { return c.attemptsAfter(3) }

// attemptsAfter returns how many crashing attempts reached engines later than contactTimeout after the
// nth crash.
func (c *crashFleet) attemptsAfter(nth int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < nth {
		return 0
	}
	n := 0
	for _, at := range c.attempts {
		if at.Sub(c.crashes[nth-1]) > contactTimeout {
			n++
		}
	}
	return n
}
