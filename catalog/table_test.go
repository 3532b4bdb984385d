package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRoute(t *testing.T) {
	table := NewTable(&Configuration{Routes: []Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "x", Host: "a.example", PathPrefix: "/x/"},
		{Name: "xy", Host: "A.Example", PathPrefix: "/x/y/"},
		{Name: "b", Host: "b.example", PathPrefix: "/x/"},
	}})
	cases := []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/x", "all"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/yz", "x"},
		{"A.EXAMPLE:8080", "/x/y/z", "xy"},
		{"a.example", "/x/%2fy/", "x"},
		{"b.example", "/y/", ""},
		{"b.example", "", ""},
		{"b.example", "*", ""},
		{"c.example", "/x/", ""},
	}
	for _, tc := range cases {
		got := ""
		if r := table.Route(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

func TestWorkspace(t *testing.T) {
	is := is.New(t)
	table := NewTable(&Configuration{Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}})
	is.Equal(table.Workspace("k2").Name, "w")
	is.Equal(table.Workspace(""), nil)
}

func TestIdempotent(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Safe}).Idempotent())
	is.True((&Route{Kind: Streaming, Resumable: true}).Idempotent())
	is.True(!(&Route{Kind: Streaming}).Idempotent())
	is.True(!(&Route{Kind: Unsafe, Resumable: true}).Idempotent())
}

// TestGaps checks that the two shortest gap objectives and the longest are
// found in any order of the routes.
func TestGaps(t *testing.T) {
	is := is.New(t)
	gapsOf := func(ms ...int) GapObjectives {
		var c Configuration
		for _, n := range ms {
			c.Routes = append(c.Routes, Route{GapObjective: time.Duration(n) * time.Millisecond, Targets: []Target{{Service: "s", Weight: 1}}})
		}
		return NewTable(&c).GapObjectives("s")
	}
	all := GapObjectives{250 * time.Millisecond, 600 * time.Millisecond, time.Second}
	is.Equal(gapsOf(250, 600, 1000), all)
	is.Equal(gapsOf(1000, 0, 600, 250, 250), all)
	is.Equal(gapsOf(600, 1000, 250), all)
	is.Equal(gapsOf(250, 250), GapObjectives{250 * time.Millisecond, 250 * time.Millisecond, 250 * time.Millisecond})
	is.Equal(gapsOf(600, 250), GapObjectives{250 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond})
	is.Equal(gapsOf(), GapObjectives{})
}
