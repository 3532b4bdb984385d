package e2e

import (
	"fmt"
	"strings"
)

// step is a point in a request's life cycle at which a failure happens.
type step string

// The steps of the life cycle in order.
const (
	atOrdering  step = "ordering"  // before the caller sends the request, hence before its order
	atOrdered   step = "ordered"   // the order has reached the agent's server
	atQueued    step = "queued"    // admitted and waiting for the endpoint
	atStarted   step = "started"   // the agent's request has reached the endpoint's server
	atAnswering step = "answering" // the endpoint is in the middle of its answer
	atEnded     step = "ended"     // the agent has received the end of the endpoint's answer
	atDelivered step = "delivered" // the caller has received the whole answer
)

var steps = []step{atOrdering, atOrdered, atQueued, atStarted, atAnswering, atEnded, atDelivered}

// failureKind is what fails at a step.
type failureKind string

// The kinds of failure.
const (
	gatewayDies        failureKind = "gateway dies"
	gatewayFrozen      failureKind = "gateway frozen"
	agentDies          failureKind = "agent dies"
	agentFrozen        failureKind = "agent frozen"
	endpointDies       failureKind = "endpoint dies"
	endpointFrozen     failureKind = "endpoint frozen"
	connectionCut      failureKind = "connection cut"
	orderDuplicated    failureKind = "order doubled"
	orderLate          failureKind = "order late"
	platformRefuses    failureKind = "platform refuses"
	platformFrozen     failureKind = "platform frozen"
	platformAnswerLost failureKind = "platform answer lost"
	platformWriteLost  failureKind = "platform write lost"
	allAgentsFrozen    failureKind = "all agents frozen"
	gatewayAndAgentDie failureKind = "gateway and agent die"
)

var failureKinds = []failureKind{
	gatewayDies, gatewayFrozen, agentDies, agentFrozen, endpointDies, endpointFrozen,
	connectionCut, orderDuplicated, orderLate, allAgentsFrozen, gatewayAndAgentDie,
}

// platformFailures apply only where the platform is called: for a bare key,
// before the order and when the caller presents the request again.
var platformFailures = []failureKind{platformRefuses, platformFrozen, platformAnswerLost, platformWriteLost}

// naming is how the caller identifies its request.
type naming string

// The ways to identify a request.
const (
	withoutName naming = "none"
	byTicket    naming = "ticket"
	byKey       naming = "key"
)

// cell is one combination of the kill matrix.
type cell struct {
	step       step
	failure    failureKind
	call       bool // a service call if true, otherwise a completion
	repeatable bool
	naming     naming
}

func (c cell) String() string {
	kind, repeat := "completion", "once"
	if c.call {
		kind = "call"
	}
	if c.repeatable {
		repeat = "repeatable"
	}
	return fmt.Sprintf("%s/%s/%s/%s/%s", c.step, c.failure, kind, repeat, c.naming)
}

// cells lists all cells of the matrix.
func cells() []cell {
	var out []cell
	for _, s := range steps {
		for _, m := range failureKinds {
			if s == atOrdering && (m == orderDuplicated || m == orderLate) {
				continue // there is no order yet
			}
			out = append(out, variants(s, m)...)
		}
	}
	for _, m := range platformFailures {
		out = append(out, variants(atOrdering, m)...)
		out = append(out, variants(atDelivered, m)...)
	}
	return out
}

func variants(s step, m failureKind) []cell {
	var out []cell
	for _, call := range []bool{false, true} {
		for _, repeatable := range []bool{false, true} {
			for _, n := range []naming{withoutName, byTicket, byKey} {
				out = append(out, cell{s, m, call, repeatable, n})
			}
		}
	}
	return out
}

// presentationResult is the answer to one presentation of the request.
type presentationResult struct {
	whole   bool
	notRun  bool
	restart bool
	text    string // all text that the caller has received so far
	summary string // for the golden file
	code    int
}

// cellResult is the outcome of one cell.
type cellResult struct {
	answers    []presentationResult
	runs       int // executions counted by the endpoints
	resumes    int
	violations []string // violated invariants
}

func (v *cellResult) failf(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

func (v *cellResult) last() presentationResult {
	if len(v.answers) == 0 {
		return presentationResult{}
	}
	return v.answers[len(v.answers)-1]
}

// goldenLine formats the cell's line of the golden file. The number of runs of
// repeatable work is left out because it depends on which endpoint was tried
// first. A thawed agent has both an order and a void waiting, and either may be
// handled first.
func (v *cellResult) goldenLine(c cell) string {
	orderUncertain := !c.repeatable && c.step == atOrdering && (c.failure == agentFrozen || c.failure == allAgentsFrozen)
	var answers []string
	for _, a := range v.answers {
		if orderUncertain && (a.whole || a.notRun) {
			a.summary = "whole, or not run"
		}
		answers = append(answers, a.summary)
	}
	line := fmt.Sprintf("%-56s %s", c, strings.Join(answers, " → "))
	if !c.repeatable && !orderUncertain {
		line += fmt.Sprintf(" | runs %d", v.runs)
	}
	return line + "\n"
}
