// Package lifecycle contains the state machines of a request: Run is the agent's
// record of one execution, Dispatch the gateway's record of a request over all
// its attempts, and Assembler reassembles a response from frames. They have no
// side effects and read no clock; the caller supplies the events.
package lifecycle

import (
	"fmt"

	"github.com/micarudder/micarudder/result"
)

// State is the state of a run at its agent.
type State int

// The states of a run. Finished, Refused and Unknown are final.
const (
	Queued    State = iota // admitted, not sent to the endpoint yet
	Ordered                // sent to the endpoint, no response yet
	Streaming              // the endpoint has started to respond
	Finished               // the run ended after a response began, successfully or not
	Refused                // did not run and will not run under this ID
	Unknown                // may have run: endpoint lost, or expired or canceled before a response
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"queued", "ordered", "streaming", "finished", "refused", "unknown"}[s]
}

// Final reports whether the state is final and cannot change any more.
func (s State) Final() bool { return s >= Finished }

// EventKind is the kind of an event of a run.
type EventKind int

// The events of a run.
const (
	EvDispatch EventKind = iota // the agent is about to send the order
	EvRefused                   // the endpoint or the agent refused it; it did not run
	EvResponse                  // the first part of the response was received
	EvEnd                       // the endpoint ended the response
	EvLost                      // the endpoint was lost
	EvExpire                    // the deadline passed
	EvVoid                      // the ID was voided: the run must never start
	EvCancel                    // the caller canceled the request
)

// String returns the name of the event kind.
func (k EventKind) String() string {
	return [...]string{"dispatch", "refused", "answer", "end", "lost", "expire", "void", "cancel"}[k]
}

// Event is an event of a run. Code is the result code of EvRefused and EvEnd.
type Event struct {
	Kind EventKind
	Code result.Code
}

// Action is what the caller of Apply has to do.
type Action int

// The actions after an event.
const (
	ActNone   Action = iota
	ActOrder         // send the order to the endpoint now
	ActStop          // cancel the run at the endpoint and free its memory
	ActIgnore        // nothing: the event was late or a duplicate
)

// Run is the state of one execution and, when final, its result.
type Run struct {
	State   State
	Code    result.Code    // set when final
	Outcome result.Outcome // set when final
}

// transition is one cell of the transition table.
type transition struct {
	next    State
	code    result.Code // 0 means the code of the event
	outcome result.Outcome
	action  Action
}

// transitions lists every valid transition. Events without one are ignored.
var transitions = map[State]map[EventKind]transition{
	Queued: {
		EvDispatch: {next: Ordered, action: ActOrder},
		EvRefused:  {next: Refused, outcome: result.NotRun},
		EvExpire:   {next: Refused, code: result.DeadlineTooNear, outcome: result.NotRun},
		EvVoid:     {next: Refused, code: result.TicketVoided, outcome: result.NotRun},
		EvCancel:   {next: Refused, code: result.Canceled, outcome: result.NotRun},
	},
	Ordered: {
		EvRefused:  {next: Refused, outcome: result.NotRun},
		EvResponse: {next: Streaming},
		EvEnd:      {next: Finished, outcome: result.Ran},
		EvLost:     {next: Unknown, code: result.EndpointLost, outcome: result.MayHaveRun, action: ActStop},
		EvExpire:   {next: Unknown, code: result.DeadlinePassed, outcome: result.MayHaveRun, action: ActStop},
		EvCancel:   {next: Unknown, code: result.Canceled, outcome: result.MayHaveRun, action: ActStop},
	},
	Streaming: {
		EvEnd:    {next: Finished, outcome: result.Ran},
		EvLost:   {next: Unknown, code: result.EndpointLost, outcome: result.MayHaveRun, action: ActStop},
		EvExpire: {next: Finished, code: result.DeadlineInAnswer, outcome: result.Ran, action: ActStop},
		EvCancel: {next: Finished, code: result.Canceled, outcome: result.Ran, action: ActStop},
	},
}

// Apply applies an event to the run and returns the action to take. Events in a
// final state are ignored.
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
