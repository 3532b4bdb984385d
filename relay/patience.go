package relay

import (
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

const (
	// retryAfterBusy is told while all slots of a service are taken: a little
	// longer than a short request takes, so that those under way are done.
	retryAfterBusy = 3 * time.Second
	// retryAfterLeaving is told while all endpoints of a service leave: others that take their place are known a second after
	// they have started.
	retryAfterLeaving = time.Second
	// callerHonours is the part of its time left, as a divisor, up to which a
	// caller waits as it is told.
	callerHonours = 3
	// retryAfterQueue is told when no endpoint may take a long prompt: the prompts
	// that are read now are done, and most that came with them.
	retryAfterQueue = 4 * time.Second
	// waitShare is the part of its objective, in percent, that a long prompt may
	// wait for quiet endpoints; then it is refused, since it would be late, and
	// most that wait longer are never served.
	waitShare = 35
	// lateShare is the part of its caller's patience, in percent, after which a
	// long prompt counts as late.
	lateShare = 40
	// resumeShare is the part of its caller's patience, in percent, that a prompt
	// may wait which was sent already.
	resumeShare = 70
	// atOnce is the part of its objective, as a divisor, within which a request
	// that is refused has heard so at once.
	atOnce = 8
	// unknownShare is the part of its objective, as a divisor, that a request
	// waits for any endpoint to be known.
	unknownShare = 4
	// maxHelperFailures is how many sends of a request may fail for a helper. When a tenth of
	// the endpoints leave at once, a prompt read by nine of them meets one in every second
	// choice, by reckoning, until the list tells, up to a second later; given up after two sends, 3 of 12
	// middle prompts of such a second were refused. Each is taken out of the budget.
	maxHelperFailures = 4
	// maxUnsent is how many sends of a request may fail before a byte was
	// written; they do not count as attempts.
	maxUnsent = 4
)

// patience is what decides how long a request waits and when it is refused. Its
// methods are pure: the time comes in.
type patience struct {
	started  time.Time
	deadline time.Time // of the caller and the route, whichever is first
	// objective is the time to the first part of the answer within which the
	// request is in time.
	objective time.Duration
	// first is how long the caller waits for the first part of the answer; zero:
	// until the deadline.
	first time.Duration
	// sends counts the sends that may have reached an endpoint, unsent the others. Of the
	// sends, helperFailures did not run because of a helper: they cost no endpoint a run.
	sends, unsent, helperFailures int
	// resumed is set for a caller that goes on with a stream.
	resumed bool
}

// untilFirst returns how long the caller waits for the first part of the answer.
func (p patience) untilFirst() time.Duration {
	limit := p.deadline.Sub(p.started)
	if p.first > 0 {
		limit = min(limit, p.first)
	}
	return limit
}

// tell fills in how much time a request has left for its choice. A request of a
// process that is ending counts as late.
func (p patience) tell(w *balance.Work, ending bool, now time.Time) {
	waited := now.Sub(p.started)
	untilFirst := p.untilFirst()
	mayWait := p.objective * waitShare / 100
	w.Slack = mayWait - waited
	w.Waited = min(1, float64(waited)/float64(max(1, mayWait)))
	w.Late = waited > untilFirst*lateShare/100 || ending
	w.LeftMs = float64((p.objective - waited).Milliseconds())
	w.DeadlineMs = float64((untilFirst - waited).Milliseconds())
	w.MustTake = !p.mayComeBack(now)
}

// mayComeBack reports whether a request may be refused because all slots are
// taken: it has not been sent, was not held, and its caller has the time to come
// back.
func (p patience) mayComeBack(now time.Time) bool {
	untouched := p.sends == 0 && p.unsent == 0 && !p.resumed
	return untouched && now.Sub(p.started) < p.objective/atOnce && p.deadline.Sub(now) > callerHonours*retryAfterBusy
}

// mayWait reports whether a request that was not placed goes on waiting: for
// endpoints that are busy, or for any endpoint at all. One that was sent already
// waits longer: what its caller has got is lost without the rest.
func (p patience) mayWait(busy bool, now time.Time) bool {
	waited := now.Sub(p.started)
	switch {
	case !busy:
		return waited < p.objective/unknownShare
	default:
		return now.Before(p.waitUntil())
	}
}

// waitUntil returns until when a request goes on waiting for endpoints that are busy, see mayWait.
func (p patience) waitUntil() time.Time {
	if p.sends > 0 {
		return p.started.Add(p.untilFirst() * resumeShare / 100)
	}
	return p.inTimeUntil()
}

// inTimeUntil returns until when a request may be placed and be in time.
func (p patience) inTimeUntil() time.Time { return p.started.Add(p.objective * waitShare / 100) }

// mayWaitFor reports whether a request waits until endpoints have rested, which they have at a known time: where it is in time
// then. What the caller of a stream that goes on has got is lost without the rest, so that it waits longer.
func (p patience) mayWaitFor(opens, now time.Time) bool {
	limit := p.inTimeUntil()
	if p.resumed {
		limit = p.waitUntil()
	}
	return now.Before(limit) && opens.Before(limit)
}

// comeBackAfter returns when a caller that was refused for busy endpoints had better
// come back, as far as it will wait for that.
func (p patience) comeBackAfter(now time.Time) time.Duration {
	return p.comeBackWithin(retryAfterQueue, now)
}

// comeBackWithin returns a time to come back, as far as the caller will wait for that.
func (p patience) comeBackWithin(after time.Duration, now time.Time) time.Duration {
	return min(after, p.deadline.Sub(now)/callerHonours).Truncate(time.Millisecond)
}

// rank returns the rank of a long prompt among those that wait.
func (p patience) rank(oversize bool, now time.Time) balance.Rank {
	switch {
	case now.Sub(p.started) > p.objective:
		return balance.Late
	case oversize:
		return balance.Oversize
	default:
		return balance.InTime
	}
}

// repeat is what becomes of a request after a send that brought no answer.
type repeat uint8

const (
	giveUp    repeat = iota // it must not be sent again
	sendAgain               // no endpoint has had it
	askBudget               // it may be sent again if the budget allows
)

// afterSend decides whether a request may be sent once more. mayRun is set when an
// endpoint may have run it.
func (p patience) afterSend(r *catalog.Route, mayRun bool) repeat {
	switch {
	case p.unsent > maxUnsent, p.helperFailures > maxHelperFailures:
		return giveUp
	case p.sends == 0:
		return sendAgain
	case p.sends-p.helperFailures >= r.MaxAttempts, mayRun && !r.Idempotent():
		return giveUp
	default:
		return askBudget
	}
}
