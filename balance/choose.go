package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// Work describes a request for endpoint selection.
type Work struct {
	InputTokens  int
	OutputTokens int
	// Slack is the remaining time that a long prompt may wait for endpoints.
	Slack time.Duration
	// Waited is the share of the time to wait that has passed, from 0 to 1.
	Waited float64
	// Pauses holds the gaps between two events that the routes to the service allow,
	// and Pause the one that the request's own route allows.
	Pauses catalog.Pauses
	Pause  time.Duration
	// LeftMs is the time left until the objective, DeadlineMs until the deadline.
	LeftMs     float64
	DeadlineMs float64
	// Late is set for a prompt that is treated as late regardless of LeftMs: it has used
	// up much of the time that its caller will wait, or its process is shutting down.
	Late bool
	// MustTake is set for a request that must not be refused, because its caller should
	// not retry later.
	MustTake bool
	// Remote is set for a short request whose candidates belong to another cell. It is
	// placed there only if it will be in time.
	Remote bool
	// Avoid lists the endpoints that the request was already sent to.
	Avoid []string
}

// Candidate is an endpoint that may be selected.
type Candidate struct {
	ID   string
	Load Load
	// Rank orders the candidates identically on all gateways: short requests take the
	// first ones, long prompts the last ones. OwnRank is an order specific to this
	// gateway.
	Rank    uint64
	OwnRank uint64
	// Warm is set if an idle connection to the endpoint is open.
	Warm bool
	// Remote is set for an endpoint of another cell, whose load is less well known. A
	// part of a prompt is placed there only if it causes no interference.
	Remote bool
	// Shared is set for an endpoint that another cell may use too. Its own cell prefers
	// other endpoints.
	Shared bool
	// Suspect is set for an endpoint that failed recently. It is selected only if there
	// is no other.
	Suspect bool
	// Pace is the factor by which the endpoint is slower than usual in everything it
	// does.
	Pace float64
}

// slowdown returns the factor by which the endpoint is slower than usual, at least 1.
func (c Candidate) slowdown() float64 { return max(1, c.Pace) }

// Choice is the outcome of endpoint selection for a request.
type Choice struct {
	Endpoint int   // index of the candidate; -1: none
	Helpers  []int // candidates that prefill parts of the prompt
	// Reserve is the memory to reserve on helpers before the request is sent, if the
	// endpoint lacks memory for the whole prompt.
	Reserve []Reservation
	// Refuse is set if all slots are in use and the request would be late. Its caller
	// should retry when others have finished.
	Refuse bool
	// Wait is set if selection should be retried shortly.
	Wait bool
	// Suboptimal is set if an endpoint was selected but the request is expected to be
	// late, or to cause more interference than BaseInterference.
	Suboptimal bool
	// Loads is the load that the request adds, by candidate.
	Loads []Placed
	// Expected is the estimate that the choice is based on. It is also set with Wait
	// and Refuse.
	Expected Expected
}

// Expected is the estimate for the best endpoints found.
type Expected struct {
	FirstMs float64 // time to the first event
	Harm    float64 // interference, in late short requests
	Parts   int     // parts of the prompt; 0: no endpoint has room for one
	Idle    int     // usable endpoints without prefill work
}

const (
	// lateFactor and lateMarginMs define how much later than expected a first event
	// must be to count as late.
	lateFactor   = 2
	lateMarginMs = 50
)

// LatestFirst returns the time after which a first event counts as late; zero if none
// was expected.
func (e Expected) LatestFirst() time.Duration {
	if e.FirstMs <= 0 {
		return 0
	}
	return time.Duration((lateFactor*e.FirstMs + lateMarginMs) * float64(time.Millisecond))
}

// Reservation is memory reserved on a candidate for a request.
type Reservation struct {
	Candidate int
	Tokens    int
}

// Placed is load that a choice adds to a candidate.
type Placed struct {
	Candidate int
	Load      Load
	// ReadFor is the estimated upper bound of the prefill time. If zero, the prefill
	// lasts until the first event.
	ReadFor time.Duration
}

// Choose selects endpoints of a service for a request from the candidates.
func (p Policy) Choose(s *catalog.Service, w Work, all []Candidate) Choice {
	usable := usable(w, all)
	if len(usable) == 0 {
		return Choice{Endpoint: -1}
	}
	if s.Engine == nil {
		return p.leastRequests(all, usable)
	}
	prefill := prefillMs(s.Engine, w.InputTokens)
	if prefill <= p.ShortPrefillMs {
		return p.placeShort(s.Engine, w, prefill, all, usable)
	}
	return p.placeLong(s.Engine, w, prefill, all, usable)
}

// Elsewhere reports whether another cell may offer a better placement than the choice,
// which was made in the request's own cell.
func (c Choice) Elsewhere() bool { return c.Wait || c.Refuse || c.Suboptimal || c.Endpoint < 0 }

// Spare reports whether an endpoint with the given load can be offered to other cells:
// it has no prefill work that a part of a prompt would delay, and has free slots.
func (p Policy) Spare(e *catalog.Engine, slots int, l Load) bool {
	if e != nil {
		slots = e.Slots
	}
	return p.busy(l) == 0 && float64(l.Short+l.Long) < p.PackedShare*float64(slots)
}

// TakesTurns reports whether a request has to wait for its turn to select endpoints, as
// long prompts do.
func (p Policy) TakesTurns(s *catalog.Service, w Work) bool {
	return s.Engine != nil && prefillMs(s.Engine, w.InputTokens) > p.ShortPrefillMs
}

// Oversize reports whether a prompt exceeds the memory of one endpoint.
func (p Policy) Oversize(s *catalog.Service, w Work) bool {
	return s.Engine != nil && p.exceedsMemory(s.Engine, w)
}

func (p Policy) exceedsMemory(e *catalog.Engine, w Work) bool {
	return w.InputTokens+w.OutputTokens > int(longMemoryShare*float64(e.MemoryTokens))
}

// usable returns the indexes of the candidates to select from: those not in w.Avoid,
// and suspect ones only if there are no others.
func usable(w Work, all []Candidate) []int {
	var healthy, suspect []int
	for i := range all {
		switch {
		case slices.Contains(w.Avoid, all[i].ID):
		case all[i].Suspect:
			suspect = append(suspect, i)
		default:
			healthy = append(healthy, i)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return suspect
}

// compareLocal orders otherwise equal endpoints by what only this gateway knows or
// prefers. An open connection saves a round trip, and saves the endpoint the work of
// accepting a new one.
func compareLocal(a, b Candidate) int {
	return cmp.Or(cmp.Compare(needsConnection(a), needsConnection(b)), cmp.Compare(a.OwnRank, b.OwnRank))
}

// needsConnection returns 1 for an endpoint to which no connection is open, else 0.
func needsConnection(c Candidate) int {
	if c.Warm {
		return 0
	}
	return 1
}

// leastRequests selects the endpoint with the fewest requests.
func (p Policy) leastRequests(all []Candidate, usable []int) Choice {
	best := slices.MinFunc(usable, func(a, b int) int {
		return cmp.Or(cmp.Compare(all[a].Load.Short, all[b].Load.Short), compareLocal(all[a], all[b]))
	})
	return Choice{Endpoint: best, Loads: []Placed{{Candidate: best, Load: Load{Short: 1}}}}
}
