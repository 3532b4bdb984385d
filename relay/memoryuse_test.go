package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/memoryuse"
	"github.com/micarudder/micarudder/upstream"
)

const (
	// maxUnused is how long memory may stay reserved without use.
	maxUnused = 9 * time.Second
	// maxUnusedAfterLastUse is how long it may stay reserved after the last request that used it.
	maxUnusedAfterLastUse = 4 * time.Second
)

// memoryTestGateway is a gateway with four engines under virtual time; a prompt of oversizePrompt
// tokens needs the memory of two of them.
type memoryTestGateway struct {
	gateway   *Gateway
	engines   *testEngines
	suspended atomic.Int64 // how long the gateway's host was suspended, in nanoseconds
}

const (
	engineMemory   = 1000
	oversizePrompt = 1500
)

// newMemoryTestGateway starts the gateway; it must be called in a synctest bubble.
func newMemoryTestGateway(t *testing.T, script engineScript) *memoryTestGateway {
	t.Helper()
	b := &memoryTestGateway{engines: newTestEngines(script)}
	events := eventlog.New(io.Discard, eventlog.Options{Level: log.InfoLevel, LinesPerSecond: 100})
	b.gateway = New(Config{
		Name: "g", UnusedMemory: maxUnused, DrainTime: time.Minute, Policy: balance.Default(),
		Retries: limits.RetryWindowConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}, Deps{
		Protocol: testProtocol{}, Log: events, Metrics: metrics.NewSet(),
		Suspended: func() time.Duration { return time.Duration(b.suspended.Load()) },
		Endpoints: upstream.New(upstream.Options{MaxIdle: time.Minute, IdlePerHost: 1, Dialer: b.engines.dial}),
	})
	t.Cleanup(func() { b.gateway.Close(); events.Close(time.Second) })
	config := testConfig(1)
	config.Services[0].Engine = &catalog.Engine{Slots: 16, MemoryTokens: engineMemory, StepMs: 1, ReadPerMs: 1, Stride: 1}
	for i := range config.Routes {
		config.Routes[i].Objective, config.Routes[i].Timeout = 4*time.Second, 15*time.Second
	}
	b.gateway.state.ApplyConfiguration(config)
	var list []catalog.Endpoint
	for i := range 4 {
		list = append(list, catalog.Endpoint{ID: string(rune('a' + i)), Service: "s", Address: addressOf(i), Slots: 16, Born: 1})
	}
	b.gateway.state.ApplyList(list, time.Now(), time.Now(), time.Time{})
	return b
}

// send sends an oversize prompt on a route and returns the response and how long it took.
func (b *memoryTestGateway) send(t *testing.T, route string) (*httptest.ResponseRecorder, time.Duration) {
	start := time.Now()
	w := httptest.NewRecorder()
	b.sendTo(t, route, w)
	return w, time.Since(start)
}

// sendTo sends an oversize prompt on a route and writes the response to w.
func (b *memoryTestGateway) sendTo(t *testing.T, route string, w http.ResponseWriter) {
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/"+route+"/1", strings.NewReader("x"))
	r.Host = "h.example"
	r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}, "Tokens": {strconv.Itoa(oversizePrompt)}, "Wait-Ms": {"15000"}}
	defer func() {
		if e := recover(); e != nil && e != http.ErrAbortHandler {
			panic(e)
		}
	}()
	b.gateway.ServeHTTP(w, r)
}

// completeResponse is the response that the scripts in this file send.
const completeResponse = "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"

// serveComplete uses the memory and sends the complete response.
func serveComplete(r *engineRun) {
	r.setUsed(true)
	time.Sleep(time.Second)
	r.writeHead()
	r.writeEvent(1)
	r.writeEvent(2)
	r.endStream()
}

// TestUnusedMemoryIsReleased: an engine never started a prompt that needs the memory of several
// engines, or its response was lost. The gateway took waiting for the response for use and renewed
// the reservations until the caller's deadline: memory stayed reserved without use for over 13 s,
// and over a tenth of the longest prompts was not served.
func TestUnusedMemoryIsReleased(t *testing.T) {
	// A prompt that needs the memory of several engines gets it reserved at all of them but the
	// decoding one, which it is sent to. In the failure, the engines with the memory reported it as
	// reserved and unused from the first second to the fourteenth, while the decoding engine had
	// neither this prompt in its queue nor other work. It happened twice within a second.
	first := func(script func(r *engineRun)) engineScript {
		return func(n int, r *engineRun) {
			if n == 1 {
				script(r)
				return
			}
			serveComplete(r)
		}
	}
	cases := []struct {
		name      string
		script    engineScript
		maxUnused time.Duration
	}{
		{"the engine never starts the prompt", first((*engineRun).hang), maxUnused},
		{"the answer is lost", first(func(r *engineRun) {
			r.setUsed(true)
			time.Sleep(2 * time.Second)
			r.setUsed(false)
			r.hang()
		}), maxUnusedAfterLastUse},
		{"the end of the stream is lost", first(func(r *engineRun) {
			r.setUsed(true)
			time.Sleep(2 * time.Second)
			r.writeHead()
			r.writeEvent(1)
			r.setUsed(false)
			r.hang()
		}), maxUnusedAfterLastUse},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newMemoryTestGateway(t, tc.script)
				w, took := b.send(t, "stream")
				t.Logf("status %d after %v, %d attempts, unused for %v", w.Code, took, b.engines.attempts(), b.engines.longestUnused())
				time.Sleep(maxUnusedAfterLastUse)
				unused, left := b.engines.memoryState()
				is.True(unused <= tc.maxUnused) // memory stayed reserved without use for too long
				is.Equal(left, 0)
				is.Equal(b.engines.attempts(), 2)
				is.Equal(w.Code, http.StatusOK) // from another engine, within the caller's deadline
				is.Equal(w.Body.String(), completeResponse)
			})
		})
	}
}

// TestSlowPromptKeepsItsMemory: a prompt keeps its reservation and its endpoint while it waits in a
// queue that moves, while its prefill takes long, and while its response pauses.
func TestSlowPromptKeepsItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryTestGateway(t, func(_ int, r *engineRun) {
			r.waitInQueue(4500 * time.Millisecond)
			r.setUsed(true)
			time.Sleep(5 * time.Second)
			r.writeHead()
			r.writeEvent(1)
			time.Sleep(4 * time.Second)
			r.writeEvent(2)
			r.endStream()
		})
		w, _ := b.send(t, "stream")
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.String(), completeResponse)
		is.Equal(b.engines.attempts(), 1)
		time.Sleep(time.Second)
		_, left := b.engines.memoryState()
		is.Equal(left, 0)
	})
}

// TestUnusedMemoryWithoutReports: if no endpoint answers whether its memory is in use, a prompt
// without a response keeps it no longer than allowed either.
func TestUnusedMemoryWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryTestGateway(t, func(n int, r *engineRun) {
			if n == 1 {
				r.hang()
				return
			}
			serveComplete(r)
		})
		b.engines.noReports = true
		w, _ := b.send(t, "stream")
		time.Sleep(maxUnusedAfterLastUse)
		unused, left := b.engines.memoryState()
		is.True(unused <= maxUnused)
		is.Equal(left, 0)
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.String(), completeResponse)
	})
}

// TestStreamKeepsItsMemoryWithoutReports: the events of a stream are evidence that its memory is in
// use, whether or not endpoints answer queries.
func TestStreamKeepsItsMemoryWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const events = 13
		b := newMemoryTestGateway(t, func(_ int, r *engineRun) {
			r.setUsed(true)
			r.writeHead()
			for id := range events {
				r.writeEvent(id + 1)
				time.Sleep(time.Second)
			}
			r.endStream()
		})
		b.engines.noReports = true
		w, _ := b.send(t, "stream")
		is.Equal(strings.Count(w.Body.String(), "data: "), events)
		is.Equal(b.engines.attempts(), 1)
	})
}

// TestUnusedMemoryOfAPromptThatMayRunOnce: if its endpoint does not use the memory, the caller of a
// prompt that must not be sent again is told that it may have run, before its deadline.
func TestUnusedMemoryOfAPromptThatMayRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryTestGateway(t, func(_ int, r *engineRun) { r.hang() })
		w, took := b.send(t, "story")
		is.Equal(w.Code, http.StatusBadGateway)
		is.True(took <= maxUnused)
		is.Equal(b.engines.attempts(), 1)
		time.Sleep(time.Second)
		unused, left := b.engines.memoryState()
		is.True(unused <= maxUnused)
		is.Equal(left, 0)
	})
}

// TestReleaseAfterSlowRenewal guards against memory that stays reserved after its release: the release
// overtook a renewal that was abandoned on its way, and the renewal reserved the memory again.
func TestReleaseAfterSlowRenewal(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, orderTimeout / 2, orderTimeout - time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newMemoryTestGateway(t, func(_ int, r *engineRun) { r.hang() })
			b.engines.renewalDelay = delay
			b.send(t, "story")
			time.Sleep(time.Second)
			_, left := b.engines.memoryState()
			is.Equal(left, 0)
			_, released := b.engines.orders()
			is.True(released > 0)
		})
	}
}

// TestRenewalSlowerThanItsTimeout guards against memory that is never given back, because a renewal is
// executed after the gateway has stopped waiting for its response: the reservation then expires.
func TestRenewalSlowerThanItsTimeout(t *testing.T) {
	for _, delay := range []time.Duration{orderTimeout + time.Millisecond, time.Second, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newMemoryTestGateway(t, func(_ int, r *engineRun) { r.hang() })
			b.engines.renewalDelay = delay
			b.send(t, "story")
			time.Sleep(delay + memoryuse.ReservationTTL + time.Millisecond)
			unused, left := b.engines.memoryState()
			is.Equal(left, 0)
			is.True(unused <= maxUnused)
		})
	}
}

// TestLateRenewalBeforeFreeze guards against memory that stays reserved without use for longer than allowed,
// because a renewal without evidence of use is executed late and its gateway is frozen before the release.
func TestLateRenewalBeforeFreeze(t *testing.T) {
	for _, limit := range []time.Duration{5 * time.Second, maxUnused} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newMemoryTestGateway(t, nil)
			b.gateway.config.UnusedMemory = limit
			b.engines.noReports, b.engines.renewalDelay = true, 1920*time.Millisecond
			first, _ := b.gateway.state.Endpoint("a")
			memory, err := b.gateway.reserve(t.Context(), "r", &placement{memoryDemands: []memoryDemand{{first, 100}}})
			is.NoErr(err)
			// The last tick before the release; then the gateway does nothing more.
			time.Sleep(limit - memoryuse.ReservationTTL - memoryuse.RenewInterval/2)
			memory.stopRenewal()
			time.Sleep(limit)
			unused, left := b.engines.memoryState()
			is.Equal(left, 0)
			is.True(unused <= limit)
		})
	}
}

// slowCaller is a caller that stops reading for a while after the first event.
type slowCaller struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

// Write implements io.Writer.
func (c *slowCaller) Write(p []byte) (int, error) {
	n, err := c.ResponseRecorder.Write(p)
	time.Sleep(c.pause)
	c.pause = 0
	return n, err
}

// TestSlowCallerReleasesMemory: a run is over and its memory unused while its caller does not read.
// The memory is released, and the rest of the response, which is ready, is still delivered.
func TestSlowCallerReleasesMemory(t *testing.T) {
	for _, route := range []string{"stream", "story"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newMemoryTestGateway(t, func(_ int, r *engineRun) {
				r.setUsed(true)
				r.writeHead()
				r.writeEvent(1)
				r.setUsed(false) // the rest of the response is in the connection
				r.writeEvent(2)
				r.endStream()
			})
			w := &slowCaller{httptest.NewRecorder(), 8 * time.Second}
			b.sendTo(t, route, w)
			is.Equal(w.Body.String(), completeResponse)
			is.Equal(b.engines.attempts(), 1)
			unused, left := b.engines.memoryState()
			is.True(unused <= maxUnusedAfterLastUse)
			is.Equal(left, 0)
		})
	}
}

// TestSuspendedGatewayDoesNotRenewMemory: a gateway whose host was suspended for longer than
// memoryuse.ReservationTTL does not renew its reservations. The endpoint has ended the request with them, and
// a renewal would reserve memory for no request.
func TestSuspendedGatewayDoesNotRenewMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryTestGateway(t, nil)
		b.engines.alwaysUsed = true
		first, _ := b.gateway.state.Endpoint("a")
		memory, err := b.gateway.reserve(t.Context(), "r", &placement{memoryDemands: []memoryDemand{{first, 100}}})
		is.NoErr(err)
		time.Sleep(memoryuse.RenewInterval + memoryuse.RenewInterval/2)
		reserved, _ := b.engines.orders()
		is.Equal(reserved, 2)
		b.suspended.Add(int64(memoryuse.ReservationTTL))
		time.Sleep(2 * memoryuse.RenewInterval)
		reserved, released := b.engines.orders()
		is.Equal(reserved, 2)
		is.Equal(released, 1)
		is.True(memory.endedUnused())
		memory.end()
	})
}
