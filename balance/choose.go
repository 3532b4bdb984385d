package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// Request describes a request for endpoint selection.
type Request struct {
	InputTokens  int
	OutputTokens int
	// Slack is the remaining time that a long prompt may wait for endpoints.
	Slack time.Duration
	// WaitedShare is the share of the time to wait that has passed, from 0 to 1.
	WaitedShare float64
	// Gaps holds the gaps between two events that the routes to the service allow,
	// and MaxGap the one that the request's own route allows.
	Gaps   catalog.GapObjectives
	MaxGap time.Duration
	// ObjectiveLeftMs is the time left until the objective, DeadlineLeftMs until the
	// deadline.
	ObjectiveLeftMs float64
	DeadlineLeftMs  float64
	// Late is set for a prompt that is treated as late regardless of ObjectiveLeftMs:
	// it has used up much of the time that its caller will wait, or its process is
	// shutting down.
	Late bool
	// NoRefusal is set for a request that must not be refused, because its caller should
	// not retry later.
	NoRefusal bool
	// Remote is set for a short request whose candidates belong to another cell. It is
	// placed there only if it will be in time.
	Remote bool
	// Excluded lists the endpoints that the request was already sent to.
	Excluded []string
}

// Candidate is an endpoint that may be selected.
type Candidate struct {
	ID   string
	Load Load
	// Rank orders the candidates identically on all gateways: short requests take the
	// first ones, long prompts the last ones. LocalRank is an order specific to this
	// gateway.
	Rank      uint64
	LocalRank uint64
	// Connected is set if an idle connection to the endpoint is open.
	Connected bool
	// Remote is set for an endpoint of another cell, whose load is less well known. A
	// part of a prompt is placed there only if it causes no interference.
	Remote bool
	// Shared is set for an endpoint that another cell may use too. The cell that it
	// belongs to prefers other endpoints.
	Shared bool
	// Suspect is set for an endpoint that failed recently. It is selected only if there
	// is no other.
	Suspect bool
	// Slowdown is the factor by which the endpoint is slower than usual in everything it
	// does.
	Slowdown float64
	// LoadUnknown is set while Load may lack requests of processes that are gone.
	LoadUnknown bool
	// Own is the number of requests in Load that are those of this gateway.
	Own int
}

// slowdown returns the factor by which the endpoint is slower than usual, at least 1.
func (c Candidate) slowdown() float64 { return max(1, c.Slowdown) }

// Choice is the outcome of endpoint selection for a request.
type Choice struct {
	Endpoint int   // index of the candidate; -1: none
	Helpers  []int // candidates that prefill parts of the prompt
	// Reservations is the memory to reserve on helpers before the request is sent, if the
	// endpoint lacks memory for the complete prompt.
	Reservations []Reservation
	// Refuse is set if all slots are in use and the request would be late. Its caller
	// should retry when others have finished.
	Refuse bool
	// Wait is set if selection should be retried shortly.
	Wait bool
	// Suboptimal is set if an endpoint was selected but the request is expected to be
	// late, or to cause more interference than BaseInterference.
	Suboptimal bool
	// Loads is the load that the request adds, by candidate.
	Loads []LoadShare
	// Expected is the estimate that the choice is based on. It is also set with Wait
	// and Refuse.
	Expected Estimate
}

// Estimate is the estimate for the best endpoints found.
type Estimate struct {
	FirstMs       float64 // time to the first event
	Interference  float64 // interference, in late short requests
	Parts         int     // parts of the prompt; 0: no endpoint has room for one
	IdleEndpoints int     // usable endpoints without prefill work
	UnknownLoads  int     // usable endpoints whose load is not known, for a short request
}

const (
	// lateFactor and lateMarginMs define how much later than expected a first event
	// must be to count as late.
	lateFactor   = 2
	lateMarginMs = 50
)

// LateAfter returns the time after which a first event counts as late; zero if none
// was expected.
func (e Estimate) LateAfter() time.Duration {
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

// LoadShare is load that a choice adds to a candidate.
type LoadShare struct {
	Candidate int
	Load      Load
	// PrefillFor is the estimated upper bound of the prefill time. If zero, the prefill
	// lasts until the first event.
	PrefillFor time.Duration
}

// Choose selects endpoints of a service for a request from the candidates.
func (p Policy) Choose(s *catalog.Service, req Request, all []Candidate) Choice {
	usable := usable(req, all)
	if len(usable) == 0 {
		return Choice{Endpoint: -1}
	}
	if s.Engine == nil {
		return p.leastRequests(all, usable)
	}
	prefill := prefillMs(s.Engine, req.InputTokens)
	if prefill <= p.ShortPrefillMs {
		return p.placeShort(s.Engine, req, prefill, all, usable)
	}
	return p.placeLong(s.Engine, req, prefill, all, usable)
}

// TryOtherCells reports whether another cell may offer a better placement than the
// choice, which was made in the request's cell.
func (c Choice) TryOtherCells() bool { return c.Wait || c.Refuse || c.Suboptimal || c.Endpoint < 0 }

// HasSpareCapacity reports whether an endpoint with the given load can be offered to
// other cells: it has no prefill work that a part of a prompt would delay, and has free
// slots.
func (p Policy) HasSpareCapacity(e *catalog.Engine, slots int, l Load) bool {
	if e != nil {
		slots = e.Slots
	}
	return p.busy(l) == 0 && float64(l.Short+l.Long) < p.PackedShare*float64(slots)
}

// MustQueue reports whether a request has to wait for its turn to select endpoints, as
// long prompts do.
func (p Policy) MustQueue(s *catalog.Service, req Request) bool {
	return s.Engine != nil && prefillMs(s.Engine, req.InputTokens) > p.ShortPrefillMs
}

// ExceedsMemory reports whether a prompt exceeds the memory of one endpoint.
func (p Policy) ExceedsMemory(s *catalog.Service, req Request) bool {
	return s.Engine != nil && p.exceedsMemory(s.Engine, req)
}

func (p Policy) exceedsMemory(e *catalog.Engine, req Request) bool {
	return req.InputTokens+req.OutputTokens > int(longMemoryShare*float64(e.MemoryTokens))
}

// usable returns the indexes of the candidates to select from: those not in
// req.Excluded, and suspect ones only if there are no others.
func usable(req Request, all []Candidate) []int {
	var healthy, suspect []int
	for i := range all {
		switch {
		case slices.Contains(req.Excluded, all[i].ID):
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
	return cmp.Or(cmp.Compare(needsConnection(a), needsConnection(b)), cmp.Compare(a.LocalRank, b.LocalRank))
}

// needsConnection returns 1 for an endpoint to which no connection is open, else 0.
func needsConnection(c Candidate) int {
	if c.Connected {
		return 0
	}
	return 1
}

// leastRequests selects the endpoint with the fewest requests.
func (p Policy) leastRequests(all []Candidate, usable []int) Choice {
	best := slices.MinFunc(usable, func(a, b int) int {
		return cmp.Or(cmp.Compare(all[a].Load.Short, all[b].Load.Short), compareLocal(all[a], all[b]))
	})
	return Choice{Endpoint: best, Loads: []LoadShare{{Candidate: best, Load: Load{Short: 1}}}}
}
