// Package waitpolicy decides how long a request waits, when it is refused and whether it is retried. It does
// no I/O and reads no clock.
package waitpolicy

import (
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

const (
	// RetryAfterBusy is the Retry-After while all slots of a service are in use: slightly
	// longer than a short request takes, so that the current requests have ended by then.
	RetryAfterBusy = 3 * time.Second
	// RetryAfterDraining is the Retry-After while all endpoints of a service are draining:
	// their replacements are known one second after they have started.
	RetryAfterDraining = time.Second
	// retryAfterDivisor limits a Retry-After to a part of the caller's remaining time. Callers
	// honour times up to that limit.
	retryAfterDivisor = 3
	// retryAfterQueue is the Retry-After when no endpoint may take a long prompt: by then the
	// current prefills have ended, and most of the prompts that arrived with them are done.
	retryAfterQueue = 4 * time.Second
	// WaitPercent is the part of its objective, in percent, that a long prompt may wait for idle
	// endpoints. After that it is refused, since it would be late, and most prompts that wait
	// longer are never served.
	WaitPercent = 35
	// latePercent is the part of the time that its caller waits for a first part of the response, in
	// percent, after which a long prompt counts as late.
	latePercent = 40
	// resumeWaitPercent is the part of the time that its caller waits for a first part of the
	// response, in percent, that a prompt may wait after it has been sent once.
	resumeWaitPercent = 70
	// earlyRefusalDivisor is the part of its objective, as a divisor, within which a request may be
	// refused because all slots are in use: its caller then learns of it at once.
	earlyRefusalDivisor = 8
	// noEndpointWaitDivisor is the part of its objective, as a divisor, that a request waits for
	// any endpoint to become known.
	noEndpointWaitDivisor = 4
	// maxHelperFailures is how many attempts of a request may fail because of a helper. When a
	// tenth of the endpoints leave at once, every second choice for a prompt that nine endpoints
	// prefill includes one of them until the list shows it, up to a second later. With a limit of
	// two attempts, 3 of 12 medium prompts in such a second were refused. Each further attempt is
	// charged to the retry budget.
	maxHelperFailures = 4
	// maxUnsentAttempts is how many attempts of a request may fail before any byte is written; they
	// do not count towards the route's MaxAttempts. Streams that their callers have the beginning of
	// are continued until the deadline.
	maxUnsentAttempts = 4
	// minUnreachedRetryDelay and maxUnreachedRetryDelay bound the pause between two attempts to
	// continue a stream that did not reach the endpoint that was meant.
	minUnreachedRetryDelay = 10 * time.Millisecond
	maxUnreachedRetryDelay = 500 * time.Millisecond
)

// Policy decides how long a request waits, when it is refused and whether it is retried. Its
// methods are pure: the time is an argument.
type Policy struct {
	Started  time.Time
	Deadline time.Time // the earlier of the caller's and the route's
	// Objective is the time to the first part of the response within which the request counts as in
	// time.
	Objective time.Duration
	// FirstPartTimeout is how long the caller waits for the first part of the response; zero means
	// until the deadline.
	FirstPartTimeout time.Duration
	// Attempts counts the attempts that may have reached an endpoint, UnsentAttempts the others.
	// HelperFailures counts the attempts that did not run because of a helper; they used no run of
	// an endpoint.
	// Misdirected counts those that reached another incarnation than the one meant.
	Attempts, UnsentAttempts, HelperFailures, Misdirected int
	// Resumed is set for a caller that resumes a stream.
	Resumed bool
	// Partial is set if the caller has received the beginning of a stream from this gateway.
	Partial bool
	// Unsent is set if the newest attempt failed before any byte was written, and WrongIncarnation if
	// it reached another incarnation.
	Unsent, WrongIncarnation bool
}

// firstPartLimit returns how long the caller waits for the first part of the response.
func (p Policy) firstPartLimit() time.Duration {
	limit := p.Deadline.Sub(p.Started)
	if p.FirstPartTimeout > 0 {
		limit = min(limit, p.FirstPartTimeout)
	}
	return limit
}

// FillTimes sets the fields of req that depend on the remaining time. A request of a process that is
// stopping counts as late.
func (p Policy) FillTimes(req *balance.Request, shuttingDown bool, now time.Time) {
	waited := now.Sub(p.Started)
	firstPartLimit := p.firstPartLimit()
	mayWait := p.Objective * WaitPercent / 100
	req.Slack = mayWait - waited
	req.WaitedShare = min(1, float64(waited)/float64(max(1, mayWait)))
	req.Late = waited > firstPartLimit*latePercent/100 || shuttingDown
	req.ObjectiveLeftMs = float64((p.Objective - waited).Milliseconds())
	req.DeadlineLeftMs = float64((firstPartLimit - waited).Milliseconds())
	req.NoRefusal = !p.mayRefuseBusy(now)
}

// mayRefuseBusy reports whether a request may be refused because all slots are in use: it has not
// been sent or held, and its caller has enough time to retry.
func (p Policy) mayRefuseBusy(now time.Time) bool {
	untouched := p.Attempts == 0 && p.UnsentAttempts == 0 && !p.Resumed
	return untouched && now.Sub(p.Started) < p.Objective/earlyRefusalDivisor && p.Deadline.Sub(now) > retryAfterDivisor*RetryAfterBusy
}

// MayWait reports whether a request that was not placed goes on waiting, for busy endpoints or for
// any endpoint to become known. One that was already sent waits longer, and one whose caller has the
// beginning of a stream waits until its deadline: endpoints that crash or are replaced are back
// within seconds, and without the rest the caller loses what it has received.
func (p Policy) MayWait(busy bool, now time.Time) bool {
	waited := now.Sub(p.Started)
	switch {
	case !busy && !p.Partial:
		return waited < p.Objective/noEndpointWaitDivisor
	default:
		return now.Before(p.WaitUntil())
	}
}

// WaitUntil returns until when a request goes on waiting for busy endpoints, see MayWait.
func (p Policy) WaitUntil() time.Time {
	switch {
	case p.Partial:
		return p.Deadline
	case p.Attempts > 0:
		return p.Started.Add(p.firstPartLimit() * resumeWaitPercent / 100)
	default:
		return p.inTimeBy()
	}
}

// RestTime returns about how long the rest of a partial response takes; zero: the caller has no part of it.
func (p Policy) RestTime() time.Duration {
	if !p.Partial {
		return 0
	}
	return p.Objective
}

// inTimeBy returns until when a request may be placed and still be in time.
func (p Policy) inTimeBy() time.Time { return p.Started.Add(p.Objective * WaitPercent / 100) }

// MayWaitForBackoff reports whether a request waits for the end of a backoff, at the known time
// opensAt: it does if it is still in time then. A resumed stream waits longer, since without the rest
// its caller loses what it has received.
func (p Policy) MayWaitForBackoff(opensAt, now time.Time) bool {
	limit := p.inTimeBy()
	if p.Resumed {
		limit = p.WaitUntil()
	}
	return now.Before(limit) && opensAt.Before(limit)
}

// QueueRetryAfter returns the Retry-After for a caller that was refused because endpoints are
// busy, limited to what the caller will wait.
func (p Policy) QueueRetryAfter(now time.Time) time.Duration {
	return p.CapRetryAfter(retryAfterQueue, now)
}

// CapRetryAfter limits a Retry-After to what the caller will wait.
func (p Policy) CapRetryAfter(retryAfter time.Duration, now time.Time) time.Duration {
	return min(retryAfter, p.Deadline.Sub(now)/retryAfterDivisor).Truncate(time.Millisecond)
}

// runs returns how many attempts count against the route's MaxAttempts. A begun stream whose endpoint has
// restarted may reach the new incarnation several times before its entry is read.
func (p Policy) runs() int {
	if p.Partial {
		return p.Attempts - p.HelperFailures - p.Misdirected
	}
	return p.Attempts - p.HelperFailures
}

// UnreachedRetryDelay returns the pause before the next attempt of a partial response whose newest
// attempt did not reach the endpoint that was meant: while the entry of one that crashed remains, it may
// be chosen again.
func (p Policy) UnreachedRetryDelay() time.Duration {
	if !p.Partial || !p.Unsent && !p.WrongIncarnation {
		return 0
	}
	return min(minUnreachedRetryDelay<<min(p.UnsentAttempts+p.Misdirected, 8), maxUnreachedRetryDelay)
}

// PromptUrgency returns the urgency of a long prompt among those that wait.
func (p Policy) PromptUrgency(oversize bool, now time.Time) balance.Urgency {
	switch {
	case now.Sub(p.Started) > p.Objective:
		return balance.Late
	case oversize:
		return balance.Oversize
	default:
		return balance.InTime
	}
}

// RetryDecision says whether a request is sent again after an attempt that brought no response.
type RetryDecision uint8

const (
	NoRetry       RetryDecision = iota // it must not be sent again
	FreeRetry                          // no endpoint has received it
	BudgetedRetry                      // it may be sent again if the retry budget allows it
)

// AfterAttempt decides whether a request may be sent once more. mayRun is set when an endpoint may
// have run it.
func (p Policy) AfterAttempt(r *catalog.Route, mayRun bool) RetryDecision {
	switch {
	case p.UnsentAttempts > maxUnsentAttempts && !p.Partial, p.HelperFailures > maxHelperFailures:
		return NoRetry
	case p.Attempts == 0:
		return FreeRetry
	case p.runs() >= r.MaxAttempts, mayRun && !r.Idempotent():
		return NoRetry
	case p.Partial && p.Unsent:
		return FreeRetry // the budget was charged after the attempt that broke
	default:
		return BudgetedRetry
	}
}
