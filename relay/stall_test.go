package relay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

const (
	stallLimit  = 4 * time.Second // of the fleet's route
	callTimeout = 10 * time.Second
)

// pausingCaller is a caller's connection on which the nth write takes delay(n); a nil delay is none.
type pausingCaller struct {
	*httptest.ResponseRecorder
	delay  func(n int) time.Duration
	writes int
}

func (s *pausingCaller) Write(p []byte) (int, error) {
	if s.writes++; s.delay != nil {
		time.Sleep(s.delay(s.writes))
	}
	return s.ResponseRecorder.Write(p)
}

// newStallFleet returns a fleet of one gateway that resumes streams without progress. Requests below
// /once/ may not be resumed.
func newStallFleet(t *testing.T, engines int) *crashFleet {
	c := newCrashFleet(t, 1, 1, engines)
	config := *c.table.Configuration
	config.Version++
	once := config.Routes[0]
	once.Name, once.PathPrefix, once.Resumable = "once", "/once/", false
	config.Routes = []catalog.Route{config.Routes[0], once}
	config.Workspaces, config.KeysRequired = []catalog.Workspace{{Name: "w", Keys: []string{"k"}}}, true
	g := c.gateways[0]
	g.config.StallResume = true
	g.state.ApplyConfiguration(&config)
	time.Sleep(time.Second) // the engines have been queried
	return c
}

// read sends a request and returns the events that the caller got, and how long that took.
func (c *crashFleet) read(path string, delay func(n int) time.Duration) (events string, took time.Duration) {
	began := time.Now()
	w := &pausingCaller{ResponseRecorder: httptest.NewRecorder(), delay: delay}
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
		events, took = w.Body.String(), time.Since(began)
	}()
	r := httptest.NewRequestWithContext(context.WithoutCancel(c.t.Context()), "POST", path, strings.NewReader("prompt"))
	r.Host = "h"
	r.Header = http.Header{"Id": {"r"}, "Key": {"k"}, "Tokens": {"5000"}, "Wait-Ms": {fmt.Sprint(callTimeout.Milliseconds())}}
	c.gateways[0].ServeHTTP(w, r)
	return
}

// eventsUntil returns the events of a stream up to the nth.
func (c *crashFleet) eventsUntil(n int) string {
	var b strings.Builder
	for i := range n + 1 {
		b.WriteString(c.event(i))
	}
	return b.String()
}

// stallAt returns a beforeEvent by which the first engine that reaches the nth event sends nothing for
// d before it. If all is set, each engine does so at each stream's second event.
func stallAt(event int, d time.Duration, all bool) func(*scriptedEngine, int) {
	var mu sync.Mutex
	done := false
	begun := make(map[*scriptedEngine]bool)
	return func(e *scriptedEngine, n int) {
		mu.Lock()
		stalls := n == event && !done || all && begun[e]
		done = done || n == event
		begun[e] = true
		mu.Unlock()
		if stalls {
			time.Sleep(d)
		}
	}
}

// TestStreamWithoutProgress guards against a caller that has one event and waits for the next until it
// gives up, against events that are lost or repeated when its stream is resumed, and against cutting a
// stream that its endpoint does not hold up, whose prompt is still prefilled or that cannot be resumed.
func TestStreamWithoutProgress(t *testing.T) {
	const never = time.Minute
	cases := []struct {
		name        string
		engines     int // 0: three
		path        string
		beforeEvent func(*scriptedEngine, int)
		prepare     func(c *crashFleet)
		delay       func(n int) time.Duration // of the caller's reads
		events      int                       // that the caller gets
		cut         uint64
		arrivals    int
		atLeast     time.Duration // that the stream takes
		atMost      time.Duration
	}{
		{name: "resumed after one event", beforeEvent: stallAt(2, never, false), events: streamEvents, cut: 1, arrivals: 2, atMost: stallLimit + 2*time.Second},
		{name: "resumed before the last event", beforeEvent: stallAt(streamEvents, never, false), events: streamEvents, cut: 1, arrivals: 2, atMost: stallLimit + 2*time.Second},
		{name: "route not resumable", path: "/once/", beforeEvent: stallAt(2, never, false), events: 1, arrivals: 1, atLeast: callTimeout, atMost: callTimeout + time.Second},
		{name: "off", beforeEvent: stallAt(2, never, false), prepare: func(c *crashFleet) { c.gateways[0].config.StallResume = false }, events: 1, arrivals: 1, atLeast: callTimeout, atMost: callTimeout + time.Second},
		{name: "slow but alive", beforeEvent: stallAt(2, stallLimit-time.Second, false), events: streamEvents, arrivals: 1, atLeast: stallLimit - time.Second, atMost: callTimeout},
		{name: "every engine stalls", beforeEvent: stallAt(2, never, true), events: 2, cut: 1, arrivals: 2, atLeast: callTimeout, atMost: callTimeout + time.Second},
		{name: "no other engine", engines: 1, beforeEvent: stallAt(2, stallLimit+2*time.Second, false), events: streamEvents, arrivals: 1, atMost: callTimeout},
		{name: "no retry budget", beforeEvent: stallAt(2, stallLimit+2*time.Second, false), prepare: func(c *crashFleet) {
			for c.gateways[0].picker.takeRetry("s", time.Now()) {
			}
		}, events: streamEvents, arrivals: 1, atMost: callTimeout},
		{name: "gateway suspended", beforeEvent: stallAt(2, stallLimit+time.Second, false), prepare: func(c *crashFleet) {
			began := time.Now()
			c.gateways[0].suspensions.Total = func() time.Duration {
				if time.Since(began) < 2*time.Second {
					return 0
				}
				return time.Minute
			}
		}, events: streamEvents, arrivals: 1, atMost: callTimeout},
		{name: "comment before a long prefill", beforeEvent: stallAt(1, stallLimit+time.Second, false), prepare: func(c *crashFleet) {
			c.event = func(n int) string { return cmp.Or(identifiedEvent(n), ": waiting\n\n") }
		}, events: streamEvents, arrivals: 1, atMost: callTimeout},
		{name: "events without ids", beforeEvent: stallAt(2, stallLimit+time.Second, false), prepare: func(c *crashFleet) {
			c.event = func(n int) string { return strings.ReplaceAll(identifiedEvent(n), "id", "data") }
		}, events: streamEvents, arrivals: 1, atMost: callTimeout},
		{name: "caller does not read", delay: func(n int) time.Duration {
			if n == 2 {
				return stallLimit + time.Second
			}
			return 0
		}, events: streamEvents, arrivals: 1, atLeast: stallLimit, atMost: callTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newStallFleet(t, cmp.Or(tc.engines, 3))
				c.beforeEvent = tc.beforeEvent
				if tc.prepare != nil {
					tc.prepare(c)
				}
				events, took := c.read(cmp.Or(tc.path, "/sound/"), tc.delay)
				g := c.gateways[0]
				is.Equal(events, c.eventsUntil(tc.events))
				is.True(took >= tc.atLeast)
				is.True(took <= tc.atMost)
				is.Equal(g.meter.stallsCut.Get(), tc.cut)
				is.Equal(len(c.arrivals), tc.arrivals)
				is.Equal(g.meter.retries.Get(), tc.cut) // each is charged once
				is.Equal(len(g.deliveries.Endpoints()), 0)
				time.Sleep(never)
			})
		})
	}
}

// TestStalledEndpointHealth guards against avoiding an endpoint that holds up a single stream and
// delivers the others, and against sending more requests to one that delivers nothing.
func TestStalledEndpointHealth(t *testing.T) {
	for name, alive := range map[string]bool{"delivers to others": true, "delivers to nobody": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newStallFleet(t, 1) // with a single endpoint no stream is cut
				g := c.gateways[0]
				var mu sync.Mutex
				streams := 0
				c.beforeEvent = func(_ *scriptedEngine, n int) {
					mu.Lock()
					if n == 1 {
						streams++
					}
					stalls := n == 2 && (streams <= 2 || !alive)
					mu.Unlock()
					if stalls {
						time.Sleep(time.Minute)
					} else if n > 1 {
						time.Sleep(500 * time.Millisecond)
					}
				}
				var wg sync.WaitGroup
				for range 3 {
					wg.Go(func() { c.read("/sound/", nil) })
					time.Sleep(2 * eventInterval)
				}
				time.Sleep(stallLimit + 600*time.Millisecond) // within the backoff that follows the second stall
				stalls := g.meter.stalls.Get()
				g.picker.mu.Lock()
				suspect := g.picker.health.Suspect("e0", time.Now())
				g.picker.mu.Unlock()
				wg.Wait()
				time.Sleep(time.Minute)
				is.True(stalls >= 2)
				is.Equal(suspect, !alive)
			})
		})
	}
}

// TestStreamCutOffForSlowCaller guards against avoiding an endpoint that cuts off streams because their
// callers do not read, and against calling it healthy if it does so without such a cause.
func TestStreamCutOffForSlowCaller(t *testing.T) {
	const callerDelay = 3 * time.Second
	cases := []struct {
		name, path        string
		slowReaderTimeout time.Duration
		delay             time.Duration
		suspect           bool
	}{
		{"resumable", "/sound/", 4 * time.Second, callerDelay, false},
		{"not resumable", "/once/", 4 * time.Second, callerDelay, false},
		{"setting off", "/once/", 0, callerDelay, true},
		{"fast caller", "/once/", 4 * time.Second, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newStallFleet(t, 1)
				c.gateways[0].config.SlowReaderTimeout = tc.slowReaderTimeout
				c.unreadLimit = 2 * time.Second
				if tc.delay == 0 {
					c.beforeEvent = func(e *scriptedEngine, n int) {
						if n == 3 {
							c.mu.Lock()
							defer c.mu.Unlock()
							for conn := range e.conns {
								_ = conn.Close()
							}
						}
					}
				}
				var wg sync.WaitGroup
				for range 3 {
					wg.Go(func() {
						c.read(tc.path, func(n int) time.Duration {
							if n == 2 {
								return tc.delay
							}
							return 0
						})
					})
				}
				time.Sleep(tc.delay + startDelay + 150*time.Millisecond) // within the backoff that follows the second break
				p := c.gateways[0].picker
				p.mu.Lock()
				suspect := p.health.Suspect("e0", time.Now())
				p.mu.Unlock()
				wg.Wait()
				time.Sleep(time.Minute)
				is.Equal(suspect, tc.suspect)
			})
		})
	}
}
