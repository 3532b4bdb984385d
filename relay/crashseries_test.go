package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/quarantine"
)

// TestProbeResultsAreNotShared guards against a crash that is not counted because its endpoint broke off a
// response before, and against a restarted endpoint that counts as crashed because its previous incarnation was.
func TestProbeResultsAreNotShared(t *testing.T) {
	cases := []struct {
		name          string
		closed        bool                                   // whether the listener is closed at the first break
		then          func(c *crashFleet, b *brokenExchange) // what happens before the second break
		first, second bool                                   // whether the breaks count as crashes
	}{
		{"crash after a response was broken off", false, func(c *crashFleet, _ *brokenExchange) { c.setDown(true) }, false, true},
		{"response broken off after a restart", true, func(c *crashFleet, b *brokenExchange) { c.setDown(false); b.endpoint.Born++ }, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, first := newBrokenExchange(t)
				g := c.gateways[0]
				c.setDown(tc.closed)
				is.Equal(g.hasCrashed(t.Context(), first), tc.first)
				time.Sleep(200 * time.Millisecond)
				second := first
				second.subjects, second.at = &quarantine.Subjects{Request: quarantine.Request{Target: "/2"}}, time.Now()
				tc.then(c, &second)
				is.Equal(g.hasCrashed(t.Context(), second), tc.second)
				is.Equal(g.quarantine.Verdict(first.subjects.Fingerprint(), time.Now()).CrashesBefore == 1, tc.first)
				is.Equal(g.quarantine.Verdict(second.subjects.Fingerprint(), time.Now()).CrashesBefore == 1, tc.second)
			})
		})
	}
}

// TestDrainLearnedAfterBreak guards against the end of a draining endpoint that counts as a crash because the
// gateway learns of the drain between the break and the end.
func TestDrainLearnedAfterBreak(t *testing.T) {
	for name, drains := range map[string]bool{"drain": true, "crash": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, b := newBrokenExchange(t)
				g := c.gateways[0]
				is.True(!g.hasCrashed(t.Context(), b))
				time.Sleep(5 * time.Millisecond)
				if drains {
					g.state.MarkDraining(b.endpoint, "answer", time.Now())
				}
				c.setDown(true)
				time.Sleep(time.Second)
				is.Equal(g.meter.crashes.Get(), uint64(1))
				is.Equal(g.quarantine.Verdict(b.subjects.Fingerprint(), time.Now()).CrashesBefore == 0, drains)
			})
		})
	}
}

// newBrokenExchange returns a fleet of one gateway and one engine, and an exchange that broke there now.
func newBrokenExchange(t *testing.T) (*crashFleet, brokenExchange) {
	c := newCrashFleet(t, 1, 1, 1)
	time.Sleep(time.Second)
	e := c.gateways[0].state.Endpoints("s")[0]
	subjects := &quarantine.Subjects{Request: quarantine.Request{Target: "/1"}}
	subjects.All() // computes them before another goroutine reads them
	return c, brokenExchange{subjects: subjects, endpoint: e, inUse: true, at: time.Now()}
}

// setDown sets whether the listener of the first engine is closed.
func (c *crashFleet) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines[addressOf(0)].down = down
}

// TestStoppingGatewayHandsOverCrashes guards against crashes that are forgotten because the only gateway that
// saw them is stopped while the others are restarted: they start after its first reports.
func TestStoppingGatewayHandsOverCrashes(t *testing.T) {
	const gateways = 6
	for stopping := range gateways {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCrashFleet(t, 1, gateways, 4)
			time.Sleep(time.Second)
			g, f := c.gateways[stopping], quarantine.Fingerprint{Head: 1}
			g.quarantine.Change(func(q *quarantine.Table) {
				for i := range 3 {
					at := time.Now().Add(time.Duration(i-3) * time.Second)
					q.RecordCrash(f, quarantine.Crash{Endpoint: quarantine.Incarnation(i + 1), At: at}, time.Now())
				}
			})
			g.drain.Begin(drain.Schedule{DrainTime: time.Minute}, time.Now())
			for i, started := range c.gateways { // they start after 2.1 s, without any knowledge
				if i != stopping {
					time.AfterFunc(2100*time.Millisecond, func() {
						started.quarantine.Change(func(q *quarantine.Table) { *q = *quarantine.NewTable() })
					})
				}
			}
			time.Sleep(unreadyDetectionTime)
			for _, other := range c.gateways {
				is.True(other.quarantine.Verdict(f, time.Now()).Quarantined())
			}
		})
	}
}
