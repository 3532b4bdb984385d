package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/result"
)

// Request is a request to reserve memory at one endpoint.
type Request struct {
	Group       string
	Epoch       uint64
	Holder      string // name of the coordinator
	Tokens      uint64
	Lease       time.Duration
	StartUnixMs int64 // when the group began, in Unix milliseconds of its coordinator's clock
	// QueuedTokens is the memory, in tokens, for which admitted work waits at the endpoint.
	QueuedTokens uint64
}

// Verdict is the response to a Request. Code is the reason for a refusal: result.MemoryHeld
// if memory may be granted later, result.LeaseLost if this attempt has ended.
type Verdict struct {
	Granted     bool
	Reservation string
	Code        result.Code
	Detail      string
}

// Lease is one reservation. Its memory counts as reserved until the endpoint has freed it,
// which may be later than the end of the lease.
type Lease struct {
	ID      string
	Group   string
	Epoch   uint64
	Holder  string
	Tokens  uint64
	Expires time.Time
	// Pinned: a run at this endpoint uses the lease, which then lasts as long as the run.
	Pinned bool
	// Closing: the lease has ended and its memory is being freed.
	Closing bool
}

// live reports whether the lease has not ended.
func (l *Lease) live(now time.Time) bool {
	return !l.Closing && (l.Pinned || now.Before(l.Expires))
}

// waiter is a refused group that waits for memory.
type waiter struct {
	group   string
	since   int64
	tokens  uint64
	expires time.Time
}

// before orders waiting groups by their start; the order is the same at every endpoint.
func (p waiter) before(o waiter) bool {
	return cmp.Or(cmp.Compare(p.since, o.since), cmp.Compare(p.group, o.group)) < 0
}

// fence records which attempts of a group have ended.
type fence struct {
	epoch   uint64 // highest one seen
	ended   bool   // the attempt with that epoch has ended too
	expires time.Time
}

// LeaseTable is an agent's record of the leases on its endpoint's memory. It is not safe for
// concurrent use. Times are of the agent's monotonic clock: a lease that expired while the
// agent was suspended is over before the agent acts on it.
type LeaseTable struct {
	total   uint64
	limit   uint64
	leases  map[string]*Lease
	fences  map[string]fence
	waiters []waiter
}

// NewLeaseTable returns an empty table for an endpoint with total tokens of memory, of which at
// most limit may be reserved.
func NewLeaseTable(total, limit uint64) *LeaseTable {
	return &LeaseTable{total: total, limit: limit, leases: make(map[string]*Lease), fences: make(map[string]fence)}
}

// Limit returns the maximum number of tokens that leases may take together.
func (b *LeaseTable) Limit() uint64 { return b.limit }

// Reserved returns the number of reserved tokens, those of ended leases included until
// they are freed.
func (b *LeaseTable) Reserved() uint64 {
	var sum uint64
	for _, l := range b.leases {
		sum += l.Tokens
	}
	return sum
}

// Reserve grants or refuses a lease. It never waits and never grants a part of the
// requested amount. Retrying a granted request extends the lease, and a later attempt of
// a group ends the earlier ones.
func (b *LeaseTable) Reserve(r Request, now time.Time) Verdict {
	b.dropExpired(now)
	id := ReservationID(r.Group, r.Epoch)
	if r.Tokens == 0 || r.Tokens > b.limit {
		return refused(result.MemoryHeld, "request exceeds the reservable memory of the endpoint")
	}
	if f, ok := b.fences[r.Group]; ok && (r.Epoch < f.epoch || r.Epoch == f.epoch && f.ended) {
		return refused(result.LeaseLost, "this attempt of the group has ended")
	}
	if l, ok := b.leases[id]; ok {
		return b.reserveAgain(l, r, now)
	}
	if len(b.fences) >= maxFences {
		return refused(result.MemoryHeld, "too many groups are tracked")
	}
	b.closeEarlier(r)
	b.fences[r.Group] = fence{epoch: r.Epoch, expires: now.Add(fenceTTL)}
	if !b.fits(r, now) {
		b.enqueue(r, now)
		return refused(result.MemoryHeld, "")
	}
	if r.Epoch > 1 {
		b.enqueue(r, now) // the attempt may still fail at another member
	}
	b.leases[id] = &Lease{ID: id, Group: r.Group, Epoch: r.Epoch, Holder: r.Holder, Tokens: r.Tokens, Expires: now.Add(clampLease(r.Lease))}
	return Verdict{Granted: true, Reservation: id}
}

func refused(c result.Code, detail string) Verdict { return Verdict{Code: c, Detail: detail} }

// clampLease bounds the duration of a lease.
func clampLease(d time.Duration) time.Duration { return min(max(d, 0), MaxLease) }

// reserveAgain handles a retried request: it extends the lease if it is still live.
func (b *LeaseTable) reserveAgain(l *Lease, r Request, now time.Time) Verdict {
	if !l.live(now) || l.Tokens != r.Tokens {
		return refused(result.LeaseLost, "this attempt of the group has ended")
	}
	l.Expires = now.Add(clampLease(r.Lease))
	return Verdict{Granted: true, Reservation: l.ID}
}

// closeEarlier ends the leases of earlier attempts of the request's group that no run
// uses.
func (b *LeaseTable) closeEarlier(r Request) {
	for _, l := range b.leases {
		if l.Group == r.Group && l.Epoch < r.Epoch && !l.Pinned {
			l.Closing = true
		}
	}
}

// closeLease ends a lease and fences its attempt, so that the attempt is never granted
// again.
func (b *LeaseTable) closeLease(l *Lease) {
	l.Closing = true
	if f := b.fences[l.Group]; f.epoch <= l.Epoch {
		f.epoch, f.ended = l.Epoch, true
		b.fences[l.Group] = f
	}
}

// fits reports whether the request fits beside all leases, the work that was admitted
// before it, and all earlier waiting groups.
func (b *LeaseTable) fits(r Request, now time.Time) bool {
	reserved := b.Reserved()
	if reserved+r.Tokens > b.limit || reserved+r.Tokens+r.QueuedTokens > b.total {
		return false
	}
	own := waiter{group: r.Group, since: r.StartUnixMs}
	for _, p := range b.waiters {
		if p.before(own) && !b.hasLiveLease(p.group, now) && reserved+p.tokens+r.Tokens > b.limit {
			return false
		}
	}
	return true
}

// hasLiveLease reports whether a group has a live lease here.
func (b *LeaseTable) hasLiveLease(group string, now time.Time) bool {
	for _, l := range b.leases {
		if l.Group == group && l.live(now) {
			return true
		}
	}
	return false
}

// enqueue adds the request's group to the waiting groups, or renews its entry.
func (b *LeaseTable) enqueue(r Request, now time.Time) {
	p := waiter{r.Group, r.StartUnixMs, r.Tokens, now.Add(waiterTTL)}
	for i := range b.waiters {
		if b.waiters[i].group == r.Group {
			b.waiters[i] = p
			return
		}
	}
	if len(b.waiters) < maxWaiters {
		b.waiters = append(b.waiters, p)
	}
}

// WaitingTokens returns the tokens that the first waiting group needs, 0 if none waits. Work that
// would not fit beside them should go elsewhere.
func (b *LeaseTable) WaitingTokens(now time.Time) uint64 {
	var first waiter
	for _, p := range b.waiters {
		if now.Before(p.expires) && !b.hasLiveLease(p.group, now) && (first.group == "" || p.before(first)) {
			first = p
		}
	}
	return first.tokens
}

// dropExpired removes waiting groups and fences that have expired.
func (b *LeaseTable) dropExpired(now time.Time) {
	b.waiters = slices.DeleteFunc(b.waiters, func(p waiter) bool { return !now.Before(p.expires) })
	for g, f := range b.fences {
		if !now.Before(f.expires) && !b.hasLease(g) {
			delete(b.fences, g)
		}
	}
}

// hasLease reports whether a group has a lease here, ended ones included.
func (b *LeaseTable) hasLease(group string) bool {
	for _, l := range b.leases {
		if l.Group == group {
			return true
		}
	}
	return false
}
