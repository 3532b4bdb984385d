package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
)

const drainHeader = "Leaves: 1\r\n"

// TestDrainIsBroadcast: gateways that got no response from a draining endpoint learn of it from
// peers, also if messages were lost.
func TestDrainIsBroadcast(t *testing.T) {
	for name, lossTime := range map[string]time.Duration{"at once": 0, "messages lost for 5 s": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 6, 4)
				time.Sleep(2 * time.Second)
				f.setDrops(func(int, int) bool { return lossTime > 0 })
				f.setResponse("", drainHeader, 0)
				f.gateways[0].recordResponse(catalog.Endpoint{ID: "e0"}, 0, &http.Response{StatusCode: 200, Header: http.Header{"Leaves": {"1"}}}, callerRequest, "r")
				time.Sleep(lossTime)
				f.setDrops(nil)
				if lossTime > 0 {
					time.Sleep(3 * time.Second) // drain updates are repeated
				}
				time.Sleep(50 * time.Millisecond)
				for _, g := range f.gateways {
					is.True(!g.state.AcceptsRequests("e0", time.Now()))
				}
				began := time.Now()
				f.sendLoad(t, 50, 2*time.Second, func(n int) int { return n % 6 })
				is.Equal(f.requestsSince(0, began), 0)
				is.Equal(len(f.refusalTimes), 0)
			})
		})
	}
}

// checkWithdrawn checks that a request is not sent to its placement, may be placed again, and is
// not counted.
func checkWithdrawn(is *is.I, x *exchange, pl *placement) {
	result, _ := x.send(x.r.Context(), pl)
	is.Equal(result, sendFailed)
	is.True(x.mayRepeat())
	is.Equal(x.attempts, 0)
	is.Equal(x.g.meter.attempts.Get(), uint64(0))
}

// TestDrainAfterChoice: a request is not sent if its endpoint or one of its helpers starts draining
// after it was chosen.
func TestDrainAfterChoice(t *testing.T) {
	for name, draining := range map[string]func(pl *placement) string{
		"the endpoint": func(pl *placement) string { return pl.endpoint.ID },
		"a helper":     func(pl *placement) string { return pl.helpers[0].ID },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 1, 4)
				g := f.gateways[0]
				x, _ := f.exchange(t.Context(), 0, 100_000)
				pl, _ := x.findPlacement(t.Context())
				is.True(pl != nil && len(pl.helpers) > 0)
				g.markDraining(catalog.Endpoint{ID: draining(pl)}, "g", "")
				checkWithdrawn(is, x, pl)
			})
		})
	}
}

// TestAllEndpointsDraining: draining endpoints are still used for availability.LastResortWindow, then callers
// are refused at once. Replacements are used as soon as they are listed.
func TestAllEndpointsDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 2)
		f.setResponse("", drainHeader, 0, 1)
		for range 4 {
			f.send(t.Context(), 0, 500)
		}
		is.Equal(f.answered, 4)
		time.Sleep(availability.LastResortWindow)
		sent := f.requestsSince(0, time.Time{}) + f.requestsSince(1, time.Time{})
		is.Equal(f.send(t.Context(), 0, 500), refusedFull)
		is.Equal(f.refusalTimes, []time.Duration{0})
		is.Equal(f.retryAfters, []string{"1"})
		is.Equal(f.requestsSince(0, time.Time{})+f.requestsSince(1, time.Time{}), sent)
		next := catalog.Endpoint{ID: "e2", Service: "s", Address: addressOf(2), DataCentre: "dc0", Slots: 10}
		f.gateways[0].state.ApplyList([]catalog.Endpoint{next}, time.Now(), time.Now(), time.Time{})
		f.send(t.Context(), 0, 500)
		is.Equal(f.answered, 5)
	})
}

// TestDrainAcrossRestart: a drain statement from just before a restart was noticed may be of the
// new incarnation, so the endpoint is queried.
func TestDrainAcrossRestart(t *testing.T) {
	for name, tc := range map[string]struct {
		headers      string        // of the new incarnation's responses
		statedBefore time.Duration // time before the restart is noticed
		wantQueried  bool
		wantDraining bool
	}{
		"the new incarnation is draining":           {drainHeader, time.Second, true, true},
		"the previous incarnation drained":          {"", time.Second, true, false},
		"the previous incarnation drained long ago": {"", 5 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 1, 2)
				g := f.gateways[0]
				list := g.state.Endpoints("s")
				list = []catalog.Endpoint{list[0], list[1]}
				list[0].Born = 1
				applyList(list, g)
				time.Sleep(10 * time.Second)
				g.markDraining(list[0], "answer", "r")
				time.Sleep(tc.statedBefore - 500*time.Millisecond)
				applyList(list, g)
				time.Sleep(500 * time.Millisecond)
				f.setResponse("", tc.headers, 0, 1)
				began := time.Now()
				list[0].Born = 2
				applyList(list, g)
				is.Equal(!g.state.AcceptsRequests(list[0].ID, time.Now()), tc.wantQueried)
				time.Sleep(100 * time.Millisecond)
				is.Equal(f.requestsSince(0, began)+f.requestsSince(1, began) > 0, tc.wantQueried)
				is.Equal(!g.state.AcceptsRequests(list[0].ID, time.Now()), tc.wantDraining)
				is.Equal(len(g.state.DrainUpdates(true, time.Now())) > 0, tc.wantDraining)
			})
		})
	}
}

// TestDrainReachesOtherCells guards against gateways of other cells that go on sending to an endpoint which
// drains, since only one gateway of its cell has heard it say so.
func TestDrainReachesOtherCells(t *testing.T) {
	const drainTime = 2 * time.Second // the shortest time within which users expect it
	for name, drops := range map[string]func(from, to int) bool{"all messages arrive": nil, "a third of all messages lost": dropEveryThird()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleetInCells(t, 5, 20, 150)
				f.setDrops(drops)
				time.Sleep(3 * time.Second)
				f.gateways[0].recordResponse(catalog.Endpoint{ID: "e0"}, 0, &http.Response{StatusCode: 200, Header: http.Header{"Leaves": {"1"}}}, callerRequest, "r")
				time.Sleep(drainTime)
				for _, g := range f.gateways {
					if g.state.AcceptsRequests("e0", time.Now()) {
						t.Errorf("gateway %s of %s still sends to the endpoint", g.config.Name, g.config.DataCentre)
					}
				}
				is.True(f.gateways[0].state.AcceptsRequests("e1", time.Now()))
			})
		})
	}
}
