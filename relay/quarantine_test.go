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
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/quarantine"
)

// defaultLoad is the load of the fleet while one request crashes engines.
var defaultLoad = crashLoad{duration: 15 * time.Second, harmlessInterval: 25 * time.Millisecond, crashInterval: 400 * time.Millisecond}

// TestCrashingRequestAcrossCells: the gateways of all cells learn in time of a request that crashes
// engines, even if messages are lost, and few engines crash.
func TestCrashingRequestAcrossCells(t *testing.T) {
	cases := []struct {
		name                           string
		dataCentres, gateways, engines int
		drops                          func(from, to int) bool
		maxCrashes                     int // engines that may crash
	}{
		{"one cell", 1, 5, 18, nil, 6},
		{"three cells", 3, 12, 90, nil, 6},
		{"a third of all messages lost", 3, 12, 90, dropEveryThird(), 8},
		{"one gateway", 1, 1, 6, nil, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCrashFleet(t, tc.dataCentres, tc.gateways, tc.engines)
				c.setDrops(tc.drops)
				time.Sleep(3 * time.Second)
				r := c.run(defaultLoad)
				t.Logf("%+v; %d attempts of the crashing request, %d engines crashed, %d harmless streams on them", r, c.attemptCount(), c.crashCount(), c.brokenHarmless)
				is.True(c.attemptsAfterThird() <= maxAttemptsAfterThird)
				is.True(c.crashCount() <= tc.maxCrashes)
				is.True(r.served >= r.sent*97/100)
				is.Equal(c.refusedHarmless(), 0)
			})
		})
	}
}

func dropEveryThird() func(from, to int) bool {
	n := 0
	return func(_, _ int) bool {
		n++
		return n%3 == 0
	}
}

// refusedHarmless returns how many harmless requests were refused as quarantined.
func (c *crashFleet) refusedHarmless() int {
	n := 0
	for _, g := range c.gateways {
		n += int(g.meter.set.GetOrCreateCounter(`relay_requests_total{outcome="` + string(quarantinedOutcome) + `"}`).Get())
	}
	return n - c.refusedCrashing
}

// TestPartitionedGateway: a gateway that receives no messages while the others detect a crashing
// request acts on its own observations, and on the others' knowledge as soon as it receives
// messages again.
func TestPartitionedGateway(t *testing.T) {
	for _, byPart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCrashFleet(t, 1, 4, 18)
			c.byPart = byPart
			c.setDrops(func(from, to int) bool { return from == 0 || to == 0 })
			time.Sleep(time.Second)
			for range 4 { // the others detect it
				c.call(1, crashPath)
			}
			found := c.attemptCount()
			is.True(found >= 3)
			c.call(0, crashPath) // this gateway does not know of it
			is.True(c.attemptCount() > found)
			c.setDrops(nil)
			time.Sleep(time.Second)
			known := c.attemptCount()
			for range 4 {
				c.attempt(0, crashPath, 0)
			}
			is.Equal(c.attemptCount(), known)
		})
	}
}

// newFleetWithStore returns a small fleet that stores its quarantine entries.
func newFleetWithStore(t *testing.T) (*crashFleet, *testSource) {
	source := &testSource{}
	c := newCrashFleet(t, 1, 3, 18)
	for _, g := range c.gateways {
		g.deps.Source = source
		g.background.Go(g.storeQuarantined)
	}
	time.Sleep(time.Second) // until all gateways have heard from each other
	return c, source
}

// TestQuarantineSurvivesRestart: quarantine entries are stored, and gateways that start load them,
// if necessary as soon as the store is reachable again.
func TestQuarantineSurvivesRestart(t *testing.T) {
	for _, byPart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, source := newFleetWithStore(t)
			c.byPart = byPart
			for range 3 {
				c.call(0, crashPath)
			}
			time.Sleep(time.Second)
			is.Equal(source.storedCount(), 1)
			known := c.attemptCount()

			source.setConfiguration(nil, errors.New("store unavailable"))
			restarted := c.restartedGateways()
			for _, g := range restarted {
				g.background.Go(g.loadQuarantined)
			}
			time.Sleep(time.Second)
			source.setConfiguration(nil, nil)
			for _, g := range restarted {
				g.state.RecordProof(1, time.Now()) // a gateway reads the store again
			}
			time.Sleep(2 * time.Second)
			for _, g := range restarted {
				is.Equal(c.attemptAt(g, crashPath, 0).status, 503)
			}
			is.Equal(c.attemptCount(), known)
		})
	}
}

// TestQuarantineStoredByOthers guards against an entry that is lost because the gateway that saw the crashes ends
// while it cannot reach the store, after the others have learned of them.
func TestQuarantineStoredByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, source := newFleetWithStore(t)
		c.gateways[0].deps.Source = &testSource{err: errors.New("store unavailable")}
		for range 3 {
			c.attempt(0, crashPath, 0)
		}
		time.Sleep(time.Second)
		is.Equal(source.storedCount(), 1)
	})
}

// TestPopularHarmlessRequest: copies of one harmless request are on each of several engines that
// crash. Simultaneous crashes do not count against it. Crashes one after the other do, as for a
// request that causes them, until copies that succeed on more engines than crashed clear it at all
// gateways.
func TestPopularHarmlessRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, source := newFleetWithStore(t)
		c.startDelay = 10 * startDelay // requests queue at the engines
		const path = "/sound/popular"
		const (
			copies      = 60
			maxCopies   = 180 // all slots of the fleet
			crashEvents = 3   // of three engines at once, and twice of one
			crashed     = 5   // engines in these events
		)
		// Only engines that have a copy before the request is quarantined can complete it. They must be more
		// than the crashes, and how many engines a number of copies reaches depends on their placement.
		busy := func() int { engines, _ := c.busyEngines(); return len(engines) }
		var wg sync.WaitGroup
		for n := 0; n < copies || busy() <= crashed+crashEvents; n++ {
			is.True(n < maxCopies)
			wg.Go(func() { c.call(n%3, path) })
			time.Sleep(2 * localDelay) // until the other gateways know of the copy
		}
		verdict := func(g *Gateway) quarantine.Verdict { return g.quarantine.Verdict(c.fingerprint(path), time.Now()) }
		time.Sleep(startDelay)
		c.crashBusy(3)
		time.Sleep(startDelay)
		is.Equal(verdict(c.gateways[0]).CrashesBefore, 1)
		for range crashEvents - 1 {
			is.True(!verdict(c.gateways[0]).Quarantined())
			time.Sleep(startDelay)
			c.crashBusy(1)
		}
		time.Sleep(20 * time.Millisecond)
		is.True(verdict(c.gateways[0]).Quarantined()) // cannot be told from a crashing request yet
		is.True(busy() > crashEvents)
		wg.Wait()
		time.Sleep(time.Second)
		for i, g := range c.gateways {
			is.True(!verdict(g).Quarantined())
			is.True(c.call(i, path))
		}
		is.Equal(source.storedCount(), 0)
	})
}

// TestDrainingEndpointIsNoCrash: the end of an endpoint after it announced that it is draining does
// not count against the long streams that are still on it.
func TestDrainingEndpointIsNoCrash(t *testing.T) {
	is := is.New(t)
	var b *testGateway
	b = newTestGateway(t, func(_ int, _ *bufio.Writer, c *net.TCPConn, _ *http.Request) {
		list, _ := b.source.Endpoints(t.Context())
		for i := range list {
			list[i].Draining = true
		}
		b.gateway.state.ApplyList(list, time.Now(), time.Now(), time.Time{})
		b.crashEndpoint(c)
	})
	b.readSource()
	is.Equal(b.send(t.Context(), "POST", "/once/", "text", nil).status, 502)
	is.Equal(b.gateway.meter.crashes.Get(), uint64(1))
	is.Equal(b.gateway.quarantine.Len(), 0)
}

// TestQuarantineResponses: the caller of a crashing request is told that it may have run as long as
// it is sent. Once it is quarantined, the caller is told at once that it did not run, and when to
// retry.
func TestQuarantineResponses(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/story/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var b *testGateway
			b = newTestGateway(t, func(_ int, _ *bufio.Writer, c *net.TCPConn, _ *http.Request) {
				time.Sleep(60 * time.Millisecond) // endpoints that crash at the same moment count once
				b.crashEndpoint(c)
			})
			b.readSource()
			for id := range 4 {
				b.source.endpoints = append(b.source.endpoints, catalog.Endpoint{ID: strconv.Itoa(id), Service: "s", Address: b.startEndpoint(b.script), Slots: 4})
			}
			b.readSource()
			for b.requestCount() < 3 {
				is.Equal(b.send(t.Context(), "POST", path, "text", nil).status, 502)
			}
			sent := b.requestCount()
			got := b.send(t.Context(), "POST", path, "text", nil)
			is.Equal(got.status, 503)
			seconds, err := strconv.Atoi(got.header.Get("Retry-After"))
			is.NoErr(err)
			is.True(seconds > 0 && seconds <= 1200)
			is.Equal(b.requestCount(), sent)
			// Another request of the same caller is not affected.
			is.Equal(b.send(t.Context(), "POST", path, "another text", nil).status, 502)
			is.Equal(b.requestCount() > sent, true)
		})
	}
}

// TestBodyNotHashedWithoutSuspects: the body of a request is not hashed for a fingerprint unless an
// endpoint crashed under a request with the same head.
func TestBodyNotHashedWithoutSuspects(t *testing.T) {
	is := is.New(t)
	x := &exchange{g: &Gateway{quarantine: newQuarantineTable("g")}, r: &http.Request{Method: "POST", Host: "h", RequestURI: "/a"}, body: &heldmemory.Body{Bytes: []byte("text")}}
	x.checkQuarantine(x.g.quarantine.Check)
	is.True(x.knownFingerprint() == "")
	x.g.quarantine.Change(func(t *quarantine.Table) {
		t.RecordCrash(quarantine.Fingerprint{Head: 1, Body: 1}, quarantine.Crash{At: time.Now()}, time.Now())
	})
	x.checkQuarantine(x.g.quarantine.Check)
	is.True(x.knownFingerprint() == "")
	x.g.quarantine.Change(func(t *quarantine.Table) {
		t.RecordCrash(x.quarantineSubjects().Request.Fingerprint(), quarantine.Crash{At: time.Now()}, time.Now())
	})
	x.checkQuarantine(x.g.quarantine.Check)
	is.True(x.knownFingerprint() != "")
}

// TestOperatorClearsQuarantine: an operator lists the quarantined requests and clears one, which
// all gateways then send again.
func TestOperatorClearsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, source := newFleetWithStore(t)
		for range 3 {
			c.call(0, crashPath)
		}
		time.Sleep(time.Second)
		is.Equal(c.attempt(2, crashPath, 0).status, 503)
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
			is.True(!g.quarantine.Verdict(c.fingerprint(crashPath), time.Now()).Quarantined())
		}
		is.Equal(source.storedCount(), 0)
	})
}

// TestCrashReportsIndependentOfFleetSize: once a quarantined request is known everywhere, the
// reports that a gateway receives of it do not grow with the number of cells, and without one there
// are none. When each cell told all others twice a second, the reports grew: 80 in five cells.
func TestCrashReportsIndependentOfFleetSize(t *testing.T) {
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
				is.Equal(g.quarantine.Verdict(c.fingerprint(crashPath), time.Now()).Quarantined(), crashes > 0)
			}
			c.testFleet.mu.Lock()
			before := slices.Clone(c.crashReports)
			c.testFleet.mu.Unlock()
			time.Sleep(time.Second)
			c.testFleet.mu.Lock()
			defer c.testFleet.mu.Unlock()
			for i := range before {
				most = max(most, c.crashReports[i]-before[i])
			}
		})
		return most
	}
	is := is.New(t)
	is.Equal(quiet(5, 0), 0)
	one, five, ten := quiet(1, 2), quiet(5, 2), quiet(10, 2)
	t.Logf("most reports received by a gateway in a second: %d in one cell, %d in five, %d in ten", one, five, ten)
	is.True(one > 0)
	is.True(five <= 4*one) // representatives also receive the messages of other cells' representatives
	is.True(ten <= five+five/4)
}
