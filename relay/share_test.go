package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/peers"
)

// TestFewAskALostStore: of many gateways that hear of each other that none reaches
// the store, two go on asking often, whoever of them asks; one that hears nobody
// does as well, and so does one whose peers fell silent.
func TestFewAskALostStore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const gateways = 27
	often := 0
	var last *sharing
	for i := range gateways {
		s := newSharing()
		s.note(fmt.Errorf("no answer"), now)
		for j := range gateways {
			if j != i {
				s.heardStore(peers.Word{From: fmt.Sprint(j), NoStore: true}, now)
			}
		}
		if s.pauseAfterFailure(fmt.Sprint(i), now) == readAgain {
			often++
		} else {
			last = s
		}
	}
	is.Equal(often, readers)
	is.Equal(newSharing().pauseAfterFailure("0", now), readAgain)
	is.Equal(last.pauseAfterFailure("0", now.Add(hearFor+time.Millisecond)), readAgain)
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
