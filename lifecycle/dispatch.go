package lifecycle

import "github.com/micarudder/micarudder/result"

// MaxAttempts bounds the orders sent for one request, including the first.
const MaxAttempts = 4

// Dispatch decides after each attempt of a request whether to send another
// order, to resume after the delivered part of the response, or to answer the
// caller. It records the outcomes of all attempts, so that a final refusal does
// not hide an earlier attempt that may have run.
type Dispatch struct {
	Repeatable bool // the request is idempotent
	// HasName is set if the caller has a name for the request, a ticket or an
	// idempotency key, and may present it to other gateways too.
	HasName   bool
	Resumable bool   // another endpoint can continue a partly delivered response
	Delivered uint64 // response bytes delivered to the caller
	Attempts  int    // orders sent so far

	// earlier is the strongest claim of execution among the attempts that were
	// followed by another one.
	earlier result.Outcome
}

// AttemptResult describes how an attempt ended, with the evidence for its outcome.
type AttemptResult struct {
	Code    result.Code
	Outcome result.Outcome
	// Sealed reports that the agent refuses this ID for the rest of its
	// incarnation.
	Sealed bool
	// Attached reports that the run was started by an earlier request with the
	// same name.
	Attached bool
}

// Step is the next action of the gateway.
type Step int

// The steps after an attempt has ended.
const (
	StepRespond   Step = iota // respond to the caller with the ending
	StepResend                // send the order again with the configuration learned meanwhile
	StepReattach              // send the same order to the same agent, which runs it at most once
	StepElsewhere             // send the order to another endpoint, from offset 0
	StepContinue              // send the order to another endpoint, resuming after the delivered text
	StepRestart               // send the order to another endpoint; the delivered text is invalid
	StepVoid                  // ask the agent to seal the ID, then respond
)

// String returns the name of the step.
func (s Step) String() string {
	return [...]string{"answer", "again", "reattach", "elsewhere", "continue", "restart", "void"}[s]
}

// sendsOrder reports whether the step sends another order.
func (s Step) sendsOrder() bool { return s != StepRespond && s != StepVoid }

// Next returns the step that follows an attempt. budget reports whether the
// retry budget of the workspace permits another retry.
func (d *Dispatch) Next(e AttemptResult, budget func() bool) Step {
	e = d.applyEvidence(e)
	step := d.decide(e, budget)
	if step.sendsOrder() {
		d.earlier = moreExecuted(d.earlier, e.Outcome)
	}
	return step
}

// EarlierMayHaveRun reports whether an earlier attempt may have run. If so, the next order
// may be the second one with this ID, and the agent must seal the ID if it
// refuses that order.
func (d *Dispatch) EarlierMayHaveRun() bool {
	return executionRank(d.earlier) > executionRank(result.NotRun)
}

// ReportableOutcome returns the outcome that the caller may be told if e is the last ending
// of the request. "Not run" requires evidence for every attempt. A name can be
// presented to several gateways at once, so the only evidence for a named
// request is the seal of the agent. A named repeatable request may be sent to
// another agent under the same name, so for it there is no evidence at all.
func (d *Dispatch) ReportableOutcome(e AttemptResult) result.Outcome {
	e = d.applyEvidence(e)
	if e.Outcome == result.NotRun && d.HasName && (d.Repeatable || !e.Sealed) {
		e.Outcome = result.MayHaveRun
	}
	if e.Outcome == result.NotRun && e.Sealed && !d.Repeatable {
		return result.NotRun // every order with this ID went to the agent that sealed it
	}
	return moreExecuted(d.earlier, e.Outcome)
}

// applyEvidence makes the outcome of an ending more precise: an ID that only
// this gateway knows cannot have run in an earlier incarnation of the agent,
// because it was never sent to that incarnation.
func (d *Dispatch) applyEvidence(e AttemptResult) AttemptResult {
	if e.Code == result.IncarnationGone && !d.HasName {
		e.Outcome = result.NotRun
	}
	return e
}

// moreExecuted returns the outcome with the stronger claim of execution.
func moreExecuted(a, b result.Outcome) result.Outcome {
	if executionRank(a) > executionRank(b) {
		return a
	}
	return b
}

// executionRank orders outcomes by how strongly they claim execution.
func executionRank(o result.Outcome) int {
	switch o {
	case result.Ran:
		return 3
	case result.MayHaveRun:
		return 2
	case result.NotRun:
		return 1
	default:
		return 0
	}
}

func (d *Dispatch) decide(e AttemptResult, budget func() bool) Step {
	switch e.Outcome {
	case result.Ran:
		return d.afterRun(e, budget)
	case result.NotRun:
		return d.afterRefusal(e, budget)
	default:
		return d.afterUnknown(e)
	}
}

// afterUnknown returns the step after an attempt that may have run. The run of a
// request that is not repeatable can only be queried at the agent that received
// the order.
func (d *Dispatch) afterUnknown(e AttemptResult) Step {
	if d.Repeatable {
		// An admitted request does not fail because the retry budget is used up;
		// MaxAttempts bounds its cost.
		return d.retryRepeatable(e, unlimitedBudget)
	}
	if d.attemptsLeft() && (e.Code == result.AgentLost || e.Code == result.OrderUnanswered) {
		return StepReattach
	}
	return StepRespond
}

// unlimitedBudget is the retry budget of requests that must not be dropped.
func unlimitedBudget() bool { return true }

// afterRun returns the step after an attempt that ran to its end. A repeatable
// request is retried if its response is damaged, or if the run belongs to an
// earlier request with the same name and was abandoned.
func (d *Dispatch) afterRun(e AttemptResult, budget func() bool) Step {
	if e.Code == result.AnswerDamaged || e.Attached && abandoned(e.Code) {
		return d.retryRepeatable(e, budget)
	}
	return StepRespond
}

// afterRefusal returns the step after an attempt that did not run.
func (d *Dispatch) afterRefusal(e AttemptResult, budget func() bool) Step {
	switch {
	case e.Code == result.OldGeneration && d.attemptsLeft():
		return StepResend
	case d.pinned() && !e.Sealed:
		return StepVoid
	case d.pinned(), !d.Repeatable && d.EarlierMayHaveRun():
		return StepRespond
	case e.Code == result.Draining:
		return d.switchEndpoint(e, unlimitedBudget) // a planned shutdown must not drop requests
	case retryableElsewhere(e.Code), e.Attached && abandoned(e.Code):
		return d.switchEndpoint(e, budget)
	default:
		return StepRespond
	}
}

// retryRepeatable retries a repeatable request on another endpoint.
func (d *Dispatch) retryRepeatable(e AttemptResult, budget func() bool) Step {
	if !d.Repeatable {
		return StepRespond
	}
	return d.switchEndpoint(e, budget)
}

// switchEndpoint sends the order to another endpoint if attempts and budget
// permit a retry.
func (d *Dispatch) switchEndpoint(e AttemptResult, budget func() bool) Step {
	switch {
	case !d.attemptsLeft() || !budget():
		return StepRespond
	case d.Delivered == 0:
		return StepElsewhere
	case !d.Resumable || e.Code == result.AnswerDamaged:
		return StepRestart
	default:
		return StepContinue
	}
}

// pinned reports whether all orders under the name go to the same agent.
func (d *Dispatch) pinned() bool { return d.HasName && !d.Repeatable }

// attemptsLeft reports whether the request may be ordered again.
func (d *Dispatch) attemptsLeft() bool { return d.Attempts < MaxAttempts }

// abandoned reports whether a run ended because its caller left or its time ran
// out.
func abandoned(c result.Code) bool {
	switch c {
	case result.Canceled, result.DeadlineInAnswer, result.AnswerDropped:
		return true
	default:
		return false
	}
}

// retryableElsewhere reports whether another endpoint may accept a request that
// one endpoint refused with this code.
func retryableElsewhere(c result.Code) bool {
	switch c {
	case result.Overloaded, result.DeadlineTooNear, result.Draining, result.RecordsFull,
		result.EndpointRefused, result.Starting, result.MemoryHeld, result.OrderExpired, result.OldGeneration,
		result.IncarnationGone, result.AgentLost:
		return true
	default:
		return false
	}
}
