package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/upstream"
)

// endlessStreams is the endpoints' script for TestCallersThatStopReading: streams go on until their
// connection is closed, and other requests are answered at once.
type endlessStreams struct {
	begun, current, most atomic.Int64
}

func (e *endlessStreams) serve(_ int, w *bufio.Writer, _ *net.TCPConn, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		writeResponse(w, "200 OK", "", "")
		return
	}
	e.begun.Add(1)
	defer e.current.Add(-1)
	for n := e.current.Add(1); n > e.most.Load(); {
		e.most.CompareAndSwap(e.most.Load(), n)
	}
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n")
	event := "id: 1\ndata: " + strings.Repeat("x", 4000) + "\n\n"
	for {
		if _, err := w.WriteString(event); err != nil {
			return
		}
	}
}

// newSlowReaderGateway returns a gateway with room for that many requests that disconnects callers which
// do not read, and that serves its callers as in production.
func newSlowReaderGateway(t *testing.T, script endpointScript, room int64, timeout time.Duration) *testGateway {
	b := newTestGateway(t, script)
	g := b.gateway
	g.config.SlowReaderTimeout, g.config.HeldMemory = timeout, room*requestHeldBytes
	g.held = heldmemory.NewLedger(g.config.HeldMemory, requestHeldBytes, timeout/evictionDivisor)
	g.deps.Endpoints = upstream.New(upstream.Options{DialTimeout: 5 * time.Second, MaxIdle: time.Minute, IdlePerHost: 4, SlowReaderTimeout: timeout})
	for i := range b.source.endpoints {
		b.source.endpoints[i].Slots = 1 << 16
	}
	b.readSource()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = g.Serve(l) }()
	b.url = "http://" + l.Addr().String()
	return b
}

// stopReading sends a request for a stream and never reads the response.
func (b *testGateway) stopReading() net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		b.t.Error(err)
		return nil
	}
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = fmt.Fprint(c, "POST /stream/ HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	return c
}

// TestCallersThatStopReading guards against memory that grows with the number of callers that stop
// reading, against other callers that are not served meanwhile, and against counting what these callers
// cause as failures of endpoints.
func TestCallersThatStopReading(t *testing.T) {
	const (
		callers = 2000
		room    = 150
	)
	is := is.New(t)
	var endpoints endlessStreams
	b := newSlowReaderGateway(t, endpoints.serve, room, 400*time.Millisecond)
	g := b.gateway

	var stopped, others sync.WaitGroup
	var conns sync.Map
	var mostHeld int64
	for i := range 20 {
		stopped.Go(func() {
			for n := range callers / 20 {
				if c := b.stopReading(); c != nil {
					conns.Store(i*callers+n, c)
				}
			}
		})
	}
	var refusals atomic.Int64
	for range 4 {
		others.Go(func() {
			for endpoints.begun.Load() < room {
				time.Sleep(time.Millisecond)
			}
			for range 10 {
				for b.send(t.Context(), "POST", "/safe/", "", nil).status != http.StatusOK {
					refusals.Add(1)
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		stopped.Wait()
		others.Wait()
		for g.inFlight.Load() > 0 || endpoints.begun.Load()+int64(g.meter.heldRefusals.Get())-refusals.Load() < callers {
			time.Sleep(time.Millisecond)
		}
		close(done)
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		mostHeld = max(mostHeld, g.held.Held())
	}
	conns.Range(func(_, c any) bool { _ = c.(net.Conn).Close(); return true })
	t.Logf("%d streams, %d of them at once, %d refusals, of these %d of other callers", endpoints.begun.Load(), endpoints.most.Load(), g.meter.heldRefusals.Get(), refusals.Load())
	is.True(mostHeld <= g.config.HeldMemory)
	is.True(endpoints.most.Load() <= 2*room) // one that made room for another may not have ended yet
	is.Equal(g.held.Held(), int64(0))
	is.Equal(int64(g.meter.slowReaders.Get()), endpoints.begun.Load()) // each of them was disconnected
	for _, id := range []string{"a", "b"} {
		g.picker.mu.Lock()
		is.True(!g.picker.health.Suspect(id, time.Now()))
		g.picker.mu.Unlock()
	}
}
