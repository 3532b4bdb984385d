package memory

import (
	"slices"
	"strings"
	"time"
)

// Live reports whether the reservation may be used now.
func (b *LeaseTable) Live(id string, now time.Time) bool {
	l, ok := b.leases[id]
	return ok && l.live(now)
}

// Renew extends a live lease. It returns false if the lease is over.
func (b *LeaseTable) Renew(id string, lease time.Duration, now time.Time) bool {
	l, ok := b.leases[id]
	if !ok || !l.live(now) {
		return false
	}
	l.Expires = now.Add(clampLease(lease))
	return true
}

// Pin ties a live lease to a run: the lease lasts until Unpin, renewed or not, so that the
// run does not depend on its coordinator. It returns false if the lease is over or already
// has a run.
func (b *LeaseTable) Pin(id string, now time.Time) bool {
	l, ok := b.leases[id]
	if !ok || !l.live(now) || l.Pinned {
		return false
	}
	l.Pinned = true
	return true
}

// Unpin ends the lease of a run that has ended.
func (b *LeaseTable) Unpin(id string) {
	if l, ok := b.leases[id]; ok {
		l.Pinned = false
		b.closeLease(l)
	}
}

// Release ends a reservation that no run uses, and reports whether there was one to end. A
// reservation that is not known, because its request was delayed or lost, will never be
// granted.
func (b *LeaseTable) Release(id string, now time.Time) bool {
	b.dropExpired(now)
	group, epoch, ok := ParseReservationID(id)
	if !ok {
		return false
	}
	if f, known := b.fences[group]; !known && len(b.fences) < maxFences || known && epoch >= f.epoch {
		b.fences[group] = fence{epoch: epoch, ended: true, expires: now.Add(fenceTTL)}
	}
	l, ok := b.leases[id]
	if !ok || l.Pinned || l.Closing {
		return false
	}
	l.Closing = true
	return true
}

// Expire ends the leases that have expired. It returns all leases that are closing and not
// yet freed, ordered by ID.
func (b *LeaseTable) Expire(now time.Time) []Lease {
	var out []Lease
	for _, l := range b.leases {
		if !l.live(now) {
			b.closeLease(l)
			out = append(out, *l)
		}
	}
	slices.SortFunc(out, func(x, y Lease) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// RecordFreed records that the endpoint has freed the memory of a closing lease.
func (b *LeaseTable) RecordFreed(id string) {
	if l, ok := b.leases[id]; ok && l.Closing {
		delete(b.leases, id)
	}
}

// NextExpiry returns when the next lease expires unless it is renewed; ok is false if none will.
func (b *LeaseTable) NextExpiry() (at time.Time, ok bool) {
	for _, l := range b.leases {
		if l.Closing || l.Pinned {
			continue
		}
		if !ok || l.Expires.Before(at) {
			at, ok = l.Expires, true
		}
	}
	return at, ok
}

// Known reports whether the reservation's memory is counted in Reserved.
func (b *LeaseTable) Known(id string) bool {
	_, ok := b.leases[id]
	return ok
}
