package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/limitstate"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/ratelimit"
	"github.com/micarudder/micarudder/waitpolicy"
)

// TestAllEnginesLimited: all engines announce a limit. None gets more than it tolerates, and nearly
// all that the limits permit is used, also if only one gateway receives requests. Refused callers
// are told so within the time that a request may wait.
func TestAllEnginesLimited(t *testing.T) {
	cases := map[string]struct {
		gateways, engines, perSecond int
		limit                        float64
		gateway                      func(n int) int
	}{
		"6 gateways":                   {6, 4, 40, 1.9, func(n int) int { return n % 6 }},
		"24 gateways":                  {24, 10, 100, 1.9, func(n int) int { return n % 24 }},
		"24 gateways, requests to one": {24, 10, 100, 1.9, func(int) int { return 7 }},
		"24 gateways, less than one request in four seconds for each": {24, 10, 10, 0.5, func(n int) int { return n % 24 }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, tc.gateways, tc.engines)
				time.Sleep(2 * time.Second)
				f.setLimit(fmt.Sprint(tc.limit), engineIndexes(tc.engines)...)
				f.sendLoad(t, tc.perSecond, 5*time.Second, tc.gateway)
				from := time.Now()
				f.mu.Lock()
				f.refusalTimes = nil
				f.mu.Unlock()
				const length = 20 * time.Second
				f.sendLoad(t, tc.perSecond, length, tc.gateway)
				sent := 0
				for e := range tc.engines {
					sent += f.requestsSince(e, from)
					is.True(float64(f.maxInFourSeconds(e, from)) <= 1.5*4*tc.limit+5)
				}
				used := float64(sent) / (tc.limit * float64(tc.engines) * length.Seconds())
				t.Logf("%.2f of the limits used, %d refused", used, len(f.refusalTimes))
				is.True(used >= 0.9)
				is.True(slices.Max(f.refusalTimes) <= 3*time.Second*waitpolicy.WaitPercent/100)
			})
		})
	}
}

// TestLimitEnds: while other engines have room, an engine whose limit has ended gets its share of
// the requests again a few seconds later, although all gateways had avoided it.
func TestLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 24, 4)
		time.Sleep(2 * time.Second)
		f.setLimit("0.5", engineIndexes(3)...)
		roundRobin := func(n int) int { return n % 24 }
		f.sendLoad(t, 40, 6*time.Second, roundRobin)
		is.True(f.gateways[5].endpointLimits.Any())
		f.setLimit("", engineIndexes(3)...)
		f.sendLoad(t, 40, 5*time.Second, roundRobin)
		for _, g := range f.gateways {
			is.True(!g.endpointLimits.Any())
		}
		is.Equal(len(f.refusalTimes), 0)
	})
}

// TestLimitIsBroadcast: gateways that learn of a limit only from peers keep it too, and a newly
// connected gateway learns of it.
func TestLimitIsBroadcast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 1)
		isolated := 5
		f.setDrops(func(from, to int) bool { return from == isolated || to == isolated })
		time.Sleep(2 * time.Second)
		f.setLimit("1", 0)
		f.send(t.Context(), 0, 500)
		time.Sleep(50 * time.Millisecond)
		for i, g := range f.gateways {
			_, limited := g.endpointLimits.Limit("e0")
			is.Equal(limited, i != isolated)
		}
		time.Sleep(5 * time.Second) // the limit is no longer sent as a recent change
		f.setDrops(nil)
		time.Sleep(limitstate.NewcomerSendInterval + 2*broadcastInterval)
		_, limited := f.gateways[isolated].endpointLimits.Limit("e0")
		is.True(limited)
	})
}

// TestLimitEndsWhileRequestsWait: requests that wait for their turn when the limits end are served
// at once, not refused.
func TestLimitEndsWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 4)
		time.Sleep(2 * time.Second)
		f.setLimit("2", engineIndexes(4)...)
		roundRobin := func(n int) int { return n % 6 }
		f.sendLoad(t, 40, 2*time.Second, roundRobin)
		time.Sleep(2 * time.Second) // each limit has accumulated two requests and permits another one in half a second
		f.mu.Lock()
		f.refusalTimes, f.answered = nil, 0
		f.mu.Unlock()
		var all sync.WaitGroup
		for n := range 12 {
			all.Go(func() { f.send(t.Context(), roundRobin(n), 500) })
		}
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		waiting := f.answered < 12
		f.mu.Unlock()
		is.True(waiting)
		for _, g := range f.gateways {
			for e := range 4 {
				endpoint, _ := g.state.Endpoint(fmt.Sprint("e", e))
				g.endpointLimits.RecordResponse(endpoint, g.endpointLimits.Version(endpoint.ID), ratelimit.AdvertisedLimit{}, time.Now())
			}
		}
		all.Wait()
		is.Equal(len(f.refusalTimes), 0)
		is.Equal(f.answered, 12)
	})
}

// TestCoordinatorFallsSilent: no grants are given until the silence is noticed, then another
// gateway grants. The engines get no more than they tolerate.
func TestCoordinatorFallsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 4)
		time.Sleep(2 * time.Second)
		f.setLimit("2", engineIndexes(4)...)
		roundRobin := func(n int) int { return n % 6 }
		f.sendLoad(t, 40, 4*time.Second, roundRobin)
		first := f.gateways[0].endpointLimits.CoordinatorName()
		gone := slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.config.Name == first })
		f.mu.Lock()
		f.silent[first] = true
		f.mu.Unlock()
		f.setDrops(func(from, to int) bool { return from == gone || to == gone })
		others := func(n int) int { return (gone + 1 + n%5) % 6 }
		f.sendLoad(t, 40, 2*time.Second, others)
		from := time.Now()
		f.sendLoad(t, 40, 8*time.Second, others)
		is.True(f.gateways[(gone+1)%6].endpointLimits.CoordinatorName() != first)
		sent := 0
		for e := range 4 {
			sent += f.requestsSince(e, from)
			is.True(f.maxInFourSeconds(e, from.Add(-6*time.Second)) <= 1.5*4*2+5)
		}
		is.True(float64(sent) >= 0.9*2*4*8)
	})
}

// TestPartitionedGatewaysKeepTheLimit: gateways that receive the messages of only every other
// gateway follow two coordinators. The grants of both together stay within what the engines
// tolerate, and are used.
func TestPartitionedGatewaysKeepTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 4)
		time.Sleep(2 * time.Second)
		f.setLimit("4", engineIndexes(4)...)
		roundRobin := func(n int) int { return n % 6 }
		f.sendLoad(t, 60, 4*time.Second, roundRobin)
		from := time.Now()
		f.setDrops(func(from, to int) bool { return from%2 != to%2 })
		f.sendLoad(t, 60, 10*time.Second, roundRobin)
		is.True(f.gateways[0].endpointLimits.CoordinatorName() != f.gateways[1].endpointLimits.CoordinatorName())
		sent := 0
		for e := range 4 {
			sent += f.requestsSince(e, from)
			is.True(f.maxInFourSeconds(e, from) <= 1.5*4*4+5)
		}
		is.True(float64(sent) >= 0.9*4*4*10)
	})
}

// TestNoRefusalsWhileOtherEndpointsHaveRoom: while one of several engines has a limit, no caller is
// refused, no retry is spent on it, and prompts that are prefilled in parts avoid it.
func TestNoRefusalsWhileOtherEndpointsHaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 6)
		time.Sleep(2 * time.Second)
		f.setLimit("1", 0)
		roundRobin := func(n int) int { return n % 6 }
		f.sendLoad(t, 40, 4*time.Second, roundRobin)
		from := time.Now()
		var all sync.WaitGroup
		for n := range 20 {
			all.Go(func() { is.Equal(f.send(t.Context(), n%6, 60_000), answered) })
			time.Sleep(100 * time.Millisecond)
		}
		all.Wait()
		f.sendLoad(t, 40, 4*time.Second, roundRobin)
		is.Equal(len(f.refusalTimes), 0)
		is.True(f.maxInFourSeconds(0, from) <= 1.5*4*1+5)
		for _, g := range f.gateways {
			is.Equal(g.meter.retries.Get(), uint64(0))
		}
	})
}

// TestRestartedEndpointInheritsNoLimit: an endpoint that has restarted under the same name is used
// as if it had never had a limit.
func TestRestartedEndpointInheritsNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 2, 1)
		first, err := f.gateways[0].state.Endpoint("e0")
		is.True(err)
		first.Born = 1
		applyList([]catalog.Endpoint{first}, f.gateways...)
		time.Sleep(2 * time.Second)
		f.setLimit("1", 0)
		f.send(t.Context(), 0, 500)
		time.Sleep(100 * time.Millisecond)
		is.True(f.gateways[1].endpointLimits.Any())
		f.setLimit("", 0)
		restarted := first
		restarted.Born = 2
		applyList([]catalog.Endpoint{restarted}, f.gateways...)
		f.send(t.Context(), 0, 500)
		time.Sleep(time.Second)
		for _, g := range f.gateways {
			is.True(!g.endpointLimits.Any())
		}
	})
}

// TestGrantExpires: a gateway that was stalled between grant and send does not send.
func TestGrantExpires(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := &grant{endpoint: "e", expires: now.Add(grantRoundTrip), suspended: time.Second}
	is.True(g.valid(now, time.Second))
	is.True(!g.valid(now.Add(grantRoundTrip), time.Second))
	is.True(!g.valid(now, 2*time.Second)) // the host was suspended
	is.True(!(*grant)(nil).valid(now, 0))
}

// TestLimitOfEarlierIncarnationIsIgnored: a gateway that has not yet seen the restart of an
// endpoint sends the limit of its earlier incarnation. A gateway that has seen it ignores that
// limit, whatever the endpoint's clock showed at either start.
func TestLimitOfEarlierIncarnationIsIgnored(t *testing.T) {
	for name, born := range map[string]int64{"later": 20, "clock set back": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 2, 1)
				first, _ := f.gateways[0].state.Endpoint("e0")
				first.Born = 10
				applyList([]catalog.Endpoint{first}, f.gateways...)
				time.Sleep(2 * time.Second)
				f.setLimit("1", 0)
				f.send(t.Context(), 0, 500)
				time.Sleep(20 * time.Millisecond)
				is.True(f.gateways[1].endpointLimits.Any())
				restarted := first
				restarted.Born = born
				applyList([]catalog.Endpoint{restarted}, f.gateways[0])
				time.Sleep(500 * time.Millisecond) // the other gateway goes on sending the old limit
				is.True(!f.gateways[0].endpointLimits.Any())
			})
		})
	}
}

// TestLimitAdvertisedAfterChoice: a request is not sent to an endpoint that announces a limit after
// it was chosen.
func TestLimitAdvertisedAfterChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 2)
		g := f.gateways[0]
		x := &exchange{g: g, w: httptest.NewRecorder(), r: hostRequest(t.Context()), table: f.table, route: &f.table.Configuration.Routes[0],
			service: &f.table.Configuration.Services[0], started: time.Now(), deadline: time.Now().Add(time.Second)}
		pl, _ := x.findPlacement(t.Context())
		is.True(x.withinLimits(pl, time.Now()))
		res := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Limit": {"1"}}}
		g.recordResponse(pl.endpoint, 0, res, gatewayQuery, "")
		is.True(!x.withinLimits(pl, time.Now()))
		result, _ := x.send(t.Context(), pl)
		is.Equal(result, sendFailed)
		is.True(x.mayRepeat())
		is.Equal(x.attempts, 0)
		res.Header.Del("Limit")
		g.recordResponse(pl.endpoint, g.endpointLimits.Version(pl.endpoint.ID), res, gatewayQuery, "") // the response to a gateway's own query ends no limit
		is.True(g.endpointLimits.Any())
	})
}

// TestGrantOverHTTP: a gateway that is not the coordinator answers with an error, the coordinator
// grants.
func TestGrantOverHTTP(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		writeResponse(w, "200 OK", "Limit: 5\r\n", "x")
	})
	b.readSource()
	server := httptest.NewServer(b.gateway.PeerHandler())
	defer server.Close()
	client := peers.NewClient(0, 0, maxIdleGrantConns)
	post := func(q grantQuestion) (a grantAnswer, err error) {
		err = client.Post(t.Context(), server.URL+pathGrant, q, &a)
		return a, err
	}
	_, err := post(grantQuestion{Service: "s", Endpoints: []string{"a"}})
	is.True(err != nil) // no limit is known
	is.Equal(b.send(t.Context(), "POST", "/safe/x", "", nil).status, 200)
	is.True(b.gateway.endpointLimits.Any())
	for !b.grantable() {
		time.Sleep(10 * time.Millisecond)
	}
	limitedID := "a"
	if _, ok := b.gateway.endpointLimits.Limit("a"); !ok {
		limitedID = "b"
	}
	a, err := post(grantQuestion{Service: "s", Endpoints: []string{limitedID}, WaitMs: 1000})
	is.NoErr(err)
	is.True(a.Endpoint == limitedID || !a.Refused) // the grant may take longer than grantHoldTime
	res, err := http.Post(server.URL+pathGrant, "application/json", http.NoBody)
	is.NoErr(err)
	_ = res.Body.Close()
	is.Equal(res.StatusCode, http.StatusBadRequest)
}

// grantable reports whether the gateway may grant by now.
func (b *testGateway) grantable() bool {
	return b.gateway.endpointLimits.GrantShare(1, time.Now()) > 0
}

// TestIdleConnectionsOfAllGateways: an endpoint takes 264 connections from all gateways together
// and resets any more. When each gateway kept up to 24 idle ones regardless of the others, 24
// gateways kept 576. All together now keep half of what the endpoint takes, but at least one each.
func TestIdleConnectionsOfAllGateways(t *testing.T) {
	const most = 264
	for _, gateways := range []int{1, 4, 6, 24, 100} {
		if all := gateways * maxIdlePerGateway(most, gateways); all > most/idleDivisor {
			t.Errorf("%d gateways keep %d idle connections", gateways, all)
		}
	}
	if maxIdlePerGateway(most, 400) != 1 || maxIdlePerGateway(0, 400) != 0 {
		t.Error("maxIdlePerGateway must be at least 1, and 0 (no bound) if the endpoint sets no maximum")
	}
}

// TestHealthQueriesKeepTheLimit: two gateways query a failing endpoint several times a second, each
// on its own. A limited endpoint got 28 queries in four seconds where it tolerates 8. While an
// endpoint has a limit, a query needs a grant as a request does.
func TestHealthQueriesKeepTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 1)
		time.Sleep(2 * time.Second)
		f.setLimit("0.5", 0)
		f.send(t.Context(), 0, 500)
		time.Sleep(time.Second)
		from := time.Now()
		for range 100 {
			for _, g := range f.gateways {
				g.picker.recordOutcome("e0", health.BadResponse, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("%d queries in the worst four seconds, %d in ten seconds", f.maxInFourSeconds(0, from), f.requestsSince(0, from))
		is.True(float64(f.maxInFourSeconds(0, from)) <= 1.5*4*0.5+5)
		is.True(f.requestsSince(0, from) >= 3) // it is still queried
	})
}

// TestLimitsInSeveralCells: each cell grants for its own engines. If all engines are limited,
// nearly all that the limits permit is used. If a third of one cell's engines are limited, no
// caller is refused and no other cell sends to them.
func TestLimitsInSeveralCells(t *testing.T) {
	cases := map[string]struct {
		limited   []int
		perSecond int
		minUsed   float64 // least used part of the limits
	}{
		"all":               {engineIndexes(150), 300, 0.9},
		"a third of a cell": {[]int{0, 5, 10, 15, 20, 25, 30, 35, 40, 45}, 100, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleetInCells(t, 5, 20, 150)
				time.Sleep(3 * time.Second)
				f.setLimit("1", tc.limited...)
				roundRobin := func(n int) int { return n % 20 }
				f.sendLoad(t, tc.perSecond, 5*time.Second, roundRobin)
				from := time.Now()
				f.mu.Lock()
				f.refusalTimes = nil
				f.mu.Unlock()
				f.sendLoad(t, tc.perSecond, 8*time.Second, roundRobin)
				sent := 0
				for _, e := range tc.limited {
					sent += f.requestsSince(e, from)
					is.True(f.maxInFourSeconds(e, from) <= 1.5*4+5)
				}
				used := float64(sent) / float64(len(tc.limited)*8)
				t.Logf("%.2f of the limits used, %d refused", used, len(f.refusalTimes))
				is.True(used >= tc.minUsed)
				if tc.minUsed == 0 {
					is.Equal(len(f.refusalTimes), 0)
				}
			})
		})
	}
}
