package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// placeLong splits the prefill of a prompt over endpoints without prefill work. It
// weighs the interference of a split against the delay of the prompt, and waits while
// the best split causes more interference than the prompt may.
func (p Policy) placeLong(e *catalog.Engine, req Request, prefill float64, all []Candidate, usable []int) Choice {
	var best split
	maxParts := min(1+p.MaxHelpers, len(usable))
	if p.exceedsMemory(e, req) {
		maxParts = min(maxParts, p.maxOversizeParts(all, usable))
	}
	for parts := 1; parts <= maxParts; parts++ {
		s, ok := p.bestSplit(e, req, prefill, parts, all, usable)
		if s.queuedMs > p.MaxQueuedMs {
			break // newer parts would delay the older ones
		}
		if ok && (best.candidates == nil || s.cost < best.cost-costMargin) {
			best = s
		}
	}
	expected := Estimate{FirstMs: best.firstMs, Interference: best.interference, Parts: len(best.candidates), IdleEndpoints: p.countIdle(all, usable)}
	if best.candidates == nil || p.shouldWait(req, best, p.minFirstMs(e, req, prefill, len(usable))) {
		return Choice{Endpoint: -1, Wait: true, Expected: expected}
	}
	c := p.assignParts(e, req, prefill, all, best.candidates)
	c.Expected, c.Suboptimal = expected, best.firstMs > budgetShare*req.ObjectiveLeftMs || best.interference > p.BaseInterference
	return c
}

// shouldWait reports whether a prompt waits instead of using the best split. It may
// cause interference up to a share of its own value; the share grows while the prompt
// waits and is small once it is late. minFirst is the time to its first event if all
// endpoints were idle: a prompt that cannot be in time even then does not wait for idle
// endpoints.
func (p Policy) shouldWait(req Request, best split, minFirst float64) bool {
	switch {
	case best.firstMs > req.DeadlineLeftMs:
		return true // the caller would have given up
	case best.firstMs <= req.ObjectiveLeftMs && !req.Late:
		return best.interference > p.BaseInterference+req.value()*(p.ArrivalInterference+p.WaitedInterference*req.WaitedShare)
	case req.Slack > 0 && !req.Late && minFirst <= req.ObjectiveLeftMs:
		return true
	default:
		return best.interference > req.value()*p.LateInterference
	}
}

// minFirstMs returns the time to the first event of a prompt on the given number of
// idle endpoints, in milliseconds.
func (p Policy) minFirstMs(e *catalog.Engine, req Request, prefill float64, endpoints int) float64 {
	return prefill/float64(min(1+p.MaxHelpers, endpoints)) + iterationsToFirst*iterationMs(e, 1, req.InputTokens)
}

// maxOversizeParts returns how many endpoints an oversize prompt may use, which occupies
// many endpoints for little value: those without prefill work, less a reserve for other
// requests where there are enough endpoints.
func (p Policy) maxOversizeParts(all []Candidate, usable []int) int {
	return p.countIdle(all, usable) - int(p.IdleReserve*float64(len(usable)))
}

// countIdle returns the number of endpoints without prefill work that a part would
// delay.
func (p Policy) countIdle(all []Candidate, usable []int) int {
	n := 0
	for _, i := range usable {
		n += 1 - p.busy(all[i].Load)
	}
	return n
}

const (
	// delayUnitMs is the delay of a long prompt that costs as much as one late short
	// request.
	delayUnitMs = 100
	// lateDelayUnitMs is the same for a prompt that will be late in any case.
	lateDelayUnitMs = 1000
	// costMargin is how much cheaper a split into more parts must be to be preferred.
	costMargin = 0.05
	// budgetShare is the share of the remaining time that the expected first event of a
	// prompt may take. The rest covers what the estimate leaves out.
	budgetShare = 0.7
)

// split is a way to prefill a long prompt in parts.
type split struct {
	candidates   []int   // indexes of candidates; the first one decodes
	interference float64 // in late short requests
	firstMs      float64 // expected time to the first event
	// queuedMs is the longest prefill pending on one of the candidates.
	queuedMs float64
	cost     float64
}

// partEstimate is the estimated effect of placing a part of a prompt on an endpoint.
type partEstimate struct {
	index        int
	interference float64
	finishMs     float64 // expected time until the part is prefilled
}

// bestSplit returns the split into the given number of parts that causes the least
// interference. ok is false if the candidates lack memory for the prompt.
func (p Policy) bestSplit(e *catalog.Engine, req Request, prefill float64, parts int, all []Candidate, usable []int) (s split, ok bool) {
	part := prefill / float64(parts)
	estimates := make([]partEstimate, 0, len(usable))
	for _, i := range usable {
		estimate := p.estimatePart(e, req, i, all[i], part)
		if all[i].Remote && (estimate.interference > 0 || p.busy(all[i].Load) > 0) {
			continue
		}
		estimates = append(estimates, estimate)
	}
	if len(estimates) < parts {
		return s, false
	}
	slices.SortFunc(estimates, func(a, b partEstimate) int {
		ca, cb := all[a.index], all[b.index]
		return cmp.Or(cmp.Compare(p.busy(ca.Load), p.busy(cb.Load)), cmp.Compare(a.interference, b.interference), cmp.Compare(isRemote(ca), isRemote(cb)), cmp.Compare(isShared(ca), isShared(cb)),
			cmp.Compare(int(a.finishMs/tieMs), int(b.finishMs/tieMs)), cmp.Compare(cb.Rank, ca.Rank))
	})
	if req.gapTolerant() == 0 {
		p.decodeWithShort(e, req, all, estimates)
	}
	free := 0
	for _, estimate := range estimates[:parts] {
		s.candidates = append(s.candidates, estimate.index)
		s.interference += estimate.interference
		s.firstMs = max(s.firstMs, estimate.finishMs)
		s.queuedMs = max(s.queuedMs, all[estimate.index].Load.PrefillMs)
		free += freeTokens(e, all[estimate.index].Load)
	}
	s.firstMs += iterationsToFirst * iterationMs(e, 1, req.InputTokens)
	s.cost = s.interference + p.partCost(part)*float64(parts)
	if s.firstMs <= req.ObjectiveLeftMs {
		s.cost += max(0, s.firstMs-budgetShare*req.ObjectiveLeftMs) / delayUnitMs
	} else {
		s.cost += p.LateValueLoss*req.value() + s.firstMs/lateDelayUnitMs + max(0, s.firstMs-budgetShare*req.DeadlineLeftMs)/delayUnitMs
	}
	if req.gapTolerant() == 1 || s.interference > 0 {
		p.moveDecoderFirst(e, req, all, s.candidates)
	}
	return s, free >= req.InputTokens+req.OutputTokens
}

// isRemote returns 1 for an endpoint of another cell, else 0.
func isRemote(c Candidate) int {
	if c.Remote {
		return 1
	}
	return 0
}

// isShared returns 1 for an endpoint that another cell may use too, else 0.
func isShared(c Candidate) int {
	if c.Shared {
		return 1
	}
	return 0
}

// busy returns 1 for an endpoint with so much pending prefill that a new part would
// delay other requests, else 0.
func (p Policy) busy(l Load) int {
	if l.PrefillMs > p.MaxQueuedMs {
		return 1
	}
	return 0
}

// partCost returns the inherent cost of a part with the given prefill time: a small
// fixed cost, and more for a part that keeps an endpoint for long.
func (p Policy) partCost(part float64) float64 {
	return p.PartCost + max(0, part-p.LongPartMs)/p.LongPartMs
}

// estimatePart estimates how long a part takes on an endpoint, and the interference
// that it causes there.
func (p Policy) estimatePart(e *catalog.Engine, req Request, index int, c Candidate, part float64) partEstimate {
	l := c.Load
	decoding := l.Short + l.Long
	prefill := (l.PrefillMs + part) * c.slowdown()
	s := partEstimate{index: index, finishMs: prefill}
	if decoding == 0 && l.Parts == 0 {
		return s
	}
	iteration := iterationMs(e, decoding, l.MemoryTokens) * c.slowdown()
	s.finishMs += iteration * iterationsToFirst
	longestIteration := prefill + iteration
	if longestIteration > p.maxIterationMs(req.Gaps.Shortest) {
		s.interference += float64(l.Short)
	}
	if longestIteration > p.maxIterationMs(req.Gaps.Next) {
		s.interference += float64(l.Long-l.GapTolerant) * p.LongGapCost
	}
	if longestIteration > p.maxIterationMs(req.Gaps.Longest) {
		s.interference += float64(l.GapTolerant) * p.TolerantGapCost
	}
	if l.Parts > 0 {
		s.interference += part / delayUnitMs * p.PartDelayCost
	}
	return s
}

// maxIterationMs returns the longest iteration, in milliseconds, acceptable to requests
// whose route allows the given gap between events.
func (p Policy) maxIterationMs(gap time.Duration) float64 {
	if gap <= 0 {
		return math.Inf(1)
	}
	return float64(gap.Milliseconds()) - p.GapMargin
}

// prefillFor returns the time after which a part is assumed to be prefilled. The first
// event comes much later, after the slowest part is prefilled and the decoding endpoint
// has completed an iteration; meanwhile the other endpoints are free again.
func (p Policy) prefillFor(s partEstimate) time.Duration {
	return time.Duration((s.finishMs*p.PrefillMargin + helperRoundTripMs) * float64(time.Millisecond))
}

// helperRoundTripMs is the round-trip time of a request to the helpers.
const helperRoundTripMs = 20

// crowded returns 1 for an endpoint with few free slots, else 0. Helpers start the
// prefill only when the decoding endpoint admits the request.
func (p Policy) crowded(e *catalog.Engine, l Load) int {
	if float64(l.Short+l.Long) >= crowdedShare*float64(e.Slots) {
		return 1
	}
	return 0
}

// exceedsGap returns 1 for an endpoint so slow that every gap between the prompt's
// events would be too long, else 0.
func (p Policy) exceedsGap(e *catalog.Engine, req Request, c Candidate) int {
	if iterationMs(e, 1+c.Load.Short+c.Load.Long, c.Load.MemoryTokens)*c.slowdown() > p.maxIterationMs(req.MaxGap) {
		return 1
	}
	return 0
}

// moveDecoderFirst moves the endpoint that decodes to the front of chosen. Among
// endpoints that are fast enough, not crowded and in the local cell, it prefers one
// with memory for the complete prompt, or else the one with the most memory; of equal
// ones, the one with the fewest requests.
func (p Policy) moveDecoderFirst(e *catalog.Engine, req Request, all []Candidate, chosen []int) {
	need := req.InputTokens + req.OutputTokens
	best := 0
	for n := range chosen {
		a, b := all[chosen[n]].Load, all[chosen[best]].Load
		fa, fb := min(need, freeTokens(e, a)), min(need, freeTokens(e, b))
		if cmp.Or(cmp.Compare(p.exceedsGap(e, req, all[chosen[n]]), p.exceedsGap(e, req, all[chosen[best]])), cmp.Compare(p.crowded(e, a), p.crowded(e, b)), cmp.Compare(isRemote(all[chosen[n]]), isRemote(all[chosen[best]])), cmp.Compare(fb, fa), cmp.Compare(a.Short+a.Long, b.Short+b.Long)) < 0 {
			best = n
		}
	}
	chosen[0], chosen[best] = chosen[best], chosen[0]
}

// longMemoryShare is the share of an endpoint's memory that is available to long
// prompts. The rest is for short requests that gateways send concurrently.
const longMemoryShare = 0.95

// freeTokens returns the memory of an endpoint that is available to long prompts.
func freeTokens(e *catalog.Engine, l Load) int {
	return max(0, int(longMemoryShare*float64(e.MemoryTokens))-l.MemoryTokens)
}

// assignParts distributes the prefill of a prompt over the chosen candidates, the first
// of which decodes, and fills their memory in order.
func (p Policy) assignParts(e *catalog.Engine, req Request, prefill float64, all []Candidate, chosen []int) Choice {
	need := req.InputTokens + req.OutputTokens
	c := Choice{Endpoint: chosen[0], Helpers: chosen[1:]}
	for n, i := range chosen {
		tokens := min(need, freeTokens(e, all[i].Load))
		need -= tokens
		l := Load{PrefillMs: prefill / float64(len(chosen)), MemoryTokens: tokens, Parts: 1}
		if n == 0 {
			l.Long = 1
			l.GapTolerant = req.gapTolerant()
		} else if tokens > 0 {
			c.Reservations = append(c.Reservations, Reservation{i, tokens})
		}
		c.Loads = append(c.Loads, LoadShare{Candidate: i, Load: l, PrefillFor: p.prefillFor(p.estimatePart(e, req, i, all[i], l.PrefillMs))})
	}
	return c
}

// decodeWithShort moves one endpoint to the front, to decode the prompt: of the
// suitable ones on which the prompt causes no interference, the first in the order of
// short requests. This keeps requests with short gap objectives off the endpoints that
// prefill longer prompts.
func (p Policy) decodeWithShort(e *catalog.Engine, req Request, all []Candidate, estimates []partEstimate) {
	best := -1
	for n, estimate := range estimates {
		l := all[estimate.index].Load
		if p.busy(l) > 0 || estimate.interference > 0 || p.crowded(e, l) > 0 || p.exceedsGap(e, req, all[estimate.index]) > 0 || all[estimate.index].Remote {
			continue
		}
		if best < 0 || all[estimate.index].Rank < all[estimates[best].index].Rank {
			best = n
		}
	}
	if best > 0 {
		first := estimates[best]
		copy(estimates[1:best+1], estimates[:best])
		estimates[0] = first
	}
}
