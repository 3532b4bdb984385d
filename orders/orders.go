// Package orders decides when an agent sends an order to its endpoint. It has no
// side effects: times, clocks, states and random numbers are arguments.
//
// A placer permits an order (Permit). The agent accepts or refuses it, waits for
// the runs that need the model or adapter to be unloaded, queries the state of
// the endpoint, sends the order and determines its result. One order is in
// progress at a time. Whether or not the endpoint checks fencing numbers, an
// order is dropped if its generation is no longer current, if its permit is not
// based on the agent's latest report, or if the agent was paused since its last
// check.
package orders

import (
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// MaxPause is the longest time between two checks of a waiting order. After a
	// longer one the agent must have been paused, and it drops the order.
	MaxPause = 2 * time.Second
	// MaxStateAge bounds the time between querying the state of the endpoint and
	// sending an order based on that state.
	MaxStateAge = time.Second
	// ResolveTime is how long an endpoint has to report no order in progress
	// before an order with unknown result counts as not executed: until then it
	// may still be unread in the endpoint's socket.
	ResolveTime = 2 * time.Second
)

// Permit allows one order. The order contains only the kind and the model,
// version, adapter or role; the agent sets the other fields.
type Permit struct {
	Incarnation string
	Generation  uint64
	Holds       uint64 // counter of the report that the decision is based on
	ExpiresMS   int64  // on the agent's clock
	Order       engine.Order
}

// Snapshot is the state of the agent on which a decision is based.
type Snapshot struct {
	Incarnation string
	ClockMS     int64 // the agent's clock
	State       rudderv1.AgentState
	Document    *rudderv1.Document
	Endpoint    string
	Models      []engine.Model // as last reported by the endpoint
}

func (s *Snapshot) generation() uint64 { return s.Document.GetGeneration() }

// Tracker tracks the agent's orders: the one in progress and those that failed. It
// is not safe for concurrent use.
type Tracker struct {
	phase       rudderv1.OrderPhase
	order       engine.Order
	generation  uint64
	lastChecked time.Time // time of the last check of the order in progress
	idleSince   time.Time // start of the period in which the endpoint reports no order in progress
	holds       uint64
	fence       uint64 // highest fencing number sent or seen
	detail      string
	failures    map[string]*failure
}

// NewTracker returns the tracker of a new incarnation. It starts in the phase Found,
// because the endpoint may still execute an order of an earlier incarnation.
func NewTracker() *Tracker {
	return &Tracker{phase: rudderv1.OrderPhase_ORDER_PHASE_FOUND, holds: 1, failures: make(map[string]*failure)}
}

// Holds returns a counter that increases with each change of the models that
// the endpoint holds and of the order in progress. A permit is valid for one
// value of the counter only.
func (b *Tracker) Holds() uint64 { return b.holds }

// ModelsChanged records a change of the models that the endpoint holds.
func (b *Tracker) ModelsChanged() { b.holds++ }

// Phase returns the phase of the order in progress, or 0 if there is none.
func (b *Tracker) Phase() rudderv1.OrderPhase { return b.phase }

// Order returns the order in progress; it is empty in the phase Found.
func (b *Tracker) Order() engine.Order { return b.order }

// Accept makes the permit's order the order in progress, or returns the reason
// for refusing it.
func (b *Tracker) Accept(p Permit, s Snapshot, now time.Time) *result.Err {
	if err := b.checkPermit(p, s, now); err != nil {
		return err
	}
	o, err := Complete(p.Order, s.Document, s.Endpoint, s.Models)
	if err != nil {
		return err
	}
	b.setPhase(rudderv1.OrderPhase_ORDER_PHASE_WAITING)
	b.order, b.generation, b.lastChecked, b.detail = o, p.Generation, now, ""
	return nil
}

// checkPermit refuses a permit that is late, that arrives while another order is
// in progress, that is not based on the agent's present state, or whose order
// failed recently.
func (b *Tracker) checkPermit(p Permit, s Snapshot, now time.Time) *result.Err {
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
	if wait := b.retryIn(p.Order, now); wait > 0 {
		err := result.New(result.BreakerOpen, "failed before")
		err.RetryAfter = wait.Milliseconds()
		return err
	}
	return nil
}

// Action is the agent's next action for a waiting order.
type Action int

// The actions.
const (
	Wait Action = iota
	Drop
	QueryState // query the state of the endpoint, then call PrepareSend
)

// CheckWaiting returns the next action for a waiting order. runs is the number of runs
// that need the model or adapter that the order unloads.
func (b *Tracker) CheckWaiting(s Snapshot, runs int, now time.Time) Action {
	if b.phase != rudderv1.OrderPhase_ORDER_PHASE_WAITING {
		return Wait
	}
	paused := elapsed(b.lastChecked, now) > MaxPause
	b.lastChecked = now
	switch {
	case paused, s.generation() != b.generation, s.State != rudderv1.AgentState_AGENT_STATE_SERVING:
		return Drop
	case runs > 0:
		return Wait
	default:
		return QueryState
	}
}

// PrepareSend makes the final decision before the order is sent. st is the endpoint's
// state, queried at queriedAt. It returns the order to send, or false if
// the order has to be dropped.
func (b *Tracker) PrepareSend(id, from string, st engine.State, s Snapshot, runs int, queriedAt, now time.Time) (engine.Order, bool) {
	if b.CheckWaiting(s, runs, now) != QueryState || elapsed(queriedAt, now) > MaxStateAge || st.OrderBusy {
		return engine.Order{}, false
	}
	if _, err := Complete(b.order, s.Document, s.Endpoint, st.Models); err != nil {
		return engine.Order{}, false
	}
	b.fence = placement.Fence(b.generation, max(b.fence, st.Fence))
	b.order.ID, b.order.From, b.order.Fence = id, from, b.fence
	b.setPhase(rudderv1.OrderPhase_ORDER_PHASE_GIVEN)
	return b.order, true
}

// ResponseLost records that no response to the order was received.
func (b *Tracker) ResponseLost(detail string) {
	b.setPhase(rudderv1.OrderPhase_ORDER_PHASE_UNKNOWN)
	b.idleSince, b.detail = time.Time{}, detail
}

// Resolution is the result of an order.
type Resolution int

// The possible results.
const (
	Unresolved Resolution = iota // not known yet
	Executed
	NotExecuted
)

// Resolve determines the result of an order whose response was lost, or that was
// found when the agent started, from the endpoint's state at the time now.
func (b *Tracker) Resolve(st engine.State, now time.Time) Resolution {
	switch {
	case st.OrderBusy:
		b.idleSince = time.Time{}
		return Unresolved
	case b.order.ID != "" && st.OrderID == b.order.ID:
		return Executed
	case b.idleSince.IsZero():
		b.idleSince = now
		return Unresolved
	case now.Sub(b.idleSince) < ResolveTime:
		return Unresolved
	default:
		return NotExecuted
	}
}

// Close ends the order in progress without recording a failure: the order was
// executed or dropped, or it was found at the start and is no longer in
// progress.
func (b *Tracker) Close(done bool) {
	if done {
		delete(b.failures, orderKey(b.order))
	}
	b.reset()
}

// Fail ends the order in progress and records its failure. jitter is a random
// number in [0, 1).
func (b *Tracker) Fail(detail string, jitter float64, now time.Time) {
	b.recordFailure(detail, jitter, now)
	b.reset()
}

// reset removes the order in progress.
func (b *Tracker) reset() {
	b.setPhase(0)
	b.order, b.idleSince, b.detail = engine.Order{}, time.Time{}, ""
}

// setPhase changes the phase and increases the counter that Holds returns.
func (b *Tracker) setPhase(p rudderv1.OrderPhase) {
	b.phase = p
	b.holds++
}

// elapsed returns the longer of the elapsed times on the monotonic and on the
// wall clock: the monotonic clock stops while the machine is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
