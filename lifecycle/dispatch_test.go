package lifecycle

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/result"
)

func drawEnding(t *rapid.T) Ending {
	code := rapid.SampledFrom(result.All()).Draw(t, "code").Code
	outcome := rapid.SampledFrom([]result.Outcome{result.NotRun, result.Ran, result.MayHaveRun}).Draw(t, "outcome")
	return Ending{
		Code: code, Outcome: outcome,
		Sealed:   outcome == result.NotRun && rapid.Bool().Draw(t, "sealed"),
		Attached: rapid.Bool().Draw(t, "attached"),
	}
}

// TestDispatchRunsOnce: an unrepeatable request is ordered from a second agent
// only while every earlier order certainly did not run and nobody else can
// present its name; and "not run" is said only with evidence for every order.
func TestDispatchRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Dispatch{Repeatable: rapid.Bool().Draw(t, "repeatable"), Named: rapid.Bool().Draw(t, "named"), Resumable: rapid.Bool().Draw(t, "resumable")}
		lost := false
		for {
			d.Attempts++
			e := drawEnding(t)
			d.Delivered = rapid.Uint64Range(0, 1).Draw(t, "delivered")
			step := d.Next(e, func() bool { return true })
			unsure := e.Outcome != result.NotRun && (e.Code != result.IncarnationGone || d.Named)
			if !step.orders() {
				checkClaim(t, &d, e, lost, unsure)
				return
			}
			lost = lost || unsure
			moved := step == StepElsewhere || step == StepContinue || step == StepRestart
			if moved && !d.Repeatable && (lost || d.Named) {
				t.Fatalf("%v of unrepeatable work after %+v", step, e)
			}
			if d.Attempts >= MaxAttempts {
				t.Fatalf("%v after %d attempts", step, d.Attempts)
			}
		}
	})
}

func checkClaim(t *rapid.T, d *Dispatch, e Ending, lost, unsure bool) {
	if d.Claim(e) != result.NotRun {
		return
	}
	sealed := e.Sealed && !d.Repeatable
	if unsure || lost && !sealed || d.Named && !sealed {
		t.Fatalf("\"not run\" after %+v, lost %v, named %v, repeatable %v", e, lost, d.Named, d.Repeatable)
	}
}

// TestDispatchSteps gives the step after each kind of ending.
func TestDispatchSteps(t *testing.T) {
	free, once, named := Dispatch{Repeatable: true, Resumable: true}, Dispatch{}, Dispatch{Named: true}
	half := Dispatch{Repeatable: true, Resumable: true, Delivered: 8}
	call := Dispatch{Repeatable: true, Delivered: 8}
	cases := []struct {
		name string
		d    Dispatch
		e    Ending
		want Step
	}{
		{"whole", free, Ending{Code: result.OK, Outcome: result.Ran}, StepAnswer},
		{"full", free, Ending{Code: result.Overloaded, Outcome: result.NotRun}, StepElsewhere},
		{"full, once", once, Ending{Code: result.Overloaded, Outcome: result.NotRun}, StepElsewhere},
		{"full, named", named, Ending{Code: result.Overloaded, Outcome: result.NotRun}, StepVoid},
		{"full, sealed", named, Ending{Code: result.Overloaded, Outcome: result.NotRun, Sealed: true}, StepAnswer},
		{"voided", free, Ending{Code: result.TicketVoided, Outcome: result.NotRun, Sealed: true}, StepAnswer},
		{"lost", free, Ending{Code: result.AgentLost, Outcome: result.MayHaveRun}, StepElsewhere},
		{"lost, once", once, Ending{Code: result.AgentLost, Outcome: result.MayHaveRun}, StepReattach},
		{"endpoint lost, once", once, Ending{Code: result.EndpointLost, Outcome: result.MayHaveRun}, StepAnswer},
		{"lost in the answer", half, Ending{Code: result.AgentLost, Outcome: result.MayHaveRun}, StepContinue},
		{"lost in a call's answer", call, Ending{Code: result.AgentLost, Outcome: result.MayHaveRun}, StepRestart},
		{"damaged", half, Ending{Code: result.AnswerDamaged, Outcome: result.Ran}, StepRestart},
		{"given up before", free, Ending{Code: result.Canceled, Outcome: result.Ran, Attached: true}, StepElsewhere},
		{"old configuration", named, Ending{Code: result.OldGeneration, Outcome: result.NotRun}, StepAgain},
		{"stale ticket of its own", once, Ending{Code: result.IncarnationGone, Outcome: result.MayHaveRun}, StepElsewhere},
		{"stale ticket", named, Ending{Code: result.IncarnationGone, Outcome: result.MayHaveRun}, StepAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.d.Next(c.e, func() bool { return true }), c.want)
		})
	}
}

// TestLaterRefusal: a refusal does not hide an earlier attempt that may have run.
func TestLaterRefusal(t *testing.T) {
	is := is.New(t)
	d := Dispatch{Repeatable: true, Resumable: true, Attempts: 1}
	is.Equal(d.Next(Ending{Code: result.AgentLost, Outcome: result.MayHaveRun}, func() bool { return true }), StepElsewhere)
	is.Equal(d.Claim(Ending{Code: result.Overloaded, Outcome: result.NotRun}), result.MayHaveRun)
}

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
