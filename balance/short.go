package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/micarudder/micarudder/catalog"
)

// placeShort packs short requests onto the first endpoints of an order that all
// gateways share, using only as many as the short requests in flight need, so that the
// others remain free for long prompts. Of these endpoints it selects one with an early
// expected first event. If none of them is early enough, it takes the next endpoint in
// the order that is.
//
// The order does not depend on where long requests are decoding, because that changes
// constantly: with such an order 30 short requests were spread over 8 to 11 of 17
// endpoints, and each part of a long prompt caused a gap for some of them.
func (p Policy) placeShort(e *catalog.Engine, req Request, prefill float64, all []Candidate, usable []int) Choice {
	slices.SortFunc(usable, func(a, b int) int { return cmp.Compare(all[a].Rank, all[b].Rank) })
	tokens := req.InputTokens + req.OutputTokens
	packed := p.packedEndpoints(e, all, usable)
	if p.SharedSlots {
		packed += (len(usable) + unknownDivisor - 1) / unknownDivisor
		if req.LoadUnknown {
			packed = len(usable)
		}
	}
	best, earliest := -1, -1
	late := false
	var bestFirst, earliestFirst float64 // ms
	for n, i := range usable {
		if n >= packed && best >= 0 {
			break
		}
		first := p.firstEventMs(e, req, all[i], tokens) + prefill*all[i].slowdown()
		if earliest < 0 || first < earliestFirst {
			earliest, earliestFirst = i, first
		}
		if first > p.FirstEventShare*req.ObjectiveLeftMs {
			continue
		}
		if p.SharedSlots {
			if best < 0 || spreadCost(e, req, all[i]) < spreadCost(e, req, all[best]) {
				best, bestFirst = i, first
			}
			continue
		}
		if best < 0 || earlier(first, all[i], bestFirst, all[best]) {
			best, bestFirst = i, first
		}
	}
	if best < 0 {
		if !req.NoRefusal && earliestFirst > req.ObjectiveLeftMs && p.saturated(e, all, usable) {
			return Choice{Endpoint: -1, Refuse: true, Expected: Estimate{FirstMs: earliestFirst}}
		}
		if req.Remote {
			return Choice{Endpoint: -1, Wait: true, Expected: Estimate{FirstMs: earliestFirst}}
		}
		best, bestFirst, late = earliest, earliestFirst, true
	}
	load := Load{PrefillMs: prefill, Short: 1, MemoryTokens: tokens, AwaitingFirstEvent: 1}
	return Choice{Endpoint: best, Suboptimal: late, Loads: []LoadShare{{Candidate: best, Load: load}}, Expected: Estimate{FirstMs: bestFirst, Parts: 1}}
}

// saturated reports whether the requests in flight use up the slots of all endpoints
// together.
func (p Policy) saturated(e *catalog.Engine, all []Candidate, usable []int) bool {
	inUse := 0
	for _, i := range usable {
		inUse += all[i].Load.Short + all[i].Load.Long
	}
	return float64(inUse) >= p.SaturatedShare*float64(len(usable)*e.Slots)
}

// packedEndpoints returns the number of endpoints onto which the short requests of all
// gateways should be packed.
func (p Policy) packedEndpoints(e *catalog.Engine, all []Candidate, usable []int) int {
	total := 1
	for _, i := range usable {
		total += all[i].Load.Short
	}
	return min(len(usable), int(math.Ceil(float64(total)/(float64(e.Slots)*p.PackedShare))))
}

// tieMs is the resolution at which expected first events are compared. Gateways that
// learn late of each other's choices must not all select the best endpoint.
const tieMs = 20

// earlier compares two endpoints for a short request by their expected first events,
// and by the gateway's own preference if these are about equal.
func earlier(firstA float64, a Candidate, firstB float64, b Candidate) bool {
	return cmp.Or(cmp.Compare(int(firstA/tieMs), int(firstB/tieMs)), compareLocal(a, b)) < 0
}

// firstEventMs estimates how long a short request waits for its first event: the
// pending prefill plus the iterations of the decoding requests. Penalties keep requests
// away from endpoints that are crowded, out of memory or too slow.
func (p Policy) firstEventMs(e *catalog.Engine, req Request, c Candidate, tokens int) float64 {
	l := c.Load
	decoding := l.Short + l.Long
	iteration := iterationMs(e, decoding, l.MemoryTokens) * c.slowdown()
	ms := l.PrefillMs*c.slowdown() + iteration*iterationsToFirst
	if iteration > p.maxIterationMs(req.MaxGap) {
		ms += gapPenaltyMs
	}
	crowdedFrom := float64(e.Slots) * crowdedShare
	if over := float64(decoding) - crowdedFrom; over >= 0 {
		ms += (over + 1) * crowdedPenaltyMs
	}
	if waiting := decoding - e.Slots + 1; waiting > 0 {
		ms += float64(min(waiting, l.AwaitingFirstEvent+1)) * p.SlotWaitMs
	}
	if l.MemoryTokens+tokens > e.MemoryTokens {
		ms += memoryPenaltyMs
	}
	return ms
}

const (
	// iterationsToFirst is the number of iterations until the first event: half of the
	// one in progress, and the one that produces the event.
	iterationsToFirst = 1.5
	// crowdedShare is the share of its slots in use from which an endpoint is crowded.
	crowdedShare = 0.75
	// crowdedPenaltyMs is added to the expected wait for each request beyond
	// crowdedShare, so that the last slots are used only when all endpoints are equally
	// full.
	crowdedPenaltyMs = 25
	// memoryPenaltyMs keeps requests away from endpoints whose memory is full, where
	// another request would be preempted and prefilled again.
	memoryPenaltyMs = 1000
	// gapPenaltyMs keeps requests away from slow endpoints, where every gap between
	// events would be too long.
	gapPenaltyMs = 1000
)
