// Package ratelimit enforces rate limits that endpoints set for all gateways together. The gateways
// send requests independently, and no fixed share of such a limit for each gateway is both safe and
// useful: an endpoint may accept two requests a second and have a hundred gateways. The gateways of a
// cell therefore share the limits they know (Known) and elect one of themselves as coordinator (Votes),
// which grants requests one by one (Coordinator). The package does no I/O and reads no clock: callers
// pass in events and times.
package ratelimit

import (
	"maps"
	"time"
)

const (
	// shareFor is how long a change is included in every message to the other gateways. Messages are
	// sent several times a second, so a few of them may be lost, and all gateways read of a restarted
	// endpoint in less time than that.
	shareFor = 2 * time.Second
	// endedTTL is how long the end of a limit is repeated. A gateway that was disconnected sends
	// outdated limits for no longer than that, as it receives the newer state in reply.
	endedTTL = time.Minute
	// foreignTTL is how long the limit of an endpoint of another cell applies without being confirmed.
	// No gateway of this cell sends requests to such an endpoint and could learn that the limit has
	// ended; once it has, the endpoint's own cell offers the endpoint again.
	foreignTTL = 10 * time.Second
)

// Named is what a response of an endpoint says about the endpoint's limit.
type Named struct {
	// Is is set if the response names a limit. A response without one ends the limit.
	Is bool
	// PerSecond is how many requests a second the endpoint accepts from all gateways together; 0 if it
	// accepts none.
	PerSecond float64
}

// Notice is what one gateway sends to the others about an endpoint's limit. The fields are encoded by
// position: new ones go last.
type Notice struct {
	// Version increases with each change of the known limit of the endpoint.
	Version uint64
	Named   Named
	// Born is the incarnation of the endpoint that the limit applies to, see catalog.Endpoint.
	Born int64
}

// entry is the known limit of one endpoint, or its end.
type entry struct {
	Notice
	confirmedAt time.Time // when it was learned or last confirmed
	shareUntil  time.Time // until when every message includes it
}

// Known holds the limits of endpoints. Responses arrive late and out of order, and at different gateways,
// so clocks do not show which is the newest. A response is known to be newer than the current limit only if
// its request was sent when that limit was already known, and only such a response raises or ends a limit.
// Among responses in unknown order the lowest limit applies. Known is not safe for concurrent use.
type Known struct {
	entries map[string]*entry
}

// NewKnown returns an empty table.
func NewKnown() *Known { return &Known{entries: make(map[string]*entry)} }

// Version returns the version of an endpoint's limit. The caller reads it when it sends a request and
// passes it to Answered with the response.
func (k *Known) Version(endpoint string) uint64 {
	if e := k.entries[endpoint]; e != nil {
		return e.Version
	}
	return 0
}

// Limit returns the limit of an endpoint; ok is false if it has none.
func (k *Known) Limit(endpoint string) (perSecond float64, ok bool) {
	e := k.entries[endpoint]
	if e == nil || !e.Named.Is {
		return 0, false
	}
	return e.Named.PerSecond, true
}

// Limits returns all limits in force, in requests a second by endpoint.
func (k *Known) Limits() map[string]float64 {
	out := make(map[string]float64)
	for id, e := range k.entries {
		if e.Named.Is {
			out[id] = e.Named.PerSecond
		}
	}
	return out
}

// Answered records what a response says about the limit of an endpoint, for the incarnation born. sent is
// the Version at the time when the request was sent. It reports whether the known limit has changed.
func (k *Known) Answered(endpoint string, born int64, sent uint64, n Named, now time.Time) bool {
	e := k.entries[endpoint]
	if e == nil || e.Born != born {
		if !n.Is {
			return false
		}
		k.entries[endpoint] = &entry{Notice{1, n, born}, now, now.Add(shareFor)}
		return true
	}
	newer := sent >= e.Version
	if n == e.Named {
		e.confirmedAt = now
		return false
	}
	if !newer && !lower(n, e.Named) {
		return false
	}
	e.Version++
	e.Named, e.confirmedAt, e.shareUntil = n, now, now.Add(shareFor)
	return true
}

// lower reports whether a is a stricter limit than b.
func lower(a, b Named) bool {
	return a.Is && (!b.Is || a.PerSecond < b.PerSecond)
}

// Heard records what another gateway sent about an endpoint, which must be about the incarnation that the
// caller knows. It reports whether the known limit has changed. If the notice is outdated, the newer state
// is included in messages again.
func (k *Known) Heard(endpoint string, n Notice, now time.Time) bool {
	e := k.entries[endpoint]
	switch {
	case e == nil || n.Born != e.Born:
	case n.Version < e.Version:
		e.shareUntil = now.Add(shareFor)
		return false
	case n.Version == e.Version && !lower(n.Named, e.Named):
		if n.Named == e.Named {
			e.confirmedAt = now
		}
		return false
	}
	changed := e == nil && n.Named.Is || e != nil && e.Named != n.Named
	k.entries[endpoint] = &entry{n, now, now.Add(shareFor)}
	return changed
}

// Tell returns the notices to send to the other gateways: those changed within shareFor and, if full is
// set, all others that a gateway may have missed.
func (k *Known) Tell(full bool, now time.Time) map[string]Notice {
	var out map[string]Notice
	for id, e := range k.entries {
		if now.After(e.shareUntil) && !(full && (e.Named.Is || now.Sub(e.confirmedAt) <= endedTTL)) {
			continue
		}
		if out == nil {
			out = make(map[string]Notice)
		}
		out[id] = e.Notice
	}
	return out
}

// Expire drops the limits of endpoints of other cells that were not confirmed within foreignTTL. It reports
// whether there were any. own reports whether an endpoint belongs to this cell.
func (k *Known) Expire(own func(endpoint string) bool, now time.Time) bool {
	before := len(k.entries)
	maps.DeleteFunc(k.entries, func(id string, e *entry) bool {
		return now.Sub(e.confirmedAt) > foreignTTL && !own(id)
	})
	return len(k.entries) < before
}

// Forget drops the limit of an endpoint that is gone or has restarted.
func (k *Known) Forget(endpoint string) { delete(k.entries, endpoint) }
