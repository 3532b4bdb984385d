package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// voteLife is how long a gateway's last word counts; a live one speaks several times a second.
	voteLife = time.Second
	// settleTime is how long a gateway has to be the coordinator before it grants: a word of each of the others
	// takes less, and one that grants still hears of it.
	settleTime = 300 * time.Millisecond
	// tolerance is what all coordinators together may grant of a limit while gateways do not hear each
	// other. Endpoints bear half more than they name, for a few seconds; a tenth of that is left for sends that
	// reach them closer together than they were granted.
	tolerance = 1.35
)

// ballot is what another gateway said last.
type ballot struct {
	vote uint64 // key of the gateway that it takes for the coordinator
	at   time.Time
}

// Votes finds out which gateway coordinates the limits of the cell's endpoints. All that know of a limit vote in their words;
// the one with most votes coordinates. Gateways that do not hear each other may follow several, so each grants only as much as
// it has votes: whoever follows whom, the parts add up to no more than tolerance. Nothing has to be agreed, and
// one that hears nobody grants little. Votes is not safe for concurrent use.
type Votes struct {
	self        string
	coordinator string
	since       time.Time // when that one was chosen
	ballots     map[string]ballot
}

// NewVotes returns the votes as a gateway of that name counts them.
func NewVotes(self string) *Votes {
	return &Votes{self: self, ballots: make(map[string]ballot)}
}

// key identifies a gateway in words, 0 for none.
func key(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(name))
}

// Heard takes in the vote of another gateway of the cell; 0 means that it cannot coordinate: it knows of no
// limit, is leaving, or is of a release that knows none.
func (v *Votes) Heard(from string, vote uint64, now time.Time) {
	if vote == 0 {
		delete(v.ballots, from)
		return
	}
	v.ballots[from] = ballot{vote, now}
}

// Reset begins anew: no endpoint has a limit any more.
func (v *Votes) Reset() {
	v.coordinator, v.since = "", time.Time{}
	clear(v.ballots)
}

// Clear forgets all votes: the host was suspended, and nobody knows for how long they have been old.
func (v *Votes) Clear() { clear(v.ballots) }

// Choose returns which gateway coordinates, as far as this one knows. One that is leaving does so only if there is no other.
func (v *Votes) Choose(leaving bool, now time.Time) string {
	counts := map[uint64]int{key(v.coordinator): 1}
	for name, b := range v.ballots {
		if now.Sub(b.at) > voteLife {
			delete(v.ballots, name)
			continue
		}
		counts[b.vote]++
	}
	best := ""
	if !leaving || len(v.ballots) == 0 {
		best = v.self
	}
	for name := range v.ballots {
		if best == "" || precedes(name, best, counts) {
			best = name
		}
	}
	if best != v.coordinator {
		v.coordinator, v.since = best, now
	}
	return best
}

// precedes reports whether gateway a is rather the coordinator than b.
func precedes(a, b string, counts map[uint64]int) bool {
	if x, y := counts[key(a)], counts[key(b)]; x != y {
		return x > y
	}
	return key(a) < key(b)
}

// Own returns what this gateway tells as its vote. One that nobody follows after a while may be heard without hearing
// the others: it tells them not to choose it.
func (v *Votes) Own(now time.Time) uint64 {
	if v.coordinator == v.self && now.Sub(v.since) > voteLife && v.followers(now) == 0 {
		return 0
	}
	return key(v.coordinator)
}

// followers returns how many other gateways take this one for the coordinator.
func (v *Votes) followers(now time.Time) int {
	n := 0
	for _, b := range v.ballots {
		if b.vote == key(v.self) && now.Sub(b.at) <= voteLife {
			n++
		}
	}
	return n
}

// Share returns which part of each limit this gateway may grant when the cell has so many gateways, 0 while
// it is not the coordinator or has only just become it.
func (v *Votes) Share(gateways int, now time.Time) float64 {
	if v.coordinator != v.self || now.Sub(v.since) < settleTime {
		return 0
	}
	votes := 1 + v.followers(now)
	return min(1, tolerance*float64(votes)/float64(max(gateways, votes)))
}
