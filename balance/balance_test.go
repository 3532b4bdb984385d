package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func TestBookSumsGateways(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Add("e", Load{ReadMs: 100, Short: 1, Tokens: 10})
	b.Peer("p", "", map[string]Load{"e": {ReadMs: 50, Long: 2, Tokens: 5, Parts: 1}}, start)
	is.Equal(b.Load("e", start), Load{ReadMs: 150, Short: 1, Long: 2, Tokens: 15, Parts: 1})
	is.Equal(b.Peers(start), 1)
}

func TestBookDropsSilentPeers(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Peer("p", "", map[string]Load{"e": {Short: 3}}, start)
	later := start.Add(peerTTL + time.Millisecond)
	is.Equal(b.Load("e", later), Load{})
	is.Equal(b.Peers(later), 0)
}

func TestBookPrefill(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	one, two := Load{ReadMs: 0.1, Long: 1, Parts: 1, Tokens: 7}, Load{ReadMs: 0.2, Short: 1}
	b.Add("e", one)
	b.Add("e", two)
	b.Read("e", two)
	is.Equal(b.Load("e", start).Parts, 1)
	b.Read("e", one)
	is.Equal(b.Load("e", start), Load{Long: 1, Short: 1, Tokens: 7})
	b.Remove("e", one)
	is.Equal(b.Load("e", start), Load{Short: 1})
	b.Remove("e", two)
	is.Equal(len(b.Own()), 0)
}

// TestBookTellsChanges: a peer that has a gateway's earlier full load and applies its
// changes obtains its current load.
func TestBookTellsChanges(t *testing.T) {
	is := is.New(t)
	a, b := NewBook(), NewBook()
	kept, ended := Load{Short: 1, ReadMs: 20, Tokens: 5, Unread: 1}, Load{Long: 1, Parts: 1, Tokens: 9}
	a.Add("e", kept)
	a.Add("f", ended)
	b.Peer("a", "", a.Own(), start)
	is.Equal(len(a.Changed()), 0)
	a.Read("f", ended)
	a.Remove("f", ended)
	a.Add("g", kept)
	changes := a.Changed()
	is.Equal(changes, map[string]Load{"f": {}, "g": kept})
	b.PeerChanged("a", "", changes, start.Add(time.Millisecond))
	for _, id := range []string{"e", "f", "g"} {
		is.Equal(b.Load(id, start.Add(time.Millisecond)), a.Load(id, start))
	}
	// Changes are repeated until the next full report, because messages may be lost.
	is.Equal(len(a.Changed()), 2)
	a.Own()
	is.Equal(len(a.Changed()), 0)
}

// TestBookDropsStaleLoadOfReturningPeer: changes of a peer that was silent for longer
// than peerTTL do not restore its earlier load.
func TestBookDropsStaleLoadOfReturningPeer(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Peer("a", "", map[string]Load{"e": {Short: 3}}, start)
	later := start.Add(peerTTL + time.Millisecond)
	b.PeerChanged("a", "", map[string]Load{"f": {Short: 1}}, later)
	is.Equal(b.Load("e", later), Load{})
	is.Equal(b.Load("f", later), Load{Short: 1})
}
