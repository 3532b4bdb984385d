package relay

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/quarantine"
)

// usualLoad is what the fleet's callers ask for while one request crashes engines.
var usualLoad = load{length: 15 * time.Second, soundEvery: 25 * time.Millisecond, crashEvery: 400 * time.Millisecond}

// TestCrashingRequestEverywhere: gateways of all cells hear in time of a request that crashes
// engines, also where words get lost, and it ends few engines.
func TestCrashingRequestEverywhere(t *testing.T) {
	cases := []struct {
		name                           string
		dataCentres, gateways, engines int
		lose                           func(from, to int) bool
		most                           int // engines that may end
	}{
		{"one cell", 1, 5, 18, nil, 6},
		{"three cells", 3, 12, 90, nil, 6},
		{"a third of all words lost", 3, 12, 90, everyThird(), 8},
		{"one gateway", 1, 1, 6, nil, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCrashFleet(t, tc.dataCentres, tc.gateways, tc.engines)
				c.setLose(tc.lose)
				time.Sleep(3 * time.Second)
				r := c.play(usualLoad)
				t.Logf("%+v; %d sends of the crashing request, %d engines ended, %d sound streams on them", r, c.sendCount(), c.crashCount(), c.broken)
				is.True(c.sentAfterThird() <= mostAfterThird)
				is.True(c.crashCount() <= tc.most)
				is.True(r.served >= r.asked*97/100)
				is.Equal(c.refusedSound(), 0)
			})
		})
	}
}

func everyThird() func(from, to int) bool {
	n := 0
	return func(_, _ int) bool {
		n++
		return n%3 == 0
	}
}

// refusedSound returns how many sound requests were refused as crashing ones.
func (c *crashFleet) refusedSound() int {
	n := 0
	for _, g := range c.gateways {
		n += int(g.meter.set.GetOrCreateCounter(`relay_requests_total{outcome="` + string(quarantinedEnd) + `"}`).Get())
	}
	return n - c.refusedCrashing
}

// TestGatewayOutOfTouch: a gateway that hears nobody while the others find a request out
// goes by what it sees itself, and by what the others know as soon as it hears them again.
func TestGatewayOutOfTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCrashFleet(t, 1, 4, 18)
		c.setLose(func(from, to int) bool { return from == 0 || to == 0 })
		time.Sleep(time.Second)
		for range 4 { // the others find it out
			c.call(1, crashPath)
		}
		found := c.sendCount()
		is.True(found >= 3)
		c.call(0, crashPath) // it knows nothing
		is.True(c.sendCount() > found)
		c.setLose(nil)
		time.Sleep(time.Second)
		known := c.sendCount()
		for range 4 {
			c.try(0, crashPath, 0)
		}
		is.Equal(c.sendCount(), known)
	})
}

// newKeepingFleet is a small fleet that keeps what it finds out in a store.
func newKeepingFleet(t *testing.T) (*crashFleet, *testSource) {
	source := &testSource{}
	c := newCrashFleet(t, 1, 3, 18)
	for _, g := range c.gateways {
		g.deps.Source = source
		g.tasks.Go(g.keepQuarantined)
	}
	time.Sleep(time.Second) // they hear each other
	return c, source
}

// TestAllGatewaysStartAgain: what gateways found out of a request is kept in the store, and
// processes that start know it, if need be as soon as the store is back.
func TestAllGatewaysStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, source := newKeepingFleet(t)
		for range 3 {
			c.call(0, crashPath)
		}
		time.Sleep(time.Second)
		is.Equal(source.keptCount(), 1)
		known := c.sendCount()

		source.set(nil, errors.New("the store is away"))
		fresh := c.freshGateways()
		for _, g := range fresh {
			g.tasks.Go(g.recallQuarantined)
		}
		time.Sleep(time.Second)
		source.set(nil, nil)
		for _, g := range fresh {
			g.state.Prove(1, time.Now()) // somebody reads the store again
		}
		time.Sleep(2 * time.Second)
		for _, g := range fresh {
			is.Equal(c.tryAt(g, crashPath, 0).status, 503)
		}
		is.Equal(c.sendCount(), known)
	})
}

// TestSoundRequestOfManyCallers: the same work, asked for many times at once, is on each of
// several engines that end. If they end together that is no sign against it; one after
// the other, as under a request that crashes them, it is, until a copy that ends well
// elsewhere clears it, everywhere.
func TestSoundRequestOfManyCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, source := newKeepingFleet(t)
		c.begin = 10 * beginTime // it waits for its turn at the engines
		const path = "/sound/popular"
		var all sync.WaitGroup
		for n := range 60 {
			all.Go(func() { c.call(n%3, path) })
		}
		verdict := func(g *Gateway) quarantine.Verdict { return g.quarantined.verdict(c.fingerprint(path), time.Now()) }
		time.Sleep(beginTime)
		c.crashBusy(3)
		time.Sleep(beginTime)
		is.Equal(verdict(c.gateways[0]).Before, 1)
		for range 2 {
			is.True(!verdict(c.gateways[0]).Quarantined())
			time.Sleep(beginTime)
			c.crashBusy(1)
		}
		time.Sleep(20 * time.Millisecond)
		is.True(verdict(c.gateways[0]).Quarantined()) // nothing tells it from a crashing one yet
		all.Wait()
		time.Sleep(time.Second)
		for i, g := range c.gateways {
			is.True(!verdict(g).Quarantined())
			is.True(c.call(i, path))
		}
		is.Equal(source.keptCount(), 0)
	})
}

// TestPlannedEnds: endpoints that end after they said that they leave, with long streams still
// on them, say nothing against these.
func TestPlannedEnds(t *testing.T) {
	is := is.New(t)
	var b *bench
	b = newBench(t, func(_ int, _ *bufio.Writer, c *net.TCPConn, _ *http.Request) {
		list, _ := b.source.Endpoints(t.Context())
		for i := range list {
			list[i].Draining = true
		}
		b.gateway.state.Listed(list, time.Now(), time.Now(), time.Time{})
		b.crash(c)
	})
	b.know()
	is.Equal(b.ask(t.Context(), "POST", "/once/", "text", nil).status, 502)
	is.Equal(b.gateway.meter.crashes.Get(), uint64(1))
	is.Equal(b.gateway.quarantined.known.Load(), int64(0))
}

// TestWhatTheCallerHears: a caller whose request crashed endpoints hears that it may have run
// as long as it was sent, and once it is quarantined, at once, that it was not, and when to come
// back.
func TestWhatTheCallerHears(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/story/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var b *bench
			b = newBench(t, func(_ int, _ *bufio.Writer, c *net.TCPConn, _ *http.Request) {
				time.Sleep(60 * time.Millisecond) // endpoints that end together count once
				b.crash(c)
			})
			b.know()
			for id := range 4 {
				b.source.endpoints = append(b.source.endpoints, catalog.Endpoint{ID: strconv.Itoa(id), Service: "s", Address: b.endpoint(b.play), Slots: 4})
			}
			b.know()
			for b.arrivals() < 3 {
				is.Equal(b.ask(t.Context(), "POST", path, "text", nil).status, 502)
			}
			sent := b.arrivals()
			got := b.ask(t.Context(), "POST", path, "text", nil)
			is.Equal(got.status, 503)
			seconds, err := strconv.Atoi(got.header.Get("Retry-After"))
			is.NoErr(err)
			is.True(seconds > 0 && seconds <= 1200)
			is.Equal(b.arrivals(), sent)
			// Another request of the same caller is none of that.
			is.Equal(b.ask(t.Context(), "POST", path, "another text", nil).status, 502)
			is.Equal(b.arrivals() > sent, true)
		})
	}
}

// TestRequestsCostNothingWhileNoneIsKnown: the body of a request is not read for a
// fingerprint unless one with the same head crashed an endpoint.
func TestRequestsCostNothingWhileNoneIsKnown(t *testing.T) {
	is := is.New(t)
	x := &exchange{g: &Gateway{quarantined: newQuarantined()}, r: &http.Request{Method: "POST", Host: "h", RequestURI: "/a"}, body: []byte("text")}
	x.admissible()
	is.True(x.fingerprint == nil)
	x.g.quarantined.change(func(t *quarantine.Table) {
		t.Crashed(quarantine.Fingerprint{Head: 1, Body: 1}, quarantine.Crash{At: time.Now()}, time.Now())
	})
	x.admissible()
	is.True(x.fingerprint == nil)
	x.g.quarantined.change(func(t *quarantine.Table) {
		t.Crashed(x.work().Fingerprint(), quarantine.Crash{At: time.Now()}, time.Now())
	})
	x.admissible()
	is.True(x.fingerprint != nil)
}

// TestOperatorClears: an operator sees what stands against requests, and lets one be sent
// again at all gateways.
func TestOperatorClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, source := newKeepingFleet(t)
		for range 3 {
			c.call(0, crashPath)
		}
		time.Sleep(time.Second)
		is.Equal(c.try(2, crashPath, 0).status, 503)
		operator := func(method, path string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			c.gateways[1].PeerHandler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
			return w
		}
		var list []quarantine.Listing
		is.NoErr(json.Unmarshal(operator("GET", PathQuarantine).Body.Bytes(), &list))
		is.Equal(len(list), 1)
		is.Equal(list[0].Fingerprint, c.fingerprint(crashPath).String())
		is.True(list[0].ForMs > 0)
		is.Equal(operator("DELETE", PathQuarantine+"/x").Code, 400)
		is.Equal(operator("DELETE", PathQuarantine+"/"+c.fingerprint("/other").String()).Code, 404)
		is.Equal(operator("DELETE", PathQuarantine+"/"+list[0].Fingerprint).Code, 200)
		time.Sleep(time.Second)
		for _, g := range c.gateways {
			is.True(!g.quarantined.verdict(c.fingerprint(crashPath), time.Now()).Quarantined())
		}
		is.Equal(source.keptCount(), 0)
	})
}

// TestReportsDoNotGrowWithTheFleet: what a gateway hears of one quarantined request, once it is
// known everywhere, does not grow with the number of cells, and is nothing where there is
// none. It grew with it while each cell told all others twice a second: 80 reports in five cells.
func TestReportsDoNotGrowWithTheFleet(t *testing.T) {
	quiet := func(dataCentres, crashes int) (most int) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCrashFleet(t, dataCentres, 6*dataCentres, 30*dataCentres)
			time.Sleep(3 * time.Second)
			for range crashes {
				c.call(0, crashPath)
			}
			time.Sleep(5 * time.Second)
			for _, g := range c.gateways {
				is.Equal(g.quarantined.verdict(c.fingerprint(crashPath), time.Now()).Quarantined(), crashes > 0)
			}
			c.testFleet.mu.Lock()
			before := slices.Clone(c.heard)
			c.testFleet.mu.Unlock()
			time.Sleep(time.Second)
			c.testFleet.mu.Lock()
			defer c.testFleet.mu.Unlock()
			for i := range before {
				most = max(most, c.heard[i]-before[i])
			}
		})
		return most
	}
	is := is.New(t)
	is.Equal(quiet(5, 0), 0)
	one, five, ten := quiet(1, 2), quiet(5, 2), quiet(10, 2)
	t.Logf("reports heard in a second by the gateway that hears most: %d in one cell, %d in five, %d in ten", one, five, ten)
	is.True(one > 0)
	is.True(five <= 4*one) // those that speak hear the other cells' speakers, too
	is.True(ten <= five+five/4)
}
