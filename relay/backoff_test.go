package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

const status503 = "503 Service Unavailable"

// backoffHeaders returns the header lines of a response that refuses a request and asks for a
// backoff.
func backoffHeaders(d time.Duration) string {
	return "Not-Run: 1\r\nRest-Ms: " + strconv.FormatInt(d.Milliseconds(), 10) + "\r\n"
}

// TestBackoffAppliesToOneGateway: the gateway that was asked to back off sends nothing to the
// endpoint until the backoff ends, and does not consider it unhealthy. Another gateway still sends
// there.
func TestBackoffAppliesToOneGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 2, 2)
		f.send(t.Context(), 0, 500)
		inBackoff := 0
		if f.requestsSince(0, time.Time{}) == 0 {
			inBackoff = 1 // the endpoint that short requests go to
		}
		id := fmt.Sprint("e", inBackoff)
		f.setResponse(status503, backoffHeaders(3*time.Second), inBackoff)
		f.send(t.Context(), 0, 500)
		f.setResponse("", "", inBackoff)
		g := f.gateways[0]
		is.True(g.state.InBackoff(id, time.Now()))
		is.True(!f.gateways[1].state.InBackoff(id, time.Now()))
		is.True(!g.picker.health.Suspect(id, time.Now()))
		is.Equal(len(g.picker.health.LocalObservations(time.Now())), 0)
		time.Sleep(time.Millisecond)
		began := time.Now()
		f.sendLoad(t, 50, 2*time.Second, func(int) int { return 0 })
		is.Equal(f.requestsSince(inBackoff, began), 0)
		f.sendLoad(t, 50, 900*time.Millisecond, func(int) int { return 1 })
		is.True(f.requestsSince(inBackoff, began) > 0)
		time.Sleep(200 * time.Millisecond)
		began = time.Now()
		f.sendLoad(t, 50, 2*time.Second, func(int) int { return 0 })
		is.True(f.requestsSince(inBackoff, began) > 20) // as much as the other endpoint, except for the slow start
		is.True(!g.state.backoffs.Active())
		is.Equal(len(f.refusalTimes), 0)
	})
}

// TestBackoffRequestedAfterChoice: a request is not sent if its endpoint or one of its helpers asks
// for a backoff after it was chosen.
func TestBackoffRequestedAfterChoice(t *testing.T) {
	requestBackoff := func(g *Gateway, id string) {
		g.recordResponse(catalog.Endpoint{ID: id}, 0, &http.Response{StatusCode: 503, Header: http.Header{"Rest-Ms": {"1000"}}}, callerRequest, "")
	}
	for name, tc := range map[string]struct {
		endpoint func(pl *placement) string
		dialing  bool
	}{
		"the endpoint":         {func(pl *placement) string { return pl.endpoint.ID }, false},
		"a helper":             {func(pl *placement) string { return pl.helpers[0].ID }, false},
		"while it is dialed":   {func(pl *placement) string { return pl.endpoint.ID }, true},
		"helper, while dialed": {func(pl *placement) string { return pl.helpers[0].ID }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 1, 4)
				g := f.gateways[0]
				x, _ := f.exchange(t.Context(), 0, 100_000)
				pl, _ := x.findPlacement(t.Context())
				is.True(pl != nil && len(pl.helpers) > 0)
				if tc.dialing {
					f.onDial = func() { requestBackoff(g, tc.endpoint(pl)) }
				} else {
					requestBackoff(g, tc.endpoint(pl))
				}
				checkWithdrawn(is, x, pl)
				is.Equal(len(g.picker.health.LocalObservations(time.Now())), 0)
			})
		})
	}
}

// TestAllEndpointsInBackoff: a request that cannot wait is refused at once. The callers are told to
// return after the end of the backoff, one after the other.
func TestAllEndpointsInBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 2)
		f.setResponse(status503, backoffHeaders(3*time.Second), 0, 1)
		f.send(t.Context(), 0, 500)
		f.setResponse("", "", 0, 1)
		is.Equal(f.refusalTimes, []time.Duration{0})
		time.Sleep(time.Second)
		began := time.Now()
		for range 3 {
			is.Equal(f.send(t.Context(), 0, 500), refusedBackoff)
		}
		is.Equal(f.refusalTimes[1:], []time.Duration{0, 0, 0})
		is.Equal(f.retryAfters[1:], []string{"2.02", "2.03", "2.04"}) // the first caller was told 3.010
		is.Equal(f.requestsSince(0, began)+f.requestsSince(1, began), 0)
		time.Sleep(2010 * time.Millisecond)
		f.send(t.Context(), 0, 500)
		is.Equal(f.answered, 1)
	})
}

// TestRequestsWaitForBackoffToEnd: requests that are still in time after the backoff wait, and are
// sent in the order of their arrival.
func TestRequestsWaitForBackoffToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 1)
		f.responseTime = queuePollInterval + 10*time.Millisecond // longer than a wait that misses a change of the load
		f.gateways[0].state.RecordBackoff("e0", 700*time.Millisecond, time.Now())
		backoffEnd := time.Now().Add(700 * time.Millisecond)
		var ended []int
		var mu sync.Mutex
		var all sync.WaitGroup
		for n := range 6 {
			all.Go(func() {
				f.send(t.Context(), 0, 500)
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, n)
			})
			time.Sleep(10 * time.Millisecond)
		}
		all.Wait()
		is.Equal(f.answered, 6)
		slices.Sort(ended[1:3])
		slices.Sort(ended[3:])
		is.Equal(ended, []int{0, 1, 2, 3, 4, 5}) // one, then two, then the others
		is.Equal(f.requestsSince(0, time.Time{}), f.requestsSince(0, backoffEnd))
		is.True(time.Since(backoffEnd) < 200*time.Millisecond)
	})
}

// TestPromptThatNeedsAHelperInBackoff: a prompt that exceeds the memory of the endpoints outside
// backoff is refused at once.
func TestPromptThatNeedsAHelperInBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 3)
		for _, id := range []string{"e0", "e1"} {
			f.gateways[0].state.RecordBackoff(id, 4*time.Second, time.Now())
		}
		is.Equal(f.send(t.Context(), 0, 400_000), refusedBackoff)
		is.Equal(f.refusalTimes, []time.Duration{0})
		is.Equal(f.retryAfters, []string{"4.01"})
		f.send(t.Context(), 0, 500)
		is.Equal(f.answered, 1) // the third endpoint serves a request that fits
	})
}

// TestNoQueriesDuringBackoff: an endpoint at which requests failed is queried, but not during its
// backoff.
func TestNoQueriesDuringBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 2)
		g := f.gateways[0]
		for range 3 {
			g.picker.recordOutcome("e0", 1, time.Now())
		}
		time.Sleep(time.Second)
		is.True(f.requestsSince(0, time.Time{}) > 0)
		g.state.RecordBackoff("e0", 3*time.Second, time.Now())
		began := time.Now()
		time.Sleep(2900 * time.Millisecond)
		is.Equal(f.requestsSince(0, began), 0)
	})
}

// TestBackoffAcrossRestart: a backoff that the new incarnation may have asked for before a list
// showed the restart holds; one of the previous incarnation does not.
func TestBackoffAcrossRestart(t *testing.T) {
	cases := []struct {
		name              string
		askedMs, listedMs int // time before the list that shows the restart
		wantBackoff       bool
	}{
		{"a moment ago", 700, 500, true},
		{"long before", 3000, 500, false},
		{"while the store was away", 3000, 4000, true},
		{"before the store was away", 6000, 4000, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState(false)
			e := catalog.Endpoint{ID: "a", Service: "s", Address: "127.0.0.1:1", Born: 1}
			s.ApplyList([]catalog.Endpoint{e}, msAfterStart(-10_000), msAfterStart(-10_000), time.Time{})
			s.ApplyList([]catalog.Endpoint{e}, msAfterStart(-tc.listedMs), msAfterStart(-tc.listedMs), time.Time{})
			is.True(s.RecordBackoff(e.ID, time.Minute, msAfterStart(-tc.askedMs)))
			e.Born = 2
			s.ApplyList([]catalog.Endpoint{e}, msAfterStart(0), msAfterStart(0), time.Time{})
			is.Equal(s.InBackoff(e.ID, msAfterStart(0)), tc.wantBackoff)
			s.ApplyList(nil, msAfterStart(1000), msAfterStart(1000), time.Time{})
			is.True(!s.InBackoff(e.ID, msAfterStart(1000))) // the endpoint is gone
		})
	}
}
