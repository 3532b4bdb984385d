package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/waitpolicy"
)

// findPlacement finds an endpoint, and waits for one where that is better.
func (x *exchange) findPlacement(ctx context.Context) (*placement, outcome) {
	ctx, cancel := x.g.drain.WithSearch(ctx, x.waitPolicy().RestTime())
	defer cancel()
	p := x.startPlacement()
	defer p.end()
	now := p.updateRequest()
	if pl := x.probeLimited(ctx, p.request); pl != nil {
		pl, _, _ = p.succeed(pl, now)
		return pl, ""
	}
	for {
		pl, o, next := p.tryPlace(ctx)
		if next == tryEnded {
			return pl, o
		}
		if next == tryLater {
			x.g.picker.waitForLoadChange(ctx, queuePollInterval)
		}
		if ctx.Err() != nil {
			return nil, x.giveUp(endReason(ctx))
		}
	}
}

// nextTry is what follows an attempt to place a request.
type nextTry uint8

const (
	tryEnded nextTry = iota // the request is placed or was refused
	tryAgain                // try again at once
	tryLater                // try again soon
)

// placementSearch is the search for an endpoint for one attempt of a request.
type placementSearch struct {
	x            *exchange
	began        time.Time
	request      balance.Request
	oversize     bool
	minEndpoints int                 // number of endpoints that the request needs at once
	queueEntry   *balance.QueueEntry // position among long prompts; nil if it needs none
	backoff      backoffWait
	expected     balance.Estimate // from the latest evaluation of the load
}

func (x *exchange) startPlacement() *placementSearch {
	p := &placementSearch{x: x, began: time.Now(), request: x.balanceRequest(), backoff: backoffWait{x: x}}
	p.oversize = x.g.config.Policy.ExceedsMemory(x.service, p.request)
	p.minEndpoints = x.minEndpoints(p.request)
	if x.g.config.Policy.MustQueue(x.service, p.request) {
		p.queueEntry = x.g.picker.joinQueue(x.service.Name, x.waitPolicy().PromptUrgency(p.oversize, p.began), x.started.Add(x.route.Objective), p.began)
	}
	return p
}

func (p *placementSearch) end() {
	p.backoff.leave()
	if p.queueEntry != nil {
		p.x.g.picker.leaveQueue(p.queueEntry)
	}
	p.x.g.meter.waitTime.UpdateDuration(p.began)
}

// updateRequest recomputes how much time the request has left.
func (p *placementSearch) updateRequest() (now time.Time) {
	p.x.deductSuspension()
	now = time.Now()
	p.x.waitPolicy().FillTimes(&p.request, p.x.g.drain.Phase() >= drain.Refusing, now)
	if p.oversize {
		p.request.Late = false // it takes much of many endpoints, so it keeps its turn
	}
	return now
}

// tryPlace looks for an endpoint once.
func (p *placementSearch) tryPlace(ctx context.Context) (pl *placement, o outcome, next nextTry) {
	x := p.x
	now := p.updateRequest()
	pl, found, state := p.choose(now)
	if found == picked {
		return p.succeed(pl, now)
	}
	var limited limitedResult
	if x.g.endpointLimits.Any() {
		limited = x.placeAmongLimited(ctx, &p.request, found, now)
		now = time.Now() // the call to the coordinator took time
		switch {
		case limited.placement != nil:
			return p.succeed(limited.placement, now)
		case limited.refusal != "":
			return p.refuse(limited.refusal.limitedRefusalReason(), now, func() outcome { return limited.refusal })
		case limited.again:
			return nil, "", tryAgain
		}
	}
	switch {
	case found == pickFull:
		return p.refuse(refusalReason(found), now, func() outcome { return x.refuse(http.StatusServiceUnavailable, waitpolicy.RetryAfterBusy, refusedBusy) })
	case ctx.Err() != nil:
		return nil, x.giveUp(endReason(ctx)), tryEnded
	case found == pickNone && len(p.request.Excluded) > 0:
		p.request.Excluded = nil // better the same endpoint again than none
		return nil, "", tryAgain
	}
	switch step, retryAfter := p.backoff.next(p.minEndpoints, state, now); step {
	case backoffWaits:
		return nil, "", tryLater
	case backoffRefuse:
		return p.refuse("the endpoints rest", now, func() outcome { return p.backoff.refuse(retryAfter) })
	}
	if found == pickNone && x.attempts == 0 {
		if pl, o, next, ok := p.refuseUnavailable(now); ok {
			return pl, o, next
		}
	}
	return p.waitOrRefuse(found, limited.retryAfter, now)
}

// choose chooses an endpoint if it is the request's turn.
func (p *placementSearch) choose(now time.Time) (pl *placement, found pickOutcome, state choiceState) {
	picker := p.x.g.picker
	if p.queueEntry != nil && !p.request.Late && !picker.isNext(p.queueEntry, p.x.waitPolicy().PromptUrgency(p.oversize, now), now) {
		p.backoff.leave() // others need not wait while it is not its turn
		return nil, pickWait, choiceNotItsTurn
	}
	if !p.backoff.mayChoose() {
		return nil, pickWait, choiceNotFirstInQueue
	}
	pl, p.expected, found = picker.pick(p.x.service, p.request, p.x.hasIdleConn, now)
	return pl, found, choiceMade
}

// waitOrRefuse decides about a request for which no endpoint was found. retryAfter is the
// Retry-After if the request waits for endpoints with limits, otherwise zero.
func (p *placementSearch) waitOrRefuse(found pickOutcome, retryAfter time.Duration, now time.Time) (pl *placement, o outcome, next nextTry) {
	busy := found == pickWait || retryAfter > 0
	switch {
	case p.x.waitPolicy().MayWait(busy, now):
		return nil, "", tryLater
	case retryAfter > 0:
		return p.refuse("no endpoint with a rate limit accepted it in time", now, func() outcome { return p.x.refuseLimited(retryAfter) })
	default:
		return p.refuse(refusalReason(found), now, func() outcome { return p.x.refuseUnplaced(busy) })
	}
}

// succeed ends the search with a placement.
func (p *placementSearch) succeed(pl *placement, now time.Time) (*placement, outcome, nextTry) {
	p.x.logPlacement(pl, now.Sub(p.began))
	return pl, "", tryEnded
}

// refuse ends the search without a placement. answer responds to the caller, or aborts a response
// whose header was already sent.
func (p *placementSearch) refuse(reason string, now time.Time, answer func() outcome) (*placement, outcome, nextTry) {
	p.x.logNotPlaced(reason, p.expected, now.Sub(p.began))
	return nil, answer(), tryEnded
}
