package relay

import (
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

const (
	// retryAfterBusy is the Retry-After time while all slots of a service are taken: slightly
	// longer than a short request takes, so that the current requests have ended by then.
	retryAfterBusy = 3 * time.Second
	// retryAfterLeaving is the Retry-After time while all endpoints of a service are draining:
	// their replacements are known one second after they have started.
	retryAfterLeaving = time.Second
	// retryAfterDivisor limits a Retry-After time to a part of the caller's remaining time. Callers
	// honour times up to that limit.
	retryAfterDivisor = 3
	// retryAfterQueue is the Retry-After time when no endpoint may take a long prompt: by then the
	// current prefills have ended, and most of the prompts that arrived with them are done.
	retryAfterQueue = 4 * time.Second
	// waitPercent is the part of its objective, in percent, that a long prompt may wait for idle
	// endpoints. After that it is refused, since it would be late, and most prompts that wait
	// longer are never served.
	waitPercent = 35
	// latePercent is the part of the time that its caller waits for a first part of the answer, in
	// percent, after which a long prompt counts as late.
	latePercent = 40
	// resumeWaitPercent is the part of the time that its caller waits for a first part of the
	// answer, in percent, that a prompt may wait after it has been sent once.
	resumeWaitPercent = 70
	// earlyRefusalDivisor is the part of its objective, as a divisor, within which a request may be
	// refused because all slots are taken: its caller then learns of it at once.
	earlyRefusalDivisor = 8
	// noEndpointWaitDivisor is the part of its objective, as a divisor, that a request waits for
	// any endpoint to become known.
	noEndpointWaitDivisor = 4
	// maxHelperFailures is how many sends of a request may fail because of a helper. When a tenth
	// of the endpoints leave at once, every second choice for a prompt that nine endpoints read
	// includes one of them until the list shows it, up to a second later. With a limit of two
	// sends, 3 of 12 middle prompts in such a second were refused. Each send is taken out of the
	// retry budget.
	maxHelperFailures = 4
	// maxUnsent is how many sends of a request may fail before any byte is written; they do not
	// count as attempts.
	maxUnsent = 4
)

// waitPolicy decides how long a request waits, when it is refused and whether it is sent again. Its
// methods are pure: the time is an argument.
type waitPolicy struct {
	started  time.Time
	deadline time.Time // the earlier of the caller's and the route's
	// objective is the time to the first part of the answer within which the request counts as in
	// time.
	objective time.Duration
	// firstPartTimeout is how long the caller waits for the first part of the answer; zero means
	// until the deadline.
	firstPartTimeout time.Duration
	// sends counts the sends that may have reached an endpoint, unsent the others. helperFailures
	// counts the sends that did not run because of a helper; they used no run of an endpoint.
	sends, unsent, helperFailures int
	// resumed is set for a caller that resumes a stream.
	resumed bool
}

// firstPartLimit returns how long the caller waits for the first part of the answer.
func (p waitPolicy) firstPartLimit() time.Duration {
	limit := p.deadline.Sub(p.started)
	if p.firstPartTimeout > 0 {
		limit = min(limit, p.firstPartTimeout)
	}
	return limit
}

// fillWork sets the fields of w that depend on the remaining time. A request of a process that is
// stopping counts as late.
func (p waitPolicy) fillWork(w *balance.Request, ending bool, now time.Time) {
	waited := now.Sub(p.started)
	firstPartLimit := p.firstPartLimit()
	mayWait := p.objective * waitPercent / 100
	w.Slack = mayWait - waited
	w.WaitedShare = min(1, float64(waited)/float64(max(1, mayWait)))
	w.Late = waited > firstPartLimit*latePercent/100 || ending
	w.ObjectiveLeftMs = float64((p.objective - waited).Milliseconds())
	w.DeadlineLeftMs = float64((firstPartLimit - waited).Milliseconds())
	w.NoRefusal = !p.mayRefuseBusy(now)
}

// mayRefuseBusy reports whether a request may be refused because all slots are taken: it has not
// been sent or held, and its caller has enough time to retry.
func (p waitPolicy) mayRefuseBusy(now time.Time) bool {
	untouched := p.sends == 0 && p.unsent == 0 && !p.resumed
	return untouched && now.Sub(p.started) < p.objective/earlyRefusalDivisor && p.deadline.Sub(now) > retryAfterDivisor*retryAfterBusy
}

// mayWait reports whether a request that was not placed goes on waiting, for busy endpoints or for
// any endpoint to become known. One that was already sent waits longer: without the rest of the
// answer its caller loses what it has received.
func (p waitPolicy) mayWait(busy bool, now time.Time) bool {
	waited := now.Sub(p.started)
	switch {
	case !busy:
		return waited < p.objective/noEndpointWaitDivisor
	default:
		return now.Before(p.waitUntil())
	}
}

// waitUntil returns until when a request goes on waiting for busy endpoints, see mayWait.
func (p waitPolicy) waitUntil() time.Time {
	if p.sends > 0 {
		return p.started.Add(p.firstPartLimit() * resumeWaitPercent / 100)
	}
	return p.inTimeBy()
}

// inTimeBy returns until when a request may be placed and still be in time.
func (p waitPolicy) inTimeBy() time.Time { return p.started.Add(p.objective * waitPercent / 100) }

// mayWaitForBackoff reports whether a request waits for the end of a back-off, at the known time
// opens: it does if it is still in time then. A resumed stream waits longer, since without the rest
// its caller loses what it has received.
func (p waitPolicy) mayWaitForBackoff(opens, now time.Time) bool {
	limit := p.inTimeBy()
	if p.resumed {
		limit = p.waitUntil()
	}
	return now.Before(limit) && opens.Before(limit)
}

// queueRetryAfter returns the Retry-After time for a caller that was refused because endpoints are
// busy, limited to what the caller will wait.
func (p waitPolicy) queueRetryAfter(now time.Time) time.Duration {
	return p.capRetryAfter(retryAfterQueue, now)
}

// capRetryAfter limits a Retry-After time to what the caller will wait.
func (p waitPolicy) capRetryAfter(after time.Duration, now time.Time) time.Duration {
	return min(after, p.deadline.Sub(now)/retryAfterDivisor).Truncate(time.Millisecond)
}

// rank returns the rank of a long prompt among those that wait.
func (p waitPolicy) rank(oversize bool, now time.Time) balance.Urgency {
	switch {
	case now.Sub(p.started) > p.objective:
		return balance.Late
	case oversize:
		return balance.Oversize
	default:
		return balance.InTime
	}
}

// retryDecision says whether a request is sent again after a send that brought no answer.
type retryDecision uint8

const (
	noRetry       retryDecision = iota // it must not be sent again
	freeRetry                          // no endpoint has received it
	budgetedRetry                      // it may be sent again if the retry budget allows it
)

// afterSend decides whether a request may be sent once more. mayRun is set when an endpoint may
// have run it.
func (p waitPolicy) afterSend(r *catalog.Route, mayRun bool) retryDecision {
	switch {
	case p.unsent > maxUnsent, p.helperFailures > maxHelperFailures:
		return noRetry
	case p.sends == 0:
		return freeRetry
	case p.sends-p.helperFailures >= r.MaxAttempts, mayRun && !r.Idempotent():
		return noRetry
	default:
		return budgetedRetry
	}
}
