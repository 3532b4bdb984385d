package balance

import (
	"cmp"
	"slices"

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

// withFreeSlots returns those of the usable candidates that have a free slot.
func withFreeSlots(s *catalog.Service, all []Candidate, usable []int) []int {
	var out []int
	for _, i := range usable {
		if freeSlots(s, all[i]) > 0 {
			out = append(out, i)
		}
	}
	return out
}

// slotClass ranks endpoints with a free slot by what a request can expect there.
type slotClass uint8

const (
	slotInTime slotClass = iota // the first event is in time, and so are the gaps
	slotLate                    // the caller still waits for the first event
	slotNever                   // the caller would have given up
)

// freeSlot is a free slot of a candidate. Slots of one candidate are numbered by the requests that
// run there.
type freeSlot struct {
	candidate int
	class     slotClass
	number    int
	firstMs   float64
}

// ChooseFree selects the free slot for a short request before which position others wait. The order
// of the slots depends only on the load and is the same at all gateways; a slot that is taken
// does not change the order of the others. Endpoints with few requests come first. Wait is set if
// there is no slot for the request; req.Late tells that it accepts one where it will be late.
func (p Policy) ChooseFree(s *catalog.Service, req Request, position int, all []Candidate) Choice {
	usable := usable(req, all)
	if len(usable) == 0 {
		return Choice{Endpoint: -1}
	}
	load := Load{Short: 1}
	tokens := req.InputTokens + req.OutputTokens
	if s.Engine != nil {
		load = Load{PrefillMs: prefillMs(s.Engine, req.InputTokens), Short: 1, MemoryTokens: tokens, AwaitingFirstEvent: 1}
	}
	var slots []freeSlot
	for _, i := range usable {
		in := freeSlots(s, all[i])
		if in == 0 {
			continue
		}
		class, first := p.classify(s, req, all[i], load.PrefillMs)
		if class == slotNever {
			continue
		}
		used := slotsOf(s, all[i]) - in
		// A request uses at most the slot at its position, so an endpoint contributes no more.
		for n := range min(in, position+1) {
			slots = append(slots, freeSlot{i, class, used + n, first})
		}
	}
	wait := Choice{Endpoint: -1, Wait: true}
	if position >= len(slots) {
		return wait
	}
	slices.SortFunc(slots, func(a, b freeSlot) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.number, b.number), cmp.Compare(all[a.candidate].Rank, all[b.candidate].Rank))
	})
	slot := slots[position]
	if slot.class != slotInTime && !req.Late {
		return wait
	}
	expected := Estimate{FirstMs: slot.firstMs}
	if s.Engine != nil {
		expected.Parts = 1
	}
	return Choice{Endpoint: slot.candidate, Suboptimal: slot.class != slotInTime, Loads: []LoadShare{{Candidate: slot.candidate, Load: load}}, Expected: expected}
}

// classify returns what a short request can expect at a candidate with a free slot, and its
// expected first event. A late request is not held to its objective.
func (p Policy) classify(s *catalog.Service, req Request, c Candidate, prefill float64) (slotClass, float64) {
	if s.Engine == nil {
		return slotInTime, 0
	}
	decoding := c.Load.Short + c.Load.Long
	iteration := iterationMs(s.Engine, decoding, c.Load.MemoryTokens) * c.slowdown()
	first := (c.Load.PrefillMs+prefill)*c.slowdown() + iteration*iterationsToFirst
	switch {
	case first > req.DeadlineLeftMs:
		return slotNever, first
	case iteration > p.maxIterationMs(req.MaxGap), c.Load.MemoryTokens+req.InputTokens+req.OutputTokens > s.Engine.MemoryTokens:
		return slotLate, first
	case !req.Late && first > req.ObjectiveLeftMs-slotMarginMs:
		return slotLate, first
	default:
		return slotInTime, first
	}
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
