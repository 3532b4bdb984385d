package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/peers"
)

// enginePicker returns a picker with n engine endpoints.
func enginePicker(n int) (*picker, *catalog.Service) {
	s := &catalog.Service{Name: "m", Engine: &catalog.Engine{
		Slots: 16, MemoryTokens: 232000, StepMs: 1, ReadPerMs: 206, PairsPerM: 0.138, ChunkTokens: 2048, Stride: 43,
	}}
	state := NewState(false)
	var list []catalog.Endpoint
	for i := range n {
		list = append(list, catalog.Endpoint{ID: string(rune('a' + i)), Service: s.Name, Address: "127.0.0.1:1"})
	}
	state.ApplyList(list, time.Now(), time.Now(), time.Time{})
	return newPicker("g", "dc", state, balance.Default(), limits.RetryWindowConfig{}), s
}

// loadAt returns the load of an endpoint. It takes the lock, since timers release load
// concurrently.
func loadAt(p *picker, endpoint string) balance.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads.Load(endpoint, time.Now())
}

// noIdleConns is the idleConnFunc of a gateway without open connections.
func noIdleConns(string) bool { return false }

// TestPartPrefillEndsBeforeTheFirstEvent: the prefill load of the parts of a long prompt ends after
// their estimated time, so that other requests may use the endpoints. Removing it again at the
// first event changes nothing.
func TestPartPrefillEndsBeforeTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, s := enginePicker(4)
		req := balance.Request{InputTokens: 100000, OutputTokens: 500, ObjectiveLeftMs: 2500, DeadlineLeftMs: 10000, Slack: time.Second}
		pl, _, found := p.pick(s, req, noIdleConns, time.Now())
		is.Equal(found, picked)
		is.True(len(pl.loads) > 1)
		is.True(loadAt(p, pl.endpoint.ID).PrefillMs > 0)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, l := range pl.loads {
			load := loadAt(p, l.endpoint)
			is.Equal(load.PrefillMs, 0.0)
			is.Equal(load.Parts, 0)
		}
		is.Equal(loadAt(p, pl.endpoint.ID).Long, 1)
		pl.endPrefill()
		pl.release()
		is.Equal(len(p.loads.Local()), 0)
	})
}

// TestReleaseStopsTheTimersOfParts: a request that ends early leaves no timer that releases load
// later.
func TestReleaseStopsTheTimersOfParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, s := enginePicker(4)
		req := balance.Request{InputTokens: 100000, OutputTokens: 500, ObjectiveLeftMs: 2500, DeadlineLeftMs: 10000, Slack: time.Second}
		first, _, _ := p.pick(s, req, noIdleConns, time.Now())
		first.release()
		is.Equal(len(p.loads.Local()), 0)
		second, _, _ := p.pick(s, req, noIdleConns, time.Now())
		before := p.loads.Local()
		is.Equal(len(before), len(second.loads))
		second.release()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(len(p.loads.Local()), 0)
	})
}

const (
	shortObjective = 300 * time.Millisecond
	longObjective  = 10 * time.Second
)

// newEngineTestGateway returns a gateway whose service is an engine with one slot per endpoint, all
// of which are in use. Its routes have the given objective.
func newEngineTestGateway(t *testing.T, objective time.Duration) *testGateway {
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { writeResponse(w, "200 OK", "", "x") })
	c := testConfig(2)
	c.Services[0].Engine = &catalog.Engine{Slots: 1, MemoryTokens: 232000, StepMs: 1, ReadPerMs: 206, PairsPerM: 0.138, ChunkTokens: 2048, Stride: 43}
	for i := range c.Routes {
		c.Routes[i].Objective = objective
	}
	b.source.setConfiguration(c, nil)
	b.readSource()
	b.gateway.picker.loads.Add("a", balance.Load{Short: 5, AwaitingFirstEvent: 4})
	b.gateway.picker.loads.Add("b", balance.Load{Short: 5, AwaitingFirstEvent: 4})
	return b
}

// TestBusyIsRefusedAtOnce: while all slots are in use, a short request that would be late is refused
// with a Retry-After and reaches no endpoint.
func TestBusyIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newEngineTestGateway(t, shortObjective)
	got := b.send(t.Context(), "POST", "/stream/x", "", http.Header{"Tokens": {"1000"}, "Wait-Ms": {"10000"}})
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get("Retry-After"), "3")
	is.Equal(b.requestCount(), 0)
}

// TestBusyIsServedLate: a caller without enough time to retry, or one that resumes a stream, is
// served late rather than refused.
func TestBusyIsServedLate(t *testing.T) {
	for name, header := range map[string]http.Header{
		"short deadline": {"Tokens": {"1000"}, "Wait-Ms": {"8000"}},
		"resumed":        {"Tokens": {"1000"}, "Wait-Ms": {"10000"}, "After": {"3"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newEngineTestGateway(t, shortObjective)
			got := b.send(t.Context(), "POST", "/safe/x", "", header)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(b.requestCount(), 1)
		})
	}
}

// TestLongPromptsWaitForTheirTurn: a long prompt chooses no endpoint while a peer's prompt that is
// due earlier waits, and does so once that one is placed.
func TestLongPromptsWaitForTheirTurn(t *testing.T) {
	is := is.New(t)
	b := newEngineTestGateway(t, longObjective)
	p := b.gateway.picker
	p.loads = balance.NewLoadTracker()
	sendHeads := func(waiting map[string]balance.QueueHead) {
		p.recordPeer(peers.Message{From: "p", Waiting: waiting}, time.Now())
	}
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() { // the peer keeps reporting that its prompt waits
		defer close(stopped)
		for {
			sendHeads(map[string]balance.QueueHead{"s": {Urgency: balance.InTime, DueInMs: -60000}})
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	done := make(chan response)
	go func() {
		done <- b.send(t.Context(), "POST", "/safe/x", "", http.Header{"Tokens": {"50000"}, "Wait-Ms": {"60000"}})
	}()
	for !hasWaitedLong(p) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(b.requestCount(), 0)
	close(stop)
	<-stopped
	sendHeads(nil)
	is.Equal((<-done).status, http.StatusOK)
	is.Equal(b.requestCount(), 1)
}

// hasWaitedLong reports whether a prompt has waited for longer than peer messages take.
func hasWaitedLong(p *picker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	head, ok := p.queue.LocalHeads(time.Now())["s"]
	return ok && head.DueInMs < (longObjective-100*time.Millisecond).Milliseconds()
}

// TestShutdownRefusesWaitingPrompts: a gateway that is about to stop refuses a prompt that still
// waits for endpoints, rather than closing its connection without a response.
func TestShutdownRefusesWaitingPrompts(t *testing.T) {
	is := is.New(t)
	b := newEngineTestGateway(t, longObjective)
	p := b.gateway.picker
	prefilling := balance.Load{PrefillMs: 900, Parts: 1}
	p.loads.Add("a", prefilling)
	p.loads.Add("b", prefilling)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	done := make(chan response)
	go func() {
		done <- b.send(ctx, "POST", "/stream/x", "", http.Header{"Tokens": {"50000"}, "Wait-Ms": {"60000"}})
	}()
	for !hasWaitedLong(p) {
		time.Sleep(time.Millisecond)
	}
	longAgo := time.Now().Add(-unreadyDetectionTime - time.Second)
	b.gateway.drain.Begin(drain.Schedule{DrainTime: time.Minute, NoticeTime: unreadyDetectionTime}, longAgo)
	go func() { _ = b.gateway.Shutdown(t.Context()) }()
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get("Retry-After"), "0.05")
	is.Equal(b.requestCount(), 0)
}

// TestLongPromptIsRefusedAfterItsWaitTime: a long prompt that no endpoint takes is refused before
// it is late and reaches no endpoint. Its Retry-After is within the caller's remaining time.
func TestLongPromptIsRefusedAfterItsWaitTime(t *testing.T) {
	for name, c := range map[string]struct{ waitMs, retryAfter string }{
		"much time":   {"60000", "4"},
		"little time": {"6000", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newEngineTestGateway(t, time.Second)
			prefilling := balance.Load{PrefillMs: 5000, Parts: 1}
			b.gateway.picker.loads.Add("a", prefilling)
			b.gateway.picker.loads.Add("b", prefilling)
			began := time.Now()
			got := b.send(t.Context(), "POST", "/stream/x", "", http.Header{"Tokens": {"50000"}, "Wait-Ms": {c.waitMs}})
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(time.Since(began) < time.Second)
			is.Equal(b.requestCount(), 0)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			is.NoErr(err)
			if c.retryAfter != "" {
				is.Equal(got.header.Get("Retry-After"), c.retryAfter)
			} else {
				is.True(after > 1 && after <= 2) // a third of the remaining time
			}
		})
	}
}

// TestRetriesBeforeTheFleetIsKnown: a gateway that has just started takes retries only from
// the budget of its own requests.
func TestRetriesBeforeTheFleetIsKnown(t *testing.T) {
	is := is.New(t)
	p, s := enginePicker(1)
	p.window = limits.RetryWindowConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
	now := time.Now()
	p.fleetKnownAt = now.Add(fleetDiscoveryTime)
	is.True(!p.takeRetry(s.Name, now))
	for range 10 {
		p.countRequest(s.Name, now)
	}
	is.True(p.takeRetry(s.Name, now))
	is.True(!p.takeRetry(s.Name, now))
	is.True(p.takeRetry(s.Name, now.Add(fleetDiscoveryTime)))
}

// TestRetriesOnceTheFleetIsListed: a restarted gateway finds the entries of all earlier gateways,
// and uses its part of the slack.
func TestRetriesOnceTheFleetIsListed(t *testing.T) {
	is := is.New(t)
	p, s := enginePicker(1)
	p.window = limits.RetryWindowConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
	now := time.Now()
	p.fleetKnownAt = now.Add(fleetDiscoveryTime)
	p.setListedGateways(24, now)
	granted := 0
	for p.takeRetry(s.Name, now) {
		granted++
	}
	is.Equal(granted, 2) // its part of the slack
}
