package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/ratelimit"
)

// TestLimitsOfAllAreKeptAndUsed: all engines name a limit; none gets more than it tolerates, nearly all that they take
// is served, also where one gateway alone is asked, and whoever is refused hears of it within the time that it may wait.
func TestLimitsOfAllAreKeptAndUsed(t *testing.T) {
	cases := map[string]struct {
		gateways, engines, perSecond int
		limit                        float64
		at                           func(n int) int
	}{
		"6 gateways":             {6, 4, 40, 1.9, func(n int) int { return n % 6 }},
		"24 gateways":            {24, 10, 100, 1.9, func(n int) int { return n % 24 }},
		"24 gateways, one asked": {24, 10, 100, 1.9, func(int) int { return 7 }},
		"24 gateways, less than one in four seconds for each": {24, 10, 10, 0.5, func(n int) int { return n % 24 }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, tc.gateways, tc.engines)
				time.Sleep(2 * time.Second)
				f.name(fmt.Sprint(tc.limit), engines(tc.engines)...)
				f.load(t, tc.perSecond, 5*time.Second, tc.at)
				from := time.Now()
				f.mu.Lock()
				f.refused = nil
				f.mu.Unlock()
				const length = 20 * time.Second
				f.load(t, tc.perSecond, length, tc.at)
				got := 0
				for e := range tc.engines {
					got += f.since(e, from)
					is.True(float64(f.worst(e, from)) <= 1.5*4*tc.limit+5)
				}
				used := float64(got) / (tc.limit * float64(tc.engines) * length.Seconds())
				t.Logf("%.2f of the limits used, %d refused", used, len(f.refused))
				is.True(used >= 0.9)
				is.True(slices.Max(f.refused) <= 3*time.Second*waitShare/100)
			})
		})
	}
}

// TestLimitEnds: while other engines have room, an engine whose need is over gets its part again a few seconds later,
// though all gateways had kept away from it.
func TestLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 24, 4)
		time.Sleep(2 * time.Second)
		f.name("0.5", engines(3)...)
		turn := func(n int) int { return n % 24 }
		f.load(t, 40, 6*time.Second, turn)
		is.True(f.gateways[5].limits.any())
		f.name("", engines(3)...)
		f.load(t, 40, 5*time.Second, turn)
		for _, g := range f.gateways {
			is.True(!g.limits.any())
		}
		is.Equal(len(f.refused), 0)
	})
}

// TestLimitIsToldBeforeItIsMet: gateways that only heard of a limit keep it too, and one that starts learns of it.
func TestLimitIsToldBeforeItIsMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 1)
		late := 5
		f.setLose(func(from, to int) bool { return from == late || to == late })
		time.Sleep(2 * time.Second)
		f.name("1", 0)
		f.send(t.Context(), 0, 500)
		time.Sleep(50 * time.Millisecond)
		for i, g := range f.gateways {
			_, limited := g.limits.limit("e0")
			is.Equal(limited, i != late)
		}
		time.Sleep(5 * time.Second) // it is not news any more
		f.setLose(nil)
		time.Sleep(newcomerEvery + 2*tellEvery)
		_, limited := f.gateways[late].limits.limit("e0")
		is.True(limited)
	})
}

// TestLimitEndsWhileRequestsWait: requests that wait for their turn when the limits end are served at once, not refused.
func TestLimitEndsWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 4)
		time.Sleep(2 * time.Second)
		f.name("2", engines(4)...)
		turn := func(n int) int { return n % 6 }
		f.load(t, 40, 2*time.Second, turn)
		time.Sleep(2 * time.Second) // each has saved two sends, and will take another one in half a second
		f.mu.Lock()
		f.refused, f.answered = nil, 0
		f.mu.Unlock()
		var all sync.WaitGroup
		for n := range 12 {
			all.Go(func() { f.send(t.Context(), turn(n), 500) })
		}
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		waiting := f.answered < 12
		f.mu.Unlock()
		is.True(waiting)
		for _, g := range f.gateways {
			for e := range 4 {
				endpoint, _ := g.state.Endpoint(fmt.Sprint("e", e))
				g.limits.answered(endpoint, g.limits.version(endpoint.ID), ratelimit.Named{}, time.Now())
			}
		}
		all.Wait()
		is.Equal(len(f.refused), 0)
		is.Equal(f.answered, 12)
	})
}

// TestCoordinatorFallsSilent: nothing is granted for as long as it takes to notice, then another one grants; what the
// engines get stays within what they tolerate.
func TestCoordinatorFallsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 4)
		time.Sleep(2 * time.Second)
		f.name("2", engines(4)...)
		turn := func(n int) int { return n % 6 }
		f.load(t, 40, 4*time.Second, turn)
		first := f.gateways[0].limits.coordinatorName()
		gone := slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.config.Name == first })
		f.mu.Lock()
		f.silent[first] = true
		f.mu.Unlock()
		f.setLose(func(from, to int) bool { return from == gone || to == gone })
		others := func(n int) int { return (gone + 1 + n%5) % 6 }
		f.load(t, 40, 2*time.Second, others)
		from := time.Now()
		f.load(t, 40, 8*time.Second, others)
		is.True(f.gateways[(gone+1)%6].limits.coordinatorName() != first)
		got := 0
		for e := range 4 {
			got += f.since(e, from)
			is.True(f.worst(e, from.Add(-6*time.Second)) <= 1.5*4*2+5)
		}
		is.True(float64(got) >= 0.9*2*4*8)
	})
}

// TestHalvesKeepTheLimit: gateways that hear only every other one follow two coordinators; what both grant together stays within
// what the engines tolerate, and is used.
func TestHalvesKeepTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 4)
		time.Sleep(2 * time.Second)
		f.name("4", engines(4)...)
		turn := func(n int) int { return n % 6 }
		f.load(t, 60, 4*time.Second, turn)
		from := time.Now()
		f.setLose(func(from, to int) bool { return from%2 != to%2 })
		f.load(t, 60, 10*time.Second, turn)
		is.True(f.gateways[0].limits.coordinatorName() != f.gateways[1].limits.coordinatorName())
		got := 0
		for e := range 4 {
			got += f.since(e, from)
			is.True(f.worst(e, from) <= 1.5*4*4+5)
		}
		is.True(float64(got) >= 0.9*4*4*10)
	})
}

// TestSoundEndpointsRefuseNothing: while one of several engines has a limit no caller is refused, no second send is paid
// for it, and prompts that are read in parts keep away from it.
func TestSoundEndpointsRefuseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 6)
		time.Sleep(2 * time.Second)
		f.name("1", 0)
		turn := func(n int) int { return n % 6 }
		f.load(t, 40, 4*time.Second, turn)
		from := time.Now()
		var all sync.WaitGroup
		for n := range 20 {
			all.Go(func() { is.Equal(f.send(t.Context(), n%6, 60_000), answered) })
			time.Sleep(100 * time.Millisecond)
		}
		all.Wait()
		f.load(t, 40, 4*time.Second, turn)
		is.Equal(len(f.refused), 0)
		is.True(f.worst(0, from) <= 1.5*4*1+5)
		for _, g := range f.gateways {
			is.Equal(g.meter.retries.Get(), uint64(0))
		}
	})
}

// TestNewLifeInheritsNoLimit: an endpoint that has started again, under the same name, is used as before.
func TestNewLifeInheritsNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 2, 1)
		first, err := f.gateways[0].state.Endpoint("e0")
		is.True(err)
		first.Born = 1
		for _, g := range f.gateways {
			g.state.Listed([]catalog.Endpoint{first}, time.Now(), time.Now(), time.Time{})
		}
		time.Sleep(2 * time.Second)
		f.name("1", 0)
		f.send(t.Context(), 0, 500)
		time.Sleep(100 * time.Millisecond)
		is.True(f.gateways[1].limits.any())
		f.name("", 0)
		again := first
		again.Born = 2
		for _, g := range f.gateways {
			for _, c := range g.state.Listed([]catalog.Endpoint{again}, time.Now(), time.Now(), time.Time{}) {
				g.memberChanged(c)
			}
		}
		f.send(t.Context(), 0, 500)
		time.Sleep(time.Second)
		for _, g := range f.gateways {
			is.True(!g.limits.any())
		}
	})
}

// TestGrantLapses: a gateway that stood still between grant and send does not send.
func TestGrantLapses(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := &grant{endpoint: "e", until: now.Add(grantTime), suspended: time.Second}
	is.True(g.holds(now, time.Second))
	is.True(!g.holds(now.Add(grantTime), time.Second))
	is.True(!g.holds(now, 2*time.Second)) // its host was suspended
	is.True(!(*grant)(nil).holds(now, 0))
}

// TestOldNewsOfAnEarlierLife: a gateway that has not seen yet that an endpoint started again tells what its earlier life named; one
// that has seen it does not believe that, whatever the endpoint's clock said at either start.
func TestOldNewsOfAnEarlierLife(t *testing.T) {
	for name, born := range map[string]int64{"later": 20, "clock set back": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 2, 1)
				first, _ := f.gateways[0].state.Endpoint("e0")
				first.Born = 10
				for _, g := range f.gateways {
					g.state.Listed([]catalog.Endpoint{first}, time.Now(), time.Now(), time.Time{})
				}
				time.Sleep(2 * time.Second)
				f.name("1", 0)
				f.send(t.Context(), 0, 500)
				time.Sleep(20 * time.Millisecond)
				is.True(f.gateways[1].limits.any())
				again := first
				again.Born = born
				for _, c := range f.gateways[0].state.Listed([]catalog.Endpoint{again}, time.Now(), time.Now(), time.Time{}) {
					f.gateways[0].memberChanged(c)
				}
				time.Sleep(500 * time.Millisecond) // the other one goes on telling
				is.True(!f.gateways[0].limits.any())
			})
		})
	}
}

// TestNamedWhileChosen: a request whose endpoint names a limit after it was chosen does not go there.
func TestNamedWhileChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 2)
		g := f.gateways[0]
		x := &exchange{g: g, w: httptest.NewRecorder(), r: hostRequest(t.Context()), table: f.table, route: &f.table.Configuration.Routes[0],
			service: &f.table.Configuration.Services[0], started: time.Now(), deadline: time.Now().Add(time.Second)}
		at, _ := x.place(t.Context())
		is.True(x.withinLimits(at, time.Now()))
		res := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Limit": {"1"}}}
		g.noteAnswer(at.endpoint, 0, res, ownQuestion, "")
		is.True(!x.withinLimits(at, time.Now()))
		_, again := x.attempt(t.Context(), at)
		is.True(again)
		is.True(x.mayRepeat())
		is.Equal(x.attempts, 0)
		res.Header.Del("Limit")
		g.noteAnswer(at.endpoint, g.limits.version(at.endpoint.ID), res, ownQuestion, "") // a question ends none
		is.True(g.limits.any())
	})
}

// TestGrantOverHTTP: a gateway that does not coordinate says so, and one that does grants.
func TestGrantOverHTTP(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		answer(w, "200 OK", "Limit: 5\r\n", "x")
	})
	b.know()
	server := httptest.NewServer(b.gateway.PeerHandler())
	defer server.Close()
	client := newGrantClient(int(netip.MustParseAddrPort(server.Listener.Addr().String()).Port()))
	ask := func(q grantQuestion) (a grantAnswer, err error) {
		err = client.post(t.Context(), server.URL+pathGrant, q, &a)
		return a, err
	}
	_, err := ask(grantQuestion{Service: "s", Endpoints: []string{"a"}})
	is.True(err != nil) // no limit is known
	is.Equal(b.ask(t.Context(), "POST", "/safe/x", "", nil).status, 200)
	is.True(b.gateway.limits.any())
	for !b.grantable() {
		time.Sleep(10 * time.Millisecond)
	}
	named := "a"
	if _, ok := b.gateway.limits.limit("a"); !ok {
		named = "b"
	}
	a, err := ask(grantQuestion{Service: "s", Endpoints: []string{named}, WaitMs: 1000})
	is.NoErr(err)
	is.True(a.Endpoint == named || !a.Refused) // it may be kept for longer than a question is
	res, err := http.Post(server.URL+pathGrant, "application/json", http.NoBody)
	is.NoErr(err)
	_ = res.Body.Close()
	is.Equal(res.StatusCode, http.StatusBadRequest)
}

// grantable reports whether the gateway grants by now.
func (b *bench) grantable() bool {
	l := b.gateway.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.votes.Share(1, time.Now()) > 0
}

// TestIdleConnectionsOfAllGateways: an endpoint takes 264 connections from all gateways together and resets more. Each kept up to 24
// to it without use, whatever the others did: 576 with 24 gateways. All together they now keep half of what it takes, as
// long as that is one for each.
func TestIdleConnectionsOfAllGateways(t *testing.T) {
	const most = 264
	for _, gateways := range []int{1, 4, 6, 24, 100} {
		if all := gateways * idleShare(most, gateways); all > most/idlePart {
			t.Errorf("%d gateways keep %d connections", gateways, all)
		}
	}
	if idleShare(most, 400) != 1 || idleShare(0, 400) != 0 {
		t.Error("a gateway keeps one connection, or as many as it likes where endpoints do not say")
	}
}

// TestQuestionsKeepTheLimit: gateways ask an endpoint that fails requests about itself several times a second, two of them each for
// its own. One in need got 28 questions in four seconds where it tolerates 8. While it has a limit, a question needs a grant as a request does.
func TestQuestionsKeepTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 6, 1)
		time.Sleep(2 * time.Second)
		f.name("0.5", 0)
		f.send(t.Context(), 0, 500)
		time.Sleep(time.Second)
		from := time.Now()
		for range 100 {
			for _, g := range f.gateways {
				g.picker.note("e0", health.Bad, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("%d questions in the worst four seconds, %d in ten", f.worst(0, from), f.since(0, from))
		is.True(float64(f.worst(0, from)) <= 1.5*4*0.5+5)
		is.True(f.since(0, from) >= 3) // it is still asked
	})
}

// TestLimitsInSeveralCells: each cell grants for its own engines. All of them limited, nearly all that they take is served; a third
// of one cell's limited, nobody is refused and no other cell sends there.
func TestLimitsInSeveralCells(t *testing.T) {
	cases := map[string]struct {
		limited   []int
		perSecond int
		least     float64 // of the limits that is used
	}{
		"all":               {engines(150), 300, 0.9},
		"a third of a cell": {[]int{0, 5, 10, 15, 20, 25, 30, 35, 40, 45}, 100, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitCells(t, 5, 20, 150)
				time.Sleep(3 * time.Second)
				f.name("1", tc.limited...)
				turn := func(n int) int { return n % 20 }
				f.load(t, tc.perSecond, 5*time.Second, turn)
				from := time.Now()
				f.mu.Lock()
				f.refused = nil
				f.mu.Unlock()
				f.load(t, tc.perSecond, 8*time.Second, turn)
				got := 0
				for _, e := range tc.limited {
					got += f.since(e, from)
					is.True(f.worst(e, from) <= 1.5*4+5)
				}
				used := float64(got) / float64(len(tc.limited)*8)
				t.Logf("%.2f of the limits used, %d refused", used, len(f.refused))
				is.True(used >= tc.least)
				if tc.least == 0 {
					is.Equal(len(f.refused), 0)
				}
			})
		})
	}
}
