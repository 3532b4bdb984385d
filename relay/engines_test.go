package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/micarudder/micarudder/health"
)

// TestSlowEngines: ten of sixty engines become five times slower in a burst of long prompts. After
// a few late responses all gateways know, and place parts there only if they are prefilled in time.
// All 24 prompts of the next two seconds are in time; 8 were while the placement took all engines
// as equally fast.
func TestSlowEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 20, 60)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.slowdowns = make(map[string]float64)
		for i := range 10 {
			f.slowdowns[addressOf(6*i)] = 5
		}
		f.mu.Unlock()
		roundRobin := func(n int) int { return n % 20 }
		f.burst(t, 12, 190000, roundRobin)
		r := f.burst(t, 12, 190000, roundRobin)
		t.Logf("%+v", r)
		if 100*r.inTime < 95*r.sent {
			t.Errorf("%d of %d in time", r.inTime, r.sent)
		}
	})
}

// TestDeadEngines: when three of sixty engines die, all gateways avoid them within half a second
// after the first failure there, without failures of their own.
func TestDeadEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 20, 60)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.down = map[string]bool{addressOf(3): true, addressOf(4): true, addressOf(5): true}
		f.mu.Unlock()
		for n, id := range []string{"e3", "e4", "e5"} {
			f.gateways[n].picker.recordOutcome(id, health.Unreachable, time.Now())
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range f.gateways {
			for _, id := range []string{"e3", "e4", "e5"} {
				if !f.isSuspect(g, id) {
					t.Errorf("%s does not avoid %s", g.config.Name, id)
				}
			}
		}
		f.mu.Lock()
		tried := f.dials
		f.down = nil
		f.mu.Unlock()
		if tried > 20 {
			t.Errorf("%d connection attempts to dead engines, want 20 at most", tried)
		}
		time.Sleep(3 * time.Second)
		for _, g := range f.gateways {
			if f.isSuspect(g, "e3") {
				t.Errorf("%s avoids a live engine", g.config.Name)
			}
		}
	})
}

// TestIsolatedGatewayDoesNotSpreadSuspicion: a gateway that can reach no engine and reports so does
// not make the others avoid any, although it watches some and is the first to fail there.
func TestIsolatedGatewayDoesNotSpreadSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 20, 60)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.cutOff = map[int]bool{0: true}
		f.mu.Unlock()
		for range 10 {
			for i := range 60 {
				f.gateways[0].picker.recordOutcome(fmt.Sprint("e", i), health.Unreachable, time.Now())
			}
			time.Sleep(200 * time.Millisecond)
			for _, g := range f.gateways[1:] {
				for i := range 60 {
					if f.isSuspect(g, fmt.Sprint("e", i)) {
						t.Fatalf("%s avoids e%d", g.config.Name, i)
					}
				}
			}
		}
	})
}

// isSuspect reports whether a gateway avoids an engine.
func (f *testFleet) isSuspect(g *Gateway, id string) bool {
	g.picker.mu.Lock()
	defer g.picker.mu.Unlock()
	return g.picker.health.Suspect(id, time.Now())
}
