package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/quarantine"
)

// TestProofFromAnOlderCopy: the store comes back from a copy some seconds old. It names an
// older configuration than the one in force, then the newest one again. Neither the older one nor that it
// stays the same proves that the newest one is in force; and what is written again within two seconds may
// be still newer, so that nothing is proved until then. A key that was withdrawn in between
// would be good for as long as the proofs went on.
func TestProofFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryBench(t, nil)
		g := b.gateway
		source := &testSource{era: 1}
		g.deps.Source = source
		read := func() {
			t.Helper()
			is.NoErr(g.readConfiguration(time.Now()))
		}
		proved := func() bool { return g.proofAge() == 0 }
		older, newest := testConfig(7), testConfig(9)
		source.set(older, nil)
		read()
		source.set(newest, nil)
		time.Sleep(time.Second)
		read()
		is.True(proved())
		is.Equal(g.state.Version(), uint64(9))
		time.Sleep(time.Second)
		source.restore(older)
		read()
		is.True(!proved())
		is.Equal(g.state.Version(), uint64(9)) // it never goes back
		time.Sleep(3 * time.Second)
		source.unchanged = true
		read()
		is.True(!proved()) // the same as the last read, which was the older one
		source.unchanged = false
		source.set(newest, nil)
		read()
		is.True(proved())
		time.Sleep(time.Second)
		source.restore(newest)
		read()
		is.True(!proved()) // a still newer one may be missing
		time.Sleep(returnTime - time.Millisecond)
		read()
		is.True(!proved())
		time.Sleep(time.Millisecond)
		read()
		is.True(proved())
	})
}

// TestMembersOfAnOlderCopy: the store comes back from a copy some seconds old, in which an
// endpoint that leaves has not said so, one that has left is still there, and one that is
// there is missing.
func TestMembersOfAnOlderCopy(t *testing.T) {
	draining := endpoints("a", "b", "c")
	draining[1].Draining = true
	restarted := endpoints("a", "b", "c")
	restarted[1].Born = 2
	first := endpoints("a", "b", "c")
	first[1].Born = 1
	type look struct {
		list []catalog.Endpoint
		ms   int
		want string
	}
	const restored = 5000
	cases := []struct {
		name  string
		looks []look
	}{
		{"one that leaves has said so", []look{{draining, 0, "ac"}, {endpoints("a", "b", "c"), 5100, "ac"}, {endpoints("a", "b", "c"), 60_000, "ac"}}},
		{"one that said so and left has left", []look{
			{endpoints("a", "b", "c"), 0, "abc"}, {draining, 1000, "ac"}, {endpoints("a", "c"), 2000, "ac"}, {endpoints("a", "b", "c"), 5100, "ac"}, {endpoints("a", "b", "c"), 60_000, "ac"},
		}},
		{"one whose entry disappeared is not there until its heartbeats show", []look{
			{endpoints("a", "b", "c"), 0, "abc"}, {endpoints("a", "c"), 2000, "ac"}, {endpoints("a", "b", "c"), 5100, "ac"}, {endpoints("a", "b", "c"), 10_900, "ac"},
			{endpoints("a", "b", "c"), 11_000, "abc"},
		}},
		{"one that is missing is written again", []look{
			{endpoints("a", "b", "c"), 0, "abc"}, {endpoints("a", "c"), 5100, "abc"}, {endpoints("a", "b", "c"), 6800, "abc"},
		}},
		{"one that is not written again is gone", []look{
			{endpoints("a", "b", "c"), 0, "abc"}, {endpoints("a", "c"), 5100, "abc"}, {endpoints("a", "c"), 7000, "ac"},
		}},
		{"one that starts again under its name is there", []look{
			{first, 0, "abc"}, {endpoints("a", "c"), 2000, "ac"}, {restarted, 5100, "abc"},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newMembers()
			for i, l := range tc.looks {
				if l.ms >= restored {
					m.restored = at(restored)
				}
				m.listed(l.list, at(l.ms), time.Time{})
				if got := names(m); got != l.want {
					t.Errorf("look %d: %s, want %s", i, got, l.want)
				}
			}
		})
	}
}

// TestReturnWithoutARestore: one whose entry disappeared and comes back while the store went on is
// there at once.
func TestReturnWithoutARestore(t *testing.T) {
	is := is.New(t)
	m := newMembers()
	m.listed(endpoints("a", "b"), at(0), time.Time{})
	m.listed(endpoints("a"), at(1000), time.Time{})
	is.Equal(names(m), "a")
	m.listed(endpoints("a", "b"), at(2000), time.Time{})
	is.Equal(names(m), "ab")
}

// TestEraIsTold: gateways that do not read the store hear from one that does that it came back from an
// older copy; the first era that a gateway hears of is no news.
func TestEraIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, other := newMemoryBench(t, nil).gateway, newMemoryBench(t, nil).gateway
		tell := func() {
			a := newAudience("g", "", reader.state.Cells(), []peers.Member{{Name: "o"}}, reader.sharing.peers(time.Now()))
			for _, m := range reader.outgoing(a, changed, time.Now()) {
				other.sawEra(m.word.StoreEra, "g")
			}
		}
		is.True(!reader.sawEra(3, "store"))
		tell()
		is.Equal(other.state.StoreEra(), uint64(3))
		is.True(other.state.Prove(1, time.Now()))
		time.Sleep(time.Second)
		is.True(reader.sawEra(4, "store"))
		tell()
		is.True(!other.state.Prove(1, time.Now()))
		is.True(!other.sawEra(3, "late")) // a word that was overtaken
		time.Sleep(returnTime)
		is.True(other.state.Prove(1, time.Now()))
	})
}

// TestQuarantineIsKeptAgain: what the gateways keep in the store is written again when it comes back from
// an older copy; otherwise a request that crashes endpoints would be forgotten with the next
// restart of all.
func TestQuarantineIsKeptAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newMemoryBench(t, nil).gateway
		source := &testSource{era: 1}
		g.deps.Source = source
		g.tasks.Go(g.keepQuarantined)
		f := quarantine.Fingerprint{Head: 1, Body: 2}
		for i := range 5 {
			time.Sleep(2 * time.Second)
			g.quarantined.change(func(table *quarantine.Table) {
				table.Crashed(f, quarantine.Crash{Endpoint: quarantine.Incarnation(i + 1), At: time.Now()}, time.Now())
			})
		}
		g.sawStore()
		g.keep(f)
		synctest.Wait()
		is.Equal(source.keptCount(), 1)
		source.restore(nil)
		is.Equal(source.keptCount(), 0)
		g.sawStore()
		synctest.Wait()
		is.Equal(source.keptCount(), 1)
	})
}
