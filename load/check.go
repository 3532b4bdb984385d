package load

import "time"

// Breach names a guarantee that was violated according to a request's record.
type Breach string

// Kinds of breaches.
const (
	BreachLost        Breach = "lost"          // admitted or sent, but no outcome arrived
	BreachCutOff      Breach = "cut-off"       // the answer ended early without an outcome
	BreachDamaged     Breach = "damaged"       // the answer belongs to another request or has a gap
	BreachDoubled     Breach = "doubled"       // a non-repeatable request ran more than once
	BreachFalseNotRun Breach = "false-not-run" // reported as "not run", but it ran
	BreachPhantom     Breach = "phantom"       // a complete answer, but no executor recorded a run
	BreachLate        Breach = "late"          // ended after its deadline plus lateAllowance
)

// Breaches lists all kinds of breaches in the order used in reports.
var Breaches = []Breach{BreachLost, BreachCutOff, BreachDamaged, BreachDoubled, BreachFalseNotRun, BreachPhantom, BreachLate}

// lateAllowance is how long after the deadline an outcome may still arrive. It
// covers transport and scheduling delays on a loaded machine.
const lateAllowance = 2 * time.Second

// Check returns the breaches found in a record. Execution counts are checked
// only if the records of all executors are available.
func Check(r Record) []Breach {
	out := checkEnd(r)
	if r.Executions >= 0 {
		out = append(out, checkExecutions(r)...)
	}
	if r.Final != Unsent && r.Took() > r.Deadline+lateAllowance {
		out = append(out, BreachLate)
	}
	return out
}

func checkEnd(r Record) []Breach {
	switch r.Final {
	case Lost:
		return []Breach{BreachLost}
	case CutOff:
		return []Breach{BreachCutOff}
	case Damaged:
		return []Breach{BreachDamaged}
	default:
		return nil
	}
}

func checkExecutions(r Record) []Breach {
	var out []Breach
	// Each resubmission as a new request permits one more run.
	permitted := 1 + r.Anew
	if !r.Repeatable && r.Executions > permitted {
		out = append(out, BreachDoubled)
	}
	if r.Final == Refused && r.Anew == 0 && r.Executions > 0 {
		out = append(out, BreachFalseNotRun)
	}
	if r.Final == Whole && r.Executions == 0 {
		out = append(out, BreachPhantom)
	}
	return out
}
