package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// interval is a time interval, both ends included.
type interval struct{ from, to time.Time }

func (s interval) overlaps(from, to time.Time) bool { return !to.Before(s.from) && !from.After(s.to) }

// facts holds what the soak knows besides the observations of its clients.
type facts struct {
	ledger  *usersplatform.Ledger
	revoked map[string]time.Time // by key: when the operator's write was acknowledged
	owners  map[string]string    // by key
	// unplanned holds the intervals of faults that are not graceful, extended by the time for which
	// their effects may last.
	unplanned []interval
	stops     []interval  // from SIGTERM to the end of the process
	crashes   []time.Time // of workers, caused by the crashing requests
	// crashLimit is the number of crashes after which undisturbed gateways must send no more of them.
	crashLimit int
	// preferred are the intervals in which most new connections went to one gateway.
	preferred []interval
	disrupted map[string][]interval // by gateway: it was killed, stopped, frozen or suspended
	lossy     map[string][]interval // by worker: its responses may have been lost in transit
	// held holds, by worker, the intervals in which bytes to it were held back, each until they were
	// delivered.
	held map[string][]interval
	// evacuations are the intervals from the acknowledgement of each evacuation to its end.
	evacuations    []interval
	storeDisrupted []interval        // the store was not usable as usual
	dataCentres    map[string]string // by worker
	memory         map[string]int64  // by gateway: the most that it occupied
	ended          map[string]bool   // gateways that ended by themselves
}

// violations returns the violated guarantees, one line each.
func violations(all []request, f *facts) []string {
	var out []string
	for i := range all {
		a := &all[i]
		// Where a worker sent without end, a part of that may have been passed on before the response broke off.
		if flooded := f.ledger.Flooded(a.id) && a.err != nil; !flooded {
			if problem := checkAnswer(a); problem != "" {
				out = append(out, describe(a, problem))
			}
		}
		for _, problem := range []string{
			checkRuns(a, f), checkKey(a, f), checkPlanned(a, f),
		} {
			if problem != "" {
				out = append(out, describe(a, problem))
			}
		}
	}
	for _, problem := range []string{checkCrashes(all, f), checkLeft(all, f)} {
		if problem != "" {
			out = append(out, problem)
		}
	}
	return out
}

// describe returns what is wrong with a request, and which one it is.
func describe(a *request, problem string) string {
	return fmt.Sprintf("%s (%s by %s, sent %s): %s", a.id, a.kind, a.gateway, a.sent.Format(recordTime), problem)
}

const (
	// leaveNoticeTime is how long after a client has left its request may still reach a worker, and
	// maxRunsAfterLeave how many may do so later.
	leaveNoticeTime   = 500 * time.Millisecond
	maxRunsAfterLeave = 3
)

// checkLeft verifies that undisturbed gateways send nothing for clients that have left, unless bytes to the
// worker were held back.
func checkLeft(all []request, f *facts) string {
	var late []string
	for _, a := range all {
		if !a.abandoned || a.err == nil {
			continue
		}
		for _, run := range f.ledger.Runs(a.id) {
			if run.At.Sub(a.ended) > leaveNoticeTime && f.undisturbed(a.gateway, run.At) && !overlapsAny(f.held[run.Worker], run.At, run.At) {
				late = append(late, a.id)
			}
		}
	}
	if len(late) <= maxRunsAfterLeave {
		return ""
	}
	return fmt.Sprintf("%d requests ran over %v after their clients had left: %v", len(late), leaveNoticeTime, late)
}

// checkAnswer verifies that a success is the complete response to the client's own request, with
// its seal, and that a truncated response does not look complete.
func checkAnswer(a *request) string {
	expected := expectedBody(a.kind, a.id)
	switch {
	case a.status == 0 || a.status/100 != 2:
		if a.seal != "" && a.status/100 != 2 && a.status != 0 {
			return fmt.Sprintf("response with status %d carries a seal", a.status)
		}
		return ""
	case a.seal != usersplatform.Seal(a.id):
		return "response with the wrong seal " + a.seal
	case a.err == nil && a.body != expected:
		return fmt.Sprintf("complete response with a wrong body: %q", a.body)
	case !strings.HasPrefix(expected, a.body):
		return fmt.Sprintf("truncated response with a wrong body: %q", a.body)
	}
	return ""
}

// checkRuns verifies that requests that are not idempotent run at most once, and that refused ones
// did not run.
func checkRuns(a *request, f *facts) string {
	runs := f.ledger.Runs(a.id)
	idempotent := a.kind == "safe" || a.kind == "stream" || a.kind == "long"
	switch {
	case !idempotent && len(runs) > 1:
		return fmt.Sprintf("ran %d times", len(runs))
	case len(runs) > maxAttempts:
		return fmt.Sprintf("ran %d times, at most %d attempts are allowed", len(runs), maxAttempts)
	case !idempotent && len(runs) > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421):
		return fmt.Sprintf("status %d, but it ran", a.status)
	}
	return ""
}

// maxAttempts is the limit of attempts on the soak's routes.
const maxAttempts = 2

// checkKey verifies that nothing runs for a key that was withdrawn more than revokeAfter earlier,
// or for a workspace other than the key's.
func checkKey(a *request, f *facts) string {
	for _, r := range f.ledger.Runs(a.id) {
		if r.Workspace != f.owners[a.key] {
			return fmt.Sprintf("ran for workspace %q, but its key belongs to %q", r.Workspace, f.owners[a.key])
		}
		at, revoked := f.revoked[a.key]
		if revoked && a.sent.Sub(at) > revokeAfter {
			return fmt.Sprintf("ran although its key was withdrawn %v before it was sent", a.sent.Sub(at))
		}
	}
	return ""
}

// revokeAfter is how long a withdrawn key may still be accepted.
const revokeAfter = 3 * time.Second

// lossSlack is the time after which a request that was sent counts as read by its gateway.
const lossSlack = 200 * time.Millisecond

// checkPlanned verifies that a graceful stop interrupts no request.
func checkPlanned(a *request, f *facts) string {
	if a.err == nil || a.abandoned || !overlapsRequest(f.stops, a) || overlapsRequest(f.unplanned, a) {
		return ""
	}
	if len(f.ledger.Runs(a.id)) == 0 && a.status == 0 && a.ended.Sub(a.sent) <= lossSlack {
		return "" // its connection was closed before the request was read
	}
	if f.ledger.Hung(a.id) && a.status != 0 {
		return "" // its worker sent nothing after the beginning of the response
	}
	return "interrupted by a graceful stop: " + a.err.Error()
}

func overlapsRequest(intervals []interval, a *request) bool {
	for _, s := range intervals {
		if s.overlaps(a.sent, a.ended) {
			return true
		}
	}
	return false
}
