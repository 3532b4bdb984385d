package e2e

import (
	"fmt"
	"strings"
)

// step is a moment in a request's life.
type step string

// The steps of the life cycle, in their order.
const (
	atOrdering  step = "ordering"  // before the request, and so before its order, is sent
	atOrdered   step = "ordered"   // the order is at the agent's door
	atQueued    step = "queued"    // admitted and waiting for the endpoint
	atStarted   step = "started"   // the agent's request is at the endpoint's door
	atAnswering step = "answering" // the endpoint is in the middle of its answer
	atEnded     step = "ended"     // the endpoint has sent its end, the agent has it
	atDelivered step = "delivered" // the caller has its whole answer
)

var steps = []step{atOrdering, atOrdered, atQueued, atStarted, atAnswering, atEnded, atDelivered}

// mishap is what goes wrong at a step.
type mishap string

// The mishaps.
const (
	gatewayDies   mishap = "gateway dies"
	gatewayHeld   mishap = "gateway frozen"
	agentDies     mishap = "agent dies"
	agentHeld     mishap = "agent frozen"
	endpointDies  mishap = "endpoint dies"
	endpointHeld  mishap = "endpoint frozen"
	messageLost   mishap = "connection cut"
	orderDoubled  mishap = "order doubled"
	orderLate     mishap = "order late"
	storeAway     mishap = "platform refuses"
	storeHeld     mishap = "platform frozen"
	storeMute     mishap = "platform answer lost"
	storeForgets  mishap = "platform write lost"
	everyoneHeld  mishap = "all agents frozen"
	everythingOff mishap = "gateway and agent die"
)

var mishaps = []mishap{
	gatewayDies, gatewayHeld, agentDies, agentHeld, endpointDies, endpointHeld,
	messageLost, orderDoubled, orderLate, everyoneHeld, everythingOff,
}

// platformMishaps matter where the platform is asked: for a bare key, before
// the order and when the caller comes back.
var platformMishaps = []mishap{storeAway, storeHeld, storeMute, storeForgets}

// naming is how the caller names its request.
type naming string

// The ways to name a request.
const (
	byNothing naming = "none"
	byTicket  naming = "ticket"
	byKey     naming = "key"
)

// cell is one cell of the kill matrix.
type cell struct {
	step       step
	mishap     mishap
	call       bool // a service call; else a completion
	repeatable bool
	naming     naming
}

func (c cell) String() string {
	kind, again := "completion", "once"
	if c.call {
		kind = "call"
	}
	if c.repeatable {
		again = "repeatable"
	}
	return fmt.Sprintf("%s/%s/%s/%s/%s", c.step, c.mishap, kind, again, c.naming)
}

// cells lists the matrix.
func cells() []cell {
	var out []cell
	for _, s := range steps {
		for _, m := range mishaps {
			if s == atOrdering && (m == orderDoubled || m == orderLate) {
				continue // there is no order yet
			}
			out = append(out, variants(s, m)...)
		}
	}
	for _, m := range platformMishaps {
		out = append(out, variants(atOrdering, m)...)
		out = append(out, variants(atDelivered, m)...)
	}
	return out
}

func variants(s step, m mishap) []cell {
	var out []cell
	for _, call := range []bool{false, true} {
		for _, repeatable := range []bool{false, true} {
			for _, n := range []naming{byNothing, byTicket, byKey} {
				out = append(out, cell{s, m, call, repeatable, n})
			}
		}
	}
	return out
}

// told is what one presentation was answered.
type told struct {
	whole   bool
	notRun  bool
	restart bool
	text    string // what the caller holds after it
	summary string // for the golden file
	code    int
}

// verdict is what a cell came to.
type verdict struct {
	answers []told
	runs    int // executions counted at the endpoints
	resumes int
	wrong   []string // invariants that did not hold
}

func (v *verdict) failf(format string, args ...any) {
	v.wrong = append(v.wrong, fmt.Sprintf(format, args...))
}

func (v *verdict) last() told {
	if len(v.answers) == 0 {
		return told{}
	}
	return v.answers[len(v.answers)-1]
}

// line is the cell's line in the golden file. How often repeatable work ran is
// left out: it hangs on which endpoint was tried first. An agent that thaws has
// an order and a void before it, of which either may come first.
func (v *verdict) line(c cell) string {
	frozen := !c.repeatable && c.step == atOrdering && (c.mishap == agentHeld || c.mishap == everyoneHeld)
	var answers []string
	for _, a := range v.answers {
		if frozen && (a.whole || a.notRun) {
			a.summary = "whole, or not run"
		}
		answers = append(answers, a.summary)
	}
	line := fmt.Sprintf("%-56s %s", c, strings.Join(answers, " → "))
	if !c.repeatable && !frozen {
		line += fmt.Sprintf(" | runs %d", v.runs)
	}
	return line + "\n"
}
