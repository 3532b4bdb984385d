package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/recipients"
)

// TestProofFromAnOlderCopy: after a restore from an older copy the store returns an older version,
// then the newest one again. A read of the older version proves nothing, nor does any read within
// availability.ReturnWindow, since even newer writes may be missing until then. Otherwise a key that was
// withdrawn in between would stay valid.
func TestProofFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryTestGateway(t, nil)
		g := b.gateway
		source := &testSource{era: 1, settledEra: 1}
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
		time.Sleep(availability.ReturnWindow - time.Millisecond)
		read()
		is.True(!proved())
		time.Sleep(time.Millisecond)
		read()
		is.True(proved())
	})
}

// TestStoreEraIsBroadcast: gateways that do not read the store learn of a restore from one that
// does. The first era that a gateway learns is no restore.
func TestStoreEraIsBroadcast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, other := newMemoryTestGateway(t, nil).gateway, newMemoryTestGateway(t, nil).gateway
		broadcast := func() {
			r := recipients.New("g", "", reader.state.Cells(), []peers.Member{{Name: "o"}}, reader.storeReads.recentPeers(time.Now()))
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
		time.Sleep(availability.ReturnWindow)
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
			g.quarantine.Change(func(table *quarantine.Table) {
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
