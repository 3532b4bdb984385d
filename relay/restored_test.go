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

// TestProofFromAnOlderCopy: after a restore from an older copy the store returns an older version,
// then the newest one again. A read of the older version proves nothing, nor does any read within
// returnWindow, since even newer writes may be missing until then. Otherwise a key that was
// withdrawn in between would stay valid.
func TestProofFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryTestGateway(t, nil)
		g := b.gateway
		source := &testSource{era: 1}
		g.deps.Source = source
		read := func() {
			t.Helper()
			is.NoErr(g.readConfiguration(time.Now()))
		}
		proved := func() bool { return g.proofAge() == 0 }
		older, newest := testConfig(7), testConfig(9)
		source.setConfiguration(older, nil)
		read()
		source.setConfiguration(newest, nil)
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
		is.True(!proved()) // the same as the last read, which returned the older one
		source.unchanged = false
		source.setConfiguration(newest, nil)
		read()
		is.True(proved())
		time.Sleep(time.Second)
		source.restore(newest)
		read()
		is.True(!proved()) // an even newer one may be missing
		time.Sleep(returnWindow - time.Millisecond)
		read()
		is.True(!proved())
		time.Sleep(time.Millisecond)
		read()
		is.True(proved())
	})
}

// TestEndpointsFromAnOlderCopy: in the older copy a draining endpoint is not yet marked as such, a
// departed one is still listed, and a running one is missing.
func TestEndpointsFromAnOlderCopy(t *testing.T) {
	draining := endpoints("a", "b", "c")
	draining[1].Draining = true
	restarted := endpoints("a", "b", "c")
	restarted[1].Born = 2
	first := endpoints("a", "b", "c")
	first[1].Born = 1
	type step struct {
		list []catalog.Endpoint
		ms   int
		want string
	}
	const restored = 5000
	cases := []struct {
		name  string
		steps []step
	}{
		{"a draining endpoint stays out", []step{{draining, 0, "ac"}, {endpoints("a", "b", "c"), 5100, "ac"}, {endpoints("a", "b", "c"), 60_000, "ac"}}},
		{"a drained endpoint that left stays out", []step{
			{endpoints("a", "b", "c"), 0, "abc"}, {draining, 1000, "ac"}, {endpoints("a", "c"), 2000, "ac"}, {endpoints("a", "b", "c"), 5100, "ac"}, {endpoints("a", "b", "c"), 60_000, "ac"},
		}},
		{"an endpoint whose entry disappeared is out until it outlives missed heartbeats", []step{
			{endpoints("a", "b", "c"), 0, "abc"}, {endpoints("a", "c"), 2000, "ac"}, {endpoints("a", "b", "c"), 5100, "ac"}, {endpoints("a", "b", "c"), 10_900, "ac"},
			{endpoints("a", "b", "c"), 11_000, "abc"},
		}},
		{"a missing entry is written again", []step{
			{endpoints("a", "b", "c"), 0, "abc"}, {endpoints("a", "c"), 5100, "abc"}, {endpoints("a", "b", "c"), 6800, "abc"},
		}},
		{"an endpoint whose entry is not written again is gone", []step{
			{endpoints("a", "b", "c"), 0, "abc"}, {endpoints("a", "c"), 5100, "abc"}, {endpoints("a", "c"), 7000, "ac"},
		}},
		{"a restarted endpoint is used", []step{
			{first, 0, "abc"}, {endpoints("a", "c"), 2000, "ac"}, {restarted, 5100, "abc"},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newEndpointSet()
			for i, l := range tc.steps {
				if l.ms >= restored {
					m.restoredAt = msAfterStart(restored)
				}
				m.applyList(l.list, msAfterStart(l.ms), time.Time{})
				if got := usableIDs(m); got != l.want {
					t.Errorf("step %d: %s, want %s", i, got, l.want)
				}
			}
		})
	}
}

// TestReturnWithoutARestore: an endpoint whose entry disappeared and returns is used at once if the
// store was not restored.
func TestReturnWithoutARestore(t *testing.T) {
	is := is.New(t)
	m := newEndpointSet()
	m.applyList(endpoints("a", "b"), msAfterStart(0), time.Time{})
	m.applyList(endpoints("a"), msAfterStart(1000), time.Time{})
	is.Equal(usableIDs(m), "a")
	m.applyList(endpoints("a", "b"), msAfterStart(2000), time.Time{})
	is.Equal(usableIDs(m), "ab")
}

// TestStoreEraIsBroadcast: gateways that do not read the store learn of a restore from one that
// does. The first era that a gateway learns is no restore.
func TestStoreEraIsBroadcast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, other := newMemoryTestGateway(t, nil).gateway, newMemoryTestGateway(t, nil).gateway
		broadcast := func() {
			r := newRecipients("g", "", reader.state.Cells(), []peers.Member{{Name: "o"}}, reader.storeReads.recentPeers(time.Now()))
			for _, m := range reader.outgoing(r, loadChanged, time.Now()) {
				other.recordStoreEra(m.message.StoreEra, "g")
			}
		}
		is.True(!reader.recordStoreEra(3, "store"))
		broadcast()
		is.Equal(other.state.StoreEra(), uint64(3))
		is.True(other.state.RecordProof(1, time.Now()))
		time.Sleep(time.Second)
		is.True(reader.recordStoreEra(4, "store"))
		broadcast()
		is.True(!other.state.RecordProof(1, time.Now()))
		is.True(!other.recordStoreEra(3, "late")) // a message that was overtaken
		time.Sleep(returnWindow)
		is.True(other.state.RecordProof(1, time.Now()))
	})
}

// TestQuarantineIsRestored: quarantine entries are written again after the store was restored from
// an older copy. Otherwise a request that crashes endpoints would be forgotten when all gateways
// restart.
func TestQuarantineIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newMemoryTestGateway(t, nil).gateway
		source := &testSource{era: 1}
		g.deps.Source = source
		g.background.Go(g.storeQuarantined)
		f := quarantine.Fingerprint{Head: 1, Body: 2}
		for i := range 5 {
			time.Sleep(2 * time.Second)
			g.quarantine.change(func(table *quarantine.Table) {
				table.RecordCrash(f, quarantine.Crash{Endpoint: quarantine.Incarnation(i + 1), At: time.Now()}, time.Now())
			})
		}
		g.checkStoreEra()
		g.scheduleStore(f)
		synctest.Wait()
		is.Equal(source.storedCount(), 1)
		source.restore(nil)
		is.Equal(source.storedCount(), 0)
		g.checkStoreEra()
		synctest.Wait()
		is.Equal(source.storedCount(), 1)
	})
}
