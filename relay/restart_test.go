package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/recipients"
)

// restartTest has gateways that start beside a store with a withdrawn key: version 9 of the configuration has one key
// less than version 7.
type restartTest struct {
	t                *testing.T
	source           *testSource
	older, withdrawn *catalog.Configuration
}

func newRestartTest(t *testing.T) *restartTest {
	r := &restartTest{t: t, source: &testSource{era: 4}, older: testConfig(7), withdrawn: testConfig(9)}
	r.older.Workspaces = append(r.older.Workspaces, catalog.Workspace{Name: "gone", Keys: []string{"withdrawn"}})
	r.source.setConfiguration(r.withdrawn, nil)
	return r
}

// start starts a gateway, which knows no configuration.
func (r *restartTest) start(firstStart bool) *Gateway {
	g := newMemoryTestGateway(r.t, nil).gateway
	g.state = NewState(firstStart)
	g.deps.Source = r.source
	return g
}

// reads reports whether a read of the store that a gateway makes now proves its configuration.
func (r *restartTest) reads(g *Gateway) bool {
	r.t.Helper()
	now := time.Now()
	if err := g.readConfiguration(now); err != nil {
		r.t.Fatal(err)
	}
	return g.proofAge() == time.Since(now)
}

// runFirst starts the installation and lets it run.
func (r *restartTest) runFirst(is *is.I) *Gateway {
	is.Helper()
	g := r.start(true)
	is.True(r.reads(g))
	g.saveSettledEra()
	is.Equal(r.source.settledEra, uint64(4))
	time.Sleep(time.Minute)
	return g
}

// tell sends one gateway's message to another one.
func (r *restartTest) tell(from, to *Gateway) {
	now := time.Now()
	all := recipients.New("g", "", from.state.Cells(), []peers.Member{{Name: "o"}}, from.storeReads.recentPeers(now))
	for _, m := range from.outgoing(all, loadChanged, now) {
		to.recordStoreEra(m.message.StoreEra, "g")
		to.state.RecordProof(m.message.Version, now.Add(-peers.AgeFromMs(m.message.ProofAgeMs)))
	}
}

// TestStartProvesConfiguration guards against a gateway that waits at its start for writes that cannot be missing.
func TestStartProvesConfiguration(t *testing.T) {
	for name, start := range map[string]func(is *is.I, r *restartTest) (proved bool){
		"first start ever": func(_ *is.I, r *restartTest) bool { return r.reads(r.start(true)) },
		"restart of all": func(is *is.I, r *restartTest) bool {
			r.runFirst(is)
			return r.reads(r.start(false))
		},
		"restart of one": func(is *is.I, r *restartTest) bool {
			before := r.runFirst(is)
			is.True(r.reads(before))
			r.source.settledEra = 0
			g := r.start(false)
			g.state.ApplyConfiguration(r.withdrawn)
			r.tell(before, g)
			return g.proofAge() < time.Second
		},
		"store without eras": func(_ *is.I, r *restartTest) bool {
			r.source.era = 0
			return r.reads(r.start(false))
		},
		"restart of all, after a copy whose writes are back": func(is *is.I, r *restartTest) bool {
			g := r.runFirst(is)
			r.source.restore(r.withdrawn)
			is.True(!r.reads(g))
			time.Sleep(availability.ReturnWindow)
			is.True(r.reads(g))
			g.saveSettledEra()
			return r.reads(r.start(false))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				is.True(start(is, newRestartTest(t)))
			})
		})
	}
}

// TestStartBesideOlderCopy guards against withdrawn keys that are valid again because all gateways start beside a store
// that came back from an older copy, and take what they read there as proof.
func TestStartBesideOlderCopy(t *testing.T) {
	for name, copies := range map[string][]time.Duration{ // when the store comes back, since the gateway's start
		"before the start":     {0},
		"while it starts":      {300 * time.Millisecond},
		"twice, one at once":   {0, 100 * time.Millisecond},
		"twice, one later":     {0, time.Second},
		"while all is settled": {10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRestartTest(t)
				r.runFirst(is)
				g := r.start(false)
				began := time.Now()
				for _, at := range copies {
					time.Sleep(time.Until(began.Add(at)))
					r.source.restore(r.older)
					is.True(!r.reads(g))
				}
				for end := time.Now().Add(availability.ReturnWindow); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					is.True(!r.reads(g))
				}
				r.source.setConfiguration(r.withdrawn, nil)
				is.True(r.reads(g))
				is.Equal(g.state.Version(), r.withdrawn.Version)
				g.saveSettledEra()
				is.Equal(r.source.settledEra, r.source.era)
			})
		})
	}
}
