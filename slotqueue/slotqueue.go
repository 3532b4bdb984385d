// Package slotqueue orders the requests that wait for a free slot of a service at all gateways of
// a cell. Each gateway reports its first waiting requests to the others, so that every gateway
// knows how many requests come before one of its own. The package also decides when a service is
// so full that requests must queue, and predicts when a waiting request starts.
package slotqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReportWait is the longest time that a request waits for its entry to reach the other
	// gateways. Requests that joined elsewhere at the same moment would otherwise take the same
	// slot.
	maxReportWait = 25 * time.Millisecond
	// messageDelay is the time after which a report that was sent has arrived at the other
	// gateways: it is a few milliseconds old when it has been processed there.
	messageDelay = 8 * time.Millisecond
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
	return cmp.Or(cmp.Compare(t.Urgency, o.Urgency), cmp.Compare(t.Priority, o.Priority), cmp.Compare(t.Share, o.Share),
		cmp.Compare(notReturned(t), notReturned(o)), t.StartBy.Compare(o.StartBy), cmp.Compare(t.Tie, o.Tie)) < 0
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
}

// Entry is the place of a request of this gateway in the queue.
type Entry struct {
	ticket   Ticket
	joined   time.Time
	reported time.Time // when Heads first returned it; zero if it has not
}

// Ticket returns the ticket that the entry was last updated with.
func (e *Entry) Ticket() Ticket { return e.ticket }

// peerReport is a peer's last report of its waiting requests.
type peerReport struct {
	receivedAt time.Time
	heads      map[string][]Ticket // by service; nil if none wait
}

// Queue orders the waiting requests of all gateways. It is not safe for concurrent use.
type Queue struct {
	local map[string]map[*Entry]struct{} // by service
	count int                            // number of local entries
	peers map[string]peerReport
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{local: make(map[string]map[*Entry]struct{}), peers: make(map[string]peerReport)}
}

// Join adds a request of this gateway.
func (q *Queue) Join(t Ticket, now time.Time) *Entry {
	e := &Entry{ticket: t, joined: now}
	if q.local[t.Service] == nil {
		q.local[t.Service] = make(map[*Entry]struct{})
	}
	q.local[t.Service][e] = struct{}{}
	q.count++
	return e
}

// Update replaces the ticket of a request. The service must remain the same.
func (q *Queue) Update(e *Entry, t Ticket) { e.ticket = t }

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
	for o := range q.local[e.ticket.Service] {
		if o.ticket.Before(e.ticket) {
			position++
		}
	}
	alone := true
	for _, p := range q.peers {
		if now.Sub(p.receivedAt) > headTTL {
			continue
		}
		alone = false
		for _, t := range p.heads[e.ticket.Service] {
			if t.Before(e.ticket) {
				position++
			}
		}
	}
	return position, alone || !now.Before(e.readyAt())
}

// readyAt returns when the other gateways know of the entry.
func (e *Entry) readyAt() time.Time {
	latest := e.joined.Add(maxReportWait)
	if e.reported.IsZero() {
		return latest
	}
	if known := e.reported.Add(messageDelay); known.Before(latest) {
		return known
	}
	return latest
}

// ReadyIn returns the time until the entry is ready at the latest, or 0 if it is.
func (e *Entry) ReadyIn(now time.Time) time.Duration { return max(0, e.readyAt().Sub(now)) }

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
		slices.SortFunc(first, func(a, b *Entry) int {
			if a.ticket.Before(b.ticket) {
				return -1
			}
			return 1
		})
		for _, e := range first[:min(maxHeads, len(first))] {
			if e.reported.IsZero() {
				e.reported = now
			}
			out[service] = append(out[service], e.ticket.head(now))
		}
	}
	return out
}

func (t Ticket) head(now time.Time) Head {
	return Head{Urgency: t.Urgency, Priority: t.Priority, Share: t.Share, Returned: t.Returned, StartByMs: t.StartBy.Sub(now).Milliseconds(), Tie: t.Tie}
}

// SetPeer records the waiting requests of a peer, as returned by Heads; nil if none wait. The
// network delay makes them seem to start later than they must, so that two gateways may both
// consider their own request first if the two tickets differ by less than that delay.
func (q *Queue) SetPeer(name string, heads map[string][]Head, now time.Time) {
	p := peerReport{receivedAt: now}
	if len(heads) > 0 {
		p.heads = make(map[string][]Ticket, len(heads))
	}
	for service, list := range heads {
		for _, h := range list[:min(maxHeads, len(list))] {
			p.heads[service] = append(p.heads[service], Ticket{
				Service: service, Urgency: h.Urgency, Priority: h.Priority, Share: h.Share, Returned: h.Returned,
				StartBy: now.Add(time.Duration(h.StartByMs) * time.Millisecond), Tie: h.Tie,
			})
		}
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
