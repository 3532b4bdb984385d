package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/micarudder/micarudder/health"
)

// TestSlowEngines: ten of sixty engines turn five times slower in a burst of long prompts.
// Once a few of them were late all gateways know, and parts go there only where they are
// read in time: all 24 prompts of the two seconds after are in time, and 8 of them were
// while the choice took all engines as equally fast.
func TestSlowEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 20, 60)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.paces = make(map[string]float64)
		for i := range 10 {
			f.paces[addressOf(6*i)] = 5
		}
		f.mu.Unlock()
		turn := func(n int) int { return n % 20 }
		f.burst(t, 12, 190000, turn)
		r := f.burst(t, 12, 190000, turn)
		t.Logf("%+v", r)
		if 100*r.inTime < 95*r.asked {
			t.Errorf("%d of %d in time", r.inTime, r.asked)
		}
	})
}

// TestDeadEngines: when three of sixty engines die, all gateways leave them alone within
// half a second after the first of them has failed there, without failing themselves.
func TestDeadEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 20, 60)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.dead = map[string]bool{addressOf(3): true, addressOf(4): true, addressOf(5): true}
		f.mu.Unlock()
		for n, id := range []string{"e3", "e4", "e5"} {
			f.gateways[n].picker.note(id, health.Unreachable, time.Now())
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range f.gateways {
			for _, id := range []string{"e3", "e4", "e5"} {
				if !f.suspects(g, id) {
					t.Errorf("%s does not leave %s alone", g.config.Name, id)
				}
			}
		}
		f.mu.Lock()
		tried := f.dials
		f.dead = nil
		f.mu.Unlock()
		if tried > 20 {
			t.Errorf("%d connections were tried", tried)
		}
		time.Sleep(3 * time.Second)
		for _, g := range f.gateways {
			if f.suspects(g, "e3") {
				t.Errorf("%s leaves a live engine alone", g.config.Name)
			}
		}
	})
}

// TestGatewayThatIsCutOff: one that reaches no engine and says so takes none from the
// others, although it watches some and is the first to fail there.
func TestGatewayThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 20, 60)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.cutOff = map[int]bool{0: true}
		f.mu.Unlock()
		for range 10 {
			for i := range 60 {
				f.gateways[0].picker.note(fmt.Sprint("e", i), health.Unreachable, time.Now())
			}
			time.Sleep(200 * time.Millisecond)
			for _, g := range f.gateways[1:] {
				for i := range 60 {
					if f.suspects(g, fmt.Sprint("e", i)) {
						t.Fatalf("%s leaves e%d alone", g.config.Name, i)
					}
				}
			}
		}
	})
}

// suspects reports whether a gateway leaves an engine alone.
func (f *testFleet) suspects(g *Gateway, id string) bool {
	g.picker.mu.Lock()
	defer g.picker.mu.Unlock()
	return g.picker.health.Suspect(id, time.Now())
}
