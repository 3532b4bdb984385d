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
	// Avoid lists endpoints that the request was already sent to.
	Avoid []string
}

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	ID         string
	Address    string
	DataCentre string
	Load       Load
	// Suspect is set for an endpoint that failed lately; it is chosen only
	// when nothing else is left.
	Suspect bool
}

// Choice is where a request goes.
type Choice struct {
	Endpoint int   // index of the candidate; -1: none
	Helpers  []int // candidates that read parts of the prompt
	// Wait is set when it is better to ask again soon.
	Wait bool
	// Loads is what the choice adds, by candidate.
	Loads []Placed
}

// Placed is load that a choice adds to a candidate.
type Placed struct {
	Candidate int
	Load      Load
}

// Policy holds the figures of the choice. All times are milliseconds.
type Policy struct {
	ShortMs    float64 // prompts that take no longer to read are short
	PartMs     float64 // reading time of a part that a long prompt is split into
	MaxHelpers int     // most helpers of one request
	// BusyMs is the reading time that one endpoint should have before it at
	// most; long prompts wait for it while they have time.
	BusyMs float64
	// WriterCostMs is what a running short request counts when an endpoint is
	// chosen for a part of a long prompt.
	WriterCostMs float64
	// PackSlots is the part of an endpoint's slots up to which short requests
	// are put together.
	PackSlots float64
	// PackMs is how much later the first event may be expected for the sake
	// of putting short requests together.
	PackMs float64
}

// Default returns the policy that the measurements in docs/MEASUREMENTS.md
// chose.
func Default() Policy {
	return Policy{
		ShortMs: 60, PartMs: 120, MaxHelpers: 15, BusyMs: 200,
		WriterCostMs: 30, PackSlots: 0.75, PackMs: 25,
	}
}

// Choose picks endpoints of a service among the candidates, whose order is the
// same at every gateway: short work is put together at the beginning of the
// list and long work at its end.
func (p Policy) Choose(s *catalog.Service, w Work, slots int, all []Candidate) Choice {
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

// short picks the endpoint where the first event is expected first; among those
// that are nearly as good, the fullest that still has room, and then the first
// of the list.
func (p Policy) short(e *catalog.Engine, w Work, read float64, all []Candidate, usable []int) Choice {
	tokens := w.InputTokens + w.OutputTokens
	first := make([]float64, len(all))
	earliest := math.Inf(1)
	for _, i := range usable {
		first[i] = p.firstEvent(e, all[i].Load, tokens)
		earliest = min(earliest, first[i])
	}
	best := -1
	for _, i := range usable {
		if first[i] > earliest+p.PackMs {
			continue
		}
		if best < 0 || all[i].Load.Short > all[best].Load.Short {
			best = i
		}
	}
	return Choice{Endpoint: best, Loads: []Placed{{best, Load{ReadMs: read, Short: 1, Tokens: tokens, Pending: 1}}}}
}

// firstEvent estimates how long a short request waits for its first event:
// what is still to be read, and the pass of those that generate. An endpoint
// that is nearly full or out of memory counts as far away.
func (p Policy) firstEvent(e *catalog.Engine, l Load, tokens int) float64 {
	writers := l.Short + l.Long
	ms := l.ReadMs + passMs(e, writers, l.Tokens)
	full := float64(e.Slots) * p.PackSlots
	if over := float64(writers) - full; over >= 0 {
		ms += (over + 1) * p.PackMs
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
	// slotWaitMs is what each request over the slots of an endpoint adds to
	// the expected wait: a generation of a second and a half among 16 slots.
	slotWaitMs = 100
	// memoryWaitMs keeps requests away from endpoints whose memory is full,
	// where another request would be put off and read again.
	memoryWaitMs = 1000
)

// long splits the reading of a prompt over the endpoints that are least
// disturbed by it.
func (p Policy) long(e *catalog.Engine, w Work, read float64, all []Candidate, usable []int) Choice {
	tokens := w.InputTokens + w.OutputTokens
	order := slices.Clone(usable)
	cost := func(i int) float64 {
		l := all[i].Load
		return l.ReadMs + float64(l.Short)*p.WriterCostMs
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if c := cmp.Compare(cost(a), cost(b)); c != 0 {
			return c
		}
		return cmp.Compare(b, a)
	})
	parts := min(int(math.Ceil(read/p.PartMs)), 1+p.MaxHelpers, len(order))
	chosen := order[:parts]
	part := read / float64(parts)
	if worst := all[chosen[parts-1]].Load.ReadMs; worst+part > p.BusyMs+p.PartMs && w.Slack > 0 && worst > 0 {
		return Choice{Endpoint: -1, Wait: true}
	}
	// The endpoint that generates holds the prompt: the one with the most room.
	room := func(i int) int {
		l := all[i].Load
		return e.MemoryTokens - l.Tokens - (l.Short+l.Long)*tokens/(4*e.Slots)
	}
	first := slices.MaxFunc(chosen, func(a, b int) int { return cmp.Compare(room(a), room(b)) })
	c := Choice{Endpoint: first}
	for _, i := range chosen {
		l := Load{ReadMs: part}
		if i == first {
			l.Long, l.Tokens = 1, tokens
		} else {
			c.Helpers = append(c.Helpers, i)
		}
		c.Loads = append(c.Loads, Placed{i, l})
	}
	return c
}
