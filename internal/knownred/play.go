package knownred

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
)

// Plays is how often a listed test is played. One that passes each time no longer belongs on the list:
// a failure that is rarer needs a test that provokes it.
const Plays = 20

// Result is what became of the plays of a listed test; they end with the first failure.
type Result struct {
	Passed int
	Failed bool
	Output string
}

// Play plays the test of an entry in the tree at dir.
func Play(ctx context.Context, dir string, e Entry) Result {
	args := append([]string{"test", e.Package, "-v", "-failfast", fmt.Sprintf("-count=%d", Plays), "-run", e.Pattern()}, e.Flags...)
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	name := strings.Join(e.Test, "/")
	return Result{Passed: countEnds(string(out), "PASS", name), Failed: err != nil && countEnds(string(out), "FAIL", name) > 0, Output: string(out)}
}

// countEnds counts the lines that report this end of a test.
func countEnds(output, end, name string) int {
	n := 0
	for line := range strings.Lines(output) {
		if strings.HasPrefix(strings.TrimSpace(line), "--- "+end+": "+name+" (") {
			n++
		}
	}
	return n
}

// Check returns why an entry must not stand on the list, or nil if its test fails as the entry says.
func (r Result) Check(e Entry) error {
	name := strings.Join(e.Test, "/")
	switch {
	case r.Failed:
		return nil
	case r.Passed == 0:
		return fmt.Errorf("%s: there is no such test, or it could not be played:\n%s", name, r.Output)
	case r.Passed >= Plays:
		return fmt.Errorf("%s: passed %d of %d times; take its entry out, or name a test that provokes the failure", name, r.Passed, Plays)
	default:
		return fmt.Errorf("%s: passed %d times and did not end:\n%s", name, r.Passed, r.Output)
	}
}
