package peers

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/ratelimit"
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

// TestAdjacentReleases: a word of the release before, and one of a later release with a field more, are read as far as they go.
func TestAdjacentReleases(t *testing.T) {
	is := is.New(t)
	reports := []quarantine.Report{{Kind: quarantine.Crashed, Fingerprint: quarantine.Fingerprint{Head: 1<<64 - 1, Body: 2}, Endpoint: 3, Begun: true, AgeMs: 4}}
	limits := map[string]ratelimit.Notice{"e": {Version: 3, Named: ratelimit.Named{Is: true, PerSecond: 1.9}, Born: 4}}
	p, err := encode(&Word{From: "a", DataCentre: "dc", Crashes: reports, StoreEra: 5, Limits: limits, Coordinator: 6, Leaves: map[string]int64{"e": 7}})
	is.NoErr(err)
	w, err := decode(p)
	is.NoErr(err)
	is.Equal(w.Crashes, reports)
	is.Equal(w.StoreEra, uint64(5))
	is.Equal(w.Limits, limits)
	is.Equal(w.Coordinator, uint64(6))
	is.Equal(w.Leaves, map[string]int64{"e": 7})
	var fields []msgpack.RawMessage
	is.NoErr(msgpack.Unmarshal(p, &fields))
	extra, err := msgpack.Marshal([]int{1, 2})
	is.NoErr(err)
	before := len(fields) - 1 // what the release before has
	for _, list := range [][]msgpack.RawMessage{fields[:before], append(slices.Clone(fields), extra)} {
		p, err := msgpack.Marshal(list)
		is.NoErr(err)
		w, err := decode(p)
		is.NoErr(err)
		is.Equal(w.From, "a")
		is.Equal(w.DataCentre, "dc")
		is.Equal(w.Crashes, reports)
		is.Equal(w.StoreEra, uint64(5))
		is.Equal(w.Limits, limits)
		is.Equal(w.Coordinator, uint64(6))
		is.Equal(len(w.Leaves) > 0, len(list) >= len(fields))
	}
	// Words without reports, eras and limits are as the release before writes them.
	p, err = encode(&Word{From: "a"})
	is.NoErr(err)
	is.NoErr(msgpack.Unmarshal(p, &fields))
	is.Equal(len(fields), firstFields)
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

// TestSizeOfLimits bounds what telling of endpoints' limits costs: 18 of them in a word of the coordinator, and the vote in all others.
func TestSizeOfLimits(t *testing.T) {
	is := is.New(t)
	size := func(w Word) int {
		p, err := encode(&w)
		is.NoErr(err)
		return len(p)
	}
	limits := make(map[string]ratelimit.Notice)
	for n := range 18 {
		limits[fmt.Sprintf("i-%010d", n)] = ratelimit.Notice{Version: 40, Named: ratelimit.Named{Is: true, PerSecond: 1.9}, Born: 1764700000000}
	}
	none := size(Word{From: "a"})
	vote := size(Word{From: "a", Coordinator: 1 << 63}) - none
	told := size(Word{From: "a", Coordinator: 1 << 63, Limits: limits}) - none - vote
	t.Logf("a vote takes %d bytes, %d limits take %d", vote, len(limits), told)
	is.True(vote <= 20)
	is.True(told <= 18*48)
}

// TestSizeOfLeaves bounds what telling of endpoints that leave costs.
func TestSizeOfLeaves(t *testing.T) {
	is := is.New(t)
	leaves := make(map[string]int64)
	for n := range 18 {
		leaves[fmt.Sprintf("i-%010d", n)] = 1764700000000
	}
	none, err := encode(&Word{From: "a"})
	is.NoErr(err)
	told, err := encode(&Word{From: "a", Leaves: leaves})
	is.NoErr(err)
	t.Logf("%d leaves take %d bytes", len(leaves), len(told)-len(none))
	is.True(len(told)-len(none) <= 18*24)
}
