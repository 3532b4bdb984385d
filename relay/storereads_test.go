package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/recipients"
)

// veryOld is older than any age at which a gateway leaves the store to others.
const veryOld = time.Minute

// TestFewGatewaysQueryAnUnreachableStore: of many gateways that report to each other that they
// cannot reach the store, only two go on querying it. So does one that receives no messages of
// others, or whose peers fell silent. The others query now and then, in case only their peers
// cannot reach it.
func TestFewGatewaysQueryAnUnreachableStore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const gateways = 27
	querying := 0
	var deferring *storeReads
	for i := range gateways {
		s := newStoreReads()
		s.recordQuery(now)
		s.recordRead(fmt.Errorf("no answer"), now)
		for j := range gateways {
			if j != i {
				s.recordPeerStore(peers.Message{From: fmt.Sprint(j), StoreUnreachable: true}, true, now)
			}
		}
		if s.shouldRead(fmt.Sprint(i), veryOld, frequentReadTimes, now) {
			querying++
		} else {
			deferring = s
		}
	}
	is.Equal(querying, recipients.StoreReaders)
	is.True(newStoreReads().shouldRead("0", veryOld, frequentReadTimes, now))
	is.True(deferring.shouldRead("0", veryOld, frequentReadTimes, now.Add(peerTimeout+time.Millisecond)))
	later := now.Add(readDeferral + time.Millisecond)
	for j := range gateways {
		deferring.recordPeerStore(peers.Message{From: fmt.Sprint(j), StoreUnreachable: true}, true, later)
	}
	is.True(deferring.shouldRead("g", veryOld, frequentReadTimes, later))
}

// TestStoreReaderSelection: of gateways that can all reach the store one reads, a second one when the
// reads of the first are overdue, and the others, two by two, when both must have failed. A gateway that
// cannot reach the store is skipped.
func TestStoreReaderSelection(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const gateways = 9
	readers := func(age time.Duration, unreachableFrom string) (out []string) {
		for i := range gateways {
			s, self := newStoreReads(), fmt.Sprint(i)
			if self == unreachableFrom {
				s.recordRead(fmt.Errorf("no answer"), now)
			}
			for j := range gateways {
				if j != i {
					s.recordPeerStore(peers.Message{From: fmt.Sprint(j), StoreUnreachable: fmt.Sprint(j) == unreachableFrom}, true, now)
				}
			}
			if s.shouldRead(self, age, frequentReadTimes, now) {
				out = append(out, self)
			}
		}
		return out
	}
	first := readers(readInterval, "")
	is.Equal(len(first), 1)
	both := readers(standbyAge+time.Millisecond, "")
	is.Equal(len(both), 2)
	is.True(slices.Contains(both, first[0]))
	is.Equal(len(readers(takeoverAge+takeoverInterval+time.Millisecond, "")), 2*recipients.StoreReaders)
	is.Equal(len(readers(takeoverAge+maxTakeoverDelay+time.Millisecond, "")), gateways)
	without := readers(readInterval, first[0])
	is.Equal(len(without), 2) // the one that cannot reach the store goes on querying it, and the next one reads
	is.True(slices.Contains(without, first[0]))
}

// TestTwoReadersInAnOldCell guards against reads of the store by all gateways of a cell at once, because what
// comes from other cells, whose readers precede, is a little older than all tolerate: two of the cell read
// before.
func TestTwoReadersInAnOldCell(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const cells, gateways = 5, 80
	names := make([][]string, cells) // of each cell, in the order of readers
	for cell := range cells {
		for i := range gateways {
			names[cell] = append(names[cell], fmt.Sprint("g", cell, "-", i))
		}
		slices.SortFunc(names[cell], recipients.CompareRank)
	}
	readers := func(cell int, age time.Duration) (n int) {
		for i := range gateways {
			s := newStoreReads()
			for other := range cells {
				for j := range gateways {
					if other == cell && j != i || other != cell && j < recipients.StoreReaders {
						s.recordPeerStore(peers.Message{From: names[other][j]}, other == cell, now)
					}
				}
			}
			if s.shouldRead(names[cell][i], age, frequentReadTimes, now) {
				n++
			}
		}
		return n
	}
	fresh := 0
	for cell := range cells {
		fresh += readers(cell, readInterval)
		is.True(readers(cell, standbyAge+time.Millisecond) >= 1)
		is.Equal(readers(cell, takeoverAge+time.Millisecond), recipients.StoreReaders)
		is.Equal(readers(cell, takeoverAge+takeoverInterval+time.Millisecond), 2*recipients.StoreReaders)
	}
	is.Equal(fresh, 1) // while data is fresh, one gateway of the fleet reads
}

// TestStoreRecoveryInferredFromPeerProof: a gateway whose last read failed some time ago takes a
// peer's later proof as evidence that the store is back, but not a proof from shortly after the
// failure.
func TestStoreRecoveryInferredFromPeerProof(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newStoreReads()
	s.recordRead(fmt.Errorf("no answer"), now)
	s.recordPeerProof(now.Add(time.Second))
	is.True(s.storeUnreachable())
	s.recordPeerProof(now.Add(readDeferral + time.Millisecond))
	is.True(!s.storeUnreachable())
}

// TestPeersFailedReadsKeepEndpoints: a gateway that leaves querying to its peers still learns from
// them that the store was unreachable a moment ago. One that reads the store itself, or receives a
// message of a peer that does, ignores such reports.
func TestPeersFailedReadsKeepEndpoints(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newStoreReads()
	s.recordRead(fmt.Errorf("no answer"), now)
	later := now.Add(time.Second)
	s.recordPeerStore(peers.Message{From: "p", StoreUnreachable: true}, true, later)
	is.Equal(s.failedAt, later)
	again := later.Add(time.Second)
	s.recordPeerStore(peers.Message{From: "q"}, true, again)
	s.recordPeerStore(peers.Message{From: "p", StoreUnreachable: true}, true, again)
	is.Equal(s.failedAt, later)
	s.recordPeerStore(peers.Message{From: "q", ShuttingDown: true}, true, again)
	s.recordRead(nil, again)
	s.recordPeerStore(peers.Message{From: "p", StoreUnreachable: true}, true, again)
	is.Equal(s.failedAt, later)
}

// TestEndpointLeavesBesideFailedReads guards against requests to an endpoint that has left, from a gateway that the store
// turns away while it serves the others: the entry is missing in their lists since the endpoint is gone, not since the
// store was. A store that serves nobody keeps its endpoints.
func TestEndpointLeavesBesideFailedReads(t *testing.T) {
	for name, tc := range map[string]struct {
		listed time.Duration // time between the lists that others have read
		kept   bool
	}{
		"turned away alone": {readInterval, false},
		"nobody is served":  {4 * readInterval, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newMemoryTestGateway(t, nil).gateway
				all := []catalog.Endpoint{{ID: "a", Service: "s", Address: "a:1"}, {ID: "b", Service: "s", Address: "b:1"}, {ID: "c", Service: "s", Address: "c:1"}}
				g.storeReads.recordList(all, time.Now())
				g.applyEndpoints()
				began := time.Now()
				for time.Since(began) < 8*readInterval {
					time.Sleep(readRetryInterval)
					g.storeReads.recordRead(fmt.Errorf("the store answered 503"), time.Now())
					if g.storeReads.endpointsAge(time.Now()) >= tc.listed {
						g.storeReads.recordList(all, time.Now())
						g.applyEndpoints()
					}
				}
				time.Sleep(readRetryInterval)
				g.storeReads.recordList(all[1:], time.Now())
				g.applyEndpoints()
				_, usable := g.state.Endpoint("a")
				is.Equal(usable, tc.kept)
			})
		})
	}
}

// TestBackoffIsNoFailedRead guards against endpoints that are kept though they have left, because calls that were not made
// count as failures of a store that is back.
func TestBackoffIsNoFailedRead(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newStoreReads()
	s.recordRead(fmt.Errorf("the store answered 503"), now)
	s.recordRead(fmt.Errorf("read: %w", ErrStoreBackoff), now.Add(2*time.Second))
	is.Equal(s.failedAt, now)
	is.True(s.storeUnreachable())
}

// blockedSource is a store whose list of endpoints never completes.
type blockedSource struct {
	testSource
	queried chan struct{}
}

func (s *blockedSource) Endpoints(ctx context.Context) ([]catalog.Endpoint, error) {
	close(s.queried)
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestPeerListCancelsLocalRead: a gateway that is still reading the list when a peer's list arrives
// uses that one, and does not consider the store lost.
func TestPeerListCancelsLocalRead(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, nil)
	source := &blockedSource{queried: make(chan struct{})}
	b.gateway.deps.Source = source
	done := make(chan bool)
	go func() { done <- b.gateway.readEndpoints() }()
	<-source.queried
	b.gateway.storeReads.recordList(endpoints("a"), time.Now())
	is.True(<-done)
	is.True(!b.gateway.storeReads.storeUnreachable())
}

// TestOlderListsArriveLate guards against endpoints and gateways that come back after they have left:
// a peer's list that was read before this gateway's newest one arrives after it.
func TestOlderListsArriveLate(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, nil).gateway
	mesh, err := peers.Listen(g.config.Name, "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = mesh.Close() }()
	g.deps.Mesh = mesh
	member := func(name string) peers.Member {
		return peers.Member{Name: name, DataCentre: "dc", Address: netip.MustParseAddrPort("127.0.0.9:1")}
	}
	now := time.Now()
	g.storeReads.recordList(endpoints("a"), now)
	g.storeReads.recordList(endpoints("a", "left"), now.Add(-time.Second))
	is.Equal(g.storeReads.list, endpoints("a"))
	is.Equal(g.storeReads.endpointsAge(now), time.Duration(0))
	g.recordGateways(peers.MemberList{Members: []peers.Member{member("a")}}, now)
	g.recordGateways(peers.MemberList{Members: []peers.Member{member("a"), member("left")}}, now.Add(-time.Second))
	is.Equal(g.storeReads.gateways.list.Members, []peers.Member{member("a")})
	is.Equal(len(mesh.Members(now)), 1)
}

// TestAgesDoNotShrink guards against proofs and lists that become younger from gateway to gateway, so
// that a revoked key is honoured after its time and nobody reads the store: ages were rounded down to
// milliseconds, and messages may take less.
func TestAgesDoNotShrink(t *testing.T) {
	is := is.New(t)
	read := time.Now()
	var gateways []*Gateway
	for range 2 {
		g := newTestGateway(t, nil).gateway
		mesh, err := peers.Listen(g.config.Name, "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = mesh.Close() }()
		g.deps.Mesh = mesh
		g.state.ApplyConfiguration(testConfig(1))
		g.storeReads.recordList(endpoints("a"), read)
		g.recordGateways(peers.MemberList{Members: []peers.Member{{Name: "a", DataCentre: "dc", Address: netip.MustParseAddrPort("127.0.0.9:1")}}}, read)
		gateways = append(gateways, g)
	}
	gateways[0].state.RecordProof(1, read)
	now := read
	for n := range 1000 {
		now = now.Add(1700 * time.Microsecond)
		from, to := gateways[n%2], gateways[(n+1)%2]
		var msg peers.Message
		from.storeReads.gateways.toldAt = time.Time{}
		from.fillReads(&msg, now)
		to.handlePeerProof(msg, now, netip.AddrPort{})
		to.handlePeerEndpoints(msg, now, netip.AddrPort{})
		to.handlePeerGateways(msg, now, netip.AddrPort{})
		age, _ := to.state.ProofAge(now)
		is.True(!now.Add(-age).After(read))                             // proof
		is.True(!now.Add(-to.storeReads.endpointsAge(now)).After(read)) // list of endpoints
		is.True(!now.Add(-to.storeReads.gatewaysAge(now)).After(read))  // list of gateways
	}
	queried := time.Now()
	srv := httptest.NewServer(gateways[0].PeerHandler())
	defer srv.Close()
	res, err := srv.Client().Get(srv.URL + PathState)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	var state GatewayState
	is.NoErr(json.NewDecoder(res.Body).Decode(&state))
	is.True(!queried.Add(-time.Duration(state.AgeMs) * time.Millisecond).After(read))
	is.True(!queried.Add(-time.Duration(state.EndpointsAgeMs) * time.Millisecond).After(read))
}

// TestUnknownAgeProvesNothing guards against keys that are honoured by the proof of a gateway that has none.
func TestUnknownAgeProvesNothing(t *testing.T) {
	is := is.New(t)
	from, to := newTestGateway(t, nil).gateway, newTestGateway(t, nil).gateway
	srv := httptest.NewServer(from.PeerHandler())
	defer srv.Close()
	for _, g := range []*Gateway{from, to} {
		g.state.ApplyConfiguration(testConfig(1))
	}
	at := netip.MustParseAddrPort(srv.Listener.Addr().String())
	to.peerClient.Port = int(at.Port())
	_, err := to.queryPeer(at)
	is.NoErr(err)
	is.True(to.proofAge() > time.Hour)
	var msg peers.Message
	from.fillReads(&msg, time.Now())
	to.handlePeerProof(msg, time.Now(), at)
	is.True(to.proofAge() > time.Hour)
}
