package lifecycle

import "github.com/micarudder/micarudder/result"

// MaxAttempts bounds the orders of one request, the first included.
const MaxAttempts = 4

// Dispatch decides, after each attempt of a request, whether to order it
// again, to go on from what was delivered, or to answer the caller. It keeps
// the evidence of all attempts, so that the last refusal does not hide an
// earlier attempt that may have run.
type Dispatch struct {
	Repeatable bool
	Named      bool   // the caller holds a name (ticket or key) and may present it elsewhere
	Resumable  bool   // another endpoint can go on after a delivered part
	Delivered  uint64 // answer bytes that reached the caller
	Attempts   int    // orders sent so far

	earlier result.Outcome // the worst outcome of attempts that another one followed
}

// Ending is how one attempt ended, with the evidence for its outcome.
type Ending struct {
	Code    result.Code
	Outcome result.Outcome
	// Sealed: the agent has refused this id for the rest of its incarnation.
	Sealed bool
	// Attached: the run belongs to an earlier presentation of the name.
	Attached bool
}

// Step is what the gateway does next.
type Step int

// The steps after an ended attempt.
const (
	StepAnswer    Step = iota // give the caller the ending
	StepAgain                 // order again, with the configuration learned
	StepReattach              // give the same order to the same agent: it runs it at most once
	StepElsewhere             // order from another endpoint, from offset 0
	StepContinue              // order from another endpoint, after the delivered text
	StepRestart               // order from another endpoint; the delivered text is void
	StepVoid                  // ask the agent to seal the id, then answer
)

// String returns the step's name.
func (s Step) String() string {
	return [...]string{"answer", "again", "reattach", "elsewhere", "continue", "restart", "void"}[s]
}

// orders reports whether the step sends another order.
func (s Step) orders() bool { return s != StepAnswer && s != StepVoid }

// Next decides. budget reports whether the workspace may spend another retry.
func (d *Dispatch) Next(e Ending, budget func() bool) Step {
	e = d.evident(e)
	step := d.decide(e, budget)
	if step.orders() {
		d.earlier = worse(d.earlier, e.Outcome)
	}
	return step
}

// Lost reports whether an earlier attempt may have run. An order that may be
// the second of its id must be sealed when it is refused.
func (d *Dispatch) Lost() bool { return weight(d.earlier) > weight(result.NotRun) }

// Claim returns what the caller may be told about execution when e is the
// request's last ending. "Not run" needs evidence for every attempt. A name
// can be presented through several gateways at once, so for a named request
// the only evidence is the agent's seal, and for a repeatable one, which may
// be ordered from another agent under the same name, there is none.
func (d *Dispatch) Claim(e Ending) result.Outcome {
	e = d.evident(e)
	if e.Outcome == result.NotRun && d.Named && (d.Repeatable || !e.Sealed) {
		e.Outcome = result.MayHaveRun
	}
	if e.Outcome == result.NotRun && e.Sealed && !d.Repeatable {
		return result.NotRun // every order of this id went to the agent that sealed it
	}
	return worse(d.earlier, e.Outcome)
}

// evident narrows an ending: an id that only this gateway knows cannot have
// run in an incarnation that is gone, for it was never ordered from it.
func (d *Dispatch) evident(e Ending) Ending {
	if e.Code == result.IncarnationGone && !d.Named {
		e.Outcome = result.NotRun
	}
	return e
}

// worse returns the outcome that says more execution.
func worse(a, b result.Outcome) result.Outcome {
	if weight(a) > weight(b) {
		return a
	}
	return b
}

func weight(o result.Outcome) int {
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

func (d *Dispatch) decide(e Ending, budget func() bool) Step {
	switch e.Outcome {
	case result.Ran:
		return d.afterRun(e, budget)
	case result.NotRun:
		return d.afterRefusal(e, budget)
	default:
		return d.afterLoss(e)
	}
}

// afterLoss: unrepeatable work can only be looked for where it was ordered.
func (d *Dispatch) afterLoss(e Ending) Step {
	if d.Repeatable {
		// An admitted request is not dropped for want of a retry budget; the
		// number of its attempts bounds what it can cost.
		return d.retry(e, unbounded)
	}
	if d.again() && (e.Code == result.AgentLost || e.Code == result.OrderUnanswered) {
		return StepReattach
	}
	return StepAnswer
}

// unbounded is the budget of what must not be dropped.
func unbounded() bool { return true }

// afterRun: the endpoint ended the answer. Another attempt serves a repeatable
// request whose answer is damaged, or was given up before this caller came.
func (d *Dispatch) afterRun(e Ending, budget func() bool) Step {
	if e.Code == result.AnswerDamaged || e.Attached && givenUp(e.Code) {
		return d.retry(e, budget)
	}
	return StepAnswer
}

func (d *Dispatch) afterRefusal(e Ending, budget func() bool) Step {
	switch {
	case e.Code == result.OldGeneration && d.again():
		return StepAgain
	case d.pinned() && !e.Sealed:
		return StepVoid
	case d.pinned(), !d.Repeatable && d.Lost():
		return StepAnswer
	case e.Code == result.Draining:
		return d.move(e, unbounded) // a planned stop drops nothing
	case retryElsewhere(e.Code), e.Attached && givenUp(e.Code):
		return d.move(e, budget)
	default:
		return StepAnswer
	}
}

// retry orders repeatable work once more.
func (d *Dispatch) retry(e Ending, budget func() bool) Step {
	if !d.Repeatable {
		return StepAnswer
	}
	return d.move(e, budget)
}

// move orders from another endpoint if a retry is left.
func (d *Dispatch) move(e Ending, budget func() bool) Step {
	switch {
	case !d.again() || !budget():
		return StepAnswer
	case d.Delivered == 0:
		return StepElsewhere
	case !d.Resumable || e.Code == result.AnswerDamaged:
		return StepRestart
	default:
		return StepContinue
	}
}

// pinned reports whether the name leads to one agent only.
func (d *Dispatch) pinned() bool { return d.Named && !d.Repeatable }

func (d *Dispatch) again() bool { return d.Attempts < MaxAttempts }

// givenUp reports whether a run ended for want of a caller or of time.
func givenUp(c result.Code) bool {
	switch c {
	case result.Canceled, result.DeadlineInAnswer, result.AnswerDropped:
		return true
	default:
		return false
	}
}

// retryElsewhere reports whether another endpoint may accept what one refused.
func retryElsewhere(c result.Code) bool {
	switch c {
	case result.Overloaded, result.DeadlineTooNear, result.Draining, result.RecordsFull,
		result.EndpointRefused, result.Starting, result.MemoryHeld, result.OrderExpired, result.OldGeneration,
		result.IncarnationGone, result.AgentLost:
		return true
	default:
		return false
	}
}
