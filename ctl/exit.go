package ctl

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/micarudder/micarudder/declaration"
	"github.com/micarudder/micarudder/plan"
	"github.com/micarudder/micarudder/result"
)

// Exit is an exit code of the command line. docs/RUDDERCTL.md documents the codes.
type Exit int

// Exit codes. The number of a removed code is never reused.
const (
	ExitOK          Exit = 0
	ExitFailed      Exit = 1
	ExitUsage       Exit = 2
	ExitDeclaration Exit = 3
	ExitBreaks      Exit = 4
	ExitStale       Exit = 5
	ExitUnknown     Exit = 6
	ExitAway        Exit = 7
	ExitSuperseded  Exit = 8
	ExitBack        Exit = 9
	ExitPartial     Exit = 10
	ExitNotFound    Exit = 11
	ExitFiring      Exit = 12
	ExitBroken      Exit = 13
)

// exitCodes holds the descriptions of the exit codes, in numerical order.
var exitCodes = []struct {
	code Exit
	text string
}{
	{ExitOK, "done; for `confirm`: the plan is the accepted configuration"},
	{ExitFailed, "failed for a reason that no other code names"},
	{ExitUsage, "wrong options, arguments or plan file"},
	{ExitDeclaration, "the declarations contain mistakes"},
	{ExitBreaks, "the plan would break a promise that was not forced by name"},
	{ExitStale, "not accepted: another plan took this one's place; plan again"},
	{ExitUnknown, "unknown whether the plan was accepted; ask again with the same plan"},
	{ExitAway, "the platform or all gateways cannot be reached; this command changed nothing"},
	{ExitSuperseded, "the plan was accepted earlier and a later one has replaced it"},
	{ExitBack, "the platform holds an older configuration than one seen before; see docs/ops/plans.md"},
	{ExitPartial, "some gateways did not answer; what is shown is incomplete"},
	{ExitNotFound, "no gateway knows the request"},
	{ExitFiring, "`burn`: an error budget burns so fast that somebody has to act"},
	{ExitBroken, "`load`: a request showed a promise broken"},
}

// exitByResult maps result codes to exit codes.
var exitByResult = map[result.Code]Exit{
	result.OK:             ExitOK,
	result.BadRequest:     ExitUsage,
	result.DeclarationBad: ExitDeclaration,
	result.PlanBreaks:     ExitBreaks,
	result.PlanStale:      ExitStale,
	result.PlanUnknown:    ExitUnknown,
	result.PlatformAway:   ExitAway,
	result.PlanSuperseded: ExitSuperseded,
	result.GenerationBack: ExitBack,
	result.UnknownRun:     ExitNotFound,
}

// errorOutput is the JSON output for an error.
type errorOutput struct {
	Code     result.Code            `json:"code,omitempty"`
	Name     string                 `json:"name"`
	Outcome  string                 `json:"outcome,omitempty"`
	Detail   string                 `json:"detail"`
	Mistakes []*declaration.Mistake `json:"mistakes,omitempty"`
	Theirs   []plan.Change          `json:"theirs,omitempty"`
	Clashes  []string               `json:"clashes,omitempty"`
}

// reportError writes the error, if there is one, and returns the exit code.
func (a *app) reportError(err error) Exit {
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(a.Stdout, help.Message)
		return ExitOK
	}
	if err == nil {
		return a.exit
	}
	code, f := describe(err)
	if a.JSON {
		_ = writeJSON(a.Stderr, map[string]errorOutput{"error": f})
		return code
	}
	a.writeError(err)
	return code
}

// writeError writes an error as text. Mistakes in declarations keep the form
// FILE:LINE: ..., which editors can parse.
func (a *app) writeError(err error) {
	var mistakes declaration.Mistakes
	if errors.As(err, &mistakes) {
		fmt.Fprintln(a.Stderr, mistakes)
		return
	}
	fmt.Fprintln(a.Stderr, "rudderctl:", err)
	var stale *plan.StaleError
	if !errors.As(err, &stale) || len(stale.Theirs) == 0 {
		return
	}
	fmt.Fprintln(a.Stderr, "\naccepted since the plan's base:")
	plan.WriteChanges(a.Stderr, stale.Theirs)
	for _, c := range stale.Conflicts {
		fmt.Fprintf(a.Stderr, "  both change [%s], differently\n", c)
	}
}

// describe returns the exit code and the JSON output for an error.
func describe(err error) (Exit, errorOutput) {
	var (
		mistakes  declaration.Mistakes
		stale     *plan.StaleError
		resultErr *result.Err
		usageErr  *flags.Error
	)
	f := errorOutput{Name: "failed", Detail: err.Error()}
	switch {
	case errors.As(err, &mistakes):
		f.setResult(result.New(result.DeclarationBad, fmt.Sprintf("%d mistakes", len(mistakes))))
		f.Mistakes = mistakes
		return ExitDeclaration, f
	case errors.As(err, &stale):
		f.setResult(stale.Err)
		f.Theirs, f.Clashes = stale.Theirs, stale.Conflicts
		return ExitStale, f
	case errors.As(err, &resultErr):
		f.setResult(resultErr)
		if e, ok := exitByResult[resultErr.Code]; ok {
			return e, f
		}
	case errors.As(err, &usageErr):
		f.Name = "usage"
		return ExitUsage, f
	}
	return ExitFailed, f
}

func (f *errorOutput) setResult(e *result.Err) {
	f.Code, f.Name, f.Outcome, f.Detail = e.Code, e.Code.String(), e.Known().String(), e.Detail
}
