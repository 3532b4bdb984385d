package availability

import (
	"maps"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

const (
	// FromStore and FromAnswer are the sources of a Leave other than gateways, which are given by
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
	Born   int64     // incarnation that is draining, see catalog.Endpoint
	Since  time.Time // when this gateway learned of it
	Source string    // where it learned of it first: FromStore, FromAnswer or the name of a gateway
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
// of the store, which may be outdated, reverts it. Leaves is not safe for concurrent use.
type DrainTable struct {
	entries    map[string]*DrainEntry
	lastRepeat time.Time // when Tell last returned all entries
}

// NewDrainTable returns an empty table.
func NewDrainTable() *DrainTable { return &DrainTable{entries: make(map[string]*DrainEntry)} }

// Add records that an endpoint is draining. It reports whether that is new.
func (l *DrainTable) Add(e catalog.Endpoint, source string, now time.Time) bool {
	old := l.entries[e.ID]
	if old != nil && !old.uncertain && !restarted(old.Born, e.Born) {
		old.listed = old.listed || source == FromStore
		return false
	}
	l.entries[e.ID] = &DrainEntry{Born: e.Born, Since: now, Source: source, listed: source == FromStore}
	return true
}

// Restarted records that an endpoint was seen to have restarted as e; listed is when its previous
// incarnation was listed last. A statement received later than restartListingLag before that time may
// already come from the new incarnation, which therefore counts as draining until TakeBack. Restarted
// reports whether that is the case.
func (l *DrainTable) Restarted(e catalog.Endpoint, listed, now time.Time) bool {
	old := l.entries[e.ID]
	if old == nil || old.listed || old.Since.Before(listed.Add(-restartListingLag)) {
		return false
	}
	l.entries[e.ID] = &DrainEntry{Born: e.Born, Since: now, Source: old.Source, uncertain: true}
	return true
}

// Uncertain reports whether an endpoint counts as draining because of a statement that may have come from
// its previous incarnation.
func (l *DrainTable) Uncertain(e catalog.Endpoint) bool {
	leave, ok := l.Lookup(e)
	return ok && leave.uncertain
}

// RevokeUncertain records a response in which the endpoint does not state that it is draining. It drops the
// endpoint's entry if that is uncertain.
func (l *DrainTable) RevokeUncertain(e catalog.Endpoint) {
	if l.Uncertain(e) {
		delete(l.entries, e.ID)
	}
}

// Lookup returns the entry of an endpoint; ok is false if this incarnation is not draining.
func (l *DrainTable) Lookup(e catalog.Endpoint) (leave DrainEntry, ok bool) {
	entry := l.entries[e.ID]
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
func (l *DrainTable) Updates(regular bool, now time.Time) map[string]int64 {
	full := regular && now.Sub(l.lastRepeat) >= repeatInterval
	if full {
		l.lastRepeat = now
	}
	var out map[string]int64
	for id, leave := range l.entries { // in random order, so that each is sent in some message
		if leave.listed || leave.superseded || leave.uncertain || !full && now.Sub(leave.Since) > shareFor {
			continue
		}
		if out == nil {
			out = make(map[string]int64)
		}
		out[id] = leave.Born
		if len(out) == maxShared {
			break
		}
	}
	return out
}

// Expire drops entries older than unknownTTL of endpoints that are unknown or known in another incarnation,
// and entries of unknown endpoints beyond maxUnknown.
func (l *DrainTable) Expire(known func(id string) (e catalog.Endpoint, ok bool), now time.Time) {
	unknown := 0
	maps.DeleteFunc(l.entries, func(id string, leave *DrainEntry) bool {
		e, ok := known(id)
		leave.superseded = ok && restarted(leave.Born, e.Born)
		if ok && !leave.superseded {
			return false
		}
		if !ok {
			unknown++
		}
		return unknown > maxUnknown || now.Sub(leave.Since) > unknownTTL
	})
}
