// Package orders decides when an agent gives its endpoint an order. It is
// pure: times, clocks, states and random numbers are arguments.
//
// A placer permits an order (Permit); the agent accepts it or says why not,
// waits for the runs that need what the order takes away, asks the endpoint
// for its state, gives the order and finds out how it ended. One order is in
// progress at a time. Whatever the endpoint does with fencing numbers, an
// order is dropped when its generation is over, when its permit is not of the
// agent's latest report, and when the agent was paused since it last looked.
package orders

import (
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// MaxPause is the longest time between two looks at a waiting order; after
	// a longer one the agent was paused and drops the order.
	MaxPause = 2 * time.Second
	// MaxAge is the longest time between asking the endpoint for its state and
	// giving the order decided on it.
	MaxAge = time.Second
	// SettleTime is how long an endpoint has to be seen without an order before
	// one of unknown fate counts as not carried out: it may still lie unread in
	// the endpoint's socket.
	SettleTime = 2 * time.Second
)

// Permit allows one order. The order names kind, model, version, adapter or
// role only; the agent adds the rest.
type Permit struct {
	Incarnation string
	Generation  uint64
	Holds       uint64 // of the report that it was decided on
	ExpiresMS   int64  // on the agent's clock
	Order       engine.Order
}

// Situation is what the agent knows when it decides.
type Situation struct {
	Incarnation string
	ClockMS     int64 // the agent's clock
	State       rudderv1.AgentState
	Document    *rudderv1.Document
	Endpoint    string
	Models      []engine.Model // as the endpoint last said
}

func (s *Situation) generation() uint64 { return s.Document.GetGeneration() }

// Book keeps the agent's orders: the one in progress and what failed. It is
// not safe for concurrent use.
type Book struct {
	phase      rudderv1.OrderPhase
	order      engine.Order
	generation uint64
	looked     time.Time // when the order in progress was last looked at
	idle       time.Time // since when the endpoint was seen without an order
	holds      uint64
	fence      uint64 // highest number given or seen
	detail     string
	failures   map[string]*failure
}

// NewBook returns the book of a new incarnation. It begins in the phase Found:
// an earlier incarnation may have left an order at the endpoint.
func NewBook() *Book {
	return &Book{phase: rudderv1.OrderPhase_ORDER_PHASE_FOUND, holds: 1, failures: make(map[string]*failure)}
}

// Holds counts the changes of what the endpoint holds and of the order in
// progress. A permit is good for one count only.
func (b *Book) Holds() uint64 { return b.holds }

// Changed counts a change of what the endpoint holds.
func (b *Book) Changed() { b.holds++ }

// Phase returns the phase of the order in progress, or 0.
func (b *Book) Phase() rudderv1.OrderPhase { return b.phase }

// Order returns the order in progress; it is empty in the phase Found.
func (b *Book) Order() engine.Order { return b.order }

// Accept takes the permit's order, or says why not.
func (b *Book) Accept(p Permit, s Situation, now time.Time) *result.Err {
	if err := b.check(p, s, now); err != nil {
		return err
	}
	o, err := Complete(p.Order, s.Document, s.Endpoint, s.Models)
	if err != nil {
		return err
	}
	b.set(rudderv1.OrderPhase_ORDER_PHASE_WAITING)
	b.order, b.generation, b.looked, b.detail = o, p.Generation, now, ""
	return nil
}

// check refuses what is late, out of turn or decided on something else than
// the agent's present state.
func (b *Book) check(p Permit, s Situation, now time.Time) *result.Err {
	switch {
	case s.State == rudderv1.AgentState_AGENT_STATE_LEAVING:
		return result.New(result.Draining, "")
	case s.State != rudderv1.AgentState_AGENT_STATE_SERVING:
		return result.New(result.Starting, "")
	case p.Incarnation != s.Incarnation:
		return result.New(result.IncarnationGone, "")
	case p.Generation < s.generation():
		return result.New(result.OldGeneration, "")
	case p.Generation > s.generation():
		return result.New(result.NotConfigured, "the agent has not received this generation")
	case b.phase != 0:
		return result.New(result.OrderInProgress, "")
	case p.Holds != b.holds:
		return result.New(result.FenceOld, "decided on an older report")
	case s.ClockMS > p.ExpiresMS:
		return result.New(result.OrderExpired, "")
	}
	if left := b.retryIn(p.Order, now); left > 0 {
		err := result.New(result.BreakerOpen, "failed before")
		err.RetryAfter = left.Milliseconds()
		return err
	}
	return nil
}

// Action is what the agent does next about a waiting order.
type Action int

// The actions.
const (
	Wait Action = iota
	Drop
	Ask // the endpoint for its state, then call Give
)

// Look decides about a waiting order. runs is the number of runs that need
// what it takes away.
func (b *Book) Look(s Situation, runs int, now time.Time) Action {
	if b.phase != rudderv1.OrderPhase_ORDER_PHASE_WAITING {
		return Wait
	}
	paused := elapsed(b.looked, now) > MaxPause
	b.looked = now
	switch {
	case paused, s.generation() != b.generation, s.State != rudderv1.AgentState_AGENT_STATE_SERVING:
		return Drop
	case runs > 0:
		return Wait
	default:
		return Ask
	}
}

// Give decides right before the order is sent. st is the endpoint's state,
// asked for at the time asked. It returns the order to send, or false when the
// order has to be dropped.
func (b *Book) Give(id, from string, st engine.State, s Situation, runs int, asked, now time.Time) (engine.Order, bool) {
	if b.Look(s, runs, now) != Ask || elapsed(asked, now) > MaxAge || st.OrderBusy {
		return engine.Order{}, false
	}
	if _, err := Complete(b.order, s.Document, s.Endpoint, st.Models); err != nil {
		return engine.Order{}, false
	}
	b.fence = placement.Fence(b.generation, max(b.fence, st.Fence))
	b.order.ID, b.order.From, b.order.Fence = id, from, b.fence
	b.set(rudderv1.OrderPhase_ORDER_PHASE_GIVEN)
	return b.order, true
}

// Lost records that the answer to the order did not come.
func (b *Book) Lost(detail string) {
	b.set(rudderv1.OrderPhase_ORDER_PHASE_UNKNOWN)
	b.idle, b.detail = time.Time{}, detail
}

// Ending is what is known of an order's end.
type Ending int

// The endings.
const (
	Open Ending = iota // not known yet
	Done
	NotDone
)

// Settle judges an order of unknown fate, or one found at the start, by the
// endpoint's state at now.
func (b *Book) Settle(st engine.State, now time.Time) Ending {
	switch {
	case st.OrderBusy:
		b.idle = time.Time{}
		return Open
	case b.order.ID != "" && st.OrderID == b.order.ID:
		return Done
	case b.idle.IsZero():
		b.idle = now
		return Open
	case now.Sub(b.idle) < SettleTime:
		return Open
	default:
		return NotDone
	}
}

// Close ends the order in progress without a failure: it was carried out,
// dropped, or found and over.
func (b *Book) Close(done bool) {
	if done {
		delete(b.failures, key(b.order))
	}
	b.end()
}

// Fail ends the order in progress as failed. Jitter is random in [0, 1).
func (b *Book) Fail(detail string, jitter float64, now time.Time) {
	b.fail(detail, jitter, now)
	b.end()
}

func (b *Book) end() {
	b.set(0)
	b.order, b.idle, b.detail = engine.Order{}, time.Time{}, ""
}

func (b *Book) set(p rudderv1.OrderPhase) {
	b.phase = p
	b.holds++
}

// elapsed returns the longer of the times that the monotonic and the wall
// clock show: the first stands still while a machine is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
