package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// Work is a request as the choice sees it.
type Work struct {
	InputTokens  int
	OutputTokens int
	ObjectiveMs  float64 // time to the first event that counts as in time
	// Busy is the part of the endpoints that read long prompts lately.
	Busy float64
	// Slack is how much of its objective is left; a request that cannot be in
	// time any more is not delayed for the sake of others.
	Slack time.Duration
	// Late is set for a prompt that has waited so long that it should be served
	// late rather than never.
	Late bool
	// Avoid lists endpoints that the request was already sent to.
	Avoid []string
}

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	ID   string
	Load Load
	// Own is how many of Load.Short are this gateway's, and Rank orders the
	// candidates for it: gateways that hear of each other's choices late must
	// not all prefer the same endpoint.
	Own  int
	Rank uint64
	// Suspect is set for an endpoint that failed lately; it is chosen only
	// when nothing else is left.
	Suspect bool
}

// Choice is where a request goes.
type Choice struct {
	Endpoint int   // index of the candidate; -1: none
	Helpers  []int // candidates that read parts of the prompt
	// Reserve is the memory to set aside at helpers before the request is sent,
	// where the endpoint has not enough for the whole prompt.
	Reserve []Reservation
	// Wait is set when it is better to ask again soon.
	Wait bool
	// Loads is what the choice adds, by candidate.
	Loads []Placed
}

// Reservation is memory of a candidate that is set aside for a request.
type Reservation struct {
	Candidate int
	Tokens    int
}

// Placed is load that a choice adds to a candidate.
type Placed struct {
	Candidate int
	Load      Load
}

// Policy holds the figures of the choice. Times are milliseconds.
type Policy struct {
	ShortMs    float64 // prompts that take no longer to read are short
	MaxHelpers int     // most helpers of one request
	// OversizeIdle is how many endpoints without short requests and reading a
	// prompt needs that is larger than the memory of one, and OversizeBusy the
	// largest part of the endpoints that may have read lately.
	OversizeIdle int
	OversizeBusy float64
	// LateShare is the part of the endpoints that read such a prompt once it is
	// late.
	LateShare float64
	// PartMs is the longest reading time of a part of a long prompt, as long as
	// there are endpoints and helpers enough.
	PartMs float64
	// BusyMs is the reading time that an endpoint should have before it at
	// most; long prompts wait for it while they have time.
	BusyMs float64
	// PauseMs is the longest pass that short requests bear without a late
	// event.
	PauseMs float64
	// FirstMs is the expected time to the first event up to which short
	// requests are put together.
	FirstMs float64
	// PackSlots is the part of an endpoint's slots up to which short requests
	// are put together.
	PackSlots float64
	// FirstShare is the part of its objective within which a long prompt should
	// have its first event by the estimate.
	FirstShare float64
}

// Default returns the policy that the measurements in docs/MEASUREMENTS.md
// chose.
func Default() Policy {
	return Policy{
		ShortMs: 60, MaxHelpers: 15, OversizeIdle: 6, OversizeBusy: 0.55, LateShare: 0.2, PartMs: 250, BusyMs: 250,
		PauseMs: 220, FirstMs: 170, PackSlots: 0.75, FirstShare: 0.5,
	}
}

// Choose picks endpoints of a service among the candidates.
func (p Policy) Choose(s *catalog.Service, w Work, all []Candidate) Choice {
	usable := usable(w, all)
	if len(usable) == 0 {
		return Choice{Endpoint: -1}
	}
	if s.Engine == nil {
		return p.plain(all, usable)
	}
	read := readMs(s.Engine, w.InputTokens)
	if read <= p.ShortMs {
		return p.short(s.Engine, w, read, all, usable)
	}
	return p.long(s.Engine, w, read, all, usable)
}

// usable returns the candidates to choose among: those not avoided, and the
// suspects only when there are no others.
func usable(w Work, all []Candidate) []int {
	var sound, rest []int
	for i := range all {
		switch {
		case slices.Contains(w.Avoid, all[i].ID):
		case all[i].Suspect:
			rest = append(rest, i)
		default:
			sound = append(sound, i)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return rest
}

// plain picks the endpoint with the fewest requests.
func (p Policy) plain(all []Candidate, usable []int) Choice {
	best := slices.MinFunc(usable, func(a, b int) int { return cmp.Compare(all[a].Load.Short, all[b].Load.Short) })
	return Choice{Endpoint: best, Loads: []Placed{{best, Load{Short: 1}}}}
}

// short picks the fullest endpoint among those where the first event is
// expected early enough, so that long prompts find others free of short work;
// where none is early enough, the one where it is expected first.
func (p Policy) short(e *catalog.Engine, w Work, read float64, all []Candidate, usable []int) Choice {
	tokens := w.InputTokens + w.OutputTokens
	best, earliest := -1, -1
	var earliestFirst float64
	for _, i := range usable {
		first := p.firstEvent(e, all[i].Load, tokens) + read
		if earliest < 0 || first < earliestFirst {
			earliest, earliestFirst = i, first
		}
		if first > p.FirstMs {
			continue
		}
		if best < 0 || preferred(&all[i], &all[best]) {
			best = i
		}
	}
	if best < 0 {
		best = earliest
	}
	return Choice{Endpoint: best, Loads: []Placed{{best, Load{ReadMs: read, Short: 1, Tokens: tokens}}}}
}

// preferred reports whether a is better for a short request than b: fewer long
// requests, then more short ones of this gateway, then its own order.
func preferred(a, b *Candidate) bool {
	return cmp.Or(cmp.Compare(a.Load.Long, b.Load.Long), cmp.Compare(b.Own, a.Own), cmp.Compare(a.Rank, b.Rank)) < 0
}

// firstEvent estimates how long a short request waits for its first event:
// what is still to be read, and the pass of those that generate. An endpoint
// that is nearly full or out of memory counts as far away.
func (p Policy) firstEvent(e *catalog.Engine, l Load, tokens int) float64 {
	writers := l.Short + l.Long
	ms := l.ReadMs + passMs(e, writers, l.Tokens)*passesToFirst
	full := float64(e.Slots) * p.PackSlots
	if over := float64(writers) - full; over >= 0 {
		ms += (over + 1) * crowdedMs
	}
	if writers >= e.Slots {
		ms += float64(writers-e.Slots+1) * slotWaitMs
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
	// crowdedMs is what each request beyond PackSlots adds to the expected
	// wait, so that the last slots are taken only when all are as full.
	crowdedMs = 25
	// slotWaitMs is what each request over the slots of an endpoint adds to
	// the expected wait; first events of 0.4 to 1.6 s were seen with one to
	// three requests too many.
	slotWaitMs = 300
	// memoryWaitMs keeps requests away from endpoints whose memory is full,
	// where another request would be put off and read again.
	memoryWaitMs = 1000
)

// long splits the reading of a prompt over endpoints. It takes the fewest parts
// with which the first event is expected in time without a late event for the
// short requests beside it; where that cannot be had, what is least bad.
func (p Policy) long(e *catalog.Engine, w Work, read float64, all []Candidate, usable []int) Choice {
	if w.InputTokens+w.OutputTokens > int(memoryShare*float64(e.MemoryTokens)) {
		return p.oversize(e, w, read, all, usable)
	}
	most := min(1+p.MaxHelpers, len(usable))
	target := w.ObjectiveMs * p.FirstShare
	var best split
	for parts := 1; parts <= most; parts++ {
		s := p.split(e, read/float64(parts), parts, all, usable)
		s.cost = s.harm + max(0, s.first-target)/lateMs
		if part := read / float64(parts); part > p.PartMs {
			s.cost += part / p.PartMs
		}
		if best.chosen == nil || s.cost < best.cost-costMargin {
			best = s
		}
	}
	if best.busiest > p.BusyMs && w.Slack > 0 {
		return Choice{Endpoint: -1, Wait: true}
	}
	return p.placeLong(e, w, read, all, best.chosen)
}

const (
	// lateMs is the delay of a long prompt that weighs as much as one late
	// short request.
	lateMs = 100
	// costMargin is how much better more parts must be to be taken.
	costMargin = 0.05
)

// split is a way to read a long prompt in parts.
type split struct {
	chosen  []int   // candidates, the best first
	harm    float64 // short requests that would get a late event
	first   float64 // expected time to the first event, ms
	busiest float64 // most reading that a chosen candidate has before it, ms
	cost    float64
}

// split returns the candidates on which so many parts do the least harm.
func (p Policy) split(e *catalog.Engine, part float64, parts int, all []Candidate, usable []int) split {
	type option struct {
		index      int
		harm, wait float64
	}
	options := make([]option, len(usable))
	for n, i := range usable {
		l := all[i].Load
		o := option{index: i, wait: l.ReadMs}
		if l.Short > 0 && l.ReadMs+part+passMs(e, l.Short+l.Long, l.Tokens) > p.PauseMs {
			o.harm = float64(l.Short)
		}
		options[n] = o
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.harm, b.harm), cmp.Compare(a.wait, b.wait), cmp.Compare(all[a.index].Load.Short, all[b.index].Load.Short), cmp.Compare(all[b.index].Rank, all[a.index].Rank))
	})
	var s split
	for _, o := range options[:parts] {
		s.chosen = append(s.chosen, o.index)
		s.harm += o.harm
		s.busiest = max(s.busiest, o.wait)
	}
	s.first = s.busiest + part + 2*passMs(e, 1, 0)
	return s
}

// placeLong spreads the parts. The endpoint that generates holds the prompt: it
// is the one with the most memory free.
func (p Policy) placeLong(e *catalog.Engine, w Work, read float64, all []Candidate, chosen []int) Choice {
	tokens := w.InputTokens + w.OutputTokens
	first := slices.MinFunc(chosen, func(a, b int) int {
		return cmp.Or(cmp.Compare(all[a].Load.Tokens, all[b].Load.Tokens), cmp.Compare(all[a].Load.Short, all[b].Load.Short))
	})
	c := Choice{Endpoint: first}
	for _, i := range chosen {
		l := Load{ReadMs: read / float64(len(chosen)), Parts: 1}
		if i == first {
			l.Long, l.Tokens = 1, tokens
		} else {
			c.Helpers = append(c.Helpers, i)
		}
		c.Loads = append(c.Loads, Placed{i, l})
	}
	return c
}

// memoryShare is the part of an endpoint's memory that is given to long
// prompts; the rest is for short requests that gateways send at the same time.
const memoryShare = 0.95

// freeTokens returns the memory of an endpoint that a long prompt may take.
func freeTokens(e *catalog.Engine, l Load) int {
	return max(0, int(memoryShare*float64(e.MemoryTokens))-l.Tokens)
}

// memoryStep is the difference of free memory, in tokens, that counts.
const memoryStep = 50000

// oversize places a prompt that is larger than an endpoint's memory. It takes
// much of all endpoints for the little that it brings, so it waits until enough
// of them neither read nor have short requests; one that has waited long is
// read by few, and late, so that it is served at all. Nothing of it is read
// while most endpoints read: late, it would make several others late.
func (p Policy) oversize(e *catalog.Engine, w Work, read float64, all []Candidate, usable []int) Choice {
	var idle []int
	for _, i := range usable {
		if l := all[i].Load; w.Late || l.Short == 0 && l.Parts == 0 {
			idle = append(idle, i)
		}
	}
	slices.SortStableFunc(idle, func(a, b int) int {
		la, lb := all[a].Load, all[b].Load
		return cmp.Or(cmp.Compare(la.Short, lb.Short), cmp.Compare(freeTokens(e, lb)/memoryStep, freeTokens(e, la)/memoryStep), cmp.Compare(la.Parts, lb.Parts))
	})
	most, least := 1+p.MaxHelpers, p.OversizeIdle
	if w.Late {
		most, least = min(most, int(math.Ceil(p.LateShare*float64(len(usable))))), 1
	}
	idle = idle[:min(len(idle), most)]
	free := 0
	for _, i := range idle {
		free += freeTokens(e, all[i].Load)
	}
	if len(idle) < least || free < w.InputTokens+w.OutputTokens || w.Busy > p.OversizeBusy {
		return Choice{Endpoint: -1, Wait: true}
	}
	return p.spread(e, w, read, all, idle)
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
		} else if held > 0 {
			c.Reserve = append(c.Reserve, Reservation{i, held})
		}
		c.Loads = append(c.Loads, Placed{i, l})
	}
	return c
}
