package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func names(peers []Peer) string {
	out := ""
	for _, p := range peers {
		out += p.Endpoint + " "
	}
	return out
}

func TestSuccessorsRank(t *testing.T) {
	is := is.New(t)
	self := Peer{Endpoint: "a", Host: "h1", DataCentre: "d1", Address: "1"}
	peers := []Peer{
		self,
		{Endpoint: "far", Host: "h9", DataCentre: "d2", Address: "2"},
		{Endpoint: "same-host", Host: "h1", DataCentre: "d1", Address: "3"},
		{Endpoint: "near", Host: "h2", DataCentre: "d1", Address: "4"},
		{Endpoint: "leaving", Host: "h3", DataCentre: "d1", Address: "5", Leaving: true},
	}
	is.Equal(names(Successors(self, "i", peers)), "near same-host far ")
	is.Equal(len(Successors(self, "i", peers[:1])), 0)
}

// TestSuccessorsProperties: the order of the input does not matter, nobody
// succeeds itself or a leaving peer, and a rack's incarnations are spread.
func TestSuccessorsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []Peer
		for i := range rapid.IntRange(0, 12).Draw(t, "n") {
			peers = append(peers, Peer{
				Endpoint: fmt.Sprint("e", i), Address: fmt.Sprint(i), Host: fmt.Sprint("h", i/2),
				DataCentre: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "dc"), Leaving: rapid.Bool().Draw(t, "leaving"),
			})
		}
		self := Peer{Endpoint: "e0", Host: "h0", DataCentre: "x", Address: "0"}
		got := Successors(self, "i", peers)
		if names(got) != names(Successors(self, "i", rapid.Permutation(peers).Draw(t, "order"))) {
			t.Fatal("order matters")
		}
		for _, p := range got {
			if p.Leaving || p.Endpoint == self.Endpoint {
				t.Fatal(p)
			}
		}
	})
}

func TestSuccessorsSpread(t *testing.T) {
	is := is.New(t)
	var peers []Peer
	for i := range 20 {
		peers = append(peers, Peer{Endpoint: fmt.Sprint("e", i), Address: fmt.Sprint(i), Host: fmt.Sprint("h", i)})
	}
	first := make(map[string]int)
	for i := range 200 {
		first[Successors(Peer{Endpoint: "s"}, fmt.Sprint("inc", i), peers)[0].Endpoint]++
	}
	for _, n := range first {
		is.True(n < 40) // 10 on average
	}
	is.True(len(first) > 15)
}

func TestHeirsAreBounded(t *testing.T) {
	is := is.New(t)
	h := NewHeirs()
	now := time.Unix(0, 0)
	for i := range maxHeirs + 10 {
		h.Holds("addr", []string{fmt.Sprint(i)}, now.Add(time.Duration(i)*time.Second))
	}
	is.Equal(h.Address("0"), "")
	is.Equal(h.Address("10"), "addr")
	is.Equal(len(h.of), maxHeirs)
}

// TestHeirsInAnyOrder: a stops in favour of b, which stops in favour of c. The
// last word of each may come in any order; once c has spoken it is known.
func TestHeirsInAnyOrder(t *testing.T) {
	now := time.Unix(0, 0)
	words := []func(h *Heirs){
		func(h *Heirs) { h.Passed("a", "b", []string{"ia"}, now) },
		func(h *Heirs) { h.Passed("b", "c", []string{"ib", "ia"}, now) },
		func(h *Heirs) { h.Holds("c", []string{"ia", "ib"}, now) },
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		h := NewHeirs()
		for _, i := range order {
			words[i](h)
		}
		is.New(t).Equal(h.Address("ia")+h.Address("ib"), "cc")
	}
}

// TestHeirsMoveOn: the holder itself may pass its records on.
func TestHeirsMoveOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	h := NewHeirs()
	h.Holds("b", []string{"ia"}, now)
	h.Passed("b", "c", []string{"ib", "ia"}, now)
	is.Equal(h.Address("ia"), "c")
}
