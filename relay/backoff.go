package relay

import (
	"net/http"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/balance"
)

// backoffWait is the wait of a request for endpoints that asked this gateway to back off.
type backoffWait struct {
	x      *exchange
	waiter *availability.Waiter // position in the queue; nil if the request is not in it
}

// mayChoose reports whether the request is first among those that wait for the end of a backoff of
// the service's endpoints.
func (b *backoffWait) mayChoose() bool {
	return b.x.g.state.FirstInBackoffQueue(b.x.service.Name, b.waiter)
}

// join adds the request to the queue.
func (b *backoffWait) join() {
	if b.waiter == nil {
		b.waiter = &availability.Waiter{Urgency: b.x.urgency(), Since: b.x.started}
		b.x.g.state.JoinBackoffQueue(b.x.service.Name, b.waiter)
	}
}

// leave removes the request from the queue.
func (b *backoffWait) leave() {
	if b.waiter != nil {
		b.x.g.state.LeaveBackoffQueue(b.x.service.Name, b.waiter)
		b.waiter = nil
		b.x.g.picker.notifyWaiters()
	}
}

// choiceState says whether it was a request's turn to choose.
type choiceState uint8

const (
	choiceMade            choiceState = iota
	choiceNotItsTurn                  // other long prompts choose first
	choiceNotFirstInQueue             // others that wait for the end of a backoff choose first
)

// backoffStep is what a request does about endpoints in backoff.
type backoffStep uint8

const (
	backoffNone   backoffStep = iota // backoff is not the reason why it was not placed
	backoffWaits                     // it waits for its turn
	backoffRefuse                    // it cannot be served in its time
)

// next decides what to do after no endpoint was chosen. minEndpoints is how many endpoints the
// request needs at once; state says whether it was the request's turn to choose, among long prompts
// and in the backoff queue.
func (b *backoffWait) next(minEndpoints int, state choiceState, now time.Time) (step backoffStep, retryAfter time.Duration) {
	backoff := b.x.g.state.ServiceBackoff(b.x.service.Name, now)
	opensAt := now
	switch {
	case backoff.closed == 0:
		return backoffNone, 0
	case backoff.open < minEndpoints:
		opensAt = backoff.opensAt
	case state != choiceNotFirstInQueue:
		b.leave() // the endpoints are busy with other requests, or it needs none of those in backoff
		return backoffNone, 0
	}
	switch {
	case b.x.waitPolicy().MayWaitForBackoff(opensAt, now):
		if state != choiceNotItsTurn {
			b.join()
		}
		return backoffWaits, 0
	case opensAt.After(now):
		return backoffRefuse, b.x.g.state.BackoffRetryAfter(b.x.service.Name, opensAt, now)
	default:
		return backoffRefuse, retryAfterFull
	}
}

// refuse ends a request that cannot wait until the backoff ends.
func (b *backoffWait) refuse(retryAfter time.Duration) outcome {
	x := b.x
	x.g.meter.backoffRefusals.Inc()
	if x.mayRun || x.r.Context().Err() != nil {
		return x.giveUp(refusedBackoff)
	}
	return x.refuse(http.StatusServiceUnavailable, retryAfter, refusedBackoff)
}

// minEndpoints returns how many endpoints of the service a request needs at once.
func (x *exchange) minEndpoints(req balance.Request) int {
	if !x.g.config.Policy.ExceedsMemory(x.service, req) {
		return 1
	}
	memory := x.service.Engine.MemoryTokens
	return (req.InputTokens + req.OutputTokens + memory - 1) / max(1, memory)
}
