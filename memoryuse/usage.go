// Package memoryuse decides how long memory that is reserved at endpoints for a request stays reserved: it is
// renewed only while there is evidence that the request uses it.
package memoryuse

import (
	"sync"
	"time"
)

const (
	// ReservationTTL is how long memory stays reserved without renewal. It bounds how long a killed
	// gateway, or an order that an endpoint executes late, can keep memory reserved; endpoints must
	// get unused memory back within four seconds.
	ReservationTTL = 3 * time.Second
	// RenewInterval allows two attempts to renew a reservation that is used before it expires.
	RenewInterval = ReservationTTL / 3
	// queryAfter is how long a response may stay silent before an endpoint is queried for whether the
	// memory reserved there is in use. Events arrive every 100 to 500 ms, so that streams cause no
	// queries; the prefill of a prompt, which takes one to four seconds, causes one each second.
	queryAfter = RenewInterval
	// tickTolerance is by how much a renewal tick may come early. Evidence of use is dated at one
	// tick and evaluated at a later one; without the tolerance, every second evaluation came one
	// tick late.
	tickTolerance = RenewInterval / 4
	// maxUnusedAfterUse is how long memory that was in use may be unused before it is released: the
	// request is then over and its response lost. A request that an engine preempted and prefills
	// again uses the memory again within a pass or two, well below a second. With one query a
	// second, the memory is released after three seconds at most; four are allowed.
	maxUnusedAfterUse = 2 * time.Second
)

// Limits is how long memory may stay reserved without evidence that it is in use.
type Limits struct {
	// notQueued applies to memory that was never used while no request waits at the decoding
	// endpoint; queued applies while requests wait there, or if the endpoint does not answer.
	notQueued, queued time.Duration
}

// NewLimits returns limits that keep memory from being unused for longer than limit. The part
// of limit above them allows for a lost release, after which the reservation expires ReservationTTL
// after its last renewal. If no request is queued, half of the time is enough to know that the
// request is lost. In the queue of an engine that is busy with other requests, a prompt may still
// be started: one that was started after three seconds was served, while its engine was still
// working for a gateway that had been killed.
func NewLimits(limit time.Duration) Limits {
	queued := max(limit-ReservationTTL, 2*queryAfter) // at least two queries
	return Limits{notQueued: queued / 2, queued: queued}
}

// Action is what to do about reserved memory at a renewal tick.
type Action uint8

// The actions.
const (
	Renew   Action = iota // renew the reservations
	Query                 // renew them, and query whether the memory is in use
	Release               // the memory is not in use: end the attempt and release it
)

// Usage tracks whether the memory reserved for one attempt is in use. The current time is
// passed in. Its methods may be called concurrently.
type Usage struct {
	limits Limits

	mu         sync.Mutex
	lastUsed   time.Time // newest evidence of use; before there is any, when the memory was reserved
	everUsed   bool      // whether there was any evidence of use
	lastQueued time.Time // when a request was last known to wait at the decoding endpoint
	queries    int       // how often an endpoint was queried
	// heldUntil is when the memory expires if the newest orders were executed in time, and confirmed is
	// when it expires at each endpoint, as confirmed by its responses.
	heldUntil time.Time
	confirmed []time.Time
}

// New returns the usage of memory that was reserved at n endpoints by orders sent at the given time.
func New(l Limits, n int, reservedAt time.Time) *Usage {
	u := &Usage{limits: l, lastUsed: reservedAt, lastQueued: reservedAt, heldUntil: reservedAt.Add(ReservationTTL)}
	for range n {
		u.confirmed = append(u.confirmed, u.heldUntil)
	}
	return u
}

// renewalEnd returns until when a renewal that is sent now reserves the memory: for ReservationTTL, but no
// longer than a tick after the memory has to be released unless there is new evidence of use. Otherwise a
// renewal that its endpoint executes late keeps unused memory for longer than allowed, if the gateway dies
// or is frozen before it releases the memory. The caller holds mu.
func (u *Usage) renewalEnd(now time.Time) time.Time {
	end, longest := now.Add(ReservationTTL), u.lastUsed.Add(max(ReservationTTL, u.limits.queued+RenewInterval))
	if end.After(longest) {
		return longest
	}
	return end
}

// Renewal returns until when the memory is to be reserved by renewals sent now, and to which endpoints they
// are sent: those that have not confirmed that time.
func (u *Usage) Renewal(now time.Time) (until time.Time, endpoints []int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	until = u.renewalEnd(now)
	for i, confirmed := range u.confirmed {
		if until.After(confirmed) {
			endpoints = append(endpoints, i)
		}
	}
	if until.After(u.heldUntil) {
		u.heldUntil = until
	}
	return until, endpoints
}

// Confirm records that an endpoint has executed an order that reserves the memory until then.
func (u *Usage) Confirm(endpoint int, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if until.After(u.confirmed[endpoint]) {
		u.confirmed[endpoint] = until
	}
}

// RenewalDue reports whether new evidence of use allows to reserve the memory for longer than by the newest
// orders, without waiting for the next tick.
func (u *Usage) RenewalDue(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.renewalEnd(now).Sub(u.heldUntil) >= tickTolerance
}

// Lapsed reports whether the reservations have expired, given for how long the host was suspended since the
// previous call.
func (u *Usage) Lapsed(now time.Time, suspended time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heldUntil = u.heldUntil.Add(-suspended)
	for i := range u.confirmed {
		u.confirmed[i] = u.confirmed[i].Add(-suspended)
	}
	return !now.Before(u.heldUntil)
}

// RecordUse records that the memory was in use at that time: a part of the response arrived, or an
// endpoint reported the use.
func (u *Usage) RecordUse(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if at.After(u.lastUsed) {
		u.lastUsed, u.everUsed = at, true
	}
}

// Next returns what to do now, whatever endpoints answered: no memory stays reserved without
// evidence of use for longer than the limit for queued requests.
func (u *Usage) Next(now time.Time) Action {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch unused := now.Sub(u.lastUsed) + tickTolerance; {
	case unused >= u.limits.queued:
		return Release
	case unused >= queryAfter:
		return Query
	default:
		return Renew
	}
}

// RecordUnused records the response to a query sent at queriedAt that the reserved memory is not in
// use. queued is set if requests wait at the decoding endpoint, or if it does not answer. It
// reports whether the memory is to be released.
func (u *Usage) RecordUnused(queriedAt time.Time, queued bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !queriedAt.After(u.lastUsed) {
		return false
	}
	if queued {
		u.lastQueued = queriedAt
	}
	if u.everUsed {
		return queriedAt.Sub(u.lastUsed)+tickTolerance >= min(maxUnusedAfterUse, u.limits.queued)
	}
	return queriedAt.Sub(u.lastQueued)+tickTolerance >= u.limits.notQueued
}

// SinceLastUse returns how long there has been no evidence of use.
func (u *Usage) SinceLastUse(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(u.lastUsed)
}

// NextQuery returns which of n endpoints to query next. It rotates, because an endpoint may not
// answer.
func (u *Usage) NextQuery(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queries++
	return (u.queries - 1) % n
}
