package availability

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

var now = time.Unix(1000, 0)

// TestLeaveIsTakenBackByALaterLifeOnly: who says so again, or a source that says less, changes nothing.
func TestLeaveIsTakenBackByALaterLifeOnly(t *testing.T) {
	cases := []struct {
		name        string
		told, asked int64 // lives
		leaves      bool
	}{
		{"the same life", 1, 1, true},
		{"a later one", 1, 2, false},
		{"a later one by a clock that was set back", 5, 2, false},
		{"a life that is not told", 1, 0, true},
		{"told of a life that is not told", 0, 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLeaves()
			is.True(l.Take(catalog.Endpoint{ID: "e", Born: tc.told}, "g", now))
			is.True(!l.Take(catalog.Endpoint{ID: "e", Born: tc.told}, FromAnswer, now.Add(time.Second)))
			leave, ok := l.Of(catalog.Endpoint{ID: "e", Born: tc.asked})
			is.Equal(ok, tc.leaves)
			if ok {
				is.Equal(leave.Source, "g")
				is.Equal(leave.Since, now)
			}
		})
	}
}

// TestLeavesAreTold: news in each word for a while, what the store does not tell in some words for as long as it is known.
func TestLeavesAreTold(t *testing.T) {
	is := is.New(t)
	l := NewLeaves()
	l.Take(catalog.Endpoint{ID: "a", Born: 3}, FromAnswer, now)
	l.Take(catalog.Endpoint{ID: "b"}, FromStore, now)
	is.Equal(l.Tell(false, now), map[string]int64{"a": 3})
	is.Equal(len(l.Tell(false, now.Add(tellFor+1))), 0)
	is.Equal(l.Tell(true, now.Add(time.Hour)), map[string]int64{"a": 3})
	is.Equal(len(l.Tell(true, now.Add(time.Hour+repeatEvery-1))), 0)
	is.Equal(l.Tell(true, now.Add(time.Hour+repeatEvery)), map[string]int64{"a": 3})
	l.Take(catalog.Endpoint{ID: "a", Born: 3}, FromStore, now)
	is.Equal(len(l.Tell(true, now.Add(2*time.Hour))), 0)
}

// TestLeavesAreBounded: those of endpoints that are not known lapse, and are few; those of known ones stay.
func TestLeavesAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewLeaves()
	for n := range 2 * maxUnknown {
		l.Take(catalog.Endpoint{ID: fmt.Sprint(n)}, "g", now)
	}
	known := func(id string) (catalog.Endpoint, bool) { return catalog.Endpoint{}, id == "7" }
	is.Equal(len(l.Tell(true, now)), maxTold)
	l.Expire(known, now)
	is.Equal(len(l.entries), maxUnknown+1)
	l.Expire(known, now.Add(rememberFor+1))
	is.Equal(len(l.entries), 1)
}

// TestLeaveOfAnotherLifeIsNotTold: while an older copy of the list names another life; it holds again when the list names this one.
func TestLeaveOfAnotherLifeIsNotTold(t *testing.T) {
	is := is.New(t)
	l := NewLeaves()
	e := catalog.Endpoint{ID: "e", Born: 2}
	l.Take(e, FromAnswer, now)
	lists := func(born int64) {
		l.Expire(func(string) (catalog.Endpoint, bool) { return catalog.Endpoint{ID: "e", Born: born}, true }, now.Add(time.Second))
	}
	lists(1)
	is.Equal(len(l.Tell(true, now)), 0)
	lists(2)
	is.Equal(l.Tell(true, now.Add(repeatEvery)), map[string]int64{"e": 2})
	_, leaves := l.Of(e)
	is.True(leaves)
}
