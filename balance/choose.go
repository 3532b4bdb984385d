package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// Work is a request as the choice sees it.
type Work struct {
	InputTokens  int
	OutputTokens int
	// Slack is how much is left of the time that a long prompt may wait.
	Slack time.Duration
	// Waited is the part of the time that it may wait that has passed, 0 to 1.
	Waited float64
	// Pauses are what the routes to the service allow between two events, and
	// Pause what the request's own route allows.
	Pauses catalog.Pauses
	Pause  time.Duration
	// LeftMs is how much of the objective is left, and DeadlineMs of the deadline.
	LeftMs     float64
	DeadlineMs float64
	// Late is set for a prompt that counts as late whatever its objective leaves:
	// it has waited for much of its caller's patience, or its process is ending.
	Late bool
	// MustTake is set for a request whose caller had not better come back later.
	MustTake bool
	// Remote is set for a short request whose candidates are those of another cell: it
	// takes an endpoint there only if it is in time.
	Remote bool
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
	// Warm is set for an endpoint to which a connection is open that is not in use.
	Warm bool
	// Remote is set for an endpoint of another cell, of which less is known: a part of a
	// prompt goes there only where it costs nobody else anything.
	Remote bool
	// Shared is set for an endpoint that another cell may use as well; the own cell takes
	// it after others.
	Shared bool
	// Suspect is set for an endpoint that failed lately; it is chosen only
	// when nothing else is left.
	Suspect bool
	// Pace is how many times as long as usual the endpoint takes for all that it does.
	Pace float64
}

// pace returns how many times as long as usual the endpoint takes; at least 1.
func (c Candidate) pace() float64 { return max(1, c.Pace) }

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
	// Poor is set when the request goes to an endpoint, but is expected to be late or
	// costs others more than what is due to all.
	Poor bool
	// Loads is what the choice adds, by candidate.
	Loads []Placed
	// Expected is what the choice was made on, also one to wait or refuse.
	Expected Expected
}

// Expected is what a choice expects of the best endpoints that it found.
type Expected struct {
	FirstMs float64 // until the first event
	Harm    float64 // what it costs others, in late short requests
	Parts   int     // of the prompt; 0: no endpoint has room for one
	Idle    int     // endpoints that read nothing, of those that may be used
}

const (
	// lateFactor and lateAfterMs say how much later than expected a first event is remarkable.
	lateFactor  = 2
	lateAfterMs = 50
)

// LatestFirst returns after what time a first event is remarkable; zero: none was expected.
func (e Expected) LatestFirst() time.Duration {
	if e.FirstMs <= 0 {
		return 0
	}
	return time.Duration((lateFactor*e.FirstMs + lateAfterMs) * float64(time.Millisecond))
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

// Elsewhere reports whether another cell may do better than the choice in the own one.
func (c Choice) Elsewhere() bool { return c.Wait || c.Refuse || c.Poor || c.Endpoint < 0 }

// Spare reports whether an endpoint with that load has something to offer to other cells:
// it reads nothing that a part of a prompt would put off, and has free slots.
func (p Policy) Spare(e *catalog.Engine, slots int, l Load) bool {
	if e != nil {
		slots = e.Slots
	}
	return p.busy(l) == 0 && float64(l.Short+l.Long) < p.PackSlots*float64(slots)
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

// compareOwn orders endpoints that are equal but for what this gateway alone knows or
// prefers: an open connection saves a round trip, and the endpoint the work for a new one.
func compareOwn(a, b Candidate) int {
	return cmp.Or(cmp.Compare(cold(a), cold(b)), cmp.Compare(a.OwnRank, b.OwnRank))
}

// cold returns 1 for an endpoint to which a connection has to be opened, else 0.
func cold(c Candidate) int {
	if c.Warm {
		return 0
	}
	return 1
}

// plain picks the endpoint with the fewest requests.
func (p Policy) plain(all []Candidate, usable []int) Choice {
	best := slices.MinFunc(usable, func(a, b int) int {
		return cmp.Or(cmp.Compare(all[a].Load.Short, all[b].Load.Short), compareOwn(all[a], all[b]))
	})
	return Choice{Endpoint: best, Loads: []Placed{{Candidate: best, Load: Load{Short: 1}}}}
}
