package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
)

// lost is older than any age at which the store is left to others.
const lost = time.Minute

// TestFewAskALostStore: of many gateways that hear of each other that none reaches
// the store, two go on asking, whoever of them asks; one that hears nobody
// does as well, and so does one whose peers fell silent. The others ask now and then, in
// case that only their peers do not reach it.
func TestFewAskALostStore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const gateways = 27
	asking := 0
	var last *sharing
	for i := range gateways {
		s := newSharing()
		s.asks(now)
		s.note(fmt.Errorf("no answer"), now)
		for j := range gateways {
			if j != i {
				s.heardStore(peers.Word{From: fmt.Sprint(j), NoStore: true}, now)
			}
		}
		if s.reads(fmt.Sprint(i), lost, now) {
			asking++
		} else {
			last = s
		}
	}
	is.Equal(asking, readers)
	is.True(newSharing().reads("0", lost, now))
	is.True(last.reads("0", lost, now.Add(hearFor+time.Millisecond)))
	later := now.Add(readCut + time.Millisecond)
	for j := range gateways {
		last.heardStore(peers.Word{From: fmt.Sprint(j), NoStore: true}, later)
	}
	is.True(last.reads("g", lost, later))
}

// TestWhoReads: of gateways that all reach the store one reads, and one more when that
// one's reads stay out; a gateway that does not reach it is passed over.
func TestWhoReads(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const gateways = 9
	reading := func(age time.Duration, cut string) (out []string) {
		for i := range gateways {
			s, self := newSharing(), fmt.Sprint(i)
			if self == cut {
				s.note(fmt.Errorf("no answer"), now)
			}
			for j := range gateways {
				if j != i {
					s.heardStore(peers.Word{From: fmt.Sprint(j), NoStore: fmt.Sprint(j) == cut}, now)
				}
			}
			if s.reads(self, age, now) {
				out = append(out, self)
			}
		}
		return out
	}
	first := reading(readEvery, "")
	is.Equal(len(first), 1)
	both := reading(standBy+time.Millisecond, "")
	is.Equal(len(both), 2)
	is.True(slices.Contains(both, first[0]))
	is.Equal(len(reading(takeOver+time.Millisecond, "")), gateways)
	without := reading(readEvery, first[0])
	is.Equal(len(without), 2) // the one that is cut off goes on asking, and the next one reads
	is.True(slices.Contains(without, first[0]))
}

// TestStoreIsThoughtToBeBack: a gateway that did not reach the store some time ago takes
// a younger proof of others for its return, but not one of the next moment.
func TestStoreIsThoughtToBeBack(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newSharing()
	s.note(fmt.Errorf("no answer"), now)
	s.proved(now.Add(time.Second))
	is.True(s.storeLost())
	s.proved(now.Add(readCut + time.Millisecond))
	is.True(!s.storeLost())
}

// TestPeersFailedReadsKeepEndpoints: a gateway that leaves asking to its peers still
// knows that the store was away a moment ago; one that reads it well, or that hears
// of a peer that does, does not take a cut-off peer's word for that.
func TestPeersFailedReadsKeepEndpoints(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newSharing()
	s.note(fmt.Errorf("no answer"), now)
	later := now.Add(time.Second)
	s.heardStore(peers.Word{From: "p", NoStore: true}, later)
	is.Equal(s.failed, later)
	again := later.Add(time.Second)
	s.heardStore(peers.Word{From: "q"}, again)
	s.heardStore(peers.Word{From: "p", NoStore: true}, again)
	is.Equal(s.failed, later)
	s.heardStore(peers.Word{From: "q", Leaving: true}, again)
	s.note(nil, again)
	s.heardStore(peers.Word{From: "p", NoStore: true}, again)
	is.Equal(s.failed, later)
}

// blockedSource is a store whose list of endpoints does not come to its end.
type blockedSource struct {
	testSource
	asked chan struct{}
}

func (s *blockedSource) Endpoints(ctx context.Context) ([]catalog.Endpoint, error) {
	close(s.asked)
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestListOfAPeerEndsTheOwnRead: a gateway that still reads the list when a peer's comes
// goes on with that, and the store does not count as lost.
func TestListOfAPeerEndsTheOwnRead(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	source := &blockedSource{asked: make(chan struct{})}
	b.gateway.deps.Source = source
	done := make(chan bool)
	go func() { done <- b.gateway.readEndpoints() }()
	<-source.asked
	b.gateway.sharing.read(endpoints("a"), time.Now())
	is.True(<-done)
	is.True(!b.gateway.sharing.storeLost())
}
