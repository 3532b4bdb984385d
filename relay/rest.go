package relay

import (
	"net/http"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/balance"
)

// restWait is the wait of a request for endpoints that want rest from this gateway.
type restWait struct {
	x      *exchange
	waiter *availability.Waiter // in line; nil: it is not
}

// mayChoose reports whether nobody else that waits for endpoints of the service to have rested is before the request.
func (r *restWait) mayChoose() bool {
	return r.x.g.state.FirstInLine(r.x.service.Name, r.waiter)
}

// join puts the request in line.
func (r *restWait) join() {
	if r.waiter == nil {
		r.waiter = &availability.Waiter{Urgency: r.x.urgency(), Since: r.x.started}
		r.x.g.state.JoinLine(r.x.service.Name, r.waiter)
	}
}

// leave takes it out of the line.
func (r *restWait) leave() {
	if r.waiter != nil {
		r.x.g.state.LeaveLine(r.x.service.Name, r.waiter)
		r.waiter = nil
		r.x.g.picker.wakeAll()
	}
}

// choosing tells whether it was a request's turn to choose.
type choosing uint8

const (
	hasChosen  choosing = iota
	notItsTurn          // other long prompts choose before it
	notInLine           // others that wait for endpoints to have rested choose before it
)

// restStep is what a request does about endpoints that rest.
type restStep uint8

const (
	restNone   restStep = iota // rests are not why it has no place
	restWaits                  // it waits for its turn
	restRefuse                 // it cannot be served in its time
)

// next decides what to do after no endpoint was chosen. fewest is how many endpoints the request needs at once; turn tells whether it was its
// turn, among long prompts and in line, to choose.
func (r *restWait) next(fewest int, turn choosing, now time.Time) (step restStep, comeBack time.Duration) {
	rests := r.x.g.state.RestOf(r.x.service.Name, now)
	opens := now
	switch {
	case rests.closed == 0:
		return restNone, 0
	case rests.open < fewest:
		opens = rests.opens
	case turn != notInLine:
		r.leave() // others are in its way, or it needs none
		return restNone, 0
	}
	switch {
	case r.x.patience().mayWaitFor(opens, now):
		if turn != notItsTurn {
			r.join()
		}
		return restWaits, 0
	case opens.After(now):
		return restRefuse, r.x.g.state.SendAway(r.x.service.Name, opens, now)
	default:
		return restRefuse, retryAfterFull
	}
}

// refuse ends a request that cannot wait until endpoints have rested.
func (r *restWait) refuse(comeBack time.Duration) outcome {
	x := r.x
	x.g.meter.restRefusals.Inc()
	if x.mayRun || x.r.Context().Err() != nil {
		return x.giveUp(refusedRest)
	}
	return x.refuse(http.StatusServiceUnavailable, comeBack, refusedRest)
}

// fewestEndpoints returns how many endpoints of the service a request needs at once.
func (x *exchange) fewestEndpoints(work balance.Work) int {
	if !x.g.config.Policy.Oversize(x.service, work) {
		return 1
	}
	memory := x.service.Engine.MemoryTokens
	return (work.InputTokens + work.OutputTokens + memory - 1) / max(1, memory)
}
