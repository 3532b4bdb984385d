package relay

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
)

// evacuate makes one gateway read that these data centres are evacuated.
func (f *limitFleet) evacuate(gateway int, revision uint64, dataCentres ...string) {
	f.gateways[gateway].applyEvacuations(catalog.Evacuations{Revision: revision, DataCentres: dataCentres}, "store")
}

// requestsTo returns how many requests the engines of a data centre got since a time; the engines are
// spread evenly over the data centres.
func (f *limitFleet) requestsTo(dataCentre, dataCentres, engines int, since time.Time) int {
	n := 0
	for e := dataCentre; e < engines; e += dataCentres {
		n += f.requestsSince(e, since)
	}
	return n
}

// TestEvacuatedDataCentreGetsNoRequests guards against requests that reach an evacuated data centre under
// load because only one gateway has read of it, also while a reader that lags behind repeats what was in
// force before, and against callers refused for it.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const dataCentres, gateways, engines = 3, 21, 78
		f := newLimitFleetInCells(t, dataCentres, gateways, engines)
		f.responseTime = 300 * time.Millisecond
		time.Sleep(2 * time.Second)
		roundRobin := func(n int) int { return n % gateways }
		f.sendLoad(t, 60, 2*time.Second, roundRobin)
		is.True(f.requestsTo(1, dataCentres, engines, time.Time{}) > 0)
		f.evacuate(5, 10, "dc1")
		time.Sleep(2 * broadcastsPerDigest * broadcastInterval)
		f.evacuate(3, 9)
		from := time.Now()
		f.sendLoad(t, 60, 5*time.Second, roundRobin)
		is.Equal(f.requestsTo(1, dataCentres, engines, from), 0)
		is.Equal(f.refusalTimes, nil)
		f.evacuate(8, 11)
		time.Sleep(2 * broadcastsPerDigest * broadcastInterval)
		from = time.Now()
		f.sendLoad(t, 60, 3*time.Second, roundRobin)
		is.True(f.requestsTo(1, dataCentres, engines, from) > 30)
		is.Equal(f.refusalTimes, nil)
	})
}

// TestEvacuationOfAChosenEndpoint guards against a request that was placed just before its endpoint's data
// centre was evacuated and is sent there afterwards.
func TestEvacuationOfAChosenEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const dataCentres, engines = 3, 78
		f := newLimitFleetInCells(t, dataCentres, 3, engines)
		f.onDial = func() {
			f.evacuate(1, 10, "dc1")
			time.Sleep(localDelay)
		}
		is.Equal(f.send(t.Context(), 1, 500), answered)
		is.Equal(f.requestsTo(1, dataCentres, engines, time.Time{}), 0)
	})
}

// TestAllEvacuated guards against callers that wait although every data centre is evacuated: they are
// refused at once and told when to return.
func TestAllEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleetInCells(t, 3, 3, 78)
		f.evacuate(0, 10, "dc0", "dc1", "dc2")
		is.Equal(f.send(t.Context(), 0, 500), refusedFull)
		is.Equal(f.refusalTimes, []time.Duration{0})
		is.Equal(f.retryAfters, []string{"3"})
	})
}

// TestEvacuationsInOrder checks that reads apply in the order of the store, and that an older copy of the
// store takes none back before the operators can have repeated their writes.
func TestEvacuationsInOrder(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := NewState(false)
	s.RecordStoreEra(1, now)
	apply := func(era, revision uint64, dataCentres ...string) []string {
		s.ApplyEvacuations(catalog.Evacuations{Era: era, Revision: revision, DataCentres: dataCentres}, now)
		return s.Evacuations().DataCentres
	}
	is.Equal(s.AnnouncedEvacuations(), nil)
	is.Equal(apply(1, 5, "a"), []string{"a"})
	is.Equal(apply(1, 4), []string{"a"}) // a late answer
	is.Equal(apply(1, 6, "a", "b"), []string{"a", "b"})
	is.Equal(len(apply(1, 7)), 0)
	is.True(s.AnnouncedEvacuations() != nil) // peers may have missed the end
	is.Equal(apply(1, 8, "b"), []string{"b"})
	s.RecordStoreEra(2, now)
	is.Equal(apply(2, 3, "a"), []string{"a", "b"})
	is.Equal(apply(1, 9), []string{"a", "b"}) // from before the restore
	now = now.Add(availability.ReturnWindow + time.Second)
	is.Equal(apply(2, 4, "a"), []string{"a"})
}

// TestBootstrapLearnsOfEvacuations guards against a restarted gateway that sends to an evacuated data
// centre because the peer that it starts from told it only the configuration.
func TestBootstrapLearnsOfEvacuations(t *testing.T) {
	is := is.New(t)
	peer, restarted := newTestGateway(t, nil), newTestGateway(t, nil)
	peer.gateway.applyEvacuations(catalog.Evacuations{Revision: 7, DataCentres: []string{"dc"}}, "store")
	srv := httptest.NewServer(peer.gateway.PeerHandler())
	defer srv.Close()
	at := netip.MustParseAddrPort(srv.Listener.Addr().String())
	restarted.gateway.peerClient.Port = int(at.Port())
	_, err := restarted.gateway.queryPeer(at)
	is.NoErr(err)
	is.Equal(restarted.gateway.state.Evacuations().DataCentres, []string{"dc"})
}
