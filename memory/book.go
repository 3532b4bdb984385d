package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/result"
)

// Request asks for memory at one endpoint.
type Request struct {
	Group  string
	Epoch  uint64
	Holder string // the coordinator
	Tokens uint64
	Lease  time.Duration
	Since  int64 // when the group was begun, Unix milliseconds of its coordinator
	// Queued is the memory that admitted work waits for at the endpoint.
	Queued uint64
}

// Verdict is the answer to a Request. Code says why it was refused:
// result.MemoryHeld when it may be granted later, result.LeaseLost when this
// attempt is over.
type Verdict struct {
	Granted     bool
	Reservation string
	Code        result.Code
	Detail      string
}

// Lease is one reservation. Its memory counts as reserved until the endpoint
// has it back, which may be later than the lease's end.
type Lease struct {
	ID     string
	Group  string
	Epoch  uint64
	Holder string
	Tokens uint64
	Until  time.Time
	// Pinned: a run at this endpoint uses the lease, which lasts as long as it.
	Pinned bool
	// Closing: the lease has ended; what it held is being freed.
	Closing bool
}

func (l *Lease) live(now time.Time) bool {
	return !l.Closing && (l.Pinned || now.Before(l.Until))
}

// place is a refused group's place in line.
type place struct {
	group  string
	since  int64
	tokens uint64
	until  time.Time
}

// before orders groups that wait; the order is the same at every endpoint.
func (p place) before(o place) bool {
	return cmp.Or(cmp.Compare(p.since, o.since), cmp.Compare(p.group, o.group)) < 0
}

// fence remembers which attempts of a group are over.
type fence struct {
	epoch uint64 // the highest seen
	over  bool   // that attempt is over too
	until time.Time
}

// Book is an agent's record of the leases over its endpoint's memory. It is not
// safe for concurrent use. Times are of the agent's monotonic clock: a lease
// that lapsed while the agent was frozen is over before the agent acts on it.
type Book struct {
	total  uint64
	limit  uint64
	leases map[string]*Lease
	fences map[string]fence
	line   []place
}

// NewBook returns an empty book over an endpoint of total tokens that reserves
// at most limit of them.
func NewBook(total, limit uint64) *Book {
	return &Book{total: total, limit: limit, leases: make(map[string]*Lease), fences: make(map[string]fence)}
}

// Limit returns the most tokens that leases may take together.
func (b *Book) Limit() uint64 { return b.limit }

// Reserved returns the tokens that are not yet back.
func (b *Book) Reserved() uint64 {
	var sum uint64
	for _, l := range b.leases {
		sum += l.Tokens
	}
	return sum
}

// Reserve grants or refuses a lease. The same request again gets the same
// answer; a later attempt of a group ends the earlier ones. It never waits and
// never grants part of what was asked for.
func (b *Book) Reserve(r Request, now time.Time) Verdict {
	b.forget(now)
	id := ReservationID(r.Group, r.Epoch)
	if r.Tokens == 0 || r.Tokens > b.limit {
		return refused(result.MemoryHeld, "more than may ever be reserved here")
	}
	if f, ok := b.fences[r.Group]; ok && (r.Epoch < f.epoch || r.Epoch == f.epoch && f.over) {
		return refused(result.LeaseLost, "this attempt is over")
	}
	if l, ok := b.leases[id]; ok {
		return b.again(l, r, now)
	}
	if len(b.fences) >= maxFences {
		return refused(result.MemoryHeld, "too many groups")
	}
	b.endEarlier(r)
	b.fences[r.Group] = fence{epoch: r.Epoch, until: now.Add(fenceTime)}
	if !b.fits(r, now) {
		b.wait(r, now)
		return refused(result.MemoryHeld, "")
	}
	if r.Epoch > 1 {
		b.wait(r, now) // the attempt may fail at another member
	}
	b.leases[id] = &Lease{ID: id, Group: r.Group, Epoch: r.Epoch, Holder: r.Holder, Tokens: r.Tokens, Until: now.Add(leaseOf(r.Lease))}
	return Verdict{Granted: true, Reservation: id}
}

func refused(c result.Code, detail string) Verdict { return Verdict{Code: c, Detail: detail} }

func leaseOf(d time.Duration) time.Duration { return min(max(d, 0), MaxLease) }

// again answers a repeated request.
func (b *Book) again(l *Lease, r Request, now time.Time) Verdict {
	if !l.live(now) || l.Tokens != r.Tokens {
		return refused(result.LeaseLost, "this attempt is over")
	}
	l.Until = now.Add(leaseOf(r.Lease))
	return Verdict{Granted: true, Reservation: l.ID}
}

// endEarlier ends the earlier attempts of the request's group.
func (b *Book) endEarlier(r Request) {
	for _, l := range b.leases {
		if l.Group == r.Group && l.Epoch < r.Epoch && !l.Pinned {
			l.Closing = true
		}
	}
}

// end ends a lease; its attempt is never granted again.
func (b *Book) end(l *Lease) {
	l.Closing = true
	if f := b.fences[l.Group]; f.epoch <= l.Epoch {
		f.epoch, f.over = l.Epoch, true
		b.fences[l.Group] = f
	}
}

// fits reports whether the request fits beside all leases, the work that was
// admitted before it, and all earlier groups in line.
func (b *Book) fits(r Request, now time.Time) bool {
	reserved := b.Reserved()
	if reserved+r.Tokens > b.limit || reserved+r.Tokens+r.Queued > b.total {
		return false
	}
	me := place{group: r.Group, since: r.Since}
	for _, p := range b.line {
		if p.before(me) && !b.holds(p.group, now) && reserved+p.tokens+r.Tokens > b.limit {
			return false
		}
	}
	return true
}

// holds reports whether a group has a live lease here.
func (b *Book) holds(group string, now time.Time) bool {
	for _, l := range b.leases {
		if l.Group == group && l.live(now) {
			return true
		}
	}
	return false
}

// wait gives the request's group a place in line, or renews the one it has.
func (b *Book) wait(r Request, now time.Time) {
	p := place{r.Group, r.Since, r.Tokens, now.Add(placeTime)}
	for i := range b.line {
		if b.line[i].group == r.Group {
			b.line[i] = p
			return
		}
	}
	if len(b.line) < maxPlaces {
		b.line = append(b.line, p)
	}
}

// Wanted returns the tokens that the first group in line waits for, 0 when
// there is none. Work that would not fit beside them had better go elsewhere.
func (b *Book) Wanted(now time.Time) uint64 {
	var first place
	for _, p := range b.line {
		if now.Before(p.until) && !b.holds(p.group, now) && (first.group == "" || p.before(first)) {
			first = p
		}
	}
	return first.tokens
}

// forget drops places and fences whose time is over.
func (b *Book) forget(now time.Time) {
	b.line = slices.DeleteFunc(b.line, func(p place) bool { return !now.Before(p.until) })
	for g, f := range b.fences {
		if !now.Before(f.until) && !b.known(g) {
			delete(b.fences, g)
		}
	}
}

func (b *Book) known(group string) bool {
	for _, l := range b.leases {
		if l.Group == group {
			return true
		}
	}
	return false
}
