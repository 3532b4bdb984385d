// Package lifecycle holds the state machines of a request: Run is the agent's
// record of one execution, Dispatch the gateway's view of one request over
// all its attempts, and Assembler puts an answer together from frames. All
// are pure: events come in with the time, and nothing else happens.
package lifecycle

import (
	"fmt"

	"github.com/micarudder/micarudder/result"
)

// State is the state of a run at its agent.
type State int

// The states of a run. Finished, Refused and Unknown are final.
const (
	Queued    State = iota // admitted, not yet sent to the endpoint
	Ordered                // sent to the endpoint, no answer yet
	Streaming              // the endpoint has begun to answer
	Finished               // the endpoint ended the answer, well or badly
	Refused                // certainly not run, and never will be under this id
	Unknown                // the endpoint was lost or the time ran out: may have run
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"queued", "ordered", "streaming", "finished", "refused", "unknown"}[s]
}

// Final reports whether the state can still change.
func (s State) Final() bool { return s >= Finished }

// EventKind names what happened to a run.
type EventKind int

// The events of a run.
const (
	EvDispatch EventKind = iota // the agent is about to send the order
	EvRefused                   // the endpoint, or the agent, certainly did not run it
	EvAnswer                    // the first part of the answer came
	EvEnd                       // the endpoint ended the answer
	EvLost                      // the endpoint was lost
	EvExpire                    // the deadline passed
	EvVoid                      // somebody asks that it never run
	EvCancel                    // the caller gave it up
)

// String returns the event's name.
func (k EventKind) String() string {
	return [...]string{"dispatch", "refused", "answer", "end", "lost", "expire", "void", "cancel"}[k]
}

// Event is one thing that happened to a run. Code refines EvRefused and EvEnd.
type Event struct {
	Kind EventKind
	Code result.Code
}

// Action is what the caller of Apply must do.
type Action int

// The actions that follow a transition.
const (
	ActNone   Action = iota
	ActOrder         // send the order to the endpoint now
	ActStop          // cancel the run at the endpoint and free its memory
	ActIgnore        // the event came too late or twice: drop it
)

// Run is one execution's state with the evidence for it.
type Run struct {
	State   State
	Code    result.Code    // set when final
	Outcome result.Outcome // set when final
}

// transition is one cell of the table.
type transition struct {
	next    State
	code    result.Code // 0: take the event's code
	outcome result.Outcome
	action  Action
}

// transitions lists every legal step; a missing cell is ignored.
var transitions = map[State]map[EventKind]transition{
	Queued: {
		EvDispatch: {next: Ordered, action: ActOrder},
		EvRefused:  {next: Refused, outcome: result.NotRun},
		EvExpire:   {next: Refused, code: result.DeadlineTooNear, outcome: result.NotRun},
		EvVoid:     {next: Refused, code: result.TicketVoided, outcome: result.NotRun},
		EvCancel:   {next: Refused, code: result.Canceled, outcome: result.NotRun},
	},
	Ordered: {
		EvRefused: {next: Refused, outcome: result.NotRun},
		EvAnswer:  {next: Streaming},
		EvEnd:     {next: Finished, outcome: result.Ran},
		EvLost:    {next: Unknown, code: result.EndpointLost, outcome: result.MayHaveRun, action: ActStop},
		EvExpire:  {next: Unknown, code: result.DeadlinePassed, outcome: result.MayHaveRun, action: ActStop},
		EvCancel:  {next: Unknown, code: result.Canceled, outcome: result.MayHaveRun, action: ActStop},
	},
	Streaming: {
		EvEnd:    {next: Finished, outcome: result.Ran},
		EvLost:   {next: Unknown, code: result.EndpointLost, outcome: result.MayHaveRun, action: ActStop},
		EvExpire: {next: Finished, code: result.DeadlineInAnswer, outcome: result.Ran, action: ActStop},
		EvCancel: {next: Finished, code: result.Canceled, outcome: result.Ran, action: ActStop},
	},
}

// Apply makes the run's next step. Final states ignore every event.
func (r *Run) Apply(ev Event) Action {
	t, ok := transitions[r.State][ev.Kind]
	if !ok {
		return ActIgnore
	}
	r.State = t.next
	if t.next.Final() {
		r.Code, r.Outcome = t.code, t.outcome
		if t.code == 0 {
			r.Code = ev.Code
		}
	}
	return t.action
}

// String returns the state and, when final, the code.
func (r *Run) String() string {
	if !r.State.Final() {
		return r.State.String()
	}
	return fmt.Sprintf("%s %d %s (%s)", r.State, r.Code, r.Code, r.Outcome)
}
