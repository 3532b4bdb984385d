package balance

import (
	"cmp"
	"time"
)

const (
	// minQueueWait is the minimum time that a prompt waits for its turn. The message of
	// a gateway that placed another prompt at the same moment is sent after up to ten
	// milliseconds and takes a few more to arrive.
	minQueueWait = 25 * time.Millisecond
	// headTTL is how long a peer's last report of its waiting prompts remains valid.
	// It is a little longer than the interval between two messages of an inactive peer,
	// so that a silent peer does not block others for long.
	headTTL = 300 * time.Millisecond
)

// Urgency is the primary order of long prompts, ahead of their due times: lower values
// go first.
type Urgency uint8

// The degrees of urgency.
const (
	InTime   Urgency = iota // can still be in time
	Oversize                // can be in time, but occupies many endpoints
	Late                    // can no longer be in time
)

// QueueEntry is the position of a long prompt in the queue for the endpoints of a
// service.
type QueueEntry struct {
	service string
	joined  time.Time
	urgency Urgency
	due     time.Time
}

// QueueHead reports a gateway's first waiting prompt of a service to its peers.
type QueueHead struct {
	Urgency Urgency
	DueInMs int64 // time until the prompt is due; negative if it is late
}

// PromptQueue orders endpoint selection for the long prompts of all gateways. Prompts are
// placed one at a time, each after the message about the preceding placement has
// arrived. Otherwise several gateways would place their prompts on the same idle
// endpoints, where the newer parts delay the older ones. PromptQueue is not safe for
// concurrent use.
type PromptQueue struct {
	local map[*QueueEntry]struct{}
	peers map[string]peerHeads
}

// peerHeads is a peer's last report of its waiting prompts.
type peerHeads struct {
	receivedAt time.Time
	heads      map[string]QueueEntry // by service
}

// NewPromptQueue returns an empty queue.
func NewPromptQueue() *PromptQueue {
	return &PromptQueue{local: make(map[*QueueEntry]struct{}), peers: make(map[string]peerHeads)}
}

// Join adds a prompt of this gateway, due at the given time, to the queue.
func (q *PromptQueue) Join(service string, urgency Urgency, due, now time.Time) *QueueEntry {
	entry := &QueueEntry{service: service, joined: now, urgency: urgency, due: due}
	q.local[entry] = struct{}{}
	return entry
}

// Leave removes a prompt from the queue.
func (q *PromptQueue) Leave(entry *QueueEntry) { delete(q.local, entry) }

// Waiting returns the number of this gateway's prompts in the queue.
func (q *PromptQueue) Waiting() int { return len(q.local) }

// First sets a prompt's current urgency and reports whether it is the prompt's turn.
func (q *PromptQueue) First(entry *QueueEntry, urgency Urgency, now time.Time) bool {
	entry.urgency = urgency
	if len(q.peers) > 0 && now.Sub(entry.joined) < minQueueWait {
		return false
	}
	for other := range q.local {
		if other.before(entry) {
			return false
		}
	}
	for _, p := range q.peers {
		head, ok := p.heads[entry.service]
		if ok && now.Sub(p.receivedAt) <= headTTL && head.before(entry) {
			return false
		}
	}
	return true
}

// before reports whether e goes before o in the queue for the same service.
func (e *QueueEntry) before(o *QueueEntry) bool {
	return e.service == o.service && cmp.Or(cmp.Compare(e.urgency, o.urgency), e.due.Compare(o.due)) < 0
}

// LocalHeads returns this gateway's first waiting prompt of each service.
func (q *PromptQueue) LocalHeads(now time.Time) map[string]QueueHead {
	heads := make(map[string]*QueueEntry)
	for entry := range q.local {
		if head := heads[entry.service]; head == nil || entry.before(head) {
			heads[entry.service] = entry
		}
	}
	out := make(map[string]QueueHead, len(heads))
	for service, entry := range heads {
		out[service] = QueueHead{Urgency: entry.urgency, DueInMs: entry.due.Sub(now).Milliseconds()}
	}
	return out
}

// SetPeerHeads records a peer's waiting prompts, as returned by LocalHeads.
// Transmission delay makes them seem due later than they are, so two gateways may both
// consider themselves first, but never each other.
func (q *PromptQueue) SetPeerHeads(name string, heads map[string]QueueHead, now time.Time) {
	p := peerHeads{receivedAt: now, heads: make(map[string]QueueEntry, len(heads))}
	for service, head := range heads {
		p.heads[service] = QueueEntry{service: service, urgency: head.Urgency, due: now.Add(time.Duration(head.DueInMs) * time.Millisecond)}
	}
	q.peers[name] = p
}

// ExpirePeers removes peers that have been silent for longer than peerTTL.
func (q *PromptQueue) ExpirePeers(now time.Time) {
	for name, p := range q.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			delete(q.peers, name)
		}
	}
}
