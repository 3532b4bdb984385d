package lifecycle

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/result"
)

func drawEnding(t *rapid.T) AttemptResult {
	code := rapid.SampledFrom(result.All()).Draw(t, "code").Code
	outcome := rapid.SampledFrom([]result.Outcome{result.NotRun, result.Ran, result.MayHaveRun}).Draw(t, "outcome")
	return AttemptResult{
		Code: code, Outcome: outcome,
		Sealed:   outcome == result.NotRun && rapid.Bool().Draw(t, "sealed"),
		Attached: rapid.Bool().Draw(t, "attached"),
	}
}

// TestDispatchRunsOnce checks that an unrepeatable request is sent to another
// agent only if no earlier order can have run and the caller has no name for it
// to present elsewhere, and that "not run" is claimed only with evidence for
// every order.
func TestDispatchRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Dispatch{Repeatable: rapid.Bool().Draw(t, "repeatable"), HasName: rapid.Bool().Draw(t, "named"), Resumable: rapid.Bool().Draw(t, "resumable")}
		lost := false
		for {
			d.Attempts++
			e := drawEnding(t)
			d.Delivered = rapid.Uint64Range(0, 1).Draw(t, "delivered")
			step := d.Next(e, func() bool { return true })
			mayHaveRun := e.Outcome != result.NotRun && (e.Code != result.IncarnationGone || d.HasName)
			if !step.sendsOrder() {
				checkClaim(t, &d, e, lost, mayHaveRun)
				return
			}
			lost = lost || mayHaveRun
			switched := step == StepElsewhere || step == StepContinue || step == StepRestart
			if switched && !d.Repeatable && (lost || d.HasName) {
				t.Fatalf("%v of unrepeatable work after %+v", step, e)
			}
			if d.Attempts >= MaxAttempts {
				t.Fatalf("%v after %d attempts", step, d.Attempts)
			}
		}
	})
}

func checkClaim(t *rapid.T, d *Dispatch, e AttemptResult, lost, mayHaveRun bool) {
	if d.ReportableOutcome(e) != result.NotRun {
		return
	}
	sealed := e.Sealed && !d.Repeatable
	if mayHaveRun || lost && !sealed || d.HasName && !sealed {
		t.Fatalf("\"not run\" after %+v, lost %v, named %v, repeatable %v", e, lost, d.HasName, d.Repeatable)
	}
}

// TestDispatchSteps checks the step after each kind of ending.
func TestDispatchSteps(t *testing.T) {
	repeatable, unrepeatable, named := Dispatch{Repeatable: true, Resumable: true}, Dispatch{}, Dispatch{HasName: true}
	partlyDelivered := Dispatch{Repeatable: true, Resumable: true, Delivered: 8}
	serviceCall := Dispatch{Repeatable: true, Delivered: 8}
	cases := []struct {
		name string
		d    Dispatch
		e    AttemptResult
		want Step
	}{
		{"complete response", repeatable, AttemptResult{Code: result.OK, Outcome: result.Ran}, StepRespond},
		{"overloaded", repeatable, AttemptResult{Code: result.Overloaded, Outcome: result.NotRun}, StepElsewhere},
		{"overloaded, unrepeatable", unrepeatable, AttemptResult{Code: result.Overloaded, Outcome: result.NotRun}, StepElsewhere},
		{"overloaded, named", named, AttemptResult{Code: result.Overloaded, Outcome: result.NotRun}, StepVoid},
		{"overloaded, sealed", named, AttemptResult{Code: result.Overloaded, Outcome: result.NotRun, Sealed: true}, StepRespond},
		{"voided", repeatable, AttemptResult{Code: result.TicketVoided, Outcome: result.NotRun, Sealed: true}, StepRespond},
		{"agent lost", repeatable, AttemptResult{Code: result.AgentLost, Outcome: result.MayHaveRun}, StepElsewhere},
		{"agent lost, unrepeatable", unrepeatable, AttemptResult{Code: result.AgentLost, Outcome: result.MayHaveRun}, StepReattach},
		{"endpoint lost, unrepeatable", unrepeatable, AttemptResult{Code: result.EndpointLost, Outcome: result.MayHaveRun}, StepRespond},
		{"agent lost during the response", partlyDelivered, AttemptResult{Code: result.AgentLost, Outcome: result.MayHaveRun}, StepContinue},
		{"agent lost during the response of a service call", serviceCall, AttemptResult{Code: result.AgentLost, Outcome: result.MayHaveRun}, StepRestart},
		{"damaged response", partlyDelivered, AttemptResult{Code: result.AnswerDamaged, Outcome: result.Ran}, StepRestart},
		{"canceled by an earlier caller", repeatable, AttemptResult{Code: result.Canceled, Outcome: result.Ran, Attached: true}, StepElsewhere},
		{"old configuration", named, AttemptResult{Code: result.OldGeneration, Outcome: result.NotRun}, StepResend},
		{"stale ID known to this gateway only", unrepeatable, AttemptResult{Code: result.IncarnationGone, Outcome: result.MayHaveRun}, StepElsewhere},
		{"stale ticket", named, AttemptResult{Code: result.IncarnationGone, Outcome: result.MayHaveRun}, StepRespond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.d.Next(c.e, func() bool { return true }), c.want)
		})
	}
}

// TestRefusalKeepsEarlierOutcome checks that a refusal does not hide an earlier
// attempt that may have run.
func TestRefusalKeepsEarlierOutcome(t *testing.T) {
	is := is.New(t)
	d := Dispatch{Repeatable: true, Resumable: true, Attempts: 1}
	is.Equal(d.Next(AttemptResult{Code: result.AgentLost, Outcome: result.MayHaveRun}, func() bool { return true }), StepElsewhere)
	is.Equal(d.ReportableOutcome(AttemptResult{Code: result.Overloaded, Outcome: result.NotRun}), result.MayHaveRun)
}

// TestDrainingNeedsNoBudget checks that a request refused by a draining agent is
// retried on another endpoint even if the workspace's retry budget is used up.
func TestDrainingNeedsNoBudget(t *testing.T) {
	none := func() bool { return false }
	cases := []struct {
		code       result.Code
		repeatable bool
		attempts   int
		want       Step
	}{
		{result.Draining, true, 1, StepElsewhere},
		{result.Draining, false, 1, StepElsewhere}, // only this gateway knows its ID
		{result.Draining, true, MaxAttempts, StepRespond},
		{result.Overloaded, true, 1, StepRespond},
	}
	for _, c := range cases {
		d := Dispatch{Repeatable: c.repeatable, Attempts: c.attempts}
		is.New(t).Equal(d.Next(AttemptResult{Code: c.code, Outcome: result.NotRun, Sealed: true}, none), c.want)
	}
}
