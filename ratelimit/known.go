// Package ratelimit decides how many requests a second gateways send together to endpoints that
// limit how many they take from all of them. Each gateway sends alone, and no part of such a limit is
// both safe and useful if each keeps it alone: an endpoint that takes two a second before a hundred
// gateways. So the gateways of a cell know the same limits (Known), agree on one of them
// that coordinates (Votes), and that one grants single sends (Coordinator). The package is pure: events and
// times come in, beliefs and grants come out.
package ratelimit

import (
	"maps"
	"time"
)

const (
	// tellFor is how long a change is told in each word; words are sent several times a second, so that
	// a few may be lost, and endpoints that have started again are listed everywhere in less.
	tellFor = 2 * time.Second
	// endedFor is how long the end of a limit is repeated: a gateway that was cut off
	// tells it older news for so long at most, as it is answered with the newer.
	endedFor = time.Minute
	// foreignFor is how long a limit of an endpoint of another cell holds. Nobody here sends there
	// and learns of its end; its own cell offers it again when it ended.
	foreignFor = 10 * time.Second
)

// Named is what an answer of an endpoint says of its limit.
type Named struct {
	// Is is set where the answer names a limit. An answer without one ends it.
	Is bool
	// PerSecond is how many requests a second the endpoint takes from all gateways together, 0 for none.
	PerSecond float64
}

// Notice is what one gateway tells others of an endpoint's limit.
type Notice struct {
	// Version rises with each change of what is known of the endpoint's limit.
	Version uint64
	Named   Named
	// Born is the life of the endpoint that it holds for, see catalog.Endpoint.
	Born int64
}

// entry is what is known of one endpoint.
type entry struct {
	Notice
	at    time.Time // when it was learned or confirmed
	until time.Time // until when it is told
}

// Known holds the limits of endpoints. Answers come late and out of order, and gateways read them at
// different times, so clocks do not tell which one is the newest. An answer is known to be newer than the
// limit that holds only if its request was sent when that limit was known; only such an answer raises or ends a limit.
// Of answers in no known order the lowest limit holds. Known is not safe for concurrent use.
type Known struct {
	entries map[string]*entry
}

// NewKnown returns a table without limits.
func NewKnown() *Known { return &Known{entries: make(map[string]*entry)} }

// Version returns what has to be given to Answered with the answer to a request that is sent now.
func (k *Known) Version(endpoint string) uint64 {
	if e := k.entries[endpoint]; e != nil {
		return e.Version
	}
	return 0
}

// Limit returns the limit that an endpoint has named; ok is false where it has none.
func (k *Known) Limit(endpoint string) (perSecond float64, ok bool) {
	e := k.entries[endpoint]
	if e == nil || !e.Named.Is {
		return 0, false
	}
	return e.Named.PerSecond, true
}

// Limits returns all limits that hold, in requests a second by endpoint.
func (k *Known) Limits() map[string]float64 {
	out := make(map[string]float64)
	for id, e := range k.entries {
		if e.Named.Is {
			out[id] = e.Named.PerSecond
		}
	}
	return out
}

// Answered takes in what an answer says of the limit of an endpoint in that life. sent is the Version when the request was
// sent. It reports whether that changes what is known.
func (k *Known) Answered(endpoint string, born int64, sent uint64, n Named, now time.Time) bool {
	e := k.entries[endpoint]
	if e == nil || e.Born != born {
		if !n.Is {
			return false
		}
		k.entries[endpoint] = &entry{Notice{1, n, born}, now, now.Add(tellFor)}
		return true
	}
	newer := sent >= e.Version
	if n == e.Named {
		e.at = now
		return false
	}
	if !newer && !lower(n, e.Named) {
		return false
	}
	e.Version++
	e.Named, e.at, e.until = n, now, now.Add(tellFor)
	return true
}

// lower reports whether a allows less than b.
func lower(a, b Named) bool {
	return a.Is && (!b.Is || a.PerSecond < b.PerSecond)
}

// Heard takes in what another gateway tells of an endpoint in the life that the caller knows; it reports whether that
// changes what is known. A gateway that tells something old is told the newer.
func (k *Known) Heard(endpoint string, n Notice, now time.Time) bool {
	e := k.entries[endpoint]
	switch {
	case e == nil || n.Born != e.Born:
	case n.Version < e.Version:
		e.until = now.Add(tellFor)
		return false
	case n.Version == e.Version && !lower(n.Named, e.Named):
		if n.Named == e.Named {
			e.at = now
		}
		return false
	}
	changed := e == nil && n.Named.Is || e != nil && e.Named != n.Named
	k.entries[endpoint] = &entry{n, now, now.Add(tellFor)}
	return changed
}

// Tell returns what is to be told: what has changed lately, or everything that others may have missed.
func (k *Known) Tell(everything bool, now time.Time) map[string]Notice {
	var out map[string]Notice
	for id, e := range k.entries {
		if now.After(e.until) && !(everything && (e.Named.Is || now.Sub(e.at) <= endedFor)) {
			continue
		}
		if out == nil {
			out = make(map[string]Notice)
		}
		out[id] = e.Notice
	}
	return out
}

// Expire drops limits of endpoints that are not of the own cell and were not named lately; it reports
// whether there were any.
func (k *Known) Expire(own func(endpoint string) bool, now time.Time) bool {
	before := len(k.entries)
	maps.DeleteFunc(k.entries, func(id string, e *entry) bool {
		return now.Sub(e.at) > foreignFor && !own(id)
	})
	return len(k.entries) < before
}

// Forget drops what is known of an endpoint that is gone or has started again.
func (k *Known) Forget(endpoint string) { delete(k.entries, endpoint) }
