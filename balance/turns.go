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

// Rank is the primary order of long prompts, ahead of their due times: lower ranks go
// first.
type Rank uint8

// The ranks.
const (
	InTime   Rank = iota // can still be in time
	Oversize             // can be in time, but occupies many endpoints
	Late                 // can no longer be in time
)

// Turn is the position of a long prompt in the queue for the endpoints of a service.
type Turn struct {
	service string
	joined  time.Time
	rank    Rank
	due     time.Time
}

// Claim reports a gateway's first waiting prompt of a service to its peers.
type Claim struct {
	Rank   Rank
	LeftMs int64 // time until the prompt is due; negative if it is late
}

// Turns orders endpoint selection for the long prompts of all gateways. Prompts are
// placed one at a time, each after the message about the preceding placement has
// arrived. Otherwise several gateways would place their prompts on the same idle
// endpoints, where the newer parts delay the older ones. Turns is not safe for
// concurrent use.
type Turns struct {
	local map[*Turn]struct{}
	peers map[string]peerClaims
}

// peerClaims is a peer's last report of its waiting prompts.
type peerClaims struct {
	receivedAt time.Time
	heads      map[string]Turn // by service
}

// NewTurns returns an empty queue.
func NewTurns() *Turns {
	return &Turns{local: make(map[*Turn]struct{}), peers: make(map[string]peerClaims)}
}

// Join adds a prompt of this gateway, due at the given time, to the queue.
func (t *Turns) Join(service string, rank Rank, due, now time.Time) *Turn {
	turn := &Turn{service: service, joined: now, rank: rank, due: due}
	t.local[turn] = struct{}{}
	return turn
}

// Leave removes a prompt from the queue.
func (t *Turns) Leave(turn *Turn) { delete(t.local, turn) }

// Waiting returns the number of this gateway's prompts in the queue.
func (t *Turns) Waiting() int { return len(t.local) }

// First sets a prompt's current rank and reports whether it is the prompt's turn.
func (t *Turns) First(turn *Turn, rank Rank, now time.Time) bool {
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
func (t *Turn) before(o *Turn) bool {
	return t.service == o.service && cmp.Or(cmp.Compare(t.rank, o.rank), t.due.Compare(o.due)) < 0
}

// Own returns this gateway's first waiting prompt of each service.
func (t *Turns) Own(now time.Time) map[string]Claim {
	heads := make(map[string]*Turn)
	for turn := range t.local {
		if head := heads[turn.service]; head == nil || turn.before(head) {
			heads[turn.service] = turn
		}
	}
	out := make(map[string]Claim, len(heads))
	for service, turn := range heads {
		out[service] = Claim{Rank: turn.rank, LeftMs: turn.due.Sub(now).Milliseconds()}
	}
	return out
}

// Peer records a peer's waiting prompts, as returned by Own. Transmission delay makes
// them seem due later than they are, so two gateways may both consider themselves
// first, but never each other.
func (t *Turns) Peer(name string, waiting map[string]Claim, now time.Time) {
	c := peerClaims{receivedAt: now, heads: make(map[string]Turn, len(waiting))}
	for service, w := range waiting {
		c.heads[service] = Turn{service: service, rank: w.Rank, due: now.Add(time.Duration(w.LeftMs) * time.Millisecond)}
	}
	t.peers[name] = c
}

// Forget removes peers that have been silent for longer than peerTTL.
func (t *Turns) Forget(now time.Time) {
	for name, c := range t.peers {
		if now.Sub(c.receivedAt) > peerTTL {
			delete(t.peers, name)
		}
	}
}
