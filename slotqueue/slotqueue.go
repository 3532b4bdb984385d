// Package slotqueue orders the requests that wait for a free slot of a service at all gateways of
// a cell. Each gateway reports its first waiting requests to the others, so that every gateway
// knows how many requests come before one of its own. The package also decides when a service is
// so full that requests must queue, and predicts when a waiting request starts.
package slotqueue

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// maxReportWait is the longest time that a request waits for its entry to reach the other
	// gateways. Requests that joined elsewhere at the same moment would otherwise take the same
	// slot.
	maxReportWait = 25 * time.Millisecond
	// initialDelay is the delay of messages that is assumed until some have arrived, and maxDelay
	// the longest that is waited for: requests would be late for the sake of the order.
	initialDelay = 4 * time.Millisecond
	maxDelay     = 120 * time.Millisecond
	// delayWeight is the weight of the newest message in the mean delay.
	delayWeight = 0.02
	// delayMargin covers messages that take longer than the mean, and the time until waiting requests
	// are evaluated.
	delayMargin = 6 * time.Millisecond
	// headTTL is how long a peer's last report remains valid: a little longer than the interval
	// between two messages of an inactive peer, so that a silent peer does not block others.
	headTTL = 300 * time.Millisecond
	// maxHeads is how many of its waiting requests of each service a gateway reports.
	maxHeads = 8
)

// Urgency is the primary order of waiting requests: lower values go first.
type Urgency uint8

// The degrees of urgency.
const (
	InTime Urgency = iota // can still be in time
	Late                  // can no longer be in time
)

// Ticket is what the order of waiting requests depends on.
type Ticket struct {
	Service  string
	Urgency  Urgency
	Priority int       // 0 is the most urgent
	Share    int       // how far the workspace is above its due share; 0 goes first
	Returned bool      // whether the caller was refused before and has come back at its time
	StartBy  time.Time // latest start that is still in time
	Tie      uint64    // orders otherwise equal requests, identically at all gateways
}

// Before reports whether t goes before o in the queue of the same service.
func (t Ticket) Before(o Ticket) bool {
	return compare(t, o, t.StartBy.Compare(o.StartBy)) < 0
}

// compare compares tickets, given the comparison of their latest starts.
func compare(a, b Ticket, startBy int) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Share, b.Share),
		cmp.Compare(notReturned(a), notReturned(b)), startBy, cmp.Compare(a.Tie, b.Tie))
}

// notReturned returns 0 for a caller that has come back, else 1.
func notReturned(t Ticket) int {
	if t.Returned {
		return 0
	}
	return 1
}

// Head reports a waiting request to other gateways. Messages encode its fields by position, and the
// decoder requires their exact number.
type Head struct {
	Urgency   Urgency
	Priority  int
	Share     int
	Returned  bool
	StartByMs int64 // time until Ticket.StartBy; negative if it has passed
	Tie       uint64
	Order     int64 // Ticket.StartBy in microseconds of the cell's clock, see cellClock
}

// cellClock is a clock that the gateways of a cell agree about to within a message's delay: each
// gateway advances its own to the latest one that it learns of. A request keeps the time that its own
// gateway gave it, so that all gateways order requests identically, however late a message is.
type cellClock struct {
	base    time.Time
	advance time.Duration // on the wall clock at base
}

// at returns a time in microseconds of the clock.
func (c *cellClock) at(t time.Time) int64 {
	if c.base.IsZero() {
		c.base = t
	}
	return c.base.UnixMicro() + (t.Sub(c.base) + c.advance).Microseconds()
}

// learn advances the clock to what another gateway's clock showed. It returns how far that one was
// behind. As all clocks follow the latest, the mean over the gateways is the delay of messages.
func (c *cellClock) learn(other int64, now time.Time) (behind time.Duration) {
	behind = time.Duration(c.at(now)-other) * time.Microsecond
	if behind < 0 {
		c.advance -= behind
		return 0
	}
	return behind
}

// ordered is a ticket whose StartBy is replaced by a time of the cell's clock.
type ordered struct {
	ticket Ticket
	order  int64
}

// before is Ticket.Before with the times of the cell's clock.
func (a ordered) before(b ordered) bool { return a.compare(b) < 0 }

func (a ordered) compare(b ordered) int {
	return compare(a.ticket, b.ticket, cmp.Compare(a.order, b.order))
}

// Entry is the place of a request of this gateway in the queue.
type Entry struct {
	ordered
	joined   time.Time
	reported time.Time // when Heads first returned it; zero if it has not
	// advanced is set if the entry has moved forward since the last call of Position.
	advanced bool
}

// Ticket returns the ticket that the entry was last updated with.
func (e *Entry) Ticket() Ticket { return e.ticket }

// peerReport is a peer's last report of its waiting requests.
type peerReport struct {
	receivedAt time.Time
	heads      map[string][]ordered // by service; nil if none wait
}

// Queue orders the waiting requests of all gateways. It is not safe for concurrent use.
type Queue struct {
	local map[string]map[*Entry]struct{} // by service
	count int                            // number of local entries
	peers map[string]peerReport
	clock cellClock
	delay time.Duration // mean delay of messages
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{local: make(map[string]map[*Entry]struct{}), peers: make(map[string]peerReport), delay: initialDelay}
}

// Join adds a request of this gateway.
func (q *Queue) Join(t Ticket, now time.Time) *Entry {
	e := &Entry{ordered: ordered{t, q.clock.at(t.StartBy)}, joined: now}
	if q.local[t.Service] == nil {
		q.local[t.Service] = make(map[*Entry]struct{})
	}
	q.local[t.Service][e] = struct{}{}
	q.count++
	return e
}

// Update replaces the ticket of a request. The service must remain the same. A request that moves
// forward is not ready until the other gateways know of it.
func (q *Queue) Update(e *Entry, t Ticket) {
	old := e.ordered
	if !t.StartBy.Equal(e.ticket.StartBy) {
		e.order = q.clock.at(t.StartBy)
	}
	e.ticket = t
	e.advanced = e.advanced || e.before(old)
}

// Leave removes a request. Only the first call for an entry has an effect.
func (q *Queue) Leave(e *Entry) {
	entries := q.local[e.ticket.Service]
	if _, ok := entries[e]; !ok {
		return
	}
	q.count--
	if delete(entries, e); len(entries) == 0 {
		delete(q.local, e.ticket.Service)
	}
}

// Position returns the number of known waiting requests that go before e. ready is set once the
// other gateways know of e.
func (q *Queue) Position(e *Entry, now time.Time) (position int, ready bool) {
	if e.advanced {
		e.advanced, e.joined, e.reported = false, now, time.Time{}
	}
	for range q.before(e, now) {
		position++
	}
	return position, !q.hasPeers(now) || !now.Before(q.readyAt(e))
}

// Ahead returns the tie-breakers of the requests that Position counts, in their order.
func (q *Queue) Ahead(e *Entry, now time.Time) []uint64 {
	list := slices.SortedFunc(q.before(e, now), ordered.compare)
	out := make([]uint64, len(list))
	for i, o := range list {
		out[i] = o.ticket.Tie
	}
	return out
}

// before yields the known waiting requests that go before e, in any order.
func (q *Queue) before(e *Entry, now time.Time) iter.Seq[ordered] {
	return func(yield func(ordered) bool) {
		for o := range q.local[e.ticket.Service] {
			if o.before(e.ordered) && !yield(o.ordered) {
				return
			}
		}
		for _, p := range q.peers {
			if now.Sub(p.receivedAt) > headTTL {
				continue
			}
			for _, o := range p.heads[e.ticket.Service] {
				if o.before(e.ordered) && !yield(o) {
					return
				}
			}
		}
	}
}

// hasPeers reports whether a message of another gateway has arrived within headTTL.
func (q *Queue) hasPeers(now time.Time) bool {
	for _, p := range q.peers {
		if now.Sub(p.receivedAt) <= headTTL {
			return true
		}
	}
	return false
}

// readyAt returns when the other gateways know of the entry: a message's delay after it was reported,
// but no later than a request can wait and be in time.
func (q *Queue) readyAt(e *Entry) time.Time {
	latest := e.joined.Add(maxReportWait)
	if q.delay+delayMargin > maxReportWait && e.ticket.StartBy.After(latest) {
		latest = e.ticket.StartBy
	}
	if e.reported.IsZero() {
		return latest
	}
	if known := e.reported.Add(q.delay + delayMargin); known.Before(latest) {
		return known
	}
	return latest
}

// Delay returns the mean delay of the messages with waiting requests.
func (q *Queue) Delay() time.Duration { return q.delay }

// ReadyIn returns the time until an entry is ready at the latest, or 0 if it is.
func (q *Queue) ReadyIn(e *Entry, now time.Time) time.Duration { return max(0, q.readyAt(e).Sub(now)) }

// Waiting returns the number of requests that are known to wait for a service.
func (q *Queue) Waiting(service string, now time.Time) int {
	n := len(q.local[service])
	for _, p := range q.peers {
		if now.Sub(p.receivedAt) <= headTTL {
			n += len(p.heads[service])
		}
	}
	return n
}

// LateBefore returns the number of known late requests that go before e once their callers will soon
// give up, so that they no longer count as late.
func (q *Queue) LateBefore(e *Entry, now time.Time) int {
	n := 0
	count := func(o ordered) {
		if o.ticket.Urgency != Late {
			return
		}
		if o.ticket.Urgency = InTime; o.before(e.ordered) {
			n++
		}
	}
	for o := range q.local[e.ticket.Service] {
		count(o.ordered)
	}
	for _, p := range q.peers {
		if now.Sub(p.receivedAt) <= headTTL {
			for _, o := range p.heads[e.ticket.Service] {
				count(o)
			}
		}
	}
	return n
}

// LocalWaiting returns the number of requests of this gateway in the queue.
func (q *Queue) LocalWaiting() int { return q.count }

// Heads returns the first waiting requests of this gateway by service, or nil if none wait. The
// caller sends them to the other gateways at once.
func (q *Queue) Heads(now time.Time) map[string][]Head {
	if q.count == 0 {
		return nil
	}
	out := make(map[string][]Head, len(q.local))
	for service, entries := range q.local {
		first := make([]*Entry, 0, len(entries))
		for e := range entries {
			first = append(first, e)
		}
		slices.SortFunc(first, func(a, b *Entry) int { return a.compare(b.ordered) })
		for _, e := range first[:min(maxHeads, len(first))] {
			if e.reported.IsZero() {
				e.reported = now
			}
			out[service] = append(out[service], e.head(now))
		}
	}
	return out
}

func (a ordered) head(now time.Time) Head {
	t := a.ticket
	return Head{Urgency: t.Urgency, Priority: t.Priority, Share: t.Share, Returned: t.Returned, StartByMs: t.StartBy.Sub(now).Milliseconds(), Tie: t.Tie, Order: a.order}
}

// SetPeer records the waiting requests of a peer, as returned by Heads; nil if none wait.
func (q *Queue) SetPeer(name string, heads map[string][]Head, now time.Time) {
	p := peerReport{receivedAt: now}
	var behind time.Duration
	if len(heads) > 0 {
		p.heads = make(map[string][]ordered, len(heads))
	}
	for service, list := range heads {
		for _, h := range list[:min(maxHeads, len(list))] {
			behind = q.clock.learn(h.Order-h.StartByMs*time.Millisecond.Microseconds(), now)
			t := Ticket{
				Service: service, Urgency: h.Urgency, Priority: h.Priority, Share: h.Share, Returned: h.Returned,
				StartBy: now.Add(time.Duration(h.StartByMs) * time.Millisecond), Tie: h.Tie,
			}
			p.heads[service] = append(p.heads[service], ordered{t, h.Order})
		}
	}
	if len(heads) > 0 {
		q.delay += time.Duration(delayWeight * float64(min(behind, maxDelay)-q.delay))
	}
	q.peers[name] = p
}

// ExpirePeers removes the reports that are no longer valid.
func (q *Queue) ExpirePeers(now time.Time) {
	for name, p := range q.peers {
		if now.Sub(p.receivedAt) > headTTL {
			delete(q.peers, name)
		}
	}
}
