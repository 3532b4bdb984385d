package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// span is a stretch of time.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool { return !to.Before(s.from) && !from.After(s.to) }

// facts is what the soak knows beside its clients.
type facts struct {
	ledger  *usersplatform.Ledger
	revoked map[string]time.Time // by key: when the operator's write was acknowledged
	owners  map[string]string    // by key
	// unplanned are the stretches in which something failed that was not asked
	// for, with the time that its effects may last.
	unplanned []span
	stops     []span            // from SIGTERM to the process's end
	crashes   []time.Time       // of workers, under the request that ends them
	troubled  map[string][]span // by gateway: it was killed, stopped or frozen
	harmed    map[string][]span // by worker: its answers may have been lost on their way
}

// violations returns what broke a promise, one line each.
func violations(all []asked, f *facts) []string {
	var out []string
	for i := range all {
		a := &all[i]
		for _, problem := range []string{
			checkAnswer(a), checkRuns(a, f), checkKey(a, f), checkPlanned(a, f),
		} {
			if problem != "" {
				out = append(out, fmt.Sprintf("%s (%s by %s, sent %s): %s", a.id, a.kind, a.gateway, a.sent.Format("15:04:05.000"), problem))
			}
		}
	}
	if problem := checkCrashes(all, f); problem != "" {
		out = append(out, problem)
	}
	return out
}

// checkAnswer: a success is the whole answer to the client's own request, with
// its seal, and an answer that ended early does not look whole.
func checkAnswer(a *asked) string {
	expected := want(a.kind, a.id)
	switch {
	case a.status == 0 || a.status/100 != 2:
		if a.seal != "" && a.status/100 != 2 && a.status != 0 {
			return fmt.Sprintf("status %d carries a seal", a.status)
		}
		return ""
	case a.seal != usersplatform.Seal(a.id):
		return "an answer with the seal " + a.seal
	case a.broken == nil && a.body != expected:
		return fmt.Sprintf("a whole answer that is wrong: %q", a.body)
	case !strings.HasPrefix(expected, a.body):
		return fmt.Sprintf("part of an answer that is wrong: %q", a.body)
	}
	return ""
}

// checkRuns: what may run only once does, and what was refused did not run.
func checkRuns(a *asked, f *facts) string {
	runs := f.ledger.Runs(a.id)
	idempotent := a.kind == "safe" || a.kind == "stream" || a.kind == "long"
	switch {
	case !idempotent && len(runs) > 1:
		return fmt.Sprintf("ran %d times", len(runs))
	case len(runs) > maxAttempts:
		return fmt.Sprintf("ran %d times, at most %d sends are allowed", len(runs), maxAttempts)
	case !idempotent && len(runs) > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421):
		return fmt.Sprintf("status %d, but it ran", a.status)
	}
	return ""
}

// maxAttempts is the bound of the soak's routes.
const maxAttempts = 2

// checkKey: nothing runs for a key that was withdrawn too long ago, or for
// another workspace than the key's.
func checkKey(a *asked, f *facts) string {
	for _, r := range f.ledger.Runs(a.id) {
		if r.Workspace != f.owners[a.key] {
			return fmt.Sprintf("ran for workspace %q, its key belongs to %q", r.Workspace, f.owners[a.key])
		}
		at, gone := f.revoked[a.key]
		if gone && a.sent.Sub(at) > revokeAfter {
			return fmt.Sprintf("ran although its key was withdrawn %v before it was sent", a.sent.Sub(at))
		}
	}
	return ""
}

// revokeAfter is how long a withdrawn key may still be used.
const revokeAfter = 3 * time.Second

// checkPlanned: a stop that was asked for cuts no request off.
func checkPlanned(a *asked, f *facts) string {
	if a.broken == nil || a.abandoned || !overlapsAny(f.stops, a) || overlapsAny(f.unplanned, a) {
		return ""
	}
	if len(f.ledger.Runs(a.id)) == 0 && a.status == 0 {
		return "" // its connection was closed before it was read
	}
	if f.ledger.Hung(a.id) {
		return "" // its worker never answered
	}
	return "cut off by a planned stop: " + a.broken.Error()
}

func overlapsAny(spans []span, a *asked) bool {
	for _, s := range spans {
		if s.overlaps(a.sent, a.ended) {
			return true
		}
	}
	return false
}
