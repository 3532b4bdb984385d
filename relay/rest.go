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

// mayChoose reports whether the request is first among those that wait for the end of a back-off of
// the service's endpoints.
func (r *backoffWait) mayChoose() bool {
	return r.x.g.state.FirstInBackoffQueue(r.x.service.Name, r.waiter)
}

// join adds the request to the queue.
func (r *backoffWait) join() {
	if r.waiter == nil {
		r.waiter = &availability.Waiter{Urgency: r.x.urgency(), Since: r.x.started}
		r.x.g.state.JoinBackoffQueue(r.x.service.Name, r.waiter)
	}
}

// leave removes the request from the queue.
func (r *backoffWait) leave() {
	if r.waiter != nil {
		r.x.g.state.LeaveBackoffQueue(r.x.service.Name, r.waiter)
		r.waiter = nil
		r.x.g.picker.notifyWaiters()
	}
}

// choiceState says whether it was a request's turn to choose.
type choiceState uint8

const (
	choiceMade            choiceState = iota
	choiceNotItsTurn                  // other long prompts choose first
	choiceNotFirstInQueue             // others that wait for the end of a back-off choose first
)

// backoffStep is what a request does about endpoints in back-off.
type backoffStep uint8

const (
	backoffNone   backoffStep = iota // back-off is not the reason why it was not placed
	backoffWaits                     // it waits for its turn
	backoffRefuse                    // it cannot be served in its time
)

// next decides what to do after no endpoint was chosen. minEndpoints is how many endpoints the
// request needs at once; turn says whether it was the request's turn to choose, among long prompts
// and in the back-off queue.
func (r *backoffWait) next(minEndpoints int, turn choiceState, now time.Time) (step backoffStep, retryAfter time.Duration) {
	backoff := r.x.g.state.ServiceBackoff(r.x.service.Name, now)
	opens := now
	switch {
	case backoff.closed == 0:
		return backoffNone, 0
	case backoff.open < minEndpoints:
		opens = backoff.opensAt
	case turn != choiceNotFirstInQueue:
		r.leave() // the endpoints are busy with other requests, or it needs none of those in back-off
		return backoffNone, 0
	}
	switch {
	case r.x.waitPolicy().mayWaitForBackoff(opens, now):
		if turn != choiceNotItsTurn {
			r.join()
		}
		return backoffWaits, 0
	case opens.After(now):
		return backoffRefuse, r.x.g.state.BackoffRetryAfter(r.x.service.Name, opens, now)
	default:
		return backoffRefuse, retryAfterFull
	}
}

// refuse ends a request that cannot wait until the back-off ends.
func (r *backoffWait) refuse(retryAfter time.Duration) outcome {
	x := r.x
	x.g.meter.backoffRefusals.Inc()
	if x.mayRun || x.r.Context().Err() != nil {
		return x.giveUp(refusedRest)
	}
	return x.refuse(http.StatusServiceUnavailable, retryAfter, refusedRest)
}

// minEndpoints returns how many endpoints of the service a request needs at once.
func (x *exchange) minEndpoints(work balance.Request) int {
	if !x.g.config.Policy.ExceedsMemory(x.service, work) {
		return 1
	}
	memory := x.service.Engine.MemoryTokens
	return (work.InputTokens + work.OutputTokens + memory - 1) / max(1, memory)
}
