// Package ratelimit enforces rate limits that endpoints set for all gateways together. The gateways
// send requests independently, and no fixed share of such a limit for each gateway is both safe and
// useful: an endpoint may accept two requests a second and have a hundred gateways. The gateways of a
// cell therefore share the limits they know (LimitTable) and elect one of themselves as coordinator (Election),
// which grants requests one by one (Coordinator). The package does no I/O and reads no clock: callers
// pass in events and times.
package ratelimit

import (
	"maps"
	"time"
)

const (
	// shareFor is how long a change is included in every message to the other gateways. Messages are sent
	// several times a second, so a few of them may be lost, and all gateways learn of a restarted endpoint in
	// less time than that.
	shareFor = 2 * time.Second
	// endedTTL is how long the end of a limit is repeated. A gateway that was disconnected sends
	// outdated limits for no longer than that, as it receives the newer state in reply.
	endedTTL = time.Minute
	// otherCellTTL is how long the limit of an endpoint of another cell applies without being confirmed.
	// No gateway of this cell sends requests to such an endpoint and could learn that the limit has
	// ended; once it has, the cell of the endpoint offers the endpoint again.
	otherCellTTL = 10 * time.Second
)

// AdvertisedLimit is what a response of an endpoint says about the endpoint's limit.
type AdvertisedLimit struct {
	// Set is set if the response names a limit. A response without one ends the limit.
	Set bool
	// PerSecond is how many requests a second the endpoint accepts from all gateways together; 0 if it
	// accepts none.
	PerSecond float64
}

// LimitUpdate is what one gateway sends to the others about an endpoint's limit. The fields are encoded by
// position: new ones go last.
type LimitUpdate struct {
	// Version increases with each change of the known limit of the endpoint.
	Version uint64
	Limit   AdvertisedLimit
	// Born is the incarnation of the endpoint that the limit applies to, see catalog.Endpoint.
	Born int64
}

// entry is the known limit of one endpoint, or its end.
type entry struct {
	LimitUpdate
	confirmedAt time.Time // when it was learned or last confirmed
	shareUntil  time.Time // until when every message includes it
}

// LimitTable holds the limits of endpoints. Responses arrive late and out of order, and at different gateways,
// so clocks do not show which is the newest. A response is known to be newer than the current limit only if
// its request was sent when that limit was already known, and only such a response raises or ends a limit.
// Among responses in unknown order the lowest limit applies. LimitTable is not safe for concurrent use.
type LimitTable struct {
	entries map[string]*entry
}

// NewLimitTable returns an empty table.
func NewLimitTable() *LimitTable { return &LimitTable{entries: make(map[string]*entry)} }

// Version returns the version of an endpoint's limit. The caller reads it when it sends a request and
// passes it to ApplyResponse with the response.
func (t *LimitTable) Version(endpoint string) uint64 {
	if e := t.entries[endpoint]; e != nil {
		return e.Version
	}
	return 0
}

// Limit returns the limit of an endpoint; ok is false if it has none.
func (t *LimitTable) Limit(endpoint string) (perSecond float64, ok bool) {
	e := t.entries[endpoint]
	if e == nil || !e.Limit.Set {
		return 0, false
	}
	return e.Limit.PerSecond, true
}

// Limits returns all limits in force, in requests a second by endpoint.
func (t *LimitTable) Limits() map[string]float64 {
	out := make(map[string]float64)
	for id, e := range t.entries {
		if e.Limit.Set {
			out[id] = e.Limit.PerSecond
		}
	}
	return out
}

// ApplyResponse records what a response says about the limit of an endpoint, for the incarnation born. sent is
// the Version at the time when the request was sent. It reports whether the known limit has changed.
func (t *LimitTable) ApplyResponse(endpoint string, born int64, sent uint64, limit AdvertisedLimit, now time.Time) bool {
	e := t.entries[endpoint]
	if e == nil || e.Born != born {
		if !limit.Set {
			return false
		}
		t.entries[endpoint] = &entry{LimitUpdate{1, limit, born}, now, now.Add(shareFor)}
		return true
	}
	newer := sent >= e.Version
	if limit == e.Limit {
		e.confirmedAt = now
		return false
	}
	if !newer && !lower(limit, e.Limit) {
		return false
	}
	e.Version++
	e.Limit, e.confirmedAt, e.shareUntil = limit, now, now.Add(shareFor)
	return true
}

// lower reports whether a is a stricter limit than b.
func lower(a, b AdvertisedLimit) bool {
	return a.Set && (!b.Set || a.PerSecond < b.PerSecond)
}

// ApplyUpdate records what another gateway sent about an endpoint, which must be about the incarnation that the
// caller knows. It reports whether the known limit has changed. If the update is outdated, the newer state
// is included in messages again.
func (t *LimitTable) ApplyUpdate(endpoint string, u LimitUpdate, now time.Time) bool {
	e := t.entries[endpoint]
	switch {
	case e == nil || u.Born != e.Born:
	case u.Version < e.Version:
		e.shareUntil = now.Add(shareFor)
		return false
	case u.Version == e.Version && !lower(u.Limit, e.Limit):
		if u.Limit == e.Limit {
			e.confirmedAt = now
		}
		return false
	}
	changed := e == nil && u.Limit.Set || e != nil && e.Limit != u.Limit
	t.entries[endpoint] = &entry{u, now, now.Add(shareFor)}
	return changed
}

// Updates returns the updates to send to the other gateways: those changed within shareFor and, if full is
// set, all others that a gateway may have missed.
func (t *LimitTable) Updates(full bool, now time.Time) map[string]LimitUpdate {
	var out map[string]LimitUpdate
	for id, e := range t.entries {
		if now.After(e.shareUntil) && !(full && (e.Limit.Set || now.Sub(e.confirmedAt) <= endedTTL)) {
			continue
		}
		if out == nil {
			out = make(map[string]LimitUpdate)
		}
		out[id] = e.LimitUpdate
	}
	return out
}

// Expire drops the limits of endpoints of other cells that were not confirmed within otherCellTTL. It reports
// whether there were any. local reports whether an endpoint belongs to this cell.
func (t *LimitTable) Expire(local func(endpoint string) bool, now time.Time) bool {
	before := len(t.entries)
	maps.DeleteFunc(t.entries, func(id string, e *entry) bool {
		return now.Sub(e.confirmedAt) > otherCellTTL && !local(id)
	})
	return len(t.entries) < before
}

// Forget drops the limit of an endpoint that is gone or has restarted.
func (t *LimitTable) Forget(endpoint string) { delete(t.entries, endpoint) }
