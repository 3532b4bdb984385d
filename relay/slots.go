package relay

import (
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/slotqueue"
)

const (
	// slotWakeInterval is the least time between two evaluations of the waiting requests because of
	// peers' messages: in a large cell many arrive in that time.
	slotWakeInterval = 5 * time.Millisecond
	// slotPatiencePercent is the part of the time that its caller waits for a first part of the
	// response, in percent, after which a late request goes first: the rest is needed to serve it
	// before the caller gives up.
	slotPatiencePercent = 70
	// slotSettleMargin is added to the delay of messages for the time that this gateway does not use
	// a slot that it released while requests wait: until the other gateways know of it too.
	// Otherwise the gateways would count the free slots differently.
	slotSettleMargin = time.Millisecond
	// plainStartDivisor is the part of its objective, as a divisor, within which a request to a plain
	// service must start to be in time: how long it runs is not known.
	plainStartDivisor = 2
)

// slotWait is the wait of one request for a free slot.
type slotWait struct {
	enabled bool
	entry   *slotqueue.Entry // nil while it does not queue
	queued  bool             // whether it has queued
	outlook slotqueue.Outlook
	// predicted is the predicted wait. refused is set if it was the reason for a refusal.
	predicted time.Duration
	refused   bool
}

// slotUrgency returns the urgency of a request that must start by a time to be in time. A begun stream
// does not count as late, and one whose caller will soon give up no longer does.
func (p waitPolicy) slotUrgency(startBy, now time.Time) slotqueue.Urgency {
	if p.partial || !now.After(startBy) || now.Sub(p.started) > p.firstPartLimit()*slotPatiencePercent/100 {
		return slotqueue.InTime
	}
	return slotqueue.Late
}

// mayWaitForSlot reports whether a request goes on waiting for a free slot: until its caller gives up.
func (p waitPolicy) mayWaitForSlot(now time.Time) bool {
	if p.partial {
		return now.Before(p.deadline)
	}
	return now.Sub(p.started) < p.firstPartLimit()
}

// mayRefuseSlot reports whether a request with a predicted wait for a slot is refused at once. The
// caller must have time to return. Unlike in mayRefuseBusy this is independent of retryAfterBusy, since
// its Retry-After is the predicted wait; callers of plain services would never be refused.
func (p waitPolicy) mayRefuseSlot(wait time.Duration, now time.Time) bool {
	return p.untouched(now) && p.deadline.Sub(now) > retryAfterDivisor*p.objective && now.Add(wait).Sub(p.started) > p.firstPartLimit()*latePercent/100
}

// slotTicket returns the place of the request in the order of those that wait for a slot.
func (p *placementSearch) slotTicket(now time.Time) slotqueue.Ticket {
	x := p.x
	policy := x.waitPolicy()
	t := slotqueue.Ticket{Service: x.service.Name, Priority: x.route.Priority, Tie: rank(x.call.ID)}
	if x.workspace != nil && x.workspace.Priority >= 0 {
		t.Priority = x.workspace.Priority
	}
	if p.slots.entry != nil {
		t.Share = p.slots.entry.Ticket().Share // a request whose place changed would have to report it again
	} else {
		t.Share = x.g.picker.shareLevel(x.workspaceName(), now)
	}
	start := policy.objective / plainStartDivisor
	if ms, ok := x.g.config.Policy.StartMs(x.service, p.request); ok {
		start = policy.objective - time.Duration(ms*float64(time.Millisecond))
	}
	t.StartBy = x.started.Add(start)
	t.Urgency = policy.slotUrgency(t.StartBy, now)
	return t
}

// chooseSlot chooses an endpoint if a slot is free for the request, or as usual while the service
// is not nearly full.
func (p *placementSearch) chooseSlot(now time.Time) (*placement, pickOutcome) {
	w, ticket := &p.slots, p.slotTicket(now)
	pl, expected, found := p.x.g.picker.pickSlot(w, p, ticket, now)
	p.expected = expected
	if found != pickWait || w.entry == nil {
		return pl, found
	}
	if w.predicted = w.outlook.Wait(now); p.x.waitPolicy().mayRefuseSlot(w.predicted, now) {
		w.refused = true
		return nil, pickFull
	}
	return nil, pickWait
}

// endSlotWait ends the wait for a slot and logs it.
func (p *placementSearch) endSlotWait(now time.Time) {
	w, g := &p.slots, p.x.g
	if !w.queued {
		return
	}
	g.picker.leaveSlots(w.entry)
	result, late := "placed", w.outlook.Ticket.Urgency == slotqueue.Late
	g.meter.slotsQueued.Inc()
	switch {
	case w.refused:
		result = "refused"
		g.meter.slotsRefused.Inc()
	case w.entry != nil:
		result = "gave up"
	}
	if late {
		g.meter.slotsLate.Inc()
	}
	o := w.outlook
	g.deps.Log.Request("Wait for a slot ended.", "request", p.x.call.ID, "service", p.x.service.Name, "result", result, "late", late, "workspace", p.x.workspaceName(), "share", w.outlook.Ticket.Share,
		"position", o.Position, "waiting", o.Waiting, "free", o.Free, "per_second", int(o.PerSecond), "predicted_ms", w.predicted.Milliseconds(),
		"waited_ms", now.Sub(p.began).Milliseconds(), "age_ms", g.picker.slotReportAge(now).Milliseconds())
}

// pollInterval returns the longest pause until the next evaluation of the load.
func (p *placementSearch) pollInterval(now time.Time) time.Duration {
	if p.slots.entry == nil {
		return queuePollInterval
	}
	if ready := p.x.g.picker.slotReadyIn(p.slots.entry, now); ready > 0 {
		return min(ready, queuePollInterval)
	}
	return queuePollInterval
}

// busyRetryAfter returns the Retry-After of a request that is refused because all slots are in use.
func (p *placementSearch) busyRetryAfter(now time.Time) time.Duration {
	if p.slots.refused {
		return p.x.waitPolicy().capRetryAfter(p.slots.predicted, now)
	}
	return retryAfterBusy
}

// pickSlot is pick for a request that may queue for a slot.
func (p *picker) pickSlot(w *slotWait, search *placementSearch, ticket slotqueue.Ticket, now time.Time) (*placement, balance.Estimate, pickOutcome) {
	x := search.x
	s := p.newSearch(x.service, search.request, x.hasIdleConn, now)
	if len(s.cells) == 0 {
		return nil, balance.Estimate{}, pickNone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.entry != nil {
		if w.entry.Ticket().Urgency != ticket.Urgency {
			p.notifyPeers()
		}
		p.slots.Update(w.entry, ticket)
		w.outlook = p.slots.Outlook(w.entry, now)
		_, ready := p.slots.Position(w.entry, now)
		if free, ok := p.slots.Counted(x.service.Name, now); ok && (!ready || ticket.Urgency == slotqueue.InTime && !now.After(ticket.StartBy) && w.outlook.Position >= free) {
			return nil, balance.Estimate{}, pickWait
		}
	}
	s.request.LoadUnknown = p.slots.ReportAge(now) >= 0 && p.loads.LivePeers(now) == 0
	res := s.gather(s.cells[s.localCell], nil)
	for i := range res.candidates {
		res.candidates[i].Fresh = p.slots.Fresh(res.candidates[i].ID, now)
	}
	free, total := p.policy.FreeSlots(s.service, s.request, res.candidates)
	if !p.slots.Count(x.service.Name, free, total, now) {
		pl, expected, found := p.place(s, s.chooseAmong(res))
		if found == picked {
			p.leaveSlotsLocked(w)
		}
		return pl, expected, found
	}
	if w.entry == nil {
		w.entry, w.queued = p.slots.Joined(ticket, now), true
		p.notifyPeers()
	}
	w.outlook = p.slots.Outlook(w.entry, now)
	_, ready := p.slots.Position(w.entry, now)
	s.request.Late = ticket.Urgency == slotqueue.Late || now.After(ticket.StartBy)
	res.choice = balance.Choice{Endpoint: -1, Wait: true}
	// A late request also accepts a slow endpoint, whose slots free does not include.
	if ready && (w.outlook.Position < free || s.request.Late) {
		res.choice = p.policy.ChooseFree(s.service, s.request, p.slots.Ahead(w.entry, now), ticket.Tie, res.candidates)
	}
	if res.choice.Wait && !s.request.Late && len(s.cells) > 1 {
		res = s.chooseInRemoteCell(res)
	}
	pl, expected, found := p.placeChoice(res, now)
	if found == picked {
		p.leaveSlotsLocked(w)
	}
	return pl, expected, found
}

// leaveSlotsLocked removes a request that was placed from the queue. The message that reports its
// load also reports that it no longer waits. The caller holds the lock.
func (p *picker) leaveSlotsLocked(w *slotWait) {
	if w.entry != nil {
		p.slots.Leave(w.entry)
		w.entry = nil
	}
}

// leaveSlots removes a request that was not placed from the queue; entry may be nil.
func (p *picker) leaveSlots(entry *slotqueue.Entry) {
	if entry == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots.Leave(entry)
	p.notifyPeers()
	p.notifyWaitersLocked()
}

// slotReadyIn returns the time until the other gateways know of a waiting request.
func (p *picker) slotReadyIn(entry *slotqueue.Entry, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots.ReadyIn(entry, now)
}

// slotReportAge returns the age of the newest report of another gateway.
func (p *picker) slotReportAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots.ReportAge(now)
}

// recordPeerSlots records the releases and the waiting requests in a peer's message, before its load
// is recorded. The caller holds the lock.
func (p *picker) recordPeerSlots(peer string, loads map[string]balance.Load, partial bool, queued map[string][]slotqueue.Head, now time.Time) {
	if p.slots == nil {
		return
	}
	p.loads.EachDecrease(peer, loads, partial, func(endpoint string, requests int) {
		if e, ok := p.state.Endpoint(endpoint); ok {
			p.slots.ReleasedByPeer(e.Service, requests, now)
			p.slots.Freed(endpoint, requests, now)
		}
	})
	if p.slots.PeerWaits(peer, queued, now) && p.loads.HasChanges() {
		p.notifyPeers()
	}
	if p.slots.LocalWaiting() > 0 && !p.slotWakePending {
		p.slotWakePending = true
		time.AfterFunc(slotWakeInterval, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.slotWakePending = false
			p.notifyWaitersLocked()
		})
	}
}

// recordSlotRelease records that a placement has released the slot that it held. The caller holds the
// lock.
func (p *picker) recordSlotRelease(pl *placement, now time.Time) {
	if p.slots == nil || !p.slots.Released(pl.endpoint.Service, now.Sub(pl.chosenAt), now) {
		return
	}
	p.notifyPeers()
	id := pl.endpoint.ID
	p.settling[id]++
	time.AfterFunc(p.slots.Delay()+slotSettleMargin, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.settling[id]--; p.settling[id] == 0 {
			delete(p.settling, id)
		}
		p.slots.Taken(pl.endpoint.Service)
		p.slots.Freed(id, 1, time.Now())
		p.notifyWaitersLocked()
	})
}
