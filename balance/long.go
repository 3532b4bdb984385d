package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// long splits the reading of a prompt over endpoints that read nothing. It weighs
// what a split costs others against the delay of the prompt itself, and waits while
// the best one costs more than the prompt may.
func (p Policy) long(e *catalog.Engine, w Work, read float64, all []Candidate, usable []int) Choice {
	var best split
	most := min(1+p.MaxHelpers, len(usable))
	if p.isOversize(e, w) {
		most = min(most, p.room(all, usable))
	}
	for parts := 1; parts <= most; parts++ {
		s, ok := p.split(e, w, read, parts, all, usable)
		if s.busiest > p.CleanMs {
			break // newer parts would put off the older ones
		}
		if ok && (best.chosen == nil || s.cost < best.cost-costMargin) {
			best = s
		}
	}
	expected := Expected{FirstMs: best.first, Harm: best.harm, Parts: len(best.chosen), Idle: p.idle(all, usable)}
	if best.chosen == nil || p.shouldWait(w, best, p.soonest(e, w, read, len(usable))) {
		return Choice{Endpoint: -1, Wait: true, Expected: expected}
	}
	c := p.spread(e, w, read, all, best.chosen)
	c.Expected, c.Poor = expected, best.first > inTime*w.LeftMs || best.harm > p.EarlyHarm
	return c
}

// shouldWait reports whether a prompt waits rather than take the best split. What
// it may cost others is a part of what it would bring itself: the longer it has
// waited the more, and hardly anything once it is late. soonest is when its first
// event would come if all endpoints were idle: one that cannot be in time even so
// does not wait for that.
func (p Policy) shouldWait(w Work, best split, soonest float64) bool {
	switch {
	case best.first > w.DeadlineMs:
		return true // its caller would be gone
	case best.first <= w.LeftMs && !w.Late:
		return best.harm > p.EarlyHarm+w.value()*(p.HarmAtOnce+p.HarmWaited*w.Waited)
	case w.Slack > 0 && !w.Late && soonest <= w.LeftMs:
		return true
	default:
		return best.harm > w.value()*p.LateHarm
	}
}

// soonest returns how long a prompt takes to its first event on that many endpoints
// that do nothing else, in milliseconds.
func (p Policy) soonest(e *catalog.Engine, w Work, read float64, endpoints int) float64 {
	return read/float64(min(1+p.MaxHelpers, endpoints)) + passesToFirst*passMs(e, 1, w.InputTokens)
}

// room returns how many endpoints a prompt may take that takes much of many for
// the little that it brings: those that read nothing, less some for others where
// there are enough.
func (p Policy) room(all []Candidate, usable []int) int {
	return p.idle(all, usable) - int(p.Headroom*float64(len(usable)))
}

// idle returns how many endpoints read nothing that a part would put off.
func (p Policy) idle(all []Candidate, usable []int) int {
	n := 0
	for _, i := range usable {
		n += 1 - p.busy(all[i].Load)
	}
	return n
}

const (
	// lateMs is the delay of a long prompt that weighs as much as one late
	// short request.
	lateMs = 100
	// veryLateMs is the same for a prompt that is late anyway.
	veryLateMs = 1000
	// costMargin is how much better more parts must be to be taken.
	costMargin = 0.05
	// inTime is the part of the time left that the expected first event of a
	// prompt may take; the rest is for what the estimate does not see.
	inTime = 0.7
)

// split is a way to read a long prompt in parts.
type split struct {
	chosen []int   // candidates; the first one generates
	harm   float64 // what it costs others, in late short requests
	first  float64 // expected time to the first event, ms
	// busiest is the most reading that a chosen candidate has before it, ms.
	busiest float64
	cost    float64
}

// site is what a part of a prompt meets at an endpoint.
type site struct {
	index  int
	harm   float64
	finish float64 // when the part is expected to be read, ms from now
}

// split returns the candidates on which so many parts do the least harm; ok is
// false when they have not the memory.
func (p Policy) split(e *catalog.Engine, w Work, read float64, parts int, all []Candidate, usable []int) (s split, ok bool) {
	part := read / float64(parts)
	sites := make([]site, 0, len(usable))
	for _, i := range usable {
		at := p.site(e, w, i, all[i], part)
		if all[i].Remote && (at.harm > 0 || p.busy(all[i].Load) > 0) {
			continue
		}
		sites = append(sites, at)
	}
	if len(sites) < parts {
		return s, false
	}
	slices.SortFunc(sites, func(a, b site) int {
		x, y := all[a.index], all[b.index]
		return cmp.Or(cmp.Compare(p.busy(x.Load), p.busy(y.Load)), cmp.Compare(a.harm, b.harm), cmp.Compare(remote(x), remote(y)), cmp.Compare(shared(x), shared(y)),
			cmp.Compare(int(a.finish/sameMs), int(b.finish/sameMs)), cmp.Compare(y.Rank, x.Rank))
	})
	if w.patient() == 0 {
		p.besideShorts(e, w, all, sites)
	}
	free := 0
	for _, o := range sites[:parts] {
		s.chosen = append(s.chosen, o.index)
		s.harm += o.harm
		s.first = max(s.first, o.finish)
		s.busiest = max(s.busiest, all[o.index].Load.ReadMs)
		free += freeTokens(e, all[o.index].Load)
	}
	s.first += passesToFirst * passMs(e, 1, w.InputTokens)
	s.cost = s.harm + p.partCost(part)*float64(parts)
	if s.first <= w.LeftMs {
		s.cost += max(0, s.first-inTime*w.LeftMs) / lateMs
	} else {
		s.cost += p.LateLoss*w.value() + s.first/veryLateMs + max(0, s.first-inTime*w.DeadlineMs)/lateMs
	}
	if w.patient() == 1 || s.harm > 0 {
		p.generatorFirst(e, w, all, s.chosen)
	}
	return s, free >= w.InputTokens+w.OutputTokens
}

// remote returns 1 for an endpoint of another cell, else 0.
func remote(c Candidate) int {
	if c.Remote {
		return 1
	}
	return 0
}

// shared returns 1 for an endpoint that another cell may use, else 0.
func shared(c Candidate) int {
	if c.Shared {
		return 1
	}
	return 0
}

// busy returns 1 for an endpoint that has so much to read that a part would put
// off others, else 0.
func (p Policy) busy(l Load) int {
	if l.ReadMs > p.CleanMs {
		return 1
	}
	return 0
}

// partCost returns what a part of that length costs by itself: a little for
// each one, and more for one that keeps an endpoint for long.
func (p Policy) partCost(part float64) float64 {
	return p.PartCost + max(0, part-p.PartMs)/p.PartMs
}

// site estimates what a part meets at an endpoint, and does there.
func (p Policy) site(e *catalog.Engine, w Work, index int, c Candidate, part float64) site {
	l := c.Load
	writers := l.Short + l.Long
	reading := (l.ReadMs + part) * c.pace()
	s := site{index: index, finish: reading}
	if writers == 0 && l.Parts == 0 {
		return s
	}
	pass := passMs(e, writers, l.Tokens) * c.pace()
	s.finish += pass * passesToFirst
	longest := reading + pass
	if longest > p.longestPass(w.Pauses.Shortest) {
		s.harm += float64(l.Short)
	}
	if longest > p.longestPass(w.Pauses.Next) {
		s.harm += float64(l.Long-l.Patient) * p.LongHarm
	}
	if longest > p.longestPass(w.Pauses.Longest) {
		s.harm += float64(l.Patient) * p.PatientHarm
	}
	if l.Parts > 0 {
		s.harm += part / lateMs * p.HoldUp
	}
	return s
}

// longestPass returns how long a pass may be, in milliseconds, for requests whose
// route allows that pause.
func (p Policy) longestPass(pause time.Duration) float64 {
	if pause <= 0 {
		return math.Inf(1)
	}
	return float64(pause.Milliseconds()) - p.PauseMargin
}

// readFor returns after what time a part counts as read. The first
// event comes much later, when the slowest part is read and the endpoint that
// generates has made a pass; the others are free again meanwhile.
func (p Policy) readFor(s site) time.Duration {
	return time.Duration((s.finish*p.ReadMargin + readSlackMs) * float64(time.Millisecond))
}

// readSlackMs is the way of a request to the helpers and back.
const readSlackMs = 20

// crowded returns 1 for an endpoint with few free slots, else 0. Helpers begin to
// read only when the endpoint that generates lets the request in.
func (p Policy) crowded(e *catalog.Engine, l Load) int {
	if float64(l.Short+l.Long) >= fullSlots*float64(e.Slots) {
		return 1
	}
	return 0
}

// pauses returns 1 for an endpoint so slow that each pause between the prompt's events
// would be too long there, else 0.
func (p Policy) pauses(e *catalog.Engine, w Work, c Candidate) int {
	if passMs(e, 1+c.Load.Short+c.Load.Long, c.Load.Tokens)*c.pace() > p.longestPass(w.Pause) {
		return 1
	}
	return 0
}

// generatorFirst puts the endpoint that generates first: one that has the memory
// for the whole prompt if there is one, and among them the one with the fewest
// short requests, else the one with the most memory.
func (p Policy) generatorFirst(e *catalog.Engine, w Work, all []Candidate, chosen []int) {
	need := w.InputTokens + w.OutputTokens
	best := 0
	for n := range chosen {
		a, b := all[chosen[n]].Load, all[chosen[best]].Load
		fa, fb := min(need, freeTokens(e, a)), min(need, freeTokens(e, b))
		if cmp.Or(cmp.Compare(p.pauses(e, w, all[chosen[n]]), p.pauses(e, w, all[chosen[best]])), cmp.Compare(p.crowded(e, a), p.crowded(e, b)), cmp.Compare(remote(all[chosen[n]]), remote(all[chosen[best]])), cmp.Compare(fb, fa), cmp.Compare(a.Short+a.Long, b.Short+b.Long)) < 0 {
			best = n
		}
	}
	chosen[0], chosen[best] = chosen[best], chosen[0]
}

// memoryShare is the part of an endpoint's memory that is given to long
// prompts; the rest is for short requests that gateways send at the same time.
const memoryShare = 0.95

// freeTokens returns the memory of an endpoint that a long prompt may take.
func freeTokens(e *catalog.Engine, l Load) int {
	return max(0, int(memoryShare*float64(e.MemoryTokens))-l.Tokens)
}

// spread reads a prompt on the chosen candidates, the first of which generates,
// and fills their memory in turn.
func (p Policy) spread(e *catalog.Engine, w Work, read float64, all []Candidate, chosen []int) Choice {
	need := w.InputTokens + w.OutputTokens
	c := Choice{Endpoint: chosen[0], Helpers: chosen[1:]}
	for n, i := range chosen {
		held := min(need, freeTokens(e, all[i].Load))
		need -= held
		l := Load{ReadMs: read / float64(len(chosen)), Tokens: held, Parts: 1}
		if n == 0 {
			l.Long = 1
			l.Patient = w.patient()
		} else if held > 0 {
			c.Reserve = append(c.Reserve, Reservation{i, held})
		}
		c.Loads = append(c.Loads, Placed{Candidate: i, Load: l, ReadFor: p.readFor(p.site(e, w, i, all[i], l.ReadMs))})
	}
	return c
}

// besideShorts puts first, to generate, the endpoint that comes first in the order
// of the short requests, of those that the prompt harms nobody at. So endpoints that
// read for longer prompts have no requests whose pauses must be short.
func (p Policy) besideShorts(e *catalog.Engine, w Work, all []Candidate, sites []site) {
	best := -1
	for n, o := range sites {
		l := all[o.index].Load
		if p.busy(l) > 0 || o.harm > 0 || p.crowded(e, l) > 0 || p.pauses(e, w, all[o.index]) > 0 || all[o.index].Remote {
			continue
		}
		if best < 0 || all[o.index].Rank < all[sites[best].index].Rank {
			best = n
		}
	}
	if best > 0 {
		first := sites[best]
		copy(sites[1:best+1], sites[:best])
		sites[0] = first
	}
}
