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
	// Slack is how much of its objective is left; a request that cannot be in
	// time any more is not delayed for the sake of others.
	Slack time.Duration
	// LeftMs is how much of the objective is left, and DeadlineMs of the deadline.
	LeftMs     float64
	DeadlineMs float64
	// Late is set for a prompt that has waited so long that it should be served
	// late rather than never.
	Late bool
	// MustTake is set for a request whose caller had not better come back later.
	MustTake bool
	// Avoid lists endpoints that the request was already sent to.
	Avoid []string
}

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	ID   string
	Load Load
	// Rank orders the candidates in the same way for all gateways: short requests
	// take the first ones, long prompts the last ones. OwnRank is an order of this
	// gateway's own.
	Rank    uint64
	OwnRank uint64
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
	// Refuse is set when all slots are taken and the request would be late: its
	// caller had better come back when the others are done.
	Refuse bool
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
	// ReadFor is how long the reading takes at most by the estimate; zero: it
	// lasts until the first event.
	ReadFor time.Duration
}

// Policy holds the figures of the choice. Times are milliseconds.
type Policy struct {
	ShortMs    float64 // prompts that take no longer to read are short
	MaxHelpers int     // most helpers of one request
	// PartMs is the reading time of a part from which on it costs more, since it
	// keeps the endpoint from others for long; PartCost is what each part costs.
	PartMs   float64
	PartCost float64
	// EarlyHarm is the cost for others that a long prompt accepts while it has
	// time, and CleanMs the reading that an endpoint may have before it. An
	// engine reads the newest part first: parts that queue up put off the oldest
	// one, and with it the prompt that it belongs to.
	EarlyHarm float64
	CleanMs   float64
	// Headroom is the part of the endpoints that a prompt larger than the memory
	// of one leaves free of reading beside it.
	Headroom float64
	// LateCost is what a prompt loses that is served late.
	LateCost float64
	// LongPauseMs is the longest pass that long requests bear without a late
	// event, LongHarm what a late one costs, and HoldUp what the delay of a part
	// of another prompt costs against that of a prompt.
	LongPauseMs float64
	LongHarm    float64
	HoldUp      float64
	// ReadMargin is by how much the reading of a part may take longer than the
	// estimate.
	ReadMargin float64
	// PauseMs is the longest pass that short requests bear without a late
	// event.
	PauseMs float64
	// FirstMs is the expected time to the first event up to which short
	// requests are put together.
	FirstMs float64
	// SlotWaitMs is the expected wait for a slot of an endpoint whose slots are
	// taken, for each of those that wait.
	SlotWaitMs float64
	// FullSlots is the part of the slots of all endpoints from which on short
	// requests that would be late are refused.
	FullSlots float64
	// PackSlots is the part of an endpoint's slots up to which short requests
	// are put together.
	PackSlots float64
}

// Default returns the policy that the measurements in docs/MEASUREMENTS.md
// chose.
func Default() Policy {
	return Policy{
		ShortMs: 60, MaxHelpers: 15, PauseMs: 220, FirstMs: 170, SlotWaitMs: 150, FullSlots: 1, PackSlots: 0.5,
		PartMs: 250, PartCost: 0.03, EarlyHarm: 0.5, CleanMs: 60, Headroom: 0.15, LateCost: 10,
		LongPauseMs: 560, LongHarm: 8, HoldUp: 0.5, ReadMargin: 1.5,
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

// TakesTurns reports whether a request waits for its turn to choose among the
// endpoints: long prompts do.
func (p Policy) TakesTurns(s *catalog.Service, w Work) bool {
	return s.Engine != nil && readMs(s.Engine, w.InputTokens) > p.ShortMs
}

// Oversize reports whether a prompt is larger than the memory of an endpoint.
func (p Policy) Oversize(s *catalog.Service, w Work) bool {
	return s.Engine != nil && p.isOversize(s.Engine, w)
}

func (p Policy) isOversize(e *catalog.Engine, w Work) bool {
	return w.InputTokens+w.OutputTokens > int(memoryShare*float64(e.MemoryTokens))
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
	return Choice{Endpoint: best, Loads: []Placed{{Candidate: best, Load: Load{Short: 1}}}}
}

// short keeps short requests together on the first endpoints without long ones,
// in an order that all gateways share, as many as the short requests under way need, so that long
// prompts find the others free. Among these it picks one where the first event is
// expected early; where none is early enough, the next one in the order that is.
func (p Policy) short(e *catalog.Engine, w Work, read float64, all []Candidate, usable []int) Choice {
	slices.SortFunc(usable, func(a, b int) int {
		return cmp.Or(cmp.Compare(min(1, all[a].Load.Long), min(1, all[b].Load.Long)), cmp.Compare(all[a].Rank, all[b].Rank))
	})
	tokens := w.InputTokens + w.OutputTokens
	set := p.shortSet(e, all, usable)
	best, earliest := -1, -1
	var bestFirst, earliestFirst float64
	for n, i := range usable {
		if n >= set && best >= 0 {
			break
		}
		first := p.firstEvent(e, all[i].Load, tokens) + read
		if earliest < 0 || first < earliestFirst {
			earliest, earliestFirst = i, first
		}
		if first > p.FirstMs {
			continue
		}
		if best < 0 || sooner(first, all[i].OwnRank, bestFirst, all[best].OwnRank) {
			best, bestFirst = i, first
		}
	}
	if best < 0 {
		if !w.MustTake && earliestFirst > w.LeftMs && p.full(e, all, usable) {
			return Choice{Endpoint: -1, Refuse: true}
		}
		best = earliest
	}
	return Choice{Endpoint: best, Loads: []Placed{{Candidate: best, Load: Load{ReadMs: read, Short: 1, Tokens: tokens, Unread: 1}}}}
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
func sooner(firstA float64, ownA uint64, firstB float64, ownB uint64) bool {
	return cmp.Or(cmp.Compare(int(firstA/sameMs), int(firstB/sameMs)), cmp.Compare(ownA, ownB)) < 0
}

// firstEvent estimates how long a short request waits for its first event:
// what is still to be read, and the pass of those that generate. An endpoint
// that is nearly full or out of memory counts as far away.
func (p Policy) firstEvent(e *catalog.Engine, l Load, tokens int) float64 {
	writers := l.Short + l.Long
	ms := l.ReadMs + passMs(e, writers, l.Tokens)*passesToFirst
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
)

// long splits the reading of a prompt over endpoints. It weighs what a split
// costs others against the delay of the prompt itself; while the prompt has
// time, it waits for a split that costs nobody anything.
func (p Policy) long(e *catalog.Engine, w Work, read float64, all []Candidate, usable []int) Choice {
	var best split
	most := min(1+p.MaxHelpers, len(usable))
	if p.isOversize(e, w) {
		most = min(most, p.room(all, usable))
	}
	for parts := 1; parts <= most; parts++ {
		s, ok := p.split(e, w, read, parts, all, usable)
		if s.busiest > p.CleanMs && !w.Late {
			break // newer parts would put off the older ones
		}
		if ok && (best.chosen == nil || s.cost < best.cost-costMargin) {
			best = s
		}
	}
	if best.chosen == nil || p.shouldWait(e, w, best) {
		return Choice{Endpoint: -1, Wait: true}
	}
	return p.spread(e, w, read, all, best.chosen)
}

// shouldWait reports whether a prompt waits rather than take the best split.
func (p Policy) shouldWait(e *catalog.Engine, w Work, best split) bool {
	if p.isOversize(e, w) {
		return best.harm > p.EarlyHarm
	}
	return w.Slack > 0 && (best.harm > p.EarlyHarm || best.first > w.LeftMs)
}

// room returns how many endpoints a prompt may take that takes much of many for
// the little that it brings: those that read nothing, less some for others.
func (p Policy) room(all []Candidate, usable []int) int {
	clean := 0
	for _, i := range usable {
		clean += 1 - p.busy(all[i].Load)
	}
	return clean - int(math.Ceil(p.Headroom*float64(len(usable))))
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
	sites := make([]site, len(usable))
	for n, i := range usable {
		sites[n] = p.site(e, i, all[i].Load, part)
	}
	slices.SortFunc(sites, func(a, b site) int {
		return cmp.Or(cmp.Compare(p.busy(all[a.index].Load), p.busy(all[b.index].Load)), cmp.Compare(a.harm, b.harm), cmp.Compare(int(a.finish/sameMs), int(b.finish/sameMs)), cmp.Compare(all[b.index].Rank, all[a.index].Rank))
	})
	free := 0
	for _, o := range sites[:parts] {
		s.chosen = append(s.chosen, o.index)
		s.harm += o.harm
		s.first = max(s.first, o.finish)
		s.busiest = max(s.busiest, all[o.index].Load.ReadMs)
		free += freeTokens(e, all[o.index].Load)
	}
	s.first += 1.5 * passMs(e, 1, w.InputTokens)
	s.cost = s.harm + p.partCost(part)*float64(parts)
	if s.first <= w.LeftMs {
		s.cost += max(0, s.first-inTime*w.LeftMs) / lateMs
	} else {
		s.cost += p.LateCost + s.first/veryLateMs + max(0, s.first-inTime*w.DeadlineMs)/lateMs
	}
	p.generatorFirst(e, w, all, s.chosen)
	return s, free >= w.InputTokens+w.OutputTokens
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
func (p Policy) site(e *catalog.Engine, index int, l Load, part float64) site {
	writers := l.Short + l.Long
	s := site{index: index, finish: l.ReadMs + part}
	if writers == 0 && l.Parts == 0 {
		return s
	}
	pass := passMs(e, writers, l.Tokens)
	s.finish += pass * passesToFirst
	longest := l.ReadMs + part + pass
	if longest > p.PauseMs {
		s.harm += float64(l.Short)
	}
	if longest > p.LongPauseMs {
		s.harm += float64(l.Long) * p.LongHarm
	}
	if l.Parts > 0 {
		s.harm += part / lateMs * p.HoldUp
	}
	return s
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

// generatorFirst puts the endpoint that generates first: one that has the memory
// for the whole prompt if there is one, and among them the one with the fewest
// short requests, else the one with the most memory.
func (p Policy) generatorFirst(e *catalog.Engine, w Work, all []Candidate, chosen []int) {
	need := w.InputTokens + w.OutputTokens
	best := 0
	for n := range chosen {
		a, b := all[chosen[n]].Load, all[chosen[best]].Load
		fa, fb := min(need, freeTokens(e, a)), min(need, freeTokens(e, b))
		if cmp.Or(cmp.Compare(p.crowded(e, a), p.crowded(e, b)), cmp.Compare(fb, fa), cmp.Compare(a.Short+a.Long, b.Short+b.Long)) < 0 {
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
		} else if held > 0 {
			c.Reserve = append(c.Reserve, Reservation{i, held})
		}
		c.Loads = append(c.Loads, Placed{Candidate: i, Load: l, ReadFor: p.readFor(p.site(e, i, all[i].Load, l.ReadMs))})
	}
	return c
}
