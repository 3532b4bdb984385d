package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

const (
	// stopDrainTime is the drain time of the fleet's gateways.
	stopDrainTime = 8 * time.Second
	// stopPrompt is a prompt of which an engine of the fleet has memory for one.
	stopPrompt = 133_000
)

// stopFleet is a crashFleet of one gateway that is told to stop, with two engines of which the second is full.
type stopFleet struct {
	*crashFleet
	gateway   *Gateway
	stoppedAt time.Time
	exited    chan time.Time // when Shutdown has returned
}

func newStopFleet(t *testing.T) *stopFleet {
	f := &stopFleet{crashFleet: newCrashFleet(t, 1, 1, 2), exited: make(chan time.Time, 1)}
	f.gateway = f.gateways[0]
	config := *f.table.Configuration
	config.Version++
	once := config.Routes[0]
	once.Name, once.PathPrefix, once.Kind, once.Resumable = "once", "/once/", catalog.Unsafe, false
	config.Routes = []catalog.Route{config.Routes[0], once}
	f.gateway.state.ApplyConfiguration(&config)
	f.gateway.picker.mu.Lock()
	f.gateway.picker.loads.Add("e1", balance.Load{Long: 1, MemoryTokens: stopPrompt})
	f.gateway.picker.mu.Unlock()
	time.Sleep(time.Second) // the engines have been queried
	return f
}

// stopAfter tells the gateway to stop after d.
func (f *stopFleet) stopAfter(d time.Duration) {
	f.stoppedAt = time.Now().Add(d)
	time.AfterFunc(d, func() {
		_ = f.gateway.Shutdown(f.t.Context())
		f.exited <- time.Now()
	})
}

// stopResponse is what a caller got from a gateway that stops, and when, counted from the stop signal.
type stopResponse struct {
	status     int // 0: the connection was closed without a complete response
	retryAfter string
	events     int
	after      time.Duration
}

// send sends a long prompt, or another body if it is not empty, and waits for the response.
func (f *stopFleet) send(path string, body io.Reader) (res stopResponse) {
	w := httptest.NewRecorder()
	defer func() {
		res = stopResponse{w.Code, w.Header().Get("Retry-After"), strings.Count(w.Body.String(), "\n\n"), time.Since(f.stoppedAt)}
		if p := recover(); p == http.ErrAbortHandler {
			res.status = 0
		} else if p != nil {
			panic(p)
		}
	}()
	r := httptest.NewRequestWithContext(f.t.Context(), "POST", path, body)
	r.Host = "h"
	r.Header = http.Header{"Id": {"r"}, "Key": {"k"}, "Tokens": {fmt.Sprint(stopPrompt)}, "Wait-Ms": {"15000"}}
	f.gateway.ServeHTTP(w, r)
	return res
}

// arrivalCount returns how many requests have reached an engine.
func (f *stopFleet) arrivalCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrivals)
}

// reject is a test of the fleet's engines that rejects all requests.
func reject(*http.Request) bool { return true }

// answeredBeforeExit checks that the gateway exits within its drain time, after the response.
func (f *stopFleet) answeredBeforeExit(is *is.I, got stopResponse) {
	exited := (<-f.exited).Sub(f.stoppedAt)
	is.True(got.after <= exited)
	is.True(exited < f.gateway.config.DrainTime)
}

// TestRejectedRequestIsRefusedAtStop guards against a request that an endpoint rejected and that waits for another
// endpoint until its gateway has exited.
func TestRejectedRequestIsRefusedAtStop(t *testing.T) {
	for name, tc := range map[string]struct {
		sentAfter time.Duration // since the stop signal
		header    string        // of the endpoint that rejects
	}{
		"sent before":        {-100 * time.Millisecond, ""},
		"sent after":         {800 * time.Millisecond, ""},
		"sent late":          {2700 * time.Millisecond, ""},
		"requests a backoff": {800 * time.Millisecond, "Rest-Ms: 10000\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStopFleet(t)
				f.rejects, f.rejectHeader = reject, tc.header
				f.stopAfter(max(0, -tc.sentAfter))
				time.Sleep(max(0, tc.sentAfter))
				got := f.send("/", nil)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(got.retryAfter, "0.05")
				is.True(got.after < unreadyDetectionTime+100*time.Millisecond)
				f.answeredBeforeExit(is, got)
			})
		})
	}
}

// TestGrantDoesNotOutlastStop guards against a request that an endpoint with a rate limit rejected and that waits for a
// grant of another one until its gateway has exited.
func TestGrantDoesNotOutlastStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 2)
		f.setLimit("0.2", 0, 1)
		for range 10 { // use up the limits
			f.send(t.Context(), 0, 500)
		}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			_ = f.gateways[0].Shutdown(t.Context())
		}()
		began := time.Now()
		x, w := f.exchange(t.Context(), 0, 500)
		x.attempts, x.sentEndpoints, x.tried = 1, []string{"e0"}, []string{"e0"}
		is.Equal(x.run(t.Context()), refusedShutdown)
		is.Equal(w.Header().Get("Retry-After"), "0.05")
		is.True(time.Since(began) < unreadyDetectionTime+100*time.Millisecond)
		<-stopped
	})
}

// TestUnansweredRequestIsAnsweredAtStop guards against a connection that is closed without a response because the
// endpoint of its request has not answered when the gateway exits. The request may have run.
func TestUnansweredRequestIsAnsweredAtStop(t *testing.T) {
	for _, path := range []string{"/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStopFleet(t)
				f.startDelay = 20 * time.Second
				f.stopAfter(100 * time.Millisecond)
				got := f.send(path, nil)
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.retryAfter, "")
				is.Equal(f.arrivalCount(), 1)
				f.answeredBeforeExit(is, got)
				is.True(!f.gateway.picker.health.Suspect("e0", time.Now()))
				time.Sleep(f.startDelay) // the engine ends
			})
		})
	}
}

// TestWaitingRequestsAreRefusedAtStop guards against one of many requests that wait for an endpoint at the stop signal,
// of which some have been sent and some have not, that gets no response before its gateway has exited.
func TestWaitingRequestsAreRefusedAtStop(t *testing.T) {
	const requests = 60
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		f.rejects = reject
		f.stopAfter(100 * time.Millisecond)
		results := make(chan stopResponse)
		for range requests {
			go func() { results <- f.send("/", nil) }()
		}
		for range requests {
			got := <-results
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.after < unreadyDetectionTime+100*time.Millisecond)
		}
		is.True((<-f.exited).Sub(f.stoppedAt) < stopDrainTime)
	})
}

// TestBegunStreamEndsAtStop guards against a caller that has the beginning of a stream and learns only from the exit
// of its gateway that no endpoint will send the rest. The rest is awaited for as long as it can still be sent.
func TestBegunStreamEndsAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		f.listDelay = time.Minute
		f.beforeEvent = func(e *scriptedEngine, n int) {
			if n == 3 {
				f.crash(e, e.ID)
			}
		}
		f.stopAfter(10 * time.Millisecond)
		got := f.send("/", nil)
		is.Equal(got.status, 0)
		is.Equal(got.events, 2)
		const objective = 3 * time.Second
		is.True(got.after > unreadyDetectionTime && got.after < stopDrainTime-objective-time.Second)
		f.answeredBeforeExit(is, got)
	})
}

// TestUploadIsAnsweredAtStop guards against a connection that is closed without a response because the body of its
// request has not arrived when the gateway exits.
func TestUploadIsAnsweredAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		caller, conn := net.Pipe()
		defer func() { _ = caller.Close() }()
		defer f.gateway.callers.Close()
		f.gateway.callers.Add(conn)
		_, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nId: r\r\nWait-Ms: 15000\r\nContent-Length: 10\r\n\r\npart")
		is.NoErr(err)
		f.stopAfter(0)
		res, err := http.ReadResponse(bufio.NewReader(caller), nil)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		is.Equal(res.Header.Get("Retry-After"), "0.05")
		is.Equal(f.arrivalCount(), 0)
		f.answeredBeforeExit(is, stopResponse{after: time.Since(f.stoppedAt)})
	})
}

// TestCrashProbeDoesNotOutlastStop guards against a connection that is closed without a response because its request
// waits for the probe of an endpoint when the gateway exits.
func TestCrashProbeDoesNotOutlastStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		f.startDelay = stopDrainTime - 1150*time.Millisecond // the probe begins shortly before the last answers
		f.breaks = reject
		f.breakDelay = f.startDelay
		f.stopAfter(time.Millisecond)
		time.AfterFunc(time.Second, func() { f.silent.Store(true) })
		got := f.send("/once/", nil)
		is.Equal(got.status, http.StatusBadGateway)
		f.answeredBeforeExit(is, got)
	})
}

// TestShortDrainTime guards against a gateway with a short drain time that exits before it has ended its waits.
func TestShortDrainTime(t *testing.T) {
	for _, drainTime := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		t.Run(drainTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStopFleet(t)
				f.gateway.config.DrainTime = drainTime
				f.rejects = reject
				f.stopAfter(0)
				time.Sleep(drainTime / 10)
				got := f.send("/", nil)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(got.retryAfter, "0.05")
				f.answeredBeforeExit(is, got)
				is.True(got.after > drainTime/3) // it may wait until then
			})
		})
	}
}

// TestProofDoesNotOutlastStop guards against a connection that is closed without a response because its request waits
// for a proof of the configuration when the gateway exits.
func TestProofDoesNotOutlastStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		config := *f.table.Configuration
		config.Version += 2
		config.Workspaces, config.KeysRequired = []catalog.Workspace{{Name: "w", Keys: []string{"k"}}}, true
		f.gateway.state.ApplyConfiguration(&config)
		f.gateway.config.RevokeAfter = time.Minute
		f.gateway.config.DrainTime = proofWait
		f.stopAfter(0)
		got := f.send("/", nil)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(f.arrivalCount(), 0)
		f.answeredBeforeExit(is, got)
	})
}

// TestSuspensionCountsTowardsStop guards against a gateway that accepts requests, and lets them wait, although the load
// balancer noticed its shutdown while its host was suspended.
func TestSuspensionCountsTowardsStop(t *testing.T) {
	const suspended = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		var total atomic.Int64
		f.gateway.suspensions.Total = func() time.Duration { return time.Duration(total.Load()) }
		f.stopAfter(0)
		time.AfterFunc(time.Second, func() { total.Store(int64(suspended)) })
		time.Sleep(1100 * time.Millisecond)
		got := f.send("/", nil)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.retryAfter, "0.05")
		is.Equal(f.arrivalCount(), 0)
		is.True((<-f.exited).Sub(f.stoppedAt)+suspended < stopDrainTime)
	})
}
