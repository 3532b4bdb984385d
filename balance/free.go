package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/catalog"
)

// slotsOf returns how many requests a candidate runs at once.
func slotsOf(s *catalog.Service, c Candidate) int {
	if s.Engine != nil {
		return s.Engine.Slots
	}
	return c.Slots
}

// freeSlots returns the number of free slots of a candidate.
func freeSlots(s *catalog.Service, c Candidate) int {
	return max(0, slotsOf(s, c)-c.Load.Short-c.Load.Long)
}

// tooSlow reports whether every gap between the events of a stream at a candidate would be longer
// than the routes to the service allow.
func (p Policy) tooSlow(s *catalog.Service, req Request, c Candidate) bool {
	if s.Engine == nil {
		return false
	}
	return iterationMs(s.Engine, c.Load.Short+c.Load.Long, c.Load.MemoryTokens)*c.slowdown() > p.maxIterationMs(req.Gaps.Shortest)
}

// FreeSlots returns the free slots and all slots of the candidates that can serve requests in time,
// or of all candidates if none can.
func (p Policy) FreeSlots(s *catalog.Service, req Request, all []Candidate) (free, total int) {
	allFree, allTotal := 0, 0
	for _, c := range all {
		f, n := freeSlots(s, c), slotsOf(s, c)
		allFree, allTotal = allFree+f, allTotal+n
		if !c.Suspect && !p.tooSlow(s, req, c) {
			free, total = free+f, total+n
		}
	}
	if total == 0 {
		return allFree, allTotal
	}
	return free, total
}

// withFreeSlots returns those of the usable candidates that have at least a number of free slots.
func withFreeSlots(s *catalog.Service, all []Candidate, usable []int, atLeast int) []int {
	var out []int
	for _, i := range usable {
		if freeSlots(s, all[i]) >= atLeast {
			out = append(out, i)
		}
	}
	return out
}

// slotClass ranks endpoints with a free slot by what requests can expect there. It depends on nothing
// that differs between equally large requests, so that all gateways order the slots identically.
type slotClass uint8

const (
	slotGood slotClass = iota // a request that starts in time is served in time
	slotBad                   // the endpoint is slow, prefills a long prompt or lacks memory
)

// slotPool is the free slots of a candidate.
type slotPool struct {
	candidate int
	class     slotClass
	used      int // requests that run there
	free      int
	firstMs   float64 // expected time to the first event of the request
}

// ChooseFree selects the free slot for a short request. ahead holds the tie-breakers of the requests
// that choose before it at any gateway, in their order, and tie that of the request itself. Each has
// an order of the slots of its own that all gateways know, so that an endpoint is chosen in
// proportion to its free slots. If all preferred the endpoints with the fewest requests, those that
// choose by an old load would choose the same ones. With one order for all, a slot that becomes free shifts the slots of all
// requests, so that gateways that learn of it one after the other choose the same slots. Wait is set
// if there is no slot for the request; req.Late tells that it accepts one where it will be late.
func (p Policy) ChooseFree(s *catalog.Service, req Request, ahead []uint64, tie uint64, all []Candidate) Choice {
	usable := usable(req, all)
	if len(usable) == 0 {
		return Choice{Endpoint: -1}
	}
	load := Load{Short: 1}
	if s.Engine != nil {
		load = Load{PrefillMs: prefillMs(s.Engine, req.InputTokens), Short: 1, MemoryTokens: req.InputTokens + req.OutputTokens, AwaitingFirstEvent: 1}
	}
	pools, free := make([]slotPool, 0, len(usable)), 0
	for _, i := range usable {
		if n := freeSlots(s, all[i]); n > 0 {
			class, first := p.classify(s, req, all[i], load.PrefillMs)
			pools = append(pools, slotPool{i, class, slotsOf(s, all[i]) - n, n, first})
			free += n
		}
	}
	wait := Choice{Endpoint: -1, Wait: true}
	if len(ahead) >= free {
		return wait
	}
	orders := make([][]float64, len(ahead)) // computed once, since the choices are repeated
	for n, other := range ahead {
		orders[n] = orderOf(other, pools, all)
	}
	slot := preferred(chooseInOrder(slices.Clone(pools), orders), orderOf(tie, pools, all))
	if mayBeTaken(pools, slot, orders, all) {
		return wait
	}
	if slot.class == slotBad && !req.Late || slot.firstMs > req.DeadlineLeftMs {
		return wait
	}
	expected := Estimate{FirstMs: slot.firstMs}
	if s.Engine != nil {
		expected.Parts = 1
	}
	return Choice{Endpoint: slot.candidate, Suboptimal: slot.class == slotBad, Loads: []LoadShare{{Candidate: slot.candidate, Load: load}}, Expected: expected}
}

// orderOf returns the random order in which the request with a tie-breaker prefers the pools.
func orderOf(tie uint64, pools []slotPool, all []Candidate) []float64 {
	out := make([]float64, len(pools))
	for i, pool := range pools {
		out[i] = exponential(mix(tie, all[pool.candidate].Rank))
	}
	return out
}

// chooseInOrder removes the slots from pools that requests with the given orders take, as far as there
// are any.
func chooseInOrder(pools []slotPool, orders [][]float64) []slotPool {
	for _, order := range orders {
		pool := preferred(pools, order)
		if pool == nil {
			break
		}
		pool.used++
		pool.free--
	}
	return pools
}

// mayBeTaken reports whether the last free slot of slot's candidate may have been taken already by
// one of the requests ahead: by one that chose before it knew of the fresh slots, or of some of them.
func mayBeTaken(pools []slotPool, slot *slotPool, ahead [][]float64, all []Candidate) bool {
	mine := slices.IndexFunc(pools, func(p slotPool) bool { return p.candidate == slot.candidate })
	if len(ahead) < pools[mine].free {
		return false // they leave one in any case
	}
	var ages []time.Duration
	for _, pool := range pools {
		ages = append(ages, all[pool.candidate].Fresh...)
	}
	slices.Sort(ages)
	for _, age := range slices.Compact(ages) {
		known := slices.Clone(pools)
		for i := range known {
			for _, a := range all[known[i].candidate].Fresh {
				if a <= age && known[i].free > 0 {
					known[i].free--
					known[i].used++
				}
			}
		}
		before := known[mine].used
		if chooseInOrder(known, ahead)[mine].used-before >= pools[mine].free {
			return true
		}
	}
	return false
}

// preferred returns the pool with a free slot that a request with an order takes, or nil. It is each one
// in proportion to its free slots: of exponential variables, each is the smallest in proportion to its
// rate.
func preferred(pools []slotPool, order []float64) *slotPool {
	var best *slotPool
	var bestCost float64
	for i := range pools {
		pool := &pools[i]
		if pool.free == 0 {
			continue
		}
		cost := order[i] / float64(pool.free)
		if best == nil || cmp.Or(cmp.Compare(pool.class, best.class), cmp.Compare(cost, bestCost)) < 0 {
			best, bestCost = pool, cost
		}
	}
	return best
}

// exponential returns the exponential variable of rate 1 that a hash stands for.
func exponential(hash uint64) float64 {
	return -math.Log((float64(hash>>11) + 1) / (1 << 53))
}

// unknownDivisor is the part of the endpoints, as a divisor, over which requests are spread besides
// those onto which they are packed: with loads that are 100 ms old, a peak sends them as many requests
// that are not known yet as a twentieth of all slots.
const unknownDivisor = 8

// spreadCost is the cost of a candidate for a short request while the service is not nearly full. Each
// gateway has an order of its own, so that those that learn late of each other's choices do not all
// choose the same endpoint. One that knows only its own load uses all endpoints evenly.
func spreadCost(e *catalog.Engine, req Request, c Candidate) float64 {
	if req.LoadUnknown {
		return float64(c.Load.Short+c.Load.Long) + float64(c.LocalRank)/(1<<64)
	}
	return exponential(c.LocalRank) / float64(max(1, e.Slots-c.Load.Short-c.Load.Long))
}

// mix returns a hash of two hashes.
func mix(a, b uint64) uint64 {
	var p [16]byte
	binary.LittleEndian.PutUint64(p[:8], a)
	binary.LittleEndian.PutUint64(p[8:], b)
	return xxhash.Sum64(p[:])
}

// classify returns what a short request can expect at a candidate with a free slot, and its
// expected first event. Pending short prompts do not count: gateways do not report at once that one
// has been prefilled.
func (p Policy) classify(s *catalog.Service, req Request, c Candidate, prefill float64) (slotClass, float64) {
	if s.Engine == nil {
		return slotGood, 0
	}
	iteration := iterationMs(s.Engine, c.Load.Short+c.Load.Long, c.Load.MemoryTokens) * c.slowdown()
	first := (c.Load.PrefillMs+prefill)*c.slowdown() + iteration*iterationsToFirst
	if iteration > p.maxIterationMs(req.MaxGap) || c.Load.Parts > 0 && p.busy(c.Load) > 0 || c.Load.MemoryTokens+req.InputTokens+req.OutputTokens > s.Engine.MemoryTokens {
		return slotBad, first
	}
	return slotGood, first
}

// slotMarginMs is the part of the remaining time that the expected first event leaves for the
// connection and for a request that is admitted at the endpoint meanwhile.
const slotMarginMs = 20

// StartMs returns the time that a short request needs from its start to its first event at an
// endpoint whose slots are all in use, in milliseconds; ok is false for a service without engines.
func (p Policy) StartMs(s *catalog.Service, req Request) (ms float64, ok bool) {
	if s.Engine == nil {
		return 0, false
	}
	tokens := s.Engine.Slots * (req.InputTokens + req.OutputTokens)
	iteration := iterationMs(s.Engine, s.Engine.Slots, min(tokens, s.Engine.MemoryTokens))
	return prefillMs(s.Engine, req.InputTokens) + iteration*iterationsToFirst + slotMarginMs, true
}
