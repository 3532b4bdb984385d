package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/balance"
)

// place finds an endpoint, waiting for one where that is better.
func (x *exchange) place(ctx context.Context) (*place, outcome) {
	p := x.startPlacing()
	defer p.end()
	now := p.look()
	if at := x.probe(ctx, p.work); at != nil {
		at, _, _ = p.placed(at, now)
		return at, ""
	}
	for {
		at, o, next := p.try(ctx)
		if next == tryEnded {
			return at, o
		}
		if next == tryLater {
			x.g.picker.await(ctx, queueStep)
		}
		if ctx.Err() != nil {
			return nil, x.giveUp(outOfTime)
		}
	}
}

// nextTry is what comes after a try to place a request.
type nextTry uint8

const (
	tryEnded nextTry = iota // the request is placed, or was refused
	tryAgain                // another one at once
	tryLater                // another one soon
)

// placing is the search for an endpoint for one send of a request.
type placing struct {
	x        *exchange
	began    time.Time
	work     balance.Work
	oversize bool
	fewest   int           // endpoints that the request needs at once
	turn     *balance.Turn // among long prompts; nil: it takes none
	rests    restWait
	expected balance.Expected // at the newest look at the load
}

func (x *exchange) startPlacing() *placing {
	p := &placing{x: x, began: time.Now(), work: x.placedWork(), rests: restWait{x: x}}
	p.oversize = x.g.config.Policy.Oversize(x.service, p.work)
	p.fewest = x.fewestEndpoints(p.work)
	if x.g.config.Policy.TakesTurns(x.service, p.work) {
		p.turn = x.g.picker.join(x.service.Name, x.patience().rank(p.oversize, p.began), x.started.Add(x.route.Objective), p.began)
	}
	return p
}

func (p *placing) end() {
	p.rests.leave()
	if p.turn != nil {
		p.x.g.picker.leave(p.turn)
	}
	p.x.g.meter.wait.UpdateDuration(p.began)
}

// look works out how much time the request has left now.
func (p *placing) look() (now time.Time) {
	p.x.countSuspension()
	now = time.Now()
	p.x.patience().tell(&p.work, p.x.g.ending(), now)
	if p.oversize {
		p.work.Late = false // it takes much of many endpoints: it keeps its turn
	}
	return now
}

// try looks for an endpoint once.
func (p *placing) try(ctx context.Context) (at *place, o outcome, next nextTry) {
	x := p.x
	now := p.look()
	at, found, turn := p.choose(now)
	if found == picked {
		return p.placed(at, now)
	}
	var limited limitedEnd
	if x.g.limits.any() {
		limited = x.placeAmongLimited(ctx, &p.work, found, now)
		now = time.Now() // the coordinator took its time
		switch {
		case limited.at != nil:
			return p.placed(limited.at, now)
		case limited.end != "":
			return p.refused(limited.end.whyLimited(), now, func() outcome { return limited.end })
		case limited.again:
			return nil, "", tryAgain
		}
	}
	switch {
	case found == pickFull:
		return p.refused(reasonToRefuse(found), now, func() outcome { return x.refuse(http.StatusServiceUnavailable, retryAfterBusy, refusedBusy) })
	case x.attempts == 0 && x.g.ending():
		// The process may end before an endpoint is free.
		return nil, x.refuse(http.StatusServiceUnavailable, retryAfterStop, stopping), tryEnded
	case found == pickNone && len(p.work.Avoid) > 0:
		p.work.Avoid = nil // better the same endpoint again than none
		return nil, "", tryAgain
	}
	switch step, comeBack := p.rests.next(p.fewest, turn, now); step {
	case restWaits:
		return nil, "", tryLater
	case restRefuse:
		return p.refused("the endpoints rest", now, func() outcome { return p.rests.refuse(comeBack) })
	}
	if found == pickNone && x.attempts == 0 && x.g.state.AllLeave(x.service.Name) {
		return p.refused("all endpoints leave", now, func() outcome {
			return x.refuse(http.StatusServiceUnavailable, x.patience().comeBackWithin(retryAfterLeaving, now), refusedFull)
		})
	}
	return p.waitOrGiveUp(found, limited.later, now)
}

// choose chooses an endpoint if it is the request's turn.
func (p *placing) choose(now time.Time) (at *place, o pickOutcome, turn choosing) {
	picker := p.x.g.picker
	if p.turn != nil && !p.work.Late && !picker.first(p.turn, p.x.patience().rank(p.oversize, now), now) {
		p.rests.leave() // others need not wait for its turn
		return nil, pickWait, notItsTurn
	}
	if !p.rests.mayChoose() {
		return nil, pickWait, notInLine
	}
	at, p.expected, o = picker.pick(p.x.service, p.work, p.x.warm, now)
	return at, o, hasChosen
}

// waitOrGiveUp decides about a request for which no endpoint was found. later is when its caller had better come back if endpoints with
// limits are what it waits for; zero: they are not.
func (p *placing) waitOrGiveUp(found pickOutcome, later time.Duration, now time.Time) (at *place, o outcome, next nextTry) {
	busy := found == pickWait || later > 0
	switch {
	case p.x.patience().mayWait(busy, now):
		return nil, "", tryLater
	case later > 0:
		return p.refused("no endpoint with a limit took it in its time", now, func() outcome { return p.x.refuseLimited(later) })
	default:
		return p.refused(reasonToRefuse(found), now, func() outcome { return p.x.giveUpWaiting(busy) })
	}
}

// placed ends the search with an endpoint.
func (p *placing) placed(at *place, now time.Time) (*place, outcome, nextTry) {
	p.x.logChoice(at, now.Sub(p.began))
	return at, "", tryEnded
}

// refused ends it without one, for a reason. refuse answers the caller, or breaks off an answer whose head is out.
func (p *placing) refused(why string, now time.Time, refuse func() outcome) (*place, outcome, nextTry) {
	p.x.logNoPlace(why, p.expected, now.Sub(p.began))
	return nil, refuse(), tryEnded
}
