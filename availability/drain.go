package availability

import (
	"maps"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

const (
	// FromStore and FromResponse are the sources of a DrainEntry other than gateways, which are given by
	// name.
	FromStore    = "store"
	FromResponse = "answer"
	// shareFor is how long a new entry is included in every message to the other gateways. Messages
	// are sent several times a second, so a few of them may be lost.
	shareFor = 2 * time.Second
	// repeatInterval is how often all entries that the store's list lacks are sent again, for gateways
	// that have just started or were disconnected.
	repeatInterval = 2 * time.Second
	// unknownTTL is how long an entry of an unknown endpoint is kept. Copies of the store's list are
	// seconds old.
	unknownTTL = 10 * time.Minute
	// maxUnknown is how many entries of unknown endpoints are kept.
	maxUnknown = 4096
	// maxShared is how many entries one message contains. Where there are more, each message
	// contains a different selection.
	maxShared = 256
)

// DrainEntry describes a draining endpoint, which accepts no new requests.
type DrainEntry struct {
	Born       int64     // incarnation that is draining, see catalog.Endpoint
	Since      time.Time // when this gateway learned of it, or received a statement that may have been about it
	Source     string    // where it learned of it first: FromStore, FromResponse or the name of a gateway
	shareUntil time.Time // until when every message to the other gateways includes the entry
	// listed is set if the store's list says so too. All gateways read that list, so the entry need
	// not be sent to them.
	listed bool
	// uncertain is set if the statement may have come from the previous incarnation instead.
	uncertain bool
	// superseded is set while the known incarnation of the endpoint is another one. That may be
	// temporary, as gateways may read an older copy of the store's list.
	superseded bool
}

// DrainTable tracks the draining endpoints. An incarnation that is draining never accepts requests again:
// neither a response without the statement, which may have been overtaken by later ones, nor an entry
// of the store, which may be outdated, reverts it. DrainTable is not safe for concurrent use.
type DrainTable struct {
	entries    map[string]*DrainEntry
	lastRepeat time.Time // when Updates last returned all entries
}

// NewDrainTable returns an empty table.
func NewDrainTable() *DrainTable { return &DrainTable{entries: make(map[string]*DrainEntry)} }

// Add records that an endpoint is draining. It reports whether that is new.
func (t *DrainTable) Add(e catalog.Endpoint, source string, now time.Time) bool {
	old := t.entries[e.ID]
	if old != nil && !old.uncertain && !restarted(old.Born, e.Born) {
		old.listed = old.listed || source == FromStore
		return false
	}
	entry := &DrainEntry{Born: e.Born, Since: now, shareUntil: now.Add(shareFor), Source: source, listed: source == FromStore}
	if old != nil && !restarted(old.Born, e.Born) {
		entry.Since = old.Since // it was uncertain
	}
	t.entries[e.ID] = entry
	return true
}

// Restarted records that an endpoint was seen to have restarted as e; listed is when its previous
// incarnation was listed last. A statement received later than restartListingLag before that time may
// already come from the new incarnation, which therefore counts as draining until RevokeUncertain. Restarted
// reports whether that is the case.
func (t *DrainTable) Restarted(e catalog.Endpoint, listed, now time.Time) bool {
	old := t.entries[e.ID]
	if old == nil || old.listed || old.Since.Before(listed.Add(-restartListingLag)) {
		return false
	}
	t.entries[e.ID] = &DrainEntry{Born: e.Born, Since: old.Since, Source: old.Source, uncertain: true}
	return true
}

// Uncertain reports whether an endpoint counts as draining because of a statement that may have come from
// its previous incarnation.
func (t *DrainTable) Uncertain(e catalog.Endpoint) bool {
	entry, ok := t.Lookup(e)
	return ok && entry.uncertain
}

// RevokeUncertain records a response in which the endpoint does not state that it is draining. It drops the
// endpoint's entry if that is uncertain.
func (t *DrainTable) RevokeUncertain(e catalog.Endpoint) {
	if t.Uncertain(e) {
		delete(t.entries, e.ID)
	}
}

// Lookup returns the entry of an endpoint; ok is false if this incarnation is not draining.
func (t *DrainTable) Lookup(e catalog.Endpoint) (drain DrainEntry, ok bool) {
	entry := t.entries[e.ID]
	if entry == nil || restarted(entry.Born, e.Born) {
		return DrainEntry{}, false
	}
	return *entry, true
}

// restarted reports whether two incarnations of one endpoint differ; 0 stands for an unknown incarnation.
func restarted(before, now int64) bool {
	return catalog.Endpoint{Born: before}.RestartedAs(catalog.Endpoint{Born: now})
}

// Updates returns the draining incarnations to send to the other gateways, by endpoint: those learned within
// shareFor and, at intervals of repeatInterval, all others that the store's list lacks. regular is set for
// a message that is sent anyway; only such a message repeats all.
func (t *DrainTable) Updates(regular bool, now time.Time) map[string]int64 {
	full := regular && now.Sub(t.lastRepeat) >= repeatInterval
	if full {
		t.lastRepeat = now
	}
	var out map[string]int64
	for id, entry := range t.entries { // in random order, so that each is sent in some message
		if entry.listed || entry.superseded || entry.uncertain || !full && now.After(entry.shareUntil) {
			continue
		}
		if out == nil {
			out = make(map[string]int64)
		}
		out[id] = entry.Born
		if len(out) == maxShared {
			break
		}
	}
	return out
}

// Expire drops entries older than unknownTTL of endpoints that are unknown or known in another incarnation,
// and entries of unknown endpoints beyond maxUnknown.
func (t *DrainTable) Expire(known func(id string) (e catalog.Endpoint, ok bool), now time.Time) {
	unknown := 0
	maps.DeleteFunc(t.entries, func(id string, entry *DrainEntry) bool {
		e, ok := known(id)
		entry.superseded = ok && restarted(entry.Born, e.Born)
		if ok && !entry.superseded {
			return false
		}
		if !ok {
			unknown++
		}
		return unknown > maxUnknown || now.Sub(entry.Since) > unknownTTL
	})
}
