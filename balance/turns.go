package balance

import (
	"cmp"
	"time"
)

const (
	// settleTime is how long a prompt waits for its turn at least: a word of
	// another gateway that placed one at the same time takes up to ten
	// milliseconds until it is sent and a few on its way.
	settleTime = 25 * time.Millisecond
	// claimLife is how long a peer's last word about its waiting prompts counts:
	// a little longer than the time between two words of a peer to which nothing
	// happens, so that a silent one holds up nobody for long.
	claimLife = 300 * time.Millisecond
)

// Rank orders long prompts before their due time does: lower ones go first.
type Rank uint8

// The ranks.
const (
	InTime   Rank = iota // can still be in time
	Oversize             // can be in time, but takes much of many endpoints
	Late                 // cannot be in time any more
)

// Turn is the place of one long prompt among those that wait for endpoints of
// a service.
type Turn struct {
	service string
	joined  time.Time
	rank    Rank
	due     time.Time
}

// Claim is what a gateway tells its peers of the first prompt that waits there.
type Claim struct {
	Rank   Rank
	LeftMs int64 // until the prompt is due; negative: it is late
}

// Turns keeps the order in which the long prompts of all gateways choose their
// endpoints: one after the other, the next one only when the word about the
// choice before it has come. Without that, several gateways put their prompts on
// the same idle endpoints, where the newer parts hold up the older ones. Turns
// is not safe for concurrent use.
type Turns struct {
	own   map[*Turn]struct{}
	peers map[string]claims
}

// claims is what a peer last said of its waiting prompts.
type claims struct {
	at    time.Time
	first map[string]Turn // by service
}

// NewTurns returns an order without prompts.
func NewTurns() *Turns {
	return &Turns{own: make(map[*Turn]struct{}), peers: make(map[string]claims)}
}

// Join puts a prompt of this gateway that is due at that time among those that
// wait.
func (t *Turns) Join(service string, rank Rank, due, now time.Time) *Turn {
	turn := &Turn{service: service, joined: now, rank: rank, due: due}
	t.own[turn] = struct{}{}
	return turn
}

// Leave takes a prompt out again.
func (t *Turns) Leave(turn *Turn) { delete(t.own, turn) }

// Waiting returns how many prompts of this gateway wait.
func (t *Turns) Waiting() int { return len(t.own) }

// First reports whether it is a prompt's turn, which has that rank by now.
func (t *Turns) First(turn *Turn, rank Rank, now time.Time) bool {
	turn.rank = rank
	if len(t.peers) > 0 && now.Sub(turn.joined) < settleTime {
		return false
	}
	for other := range t.own {
		if other.before(turn) {
			return false
		}
	}
	for _, c := range t.peers {
		first, waits := c.first[turn.service]
		if waits && now.Sub(c.at) <= claimLife && first.before(turn) {
			return false
		}
	}
	return true
}

// before reports whether t goes before o, which waits for the same service.
func (t *Turn) before(o *Turn) bool {
	return t.service == o.service && cmp.Or(cmp.Compare(t.rank, o.rank), t.due.Compare(o.due)) < 0
}

// Own returns, by service, the first prompt of this gateway.
func (t *Turns) Own(now time.Time) map[string]Claim {
	first := make(map[string]*Turn)
	for turn := range t.own {
		if old := first[turn.service]; old == nil || turn.before(old) {
			first[turn.service] = turn
		}
	}
	out := make(map[string]Claim, len(first))
	for service, turn := range first {
		out[service] = Claim{Rank: turn.rank, LeftMs: turn.due.Sub(now).Milliseconds()}
	}
	return out
}

// Peer takes in what a peer says of its waiting prompts, as Own returns it. The
// way makes a peer's prompts seem later than they are, so that two gateways may
// both think that they are first, but never that the other one is.
func (t *Turns) Peer(name string, waiting map[string]Claim, now time.Time) {
	c := claims{at: now, first: make(map[string]Turn, len(waiting))}
	for service, w := range waiting {
		c.first[service] = Turn{service: service, rank: w.Rank, due: now.Add(time.Duration(w.LeftMs) * time.Millisecond)}
	}
	t.peers[name] = c
}

// Forget drops peers that were silent for so long that they count no more.
func (t *Turns) Forget(now time.Time) {
	for name, c := range t.peers {
		if now.Sub(c.at) > peerLife {
			delete(t.peers, name)
		}
	}
}
