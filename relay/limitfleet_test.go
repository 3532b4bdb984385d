package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/ratelimit"
	"github.com/micarudder/micarudder/upstream"
)

// limitFleet is a fleet under virtual time whose engines may name limits.
type limitFleet struct {
	*testFleet
	mu       sync.Mutex
	limits   map[string]string // by address
	arrivals map[string][]time.Time
	silent   map[string]bool // gateways that answer no questions of others
	answered int
	refused  []time.Duration // how long each refusal took
	told     []string        // times to come back, of the refusals
}

func newLimitFleet(t *testing.T, gateways, engines int) *limitFleet {
	return newLimitCells(t, 1, gateways, engines)
}

func newLimitCells(t *testing.T, dataCentres, gateways, engines int) *limitFleet {
	f := &limitFleet{testFleet: newFleet(t, dataCentres, gateways, engines), limits: make(map[string]string), arrivals: make(map[string][]time.Time), silent: make(map[string]bool)}
	f.connect = f.dialEngine
	for _, g := range f.gateways {
		g.askCoordinator = f.question
	}
	return f
}

// question carries a question to another gateway.
func (f *limitFleet) question(ctx context.Context, name string, q grantQuestion) (grantAnswer, error) {
	time.Sleep(nearDelay)
	defer time.Sleep(nearDelay)
	f.mu.Lock()
	silent := f.silent[name]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return grantAnswer{}, ctx.Err()
	}
	i := slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.config.Name == name })
	return f.gateways[i].keepQuestion(ctx, q)
}

// dialEngine connects to an engine that answers at once and names its limit.
func (f *limitFleet) dialEngine(_ int, address string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		br := bufio.NewReader(far)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			f.mu.Lock()
			f.arrivals[address] = append(f.arrivals[address], time.Now())
			limit := f.limits[address]
			f.mu.Unlock()
			line := ""
			if limit != "" {
				line = "Limit: " + limit + "\r\n"
			}
			if _, err := fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nPace: 1\r\n%sContent-Length: 0\r\n\r\n", line); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// name makes engines name a limit from now on; empty: none.
func (f *limitFleet) name(limit string, engines ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range engines {
		f.limits[addressOf(e)] = limit
	}
}

// since returns how many requests an engine got since a time.
func (f *limitFleet) since(engine int, at time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.arrivals[addressOf(engine)] {
		if !a.Before(at) {
			n++
		}
	}
	return n
}

// worst returns the most requests that an engine got in four seconds since a time.
func (f *limitFleet) worst(engine int, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.arrivals[addressOf(engine)]
	most := 0
	for i, from := range list {
		if from.Before(since) {
			continue
		}
		n := 0
		for _, at := range list[i:] {
			if at.Sub(from) < 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// hostRequest returns a caller's request for the fleet's route.
func hostRequest(ctx context.Context) *http.Request {
	r := httptest.NewRequestWithContext(ctx, "POST", "/", nil)
	r.Host = "h"
	return r
}

// send plays a caller's request at a gateway as ServeHTTP does.
func (f *limitFleet) send(ctx context.Context, gateway, tokens int) outcome {
	began := time.Now()
	w := httptest.NewRecorder()
	x := &exchange{
		g: f.gateways[gateway], w: w, r: hostRequest(ctx), call: Call{ID: "r", Input: tokens, Output: 10},
		table: f.table, route: &f.table.Configuration.Routes[0], service: &f.table.Configuration.Services[0], started: began, deadline: began.Add(15 * time.Second),
	}
	o := x.run()
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.Code == http.StatusServiceUnavailable {
		f.refused = append(f.refused, time.Since(began))
		f.told = append(f.told, w.Header().Get("Retry-After"))
	} else {
		f.answered++
	}
	return o
}

// load sends short requests at gateways in turn, so many times a second, for so long.
func (f *limitFleet) load(t *testing.T, perSecond int, length time.Duration, at func(n int) int) {
	var all sync.WaitGroup
	for n := range int(length.Seconds() * float64(perSecond)) {
		all.Go(func() { f.send(t.Context(), at(n), 500) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	all.Wait()
}

func engines(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

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
		time.Sleep(time.Second)
		_, limited := f.gateways[late].limits.limit("e0")
		is.True(limited)
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
			g.state.Listed([]catalog.Endpoint{first}, time.Now(), time.Time{})
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
			for _, c := range g.state.Listed([]catalog.Endpoint{again}, time.Now(), time.Time{}) {
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
		g.noteLimit(at.endpoint, 0, res, ownQuestion, "")
		is.True(!x.withinLimits(at, time.Now()))
		_, again := x.attempt(t.Context(), at)
		is.True(again)
		is.True(x.mayRepeat())
		is.Equal(x.attempts, 0)
		res.Header.Del("Limit")
		g.noteLimit(at.endpoint, g.limits.version(at.endpoint.ID), res, ownQuestion, "") // a question ends none
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

// BenchmarkLimitedChoice measures what 290 limits among 2,900 endpoints of 16 cells add to a choice. docs/CAPACITY.md has the figures.
func BenchmarkLimitedChoice(b *testing.B) {
	for name, limited := range map[string]int{"none": 0, "a tenth": 10} {
		b.Run(name, func(b *testing.B) {
			p, s := enginePicker(0)
			var list []catalog.Endpoint
			now := time.Now()
			for n := range 2900 {
				e := catalog.Endpoint{ID: fmt.Sprintf("i-%010d", n), Service: s.Name, Address: addressOf(n), DataCentre: fmt.Sprintf("dc%02d", n%16), Slots: 16}
				list = append(list, e)
				if limited > 0 && n%limited == 0 {
					p.limits.answered(e, 0, ratelimit.Named{Is: true, PerSecond: 1.9}, now)
				}
			}
			p.dataCentre = "dc03"
			p.state.Listed(list, now, time.Time{})
			w := balance.Work{InputTokens: 500, OutputTokens: 10, LeftMs: 300, DeadlineMs: 2000}
			b.ResetTimer()
			for range b.N {
				if at, _, _ := p.pick(s, w, allCold, time.Now()); at != nil {
					at.release()
				}
			}
		})
	}
}

// BenchmarkGrant measures a question over HTTP and its answer at the coordinator, both sides together.
func BenchmarkGrant(b *testing.B) {
	g := New(Config{Name: "g", Policy: balance.Default()}, Deps{Protocol: testProtocol{}, Log: eventlog.New(io.Discard, eventlog.Options{Level: log.ErrorLevel, LinesPerSecond: 1}),
		Metrics: metrics.NewSet(), Endpoints: upstream.New(upstream.Options{})})
	e := catalog.Endpoint{ID: "e"}
	g.limits.answered(e, 0, ratelimit.Named{Is: true, PerSecond: 1e9}, time.Now())
	g.limits.choose(false, time.Now().Add(-time.Minute))
	server := httptest.NewServer(g.PeerHandler())
	defer server.Close()
	client := newGrantClient(0)
	b.ResetTimer()
	for range b.N {
		var a grantAnswer
		if err := client.post(b.Context(), server.URL+pathGrant, grantQuestion{Service: "s", Endpoints: []string{"e"}, WaitMs: 100}, &a); err != nil {
			b.Fatal(err)
		}
	}
}
