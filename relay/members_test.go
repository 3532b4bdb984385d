package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func endpoints(ids ...string) []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, id := range ids {
		out = append(out, catalog.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1"})
	}
	return out
}

// names returns the usable endpoints as one text.
func names(m *members) string {
	out := ""
	for _, e := range m.usable("s") {
		out += e.ID
	}
	return out
}

func TestMembers(t *testing.T) {
	draining := endpoints("a", "b", "c")
	draining[1].Draining = true
	never := time.Time{}
	type look struct {
		list   []catalog.Endpoint
		ms     int
		failed time.Time
		want   string
	}
	cases := []struct {
		name  string
		looks []look
	}{
		{"a stated leave counts at once", []look{{endpoints("a", "b", "c"), 0, never, "abc"}, {draining, 10, never, "ac"}}},
		{"a missing entry counts at once", []look{{endpoints("a", "b", "c"), 0, never, "abc"}, {endpoints("a", "c"), 10, never, "ac"}}},
		{"one that lapsed with the store may return", []look{
			{endpoints("a", "b", "c"), 0, never, "abc"},
			{endpoints("a", "c"), 5100, at(5000), "abc"},
			{endpoints("a", "b", "c"), 6000, at(5000), "abc"},
		}},
		{"one that does not return is gone", []look{
			{endpoints("a", "b", "c"), 0, never, "abc"},
			{endpoints("a", "c"), 5100, at(5000), "abc"},
			{endpoints("a", "c"), 6900, at(5000), "abc"},
			{endpoints("a", "c"), 7000, at(5000), "ac"},
		}},
		{"one that leaves soon after the store's return is not kept for longer", []look{
			{endpoints("a", "b", "c"), 0, never, "abc"},
			{endpoints("a", "b", "c"), 5100, at(5000), "abc"},
			{endpoints("a", "c"), 6900, at(5000), "abc"},
			{endpoints("a", "c"), 7000, at(5000), "ac"},
		}},
		{"most entries missing at once put the store in doubt", []look{
			{endpoints("a", "b", "c"), 0, never, "abc"},
			{endpoints("a"), 10, never, "abc"},
			{endpoints("a"), 9 + int(massLapseTime.Milliseconds()), never, "abc"},
			{endpoints("a"), 10 + int(massLapseTime.Milliseconds()), never, "a"},
		}},
		{"a draining one is not kept by the store's return", []look{
			{endpoints("a", "b", "c"), 0, never, "abc"}, {draining, 10, never, "ac"}, {endpoints("a", "c"), 5100, at(5000), "ac"},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newMembers()
			for i, l := range tc.looks {
				m.listed(l.list, at(l.ms), l.failed)
				if got := names(m); got != l.want {
					t.Fatalf("look %d: usable %q, want %q", i, got, l.want)
				}
			}
		})
	}
}

// TestRestartUnderTheSameName: an endpoint whose process started again is told apart from
// before although nothing else of its entry changed, also by what peers are told, and
// reservations at its earlier life are void.
func TestRestartUnderTheSameName(t *testing.T) {
	is := is.New(t)
	s := NewState()
	list := func(born int64) []catalog.Endpoint {
		out := endpoints("a", "b")
		out[0].Born = born
		return out
	}
	is.Equal(len(s.Listed(list(0), at(0), at(0), time.Time{})), 2)
	is.Equal(len(s.Listed(list(5000), at(10), at(10), time.Time{})), 0) // it begins to tell
	first, _ := s.Endpoint("a")
	is.True(s.SameLife(first))
	changes := s.Listed(list(7000), at(20), at(20), time.Time{})
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Kind, changeRestarted)
	is.Equal(changes[0].Endpoint.ID, "a")
	is.True(!s.SameLife(first))
	is.Equal(len(s.Listed(list(7000), at(30), at(30), time.Time{})), 0)
	is.Equal(len(s.Listed(list(6000), at(40), at(40), time.Time{})), 1) // its clock may have been set back
	is.True(hashEndpoints(list(6000)) != hashEndpoints(list(7000)))
}

// TestForeignServicesDoNotMoveCells: many entries of a service that is not configured
// leave the cells as the configured ones make them.
func TestForeignServicesDoNotMoveCells(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Take(&catalog.Configuration{Version: 1, Services: []catalog.Service{{Name: "s"}}})
	var list []catalog.Endpoint
	add := func(service, dataCentre string, n int) {
		for i := range n {
			list = append(list, catalog.Endpoint{ID: fmt.Sprint(service, dataCentre, i), Service: service, DataCentre: dataCentre})
		}
	}
	for _, dc := range []string{"d1", "d2", "d3", "d4"} {
		add("s", dc, 30)
	}
	s.Listed(list, at(0), at(0), time.Time{})
	before := s.Cells().Cells()
	is.Equal(len(before), 4)
	add("x", "d9", 500)
	s.Listed(list, at(10), at(10), time.Time{})
	is.Equal(s.Cells().Cells(), before)
}

func TestStateNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := NewState()
	is.True(s.Take(&catalog.Configuration{Version: 7}))
	is.True(!s.Take(&catalog.Configuration{Version: 5}))
	is.True(!s.Take(&catalog.Configuration{Version: 7}))
	is.Equal(s.Version(), uint64(7))
}

func TestProof(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Prove(0, at(0))
	age, _ := s.ProofAge(at(0))
	is.True(age > time.Hour) // nothing is known, so nothing is proved
	s.Take(&catalog.Configuration{Version: 7})
	s.Prove(7, at(100))
	s.Prove(6, at(200)) // of an older version
	s.Prove(7, at(50))  // overtaken
	age, _ = s.ProofAge(at(300))
	is.Equal(age, 200*time.Millisecond)
}
