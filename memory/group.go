package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/result"
)

// Kind names what a coordinator does next.
type Kind int

// The steps of a group.
const (
	DoReserve Kind = iota // reserve the member's memory
	DoCompute             // have the member import what is before its span and compute it
	DoImport              // have the last member import what is before its span
	DoRun                 // order the run from the last member
	DoPause               // hold nothing for a while, then plan anew
	DoFail                // give the caller Code
)

// String returns the step's name.
func (k Kind) String() string {
	return [...]string{"reserve", "compute", "import", "run", "pause", "fail"}[k]
}

// Action is a coordinator's next step. Member is an index into the plan.
type Action struct {
	Kind   Kind
	Member int
	Pause  time.Duration // before jitter; of DoPause
	Code   result.Code   // of DoFail
}

const (
	// FirstPause and MaxPause bound the pause after a refused reservation;
	// it doubles from one to the next.
	FirstPause = 100 * time.Millisecond
	MaxPause   = 2 * time.Second
	// maxLosses bounds the attempts of one group that fail after it was formed.
	maxLosses = 3
	// maxStrikes bounds the attempts that fail for another reason than memory
	// before the group was ever formed. One that was is tried until its deadline.
	maxStrikes = 8
)

// state is what a coordinator knows of its reservation at one member.
type state struct {
	asked   bool      // a request was sent; the lease may exist
	granted bool      // until released
	lapse   time.Time // when the lease ends at the earliest, on the coordinator's clock
}

// Group is the coordinator's state of one group over all its attempts. Members
// are reserved in the order of their names, so that of two groups that want the
// same endpoints one gets ahead; a group that is refused anywhere gives all back
// before it asks again.
type Group struct {
	id      string
	epoch   uint64
	plan    Plan
	states  []state
	order   []int // members in the order of reservation
	formed  int   // members reserved
	done    int   // members that have computed, the last one: imported
	next    Action
	pause   time.Duration
	losses  int
	strikes int
	ever    bool // formed at least once
}

// NewGroup returns a group without a plan. One that follows an earlier group of
// the same request is as patient as if it had been formed before.
func NewGroup(id string, follows bool) *Group {
	return &Group{id: id, pause: FirstPause, ever: follows}
}

// Begin starts the next attempt with a plan.
func (g *Group) Begin(p Plan) {
	g.epoch++
	g.plan, g.formed, g.done = p, 0, 0
	g.states = make([]state, len(p))
	g.order = make([]int, len(p))
	for i := range p {
		g.order[i] = i
	}
	slices.SortFunc(g.order, func(a, b int) int { return cmp.Compare(p[a].Endpoint, p[b].Endpoint) })
	g.advance()
}

// Epoch numbers the attempts from 1.
func (g *Group) Epoch() uint64 { return g.epoch }

// Reservation names this attempt's reservation at every member.
func (g *Group) Reservation() string { return ReservationID(g.id, g.epoch) }

// Plan returns this attempt's plan.
func (g *Group) Plan() Plan { return g.plan }

// Next returns the step to take now.
func (g *Group) Next() Action { return g.next }

// advance sets the next step of an attempt that goes well.
func (g *Group) advance() {
	last := len(g.plan) - 1
	switch {
	case g.formed < len(g.plan):
		g.next = Action{Kind: DoReserve, Member: g.order[g.formed]}
	case g.done < last:
		g.next = Action{Kind: DoCompute, Member: g.done}
	case g.done == last:
		g.next = Action{Kind: DoImport, Member: last}
	default:
		g.next = Action{Kind: DoRun, Member: last}
	}
}

// Asked says that a reservation is about to be asked for.
func (g *Group) Asked(member int) { g.states[member].asked = true }

// Granted says that a member granted the lease that was asked for at sent.
func (g *Group) Granted(member int, sent time.Time, lease time.Duration) {
	g.states[member].granted, g.states[member].lapse = true, sent.Add(lease)
	g.formed++
	g.ever = g.ever || g.formed == len(g.plan)
	g.advance()
}

// Renewed says that a member extended the lease, as asked at sent.
func (g *Group) Renewed(member int, sent time.Time, lease time.Duration) {
	if s := &g.states[member]; s.granted {
		s.lapse = sent.Add(lease)
	}
}

// Computed says that a member did its part, and returns the members that are
// not needed any more: their spans have been imported by this one, which hands
// on all of them.
func (g *Group) Computed(member int) (free []int) {
	g.done++
	for i := range member {
		if g.states[i].granted {
			free = append(free, i)
			g.states[i].granted, g.states[i].asked = false, false
		}
	}
	g.advance()
	return free
}

// Lapsed returns a member whose lease is over as far as the coordinator can
// tell; ok is false when there is none.
func (g *Group) Lapsed(now time.Time) (member int, ok bool) {
	for i, s := range g.states {
		if s.granted && !now.Before(s.lapse) {
			return i, true
		}
	}
	return 0, false
}

// Held returns the members that may hold a lease of this attempt, granted only
// or all that were asked.
func (g *Group) Held(granted bool) (out []int) {
	for i, s := range g.states {
		if s.granted || s.asked && !granted {
			out = append(out, i)
		}
	}
	return out
}

// Failed says that this attempt failed with a code, and decides whether there
// is another. All members of Held(false) are to be released first.
func (g *Group) Failed(code result.Code) {
	formed := g.formed == len(g.plan)
	switch {
	case formed:
		g.losses++
		g.pause = FirstPause
	case code != result.MemoryHeld && !g.ever:
		g.strikes++
	}
	if !mayHelp(code) || g.losses >= maxLosses || g.strikes >= maxStrikes {
		g.next = Action{Kind: DoFail, Code: code}
		return
	}
	g.next = Action{Kind: DoPause, Pause: g.pause}
	g.pause = min(2*g.pause, MaxPause)
}

// Unplanned says that no plan was found for the next attempt.
func (g *Group) Unplanned(code result.Code) {
	g.plan, g.states, g.formed = nil, nil, -1
	g.Failed(code)
}

// mayHelp reports whether another attempt may do better after a code.
func mayHelp(c result.Code) bool {
	switch c {
	case result.DeadlineTooNear, result.DeadlinePassed, result.Canceled, result.PromptTooLong:
		return false
	default:
		return true
	}
}
