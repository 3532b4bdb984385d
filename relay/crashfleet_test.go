package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/quarantine"
)

const (
	crashPath = "/crash" // of the request that ends each engine that begins it
	// beginTime is how long an engine usually takes until it begins a request, crashTime how
	// long one that crashes it runs then.
	beginTime = 100 * time.Millisecond
	crashTime = 70 * time.Millisecond
	// backTime is how long after a crash the engine runs again, under a new name; its old
	// entry lapses lapseTime after the crash.
	backTime  = 3 * time.Second
	lapseTime = 2500 * time.Millisecond
	// events is how many events a stream has, eventTime the time between two.
	events    = 12
	eventTime = 50 * time.Millisecond
)

// crashFleet is a fleet under virtual time whose engines answer requests, and end when they
// run one certain request.
type crashFleet struct {
	*testFleet
	t *testing.T
	// begin is how long an engine takes until it begins a request.
	begin time.Duration

	// bears is the address of an engine that does not crash, and bearsStatus what it answers
	// to the request that ends the others; empty: there is none.
	bears, bearsStatus string

	mu      sync.Mutex
	engines map[string]*scriptedEngine // by address
	sends   []time.Time                // of the crashing request, at any engine
	crashes []time.Time                // of engines that began it
	broken  int                        // sound requests that were on these

	refusedCrashing int // tries of the crashing request that were refused
}

// scriptedEngine is one engine; each start has a new name.
type scriptedEngine struct {
	catalog.Endpoint
	starts int
	down   bool
	listed bool
	conns  map[net.Conn]bool // true: a sound request is on it
}

func newCrashFleet(t *testing.T, dataCentres, gateways, engines int) *crashFleet {
	c := &crashFleet{testFleet: newFleet(t, dataCentres, gateways, engines), t: t, begin: beginTime, engines: make(map[string]*scriptedEngine)}
	for _, e := range c.gateways[0].state.Endpoints("s") {
		c.engines[e.Address] = &scriptedEngine{Endpoint: e, listed: true, conns: make(map[net.Conn]bool)}
	}
	c.connect = func(_ int, address string) (net.Conn, error) { return c.open(address) }
	return c
}

// open connects to the engine at an address.
func (c *crashFleet) open(address string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[address]
	if e.down {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	e.conns[far] = false
	go c.serve(e, far)
	return near, nil
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

// answer answers one request; it reports false when the connection is over.
func (c *crashFleet) answer(e *scriptedEngine, conn net.Conn, r *http.Request) bool {
	crashing := strings.HasPrefix(r.URL.Path, crashPath)
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
	if crashing {
		c.sends = append(c.sends, time.Now())
	}
	e.conns[conn] = !crashing
	c.mu.Unlock()
	time.Sleep(c.begin)
	if crashing && c.bears == e.Address {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", c.bearsStatus, r.Header.Get("Id"))
		return err == nil
	}
	if crashing {
		time.Sleep(crashTime)
		c.crash(e, id)
		return false
	}
	ok := stream(conn, r)
	c.mu.Lock()
	e.conns[conn] = false
	c.mu.Unlock()
	return ok
}

// stream sends the events after the one that the request names.
func stream(conn net.Conn, r *http.Request) bool {
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id")); err != nil {
		return false
	}
	after, _ := strconv.Atoi(r.Header.Get("After"))
	for n := after + 1; n <= events; n++ {
		event := fmt.Sprintf("id: %d\n\n", n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(eventTime)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// crash ends an engine that still has that name; it is back after a while.
func (c *crashFleet) crash(e *scriptedEngine, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.down || e.ID != id {
		return
	}
	e.down = true
	c.crashes = append(c.crashes, time.Now())
	for conn, sound := range e.conns {
		_ = conn.Close()
		if sound {
			c.broken++
		}
	}
	e.conns = make(map[net.Conn]bool)
	time.AfterFunc(lapseTime, func() { c.change(func() { e.listed = false }) })
	time.AfterFunc(backTime, func() {
		c.change(func() {
			e.starts++
			e.ID = fmt.Sprintf("%s.%d", strings.SplitN(e.ID, ".", 2)[0], e.starts)
			e.down, e.listed = false, true
		})
	})
}

// change changes an engine and tells all gateways the new list.
func (c *crashFleet) change(do func()) {
	c.mu.Lock()
	do()
	list := c.list()
	gateways := slices.Clone(c.gateways)
	c.mu.Unlock()
	for _, g := range gateways {
		for _, changed := range g.state.Listed(list, time.Now(), time.Now(), time.Time{}) {
			g.memberChanged(changed)
		}
	}
}

// got is what a caller got of one try.
type got struct {
	status     int
	lastID     int // of the newest event
	whole      bool
	retryAfter time.Duration
}

// try sends one request to one of the fleet's gateways.
func (c *crashFleet) try(gateway int, path string, after int) got {
	return c.tryAt(c.gateways[gateway], path, after)
}

// tryAt sends one request to a gateway.
func (c *crashFleet) tryAt(g *Gateway, path string, after int) (out got) {
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
	r := httptest.NewRequestWithContext(c.t.Context(), "POST", path, bytes.NewBufferString("text of "+path))
	r.Host = "h"
	r.Header = http.Header{"Id": {"r"}, "Tokens": {"5000"}, "Wait-Ms": {"10000"}}
	if after > 0 {
		r.Header.Set("After", strconv.Itoa(after))
	}
	g.ServeHTTP(w, r)
	if path == crashPath && w.Code == http.StatusServiceUnavailable {
		c.mu.Lock()
		c.refusedCrashing++
		c.mu.Unlock()
	}
	return got{whole: true}
}

// fingerprint returns the identity of the requests that try sends to a path.
func (c *crashFleet) fingerprint(path string) quarantine.Fingerprint {
	r := quarantine.Request{Method: "POST", Host: "h", Target: path, Body: []byte("text of " + path)}
	return r.Fingerprint()
}

// crashBusy ends that many engines on which requests are.
func (c *crashFleet) crashBusy(most int) {
	for _, e := range c.engines {
		c.mu.Lock()
		busy, id := false, e.ID
		for _, sound := range e.conns {
			busy = busy || sound
		}
		c.mu.Unlock()
		if busy && most > 0 {
			most--
			c.crash(e, id)
		}
	}
}

// freshGateways returns as many gateways as there are, which know nothing of before and hear
// nobody.
func (c *crashFleet) freshGateways() []*Gateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Gateway
	for _, old := range c.gateways {
		deps := old.deps
		deps.Metrics = metrics.NewSet()
		g := New(old.config, deps)
		g.state.Take(c.table.Configuration)
		g.state.Listed(c.list(), time.Now(), time.Now(), time.Time{})
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

// call sends a request as a caller does, which tries once more at another gateway after a
// failure. It reports whether the answer came whole, in one or two parts.
func (c *crashFleet) call(gateway int, path string) bool {
	first := c.try(gateway, path, 0)
	if first.whole && first.status == http.StatusOK {
		return true
	}
	time.Sleep(min(first.retryAfter, 3*time.Second))
	second := c.try((gateway+1)%len(c.gateways), path, first.lastID)
	return second.whole && second.status == http.StatusOK && second.lastID == events
}

// load is what callers ask for.
type load struct {
	length     time.Duration
	soundEvery time.Duration
	crashEvery time.Duration
}

// soundResult is what became of the sound requests.
type soundResult struct{ asked, served int }

// play lets callers ask at the gateways in turn; a few of them are hit by each crash.
func (c *crashFleet) play(l load) soundResult {
	var all sync.WaitGroup
	var mu sync.Mutex
	var out soundResult
	end := time.Now().Add(l.length)
	all.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			all.Go(func() { c.call(n%len(c.gateways), crashPath) })
			time.Sleep(l.crashEvery)
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		out.asked++
		all.Go(func() {
			served := c.call(n%len(c.gateways), fmt.Sprint("/sound/", n))
			mu.Lock()
			defer mu.Unlock()
			if served {
				out.served++
			}
		})
		time.Sleep(l.soundEvery)
	}
	all.Wait()
	return out
}

// sendCount returns how often the crashing request reached an engine, crashCount how many
// engines ended.
func (c *crashFleet) sendCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sends)
}

func (c *crashFleet) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// contactTime is how long a gateway may be without word of the others until it counts as
// out of touch.
const contactTime = 3 * time.Second

// sentAfterThird returns how many sends of the crashing request reached engines later than
// contactTime after it had ended three of them.
func (c *crashFleet) sentAfterThird() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range c.sends {
		if at.Sub(c.crashes[2]) > contactTime {
			n++
		}
	}
	return n
}
