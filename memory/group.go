package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/result"
)

// ActionKind is the kind of a coordinator's next step.
type ActionKind int

// The kinds of steps.
const (
	ActionReserve ActionKind = iota // reserve the member's memory
	ActionCompute                   // have the member import the spans before its own, then compute its own
	ActionImport                    // have the last member import the spans before its own
	ActionRun                       // order the run from the last member
	ActionBackoff                   // release everything, wait, then plan again
	ActionFail                      // return Code to the caller
)

// String returns the name of the step.
func (k ActionKind) String() string {
	return [...]string{"reserve", "compute", "import", "run", "pause", "fail"}[k]
}

// Action is a coordinator's next step. Member is an index into the plan.
type Action struct {
	Kind    ActionKind
	Member  int
	Backoff time.Duration // before jitter; set for ActionBackoff
	Code    result.Code   // set for ActionFail
}

const (
	// InitialBackoff and MaxBackoff bound the backoff after a failed attempt. It doubles from
	// one attempt to the next.
	InitialBackoff = 100 * time.Millisecond
	MaxBackoff     = 2 * time.Second
	// maxFormedFailures bounds the attempts of one group that fail after it was formed, that
	// is, after all members were reserved.
	maxFormedFailures = 3
	// maxUnformedFailures bounds the attempts that fail for a reason other than memory before
	// the group was ever formed. A group that was formed once is retried until its deadline.
	maxUnformedFailures = 8
)

// memberState is what a coordinator knows of its reservation at one member.
type memberState struct {
	requested bool      // a request was sent; the lease may exist
	granted   bool      // and not yet released
	expires   time.Time // earliest end of the lease, on the coordinator's clock
}

// Group is the coordinator's state of one group over all its attempts. Members are
// reserved in the order of their names, so that of two groups that want the same endpoints
// one makes progress. A group that is refused by any member releases everything before it
// tries again.
type Group struct {
	id               string
	epoch            uint64
	plan             Plan
	states           []memberState
	order            []int // members in the order of reservation
	reserved         int   // number of members that have granted their lease
	computed         int   // number of members that have computed; the last one imports instead
	next             Action
	backoff          time.Duration
	formedFailures   int
	unformedFailures int
	everFormed       bool // all members were reserved at least once
}

// NewGroup returns a group without a plan. A group that follows an earlier one of the same
// request is retried as long as if it had been formed before.
func NewGroup(id string, followsEarlier bool) *Group {
	return &Group{id: id, backoff: InitialBackoff, everFormed: followsEarlier}
}

// Begin starts the next attempt with the given plan.
func (g *Group) Begin(p Plan) {
	g.epoch++
	g.plan, g.reserved, g.computed = p, 0, 0
	g.states = make([]memberState, len(p))
	g.order = make([]int, len(p))
	for i := range p {
		g.order[i] = i
	}
	slices.SortFunc(g.order, func(a, b int) int { return cmp.Compare(p[a].Endpoint, p[b].Endpoint) })
	g.advance()
}

// Epoch returns the number of the current attempt, counted from 1.
func (g *Group) Epoch() uint64 { return g.epoch }

// Reservation returns the ID of this attempt's reservation, the same at every member.
func (g *Group) Reservation() string { return ReservationID(g.id, g.epoch) }

// Plan returns this attempt's plan.
func (g *Group) Plan() Plan { return g.plan }

// Next returns the step to take now.
func (g *Group) Next() Action { return g.next }

// advance sets the next step of an attempt that has not failed.
func (g *Group) advance() {
	last := len(g.plan) - 1
	switch {
	case g.reserved < len(g.plan):
		g.next = Action{Kind: ActionReserve, Member: g.order[g.reserved]}
	case g.computed < last:
		g.next = Action{Kind: ActionCompute, Member: g.computed}
	case g.computed == last:
		g.next = Action{Kind: ActionImport, Member: last}
	default:
		g.next = Action{Kind: ActionRun, Member: last}
	}
}

// RecordRequested records that a reservation is about to be requested.
func (g *Group) RecordRequested(member int) { g.states[member].requested = true }

// RecordGranted records that a member granted the lease that was requested at time sent.
func (g *Group) RecordGranted(member int, sent time.Time, lease time.Duration) {
	g.states[member].granted, g.states[member].expires = true, sent.Add(lease)
	g.reserved++
	g.everFormed = g.everFormed || g.reserved == len(g.plan)
	g.advance()
}

// RecordRenewed records that a member extended the lease, as requested at time sent.
func (g *Group) RecordRenewed(member int, sent time.Time, lease time.Duration) {
	if s := &g.states[member]; s.granted {
		s.expires = sent.Add(lease)
	}
}

// RecordComputed records that a member has done its part. It returns the members that are no
// longer needed, because this member has imported their spans and hands all of them on.
func (g *Group) RecordComputed(member int) (free []int) {
	g.computed++
	for i := range member {
		if g.states[i].granted {
			free = append(free, i)
			g.states[i].granted, g.states[i].requested = false, false
		}
	}
	g.advance()
	return free
}

// ExpiredMember returns a member whose lease has expired as far as the coordinator can tell; ok
// is false if there is none.
func (g *Group) ExpiredMember(now time.Time) (member int, ok bool) {
	for i, s := range g.states {
		if s.granted && !now.Before(s.expires) {
			return i, true
		}
	}
	return 0, false
}

// Holders returns the members that may hold a lease of this attempt: those that granted it
// or, if granted is false, all that were sent a request.
func (g *Group) Holders(granted bool) (out []int) {
	for i, s := range g.states {
		if s.granted || s.requested && !granted {
			out = append(out, i)
		}
	}
	return out
}

// RecordFailure records that this attempt failed with the given code, and decides whether there
// is another attempt. All members of Holders(false) must be released before that.
func (g *Group) RecordFailure(code result.Code) {
	formed := g.reserved == len(g.plan)
	switch {
	case formed:
		g.formedFailures++
		g.backoff = InitialBackoff
	case code != result.MemoryHeld && !g.everFormed:
		g.unformedFailures++
	}
	if !retryable(code) || g.formedFailures >= maxFormedFailures || g.unformedFailures >= maxUnformedFailures {
		g.next = Action{Kind: ActionFail, Code: code}
		return
	}
	g.next = Action{Kind: ActionBackoff, Backoff: g.backoff}
	g.backoff = min(2*g.backoff, MaxBackoff)
}

// RecordNoPlan records that no plan was found for the next attempt.
func (g *Group) RecordNoPlan(code result.Code) {
	g.plan, g.states, g.reserved = nil, nil, -1
	g.RecordFailure(code)
}

// retryable reports whether another attempt may succeed after the given code.
func retryable(c result.Code) bool {
	switch c {
	case result.DeadlineTooNear, result.DeadlinePassed, result.Canceled, result.PromptTooLong:
		return false
	default:
		return true
	}
}
