package lifecycle

import (
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/result"
)

// TestDrainingNeedsNoBudget: work that a stopping agent gives back goes on
// elsewhere, though the workspace has no retries left.
func TestDrainingNeedsNoBudget(t *testing.T) {
	none := func() bool { return false }
	cases := []struct {
		code       result.Code
		repeatable bool
		attempts   int
		want       Step
	}{
		{result.Draining, true, 1, StepElsewhere},
		{result.Draining, false, 1, StepElsewhere}, // nobody else knows its id
		{result.Draining, true, MaxAttempts, StepAnswer},
		{result.Overloaded, true, 1, StepAnswer},
	}
	for _, c := range cases {
		d := Dispatch{Repeatable: c.repeatable, Attempts: c.attempts}
		is.New(t).Equal(d.Next(Ending{Code: c.code, Outcome: result.NotRun, Sealed: true}, none), c.want)
	}
}
