package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func TestLoadTrackerSumsGateways(t *testing.T) {
	is := is.New(t)
	tracker := NewLoadTracker()
	tracker.Add("e", Load{PrefillMs: 100, Short: 1, MemoryTokens: 10})
	tracker.SetPeerLoad("p", "", map[string]Load{"e": {PrefillMs: 50, Long: 2, MemoryTokens: 5, Parts: 1}}, start)
	is.Equal(tracker.Load("e", start), Load{PrefillMs: 150, Short: 1, Long: 2, MemoryTokens: 15, Parts: 1})
	is.Equal(tracker.LivePeers(start), 1)
}

func TestLoadTrackerDropsSilentPeers(t *testing.T) {
	is := is.New(t)
	tracker := NewLoadTracker()
	tracker.SetPeerLoad("p", "", map[string]Load{"e": {Short: 3}}, start)
	later := start.Add(peerTTL + time.Millisecond)
	is.Equal(tracker.Load("e", later), Load{})
	is.Equal(tracker.LivePeers(later), 0)
}

func TestLoadTrackerPrefill(t *testing.T) {
	is := is.New(t)
	tracker := NewLoadTracker()
	one, two := Load{PrefillMs: 0.1, Long: 1, Parts: 1, MemoryTokens: 7}, Load{PrefillMs: 0.2, Short: 1}
	tracker.Add("e", one)
	tracker.Add("e", two)
	tracker.PrefillDone("e", two)
	is.Equal(tracker.Load("e", start).Parts, 1)
	tracker.PrefillDone("e", one)
	is.Equal(tracker.Load("e", start), Load{Long: 1, Short: 1, MemoryTokens: 7})
	tracker.Remove("e", one)
	is.Equal(tracker.Load("e", start), Load{Short: 1})
	tracker.Remove("e", two)
	is.Equal(len(tracker.Local()), 0)
}

// TestLoadTrackerLocalChanges: a peer that has a gateway's earlier full load and
// applies its changes obtains its current load.
func TestLoadTrackerLocalChanges(t *testing.T) {
	is := is.New(t)
	a, b := NewLoadTracker(), NewLoadTracker()
	kept, ended := Load{Short: 1, PrefillMs: 20, MemoryTokens: 5, AwaitingFirstEvent: 1}, Load{Long: 1, Parts: 1, MemoryTokens: 9}
	a.Add("e", kept)
	a.Add("f", ended)
	b.SetPeerLoad("a", "", a.Local(), start)
	is.Equal(len(a.LocalChanges()), 0)
	a.PrefillDone("f", ended)
	a.Remove("f", ended)
	a.Add("g", kept)
	changes := a.LocalChanges()
	is.Equal(changes, map[string]Load{"f": {}, "g": kept})
	b.UpdatePeerLoad("a", "", changes, start.Add(time.Millisecond))
	for _, id := range []string{"e", "f", "g"} {
		is.Equal(b.Load(id, start.Add(time.Millisecond)), a.Load(id, start))
	}
	// Changes are repeated until the next full report, because messages may be lost.
	is.Equal(len(a.LocalChanges()), 2)
	a.Local()
	is.Equal(len(a.LocalChanges()), 0)
}

// TestLoadTrackerDropsStaleLoadOfReturningPeer: changes of a peer that was silent for
// longer than peerTTL do not restore its earlier load.
func TestLoadTrackerDropsStaleLoadOfReturningPeer(t *testing.T) {
	is := is.New(t)
	tracker := NewLoadTracker()
	tracker.SetPeerLoad("a", "", map[string]Load{"e": {Short: 3}}, start)
	later := start.Add(peerTTL + time.Millisecond)
	tracker.UpdatePeerLoad("a", "", map[string]Load{"f": {Short: 1}}, later)
	is.Equal(tracker.Load("e", later), Load{})
	is.Equal(tracker.Load("f", later), Load{Short: 1})
}
