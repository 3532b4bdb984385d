package balance

import (
	"cmp"
	"time"
)

const (
	// settleDelay is the minimum time that a prompt waits for its turn. The message of
	// a gateway that placed another prompt at the same moment is sent after up to ten
	// milliseconds and takes a few more to arrive.
	settleDelay = 25 * time.Millisecond
	// claimTTL is how long a peer's last report of its waiting prompts remains valid.
	// It is a little longer than the interval between two messages of an inactive peer,
	// so that a silent peer does not block others for long.
	claimTTL = 300 * time.Millisecond
)

// Urgency is the primary order of long prompts, ahead of their due times: lower ranks go
// first.
type Urgency uint8

// The ranks.
const (
	InTime   Urgency = iota // can still be in time
	Oversize                // can be in time, but occupies many endpoints
	Late                    // can no longer be in time
)

// QueueEntry is the position of a long prompt in the queue for the endpoints of a service.
type QueueEntry struct {
	service string
	joined  time.Time
	rank    Urgency
	due     time.Time
}

// QueueHead reports a gateway's first waiting prompt of a service to its peers.
type QueueHead struct {
	Rank    Urgency
	DueInMs int64 // time until the prompt is due; negative if it is late
}

// PromptQueue orders endpoint selection for the long prompts of all gateways. Prompts are
// placed one at a time, each after the message about the preceding placement has
// arrived. Otherwise several gateways would place their prompts on the same idle
// endpoints, where the newer parts delay the older ones. Turns is not safe for
// concurrent use.
type PromptQueue struct {
	local map[*QueueEntry]struct{}
	peers map[string]peerClaims
}

// peerClaims is a peer's last report of its waiting prompts.
type peerClaims struct {
	receivedAt time.Time
	heads      map[string]QueueEntry // by service
}

// NewPromptQueue returns an empty queue.
func NewPromptQueue() *PromptQueue {
	return &PromptQueue{local: make(map[*QueueEntry]struct{}), peers: make(map[string]peerClaims)}
}

// Join adds a prompt of this gateway, due at the given time, to the queue.
func (t *PromptQueue) Join(service string, rank Urgency, due, now time.Time) *QueueEntry {
	turn := &QueueEntry{service: service, joined: now, rank: rank, due: due}
	t.local[turn] = struct{}{}
	return turn
}

// Leave removes a prompt from the queue.
func (t *PromptQueue) Leave(turn *QueueEntry) { delete(t.local, turn) }

// Waiting returns the number of this gateway's prompts in the queue.
func (t *PromptQueue) Waiting() int { return len(t.local) }

// First sets a prompt's current rank and reports whether it is the prompt's turn.
func (t *PromptQueue) First(turn *QueueEntry, rank Urgency, now time.Time) bool {
	turn.rank = rank
	if len(t.peers) > 0 && now.Sub(turn.joined) < settleDelay {
		return false
	}
	for other := range t.local {
		if other.before(turn) {
			return false
		}
	}
	for _, c := range t.peers {
		head, ok := c.heads[turn.service]
		if ok && now.Sub(c.receivedAt) <= claimTTL && head.before(turn) {
			return false
		}
	}
	return true
}

// before reports whether t goes before o in the queue for the same service.
func (t *QueueEntry) before(o *QueueEntry) bool {
	return t.service == o.service && cmp.Or(cmp.Compare(t.rank, o.rank), t.due.Compare(o.due)) < 0
}

// LocalHeads returns this gateway's first waiting prompt of each service.
func (t *PromptQueue) LocalHeads(now time.Time) map[string]QueueHead {
	heads := make(map[string]*QueueEntry)
	for turn := range t.local {
		if head := heads[turn.service]; head == nil || turn.before(head) {
			heads[turn.service] = turn
		}
	}
	out := make(map[string]QueueHead, len(heads))
	for service, turn := range heads {
		out[service] = QueueHead{Rank: turn.rank, DueInMs: turn.due.Sub(now).Milliseconds()}
	}
	return out
}

// SetPeerHeads records a peer's waiting prompts, as returned by Own. Transmission delay makes
// them seem due later than they are, so two gateways may both consider themselves
// first, but never each other.
func (t *PromptQueue) SetPeerHeads(name string, waiting map[string]QueueHead, now time.Time) {
	c := peerClaims{receivedAt: now, heads: make(map[string]QueueEntry, len(waiting))}
	for service, w := range waiting {
		c.heads[service] = QueueEntry{service: service, rank: w.Rank, due: now.Add(time.Duration(w.DueInMs) * time.Millisecond)}
	}
	t.peers[name] = c
}

// ExpirePeers removes peers that have been silent for longer than peerTTL.
func (t *PromptQueue) ExpirePeers(now time.Time) {
	for name, c := range t.peers {
		if now.Sub(c.receivedAt) > peerTTL {
			delete(t.peers, name)
		}
	}
}
