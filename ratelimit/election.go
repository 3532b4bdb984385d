package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// voteTTL is how long the last vote of a gateway counts. A live gateway sends several a second.
	voteTTL = time.Second
	// settlingTime is how long a gateway must be the coordinator before it grants requests. It is longer
	// than a message from each of the other gateways takes, and long enough for a previous coordinator
	// that still grants to learn of the change.
	settlingTime = 300 * time.Millisecond
	// maxTotalShare is the share of a limit that all coordinators together may grant while gateways do
	// not receive each other's messages. Endpoints tolerate 1.5 times their limit for a few seconds; a
	// tenth of that is reserved for requests that arrive closer together than they were granted.
	maxTotalShare = 1.35
)

// ballot is the last vote of another gateway.
type ballot struct {
	vote       uint64 // gatewayKey of the coordinator that it follows
	receivedAt time.Time
}

// Election elects the gateway that coordinates the limits of the cell's endpoints. All gateways that know of a
// limit send their votes in their messages, and the one with most votes is the coordinator. If gateways do not
// receive each other's messages there may be several coordinators, so each grants a share in proportion to its
// votes: whichever gateway follows which, the shares add up to no more than maxTotalShare. This needs no
// consensus, and a gateway that receives no messages grants little. Election is not safe for concurrent use.
type Election struct {
	self        string
	coordinator string
	since       time.Time // when this gateway chose that coordinator
	ballots     map[string]ballot
}

// NewElection returns the election state of the gateway named self.
func NewElection(self string) *Election {
	return &Election{self: self, ballots: make(map[string]ballot)}
}

// gatewayKey returns the identifier of a gateway in messages; 0 stands for no gateway.
func gatewayKey(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(name))
}

// RecordVote records the vote of another gateway of the cell. A vote of 0 means that this gateway cannot be the
// coordinator: it knows of no limit, is shutting down, or runs a release without limits.
func (e *Election) RecordVote(from string, vote uint64, now time.Time) {
	if vote == 0 {
		delete(e.ballots, from)
		return
	}
	e.ballots[from] = ballot{vote, now}
}

// Reset returns to the initial state, when no endpoint has a limit any more.
func (e *Election) Reset() {
	e.coordinator, e.since = "", time.Time{}
	clear(e.ballots)
}

// DropVotes drops all votes received. It is called after the host was suspended, when their age is unknown.
func (e *Election) DropVotes() { clear(e.ballots) }

// Choose returns the coordinator from this gateway's point of view. A gateway that is shutting down chooses
// itself only if it knows of no other candidate.
func (e *Election) Choose(shuttingDown bool, now time.Time) string {
	counts := map[uint64]int{gatewayKey(e.coordinator): 1}
	for name, b := range e.ballots {
		if now.Sub(b.receivedAt) > voteTTL {
			delete(e.ballots, name)
			continue
		}
		counts[b.vote]++
	}
	best := ""
	if !shuttingDown || len(e.ballots) == 0 {
		best = e.self
	}
	for name := range e.ballots {
		if best == "" || preferred(name, best, counts) {
			best = name
		}
	}
	if best != e.coordinator {
		e.coordinator, e.since = best, now
	}
	return best
}

// preferred reports whether gateway a takes precedence over b as coordinator: by votes, then by key.
func preferred(a, b string, counts map[uint64]int) bool {
	if x, y := counts[gatewayKey(a)], counts[gatewayKey(b)]; x != y {
		return x > y
	}
	return gatewayKey(a) < gatewayKey(b)
}

// OwnVote returns the vote of this gateway. A gateway that has been its own coordinator for voteTTL without a
// follower may be one whose messages arrive while it receives none. It votes 0, so that the others do not
// choose it.
func (e *Election) OwnVote(now time.Time) uint64 {
	if e.coordinator == e.self && now.Sub(e.since) > voteTTL && e.followers(now) == 0 {
		return 0
	}
	return gatewayKey(e.coordinator)
}

// followers returns how many other gateways vote for this one.
func (e *Election) followers(now time.Time) int {
	n := 0
	for _, b := range e.ballots {
		if b.vote == gatewayKey(e.self) && now.Sub(b.receivedAt) <= voteTTL {
			n++
		}
	}
	return n
}

// Share returns the share of each limit that this gateway may grant if the cell has the given number of
// gateways. It is 0 if the gateway is not the coordinator, or has been for less than settlingTime.
func (e *Election) Share(gateways int, now time.Time) float64 {
	if e.coordinator != e.self || now.Sub(e.since) < settlingTime {
		return 0
	}
	votes := 1 + e.followers(now)
	return min(1, maxTotalShare*float64(votes)/float64(max(gateways, votes)))
}
