package lifecycle

import "github.com/micarudder/micarudder/result"

// MaxAttempts bounds the orders of one request, the first included.
const MaxAttempts = 4

// Dispatch decides, after each attempt of a request, whether to order it
// again, to go on from what was delivered, or to answer the caller.
type Dispatch struct {
	Repeatable bool
	Named      bool   // the caller holds a name (ticket or key) and may present it elsewhere
	Pinned     bool   // the name leads to one agent only
	Delivered  uint64 // answer bytes that reached the caller
	Attempts   int    // orders sent so far
}

// Ending is how one attempt ended, with the evidence for its outcome.
type Ending struct {
	Code    result.Code
	Outcome result.Outcome
	// Sealed: the agent has refused this id for the rest of its incarnation.
	Sealed bool
}

// Step is what the gateway does next.
type Step int

// The steps after an ended attempt.
const (
	StepAnswer    Step = iota // give the caller the ending
	StepElsewhere             // order from another endpoint, from offset 0
	StepContinue              // order from another endpoint, after the delivered text
	StepVoid                  // ask the agent to seal the id, then decide again
)

// Next decides. budget reports whether the workspace may spend another retry.
func (d *Dispatch) Next(e Ending, budget func() bool) Step {
	switch e.Outcome {
	case result.Ran:
		return d.afterRun(e, budget)
	case result.NotRun:
		return d.afterRefusal(e, budget)
	default:
		return d.afterLoss()
	}
}

// afterRun: the endpoint ended the answer. Only damage of a repeatable answer
// is worth another attempt.
func (d *Dispatch) afterRun(e Ending, budget func() bool) Step {
	if e.Code == result.AnswerDamaged && d.Repeatable && d.again() && budget() {
		return d.elsewhere()
	}
	return StepAnswer
}

func (d *Dispatch) afterRefusal(e Ending, budget func() bool) Step {
	if d.Named && !d.Repeatable && !e.Sealed {
		return StepVoid
	}
	if d.Pinned || !retryElsewhere(e.Code) || !d.again() || !budget() {
		return StepAnswer
	}
	return d.elsewhere()
}

// afterLoss: an admitted request is not dropped for want of a retry budget;
// the number of its attempts bounds what it can cost.
func (d *Dispatch) afterLoss() Step {
	if !d.Repeatable || !d.again() {
		return StepAnswer
	}
	return d.elsewhere()
}

func (d *Dispatch) again() bool { return d.Attempts < MaxAttempts }

func (d *Dispatch) elsewhere() Step {
	if d.Delivered > 0 {
		return StepContinue
	}
	return StepElsewhere
}

// retryElsewhere reports whether another endpoint may accept what one refused.
func retryElsewhere(c result.Code) bool {
	switch c {
	case result.Overloaded, result.DeadlineTooNear, result.Draining, result.RecordsFull,
		result.EndpointRefused, result.Starting, result.MemoryHeld, result.OrderExpired, result.OldGeneration:
		return true
	default:
		return false
	}
}
