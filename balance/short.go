package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/micarudder/micarudder/catalog"
)

// short keeps short requests together on the first endpoints, in an order that all
// gateways share and on as many as the short requests under way need, so that long
// prompts find the others free. Among these it picks one where the first event is
// expected early; where none is early enough, the next one in the order that is. The
// order does not follow where long ones generate, which changes every moment: then 30
// short requests were spread over 8 to 11 of 17 endpoints, and no part of a long
// prompt could be read without a pause for some of them.
func (p Policy) short(e *catalog.Engine, w Work, read float64, all []Candidate, usable []int) Choice {
	slices.SortFunc(usable, func(a, b int) int { return cmp.Compare(all[a].Rank, all[b].Rank) })
	tokens := w.InputTokens + w.OutputTokens
	set := p.shortSet(e, all, usable)
	best, earliest := -1, -1
	late := false
	var bestFirst, earliestFirst float64 // ms
	for n, i := range usable {
		if n >= set && best >= 0 {
			break
		}
		first := p.firstEvent(e, w, all[i], tokens) + read*all[i].pace()
		if earliest < 0 || first < earliestFirst {
			earliest, earliestFirst = i, first
		}
		if first > p.FirstShare*w.LeftMs {
			continue
		}
		if best < 0 || sooner(first, all[i], bestFirst, all[best]) {
			best, bestFirst = i, first
		}
	}
	if best < 0 {
		if !w.MustTake && earliestFirst > w.LeftMs && p.full(e, all, usable) {
			return Choice{Endpoint: -1, Refuse: true, Expected: Expected{FirstMs: earliestFirst}}
		}
		if w.Remote {
			return Choice{Endpoint: -1, Wait: true, Expected: Expected{FirstMs: earliestFirst}}
		}
		best, bestFirst, late = earliest, earliestFirst, true
	}
	load := Load{ReadMs: read, Short: 1, Tokens: tokens, Unread: 1}
	return Choice{Endpoint: best, Poor: late, Loads: []Placed{{Candidate: best, Load: load}}, Expected: Expected{FirstMs: bestFirst, Parts: 1}}
}

// full reports whether the requests under way need more than the slots that all
// endpoints have together.
func (p Policy) full(e *catalog.Engine, all []Candidate, usable []int) bool {
	taken := 0
	for _, i := range usable {
		taken += all[i].Load.Short + all[i].Load.Long
	}
	return float64(taken) >= p.FullSlots*float64(len(usable)*e.Slots)
}

// shortSet returns on how many endpoints the short requests of all gateways
// should be.
func (p Policy) shortSet(e *catalog.Engine, all []Candidate, usable []int) int {
	total := 1
	for _, i := range usable {
		total += all[i].Load.Short
	}
	return min(len(usable), int(math.Ceil(float64(total)/(float64(e.Slots)*p.PackSlots))))
}

// sameMs is the difference of expected first events that does not count:
// gateways that hear of each other's choices late must not all take the best.
const sameMs = 20

// sooner compares two endpoints for a short request by their expected first
// events, and by the gateway's own order where these are about the same.
func sooner(firstA float64, a Candidate, firstB float64, b Candidate) bool {
	return cmp.Or(cmp.Compare(int(firstA/sameMs), int(firstB/sameMs)), compareOwn(a, b)) < 0
}

// firstEvent estimates how long a short request waits for its first event:
// what is still to be read, and the pass of those that generate. An endpoint
// that is nearly full or out of memory counts as far away.
func (p Policy) firstEvent(e *catalog.Engine, w Work, c Candidate, tokens int) float64 {
	l := c.Load
	writers := l.Short + l.Long
	pass := passMs(e, writers, l.Tokens) * c.pace()
	ms := l.ReadMs*c.pace() + pass*passesToFirst
	if pass > p.longestPass(w.Pause) {
		ms += pausesMs
	}
	full := float64(e.Slots) * fullSlots
	if over := float64(writers) - full; over >= 0 {
		ms += (over + 1) * crowdedMs
	}
	if waiting := writers - e.Slots + 1; waiting > 0 {
		ms += float64(min(waiting, l.Unread+1)) * p.SlotWaitMs
	}
	if l.Tokens+tokens > e.MemoryTokens {
		ms += memoryWaitMs
	}
	return ms
}

const (
	// passesToFirst is the number of passes until the first event: half of the
	// one under way, and the one that makes it.
	passesToFirst = 1.5
	// fullSlots is the part of its slots from which an endpoint counts as crowded.
	fullSlots = 0.75
	// crowdedMs is what each request beyond fullSlots adds to the expected
	// wait, so that the last slots are taken only when all are as full.
	crowdedMs = 25
	// memoryWaitMs keeps requests away from endpoints whose memory is full,
	// where another request would be put off and read again.
	memoryWaitMs = 1000
	// pausesMs keeps requests away from slow endpoints, where each pause between events
	// would be too long.
	pausesMs = 1000
)
