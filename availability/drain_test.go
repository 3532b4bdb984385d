package availability

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

var now = time.Unix(1000, 0)

// TestDrainEndsOnlyWithRestart checks that an endpoint counts as draining until it has restarted,
// and that a repeated statement from another source changes nothing.
func TestDrainEndsOnlyWithRestart(t *testing.T) {
	cases := []struct {
		name              string
		reported, queried int64 // incarnations
		draining          bool
	}{
		{"same incarnation", 1, 1, true},
		{"later incarnation", 1, 2, false},
		{"later incarnation, clock set back", 5, 2, false},
		{"unknown incarnation queried", 1, 0, true},
		{"unknown incarnation reported", 0, 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := NewDrainTable()
			is.True(table.Add(catalog.Endpoint{ID: "e", Born: tc.reported}, "g", now))
			is.True(!table.Add(catalog.Endpoint{ID: "e", Born: tc.reported}, FromResponse, now.Add(time.Second)))
			entry, ok := table.Lookup(catalog.Endpoint{ID: "e", Born: tc.queried})
			is.Equal(ok, tc.draining)
			if ok {
				is.Equal(entry.Source, "g")
				is.Equal(entry.Since, now)
			}
		})
	}
}

// TestDrainUpdates checks that a new entry is in every message for shareFor, and that one which the
// store's list lacks is repeated at intervals for as long as it exists.
func TestDrainUpdates(t *testing.T) {
	is := is.New(t)
	table := NewDrainTable()
	table.Add(catalog.Endpoint{ID: "a", Born: 3}, FromResponse, now)
	table.Add(catalog.Endpoint{ID: "b"}, FromStore, now)
	is.Equal(table.Updates(false, now), map[string]int64{"a": 3})
	is.Equal(len(table.Updates(false, now.Add(shareFor+1))), 0)
	is.Equal(table.Updates(true, now.Add(time.Hour)), map[string]int64{"a": 3})
	is.Equal(len(table.Updates(true, now.Add(time.Hour+repeatInterval-1))), 0)
	is.Equal(table.Updates(true, now.Add(time.Hour+repeatInterval)), map[string]int64{"a": 3})
	table.Add(catalog.Endpoint{ID: "a", Born: 3}, FromStore, now)
	is.Equal(len(table.Updates(true, now.Add(2*time.Hour))), 0)
}

// TestDrainTableIsBounded checks that entries of unknown endpoints expire and are limited in number, and that
// those of known endpoints stay.
func TestDrainTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewDrainTable()
	for n := range 2 * maxUnknown {
		table.Add(catalog.Endpoint{ID: fmt.Sprint(n)}, "g", now)
	}
	known := func(id string) (catalog.Endpoint, bool) { return catalog.Endpoint{}, id == "7" }
	is.Equal(len(table.Updates(true, now)), maxShared)
	table.Expire(known, now)
	is.Equal(len(table.entries), maxUnknown+1)
	table.Expire(known, now.Add(unknownTTL+1))
	is.Equal(len(table.entries), 1)
}

// TestDrainOfOtherIncarnationIsNotSent checks that an entry is not sent while an outdated copy of the store's
// list names another incarnation, and that it applies again once the list names its own.
func TestDrainOfOtherIncarnationIsNotSent(t *testing.T) {
	is := is.New(t)
	table := NewDrainTable()
	e := catalog.Endpoint{ID: "e", Born: 2}
	table.Add(e, FromResponse, now)
	lists := func(born int64) {
		table.Expire(func(string) (catalog.Endpoint, bool) { return catalog.Endpoint{ID: "e", Born: born}, true }, now.Add(time.Second))
	}
	lists(1)
	is.Equal(len(table.Updates(true, now)), 0)
	lists(2)
	is.Equal(table.Updates(true, now.Add(repeatInterval)), map[string]int64{"e": 2})
	_, draining := table.Lookup(e)
	is.True(draining)
}

// TestConfirmedDrainKeepsItsTime guards against requests that reach a draining endpoint as a last resort
// long after its gateway has passed on that it drains: the statement came from an incarnation that was not
// known yet, and its confirmation was taken for a new drain.
func TestConfirmedDrainKeepsItsTime(t *testing.T) {
	is := is.New(t)
	table, begin := NewDrainTable(), time.Unix(1000, 0)
	first, second := catalog.Endpoint{ID: "e", Born: 1}, catalog.Endpoint{ID: "e", Born: 2}
	table.Add(first, FromResponse, begin)
	is.True(table.Restarted(second, begin, begin.Add(2*time.Second)))
	now := begin.Add(3 * time.Second)
	is.True(table.Add(second, "g2", now))
	drain, ok := table.Lookup(second)
	is.True(ok)
	is.Equal(drain.Since, begin)
	is.Equal(table.Updates(false, now.Add(shareFor/2)), map[string]int64{"e": 2}) // others may not know yet
}
