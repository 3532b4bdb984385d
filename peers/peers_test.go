package peers

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
)

func listen(t *testing.T, name string) (*Mesh, netip.AddrPort) {
	t.Helper()
	m, err := Listen(name, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Close() })
	return m, netip.MustParseAddrPort(m.socket.LocalAddr().String())
}

func TestWordArrives(t *testing.T) {
	is := is.New(t)
	a, _ := listen(t, "a")
	b, at := listen(t, "b")
	words := make(chan Word, 1)
	go b.Receive(func(w Word, _ netip.AddrPort) { words <- w })
	is.NoErr(a.Send(Word{Version: 7, Loads: map[string]balance.Load{"e": {ReadMs: 1.5, Short: 2}},
		Waiting: map[string]balance.Claim{"s": {Rank: balance.Oversize, LeftMs: -5}}, DataCentre: "dc"}, []netip.AddrPort{at}, time.Now()))
	w := <-words
	is.Equal(w.From, "a")
	is.Equal(w.Version, uint64(7))
	is.Equal(w.Loads["e"], balance.Load{ReadMs: 1.5, Short: 2})
	is.Equal(w.Waiting, map[string]balance.Claim{"s": {Rank: balance.Oversize, LeftMs: -5}})
	// A gateway that was heard is answered although no list names it.
	members := b.Members(time.Now())
	is.Equal(len(members), 1)
	is.Equal(members[0].Name, "a")
	is.Equal(members[0].DataCentre, "dc")
	is.Equal(len(b.Members(time.Now().Add(memberLife+time.Second))), 0)
}

// TestMembers: what a gateway says of itself counts before what a list says of it, and
// nobody is its own member.
func TestMembers(t *testing.T) {
	is := is.New(t)
	m, self := listen(t, "a")
	other := netip.MustParseAddrPort("127.0.0.1:1")
	m.SetMembers([]Member{{Address: self, Name: "a"}, {Address: other}, {Address: netip.MustParseAddrPort("127.0.0.1:2"), Name: "c"}})
	is.Equal(len(m.Members(time.Now())), 2)
	is.True(m.newer(Word{From: "b", Life: 1, Sequence: 1, DataCentre: "dc"}, other))
	members := m.Members(time.Now())
	is.Equal(len(members), 2)
	is.True(slices.Contains(members, Member{Address: other, Name: "b", DataCentre: "dc"}))
}

func TestOvertakenWords(t *testing.T) {
	is := is.New(t)
	m, at := listen(t, "a")
	is.True(m.newer(Word{From: "b", Life: 1, Sequence: 5}, at))
	is.True(!m.newer(Word{From: "b", Life: 1, Sequence: 5}, at))
	is.True(!m.newer(Word{From: "b", Life: 1, Sequence: 4}, at))
	is.True(m.newer(Word{From: "b", Life: 2, Sequence: 1}, at)) // a new process
}

func FuzzDecode(f *testing.F) {
	p, err := encode(&Word{From: "a", Loads: map[string]balance.Load{"e": {Short: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p)
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, p []byte) {
		_, _ = decode(p)
	})
}
