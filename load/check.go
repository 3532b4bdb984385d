package load

import "time"

// Breach names a promise that a request's record shows to be broken.
type Breach string

// The breaches.
const (
	BreachLost        Breach = "lost"          // admitted or sent, and no outcome ever came
	BreachCutOff      Breach = "cut-off"       // the answer broke off without an outcome
	BreachDamaged     Breach = "damaged"       // the answer is another's or has a gap
	BreachDoubled     Breach = "doubled"       // an unrepeatable request ran more than once
	BreachFalseNotRun Breach = "false-not-run" // told "not run", and it ran
	BreachPhantom     Breach = "phantom"       // a whole answer that no executor ran
	BreachLate        Breach = "late"          // ended after its deadline and the allowance
)

// Breaches lists all breaches in the order of reports.
var Breaches = []Breach{BreachLost, BreachCutOff, BreachDamaged, BreachDoubled, BreachFalseNotRun, BreachPhantom, BreachLate}

// lateAllowance is how far past its deadline an outcome may arrive: transport
// and scheduling on a loaded machine.
const lateAllowance = 2 * time.Second

// Check returns the promises that the record shows to be broken. Counts of
// executions are judged only when every executor could be asked.
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
	// A caller that submitted anew asked for each of these runs itself.
	asked := 1 + r.Anew
	if !r.Repeatable && r.Executions > asked {
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
