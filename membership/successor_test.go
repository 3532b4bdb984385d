package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func endpointNames(peers []Peer) string {
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
		{Endpoint: "leaving", Host: "h3", DataCentre: "d1", Address: "5", Draining: true},
	}
	is.Equal(endpointNames(Successors(self, "i", peers)), "near same-host far ")
	is.Equal(len(Successors(self, "i", peers[:1])), 0)
}

// TestSuccessorsProperties checks that the order of the input does not matter and
// that neither the agent itself nor a draining peer is a successor.
func TestSuccessorsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []Peer
		for i := range rapid.IntRange(0, 12).Draw(t, "n") {
			peers = append(peers, Peer{
				Endpoint: fmt.Sprint("e", i), Address: fmt.Sprint(i), Host: fmt.Sprint("h", i/2),
				DataCentre: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "dc"), Draining: rapid.Bool().Draw(t, "leaving"),
			})
		}
		self := Peer{Endpoint: "e0", Host: "h0", DataCentre: "x", Address: "0"}
		got := Successors(self, "i", peers)
		if endpointNames(got) != endpointNames(Successors(self, "i", rapid.Permutation(peers).Draw(t, "order"))) {
			t.Fatal("the result depends on the order of the peers")
		}
		for _, p := range got {
			if p.Draining || p.Endpoint == self.Endpoint {
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

func TestRecordOwnersAreBounded(t *testing.T) {
	is := is.New(t)
	h := NewRecordOwners()
	now := time.Unix(0, 0)
	for i := range maxOwners + 10 {
		h.Confirm("addr", []string{fmt.Sprint(i)}, now.Add(time.Duration(i)*time.Second))
	}
	is.Equal(h.Address("0"), "")
	is.Equal(h.Address("10"), "addr")
	is.Equal(len(h.byIncarnation), maxOwners)
}

// TestRecordOwnersInAnyOrder lets a hand its records to b and b hand them to c. The
// last reports of the three may arrive in any order; in the end c is the owner.
func TestRecordOwnersInAnyOrder(t *testing.T) {
	now := time.Unix(0, 0)
	updates := []func(h *RecordOwners){
		func(h *RecordOwners) { h.HandOver("a", "b", []string{"ia"}, now) },
		func(h *RecordOwners) { h.HandOver("b", "c", []string{"ib", "ia"}, now) },
		func(h *RecordOwners) { h.Confirm("c", []string{"ia", "ib"}, now) },
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		h := NewRecordOwners()
		for _, i := range order {
			updates[i](h)
		}
		is.New(t).Equal(h.Address("ia")+h.Address("ib"), "cc")
	}
}

// TestRecordOwnerHandsOver checks that a confirmed owner can hand its records over.
func TestRecordOwnerHandsOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	h := NewRecordOwners()
	h.Confirm("b", []string{"ia"}, now)
	h.HandOver("b", "c", []string{"ib", "ia"}, now)
	is.Equal(h.Address("ia"), "c")
}
