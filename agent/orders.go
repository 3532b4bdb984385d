package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/orders"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// orderLook is how often a waiting order is looked at; a change wakes the
	// loop earlier.
	orderLook = 250 * time.Millisecond
	// orderPoll is how often the endpoint is asked while an order is in progress.
	orderPoll = time.Second
	// withdrawReports is how many report intervals gateways get to learn that
	// a model or adapter goes, before new runs of it are refused.
	withdrawReports = 2
)

// orderLoop carries out accepted orders, one at a time.
func (a *Agent) orderLoop() {
	for a.ctx.Err() == nil {
		switch a.orderPhase() {
		case rudderv1.OrderPhase_ORDER_PHASE_WAITING:
			a.advanceOrder()
		case rudderv1.OrderPhase_ORDER_PHASE_FOUND, rudderv1.OrderPhase_ORDER_PHASE_UNKNOWN:
			a.settleOrder()
		default:
			a.waitOrder(0)
		}
	}
}

// waitOrder waits for an accepted order, and for the pause if it is not 0.
func (a *Agent) waitOrder(pause time.Duration) {
	var timeout <-chan time.Time
	if pause > 0 {
		t := time.NewTimer(pause)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-a.orderWake:
	case <-timeout:
	case <-a.ctx.Done():
	}
}

func (a *Agent) orderPhase() rudderv1.OrderPhase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.book.Phase()
}

// advanceOrder looks at a waiting order and gives it once nothing needs what
// it takes away.
func (a *Agent) advanceOrder() {
	a.mu.Lock()
	action := a.book.CheckWaiting(a.situation(), a.blockers(), time.Now())
	if action == orders.Drop {
		a.closeOrder(false)
	}
	changed := a.changed
	a.mu.Unlock()
	switch action {
	case orders.Wait:
		a.awaitRuns(changed)
	case orders.QueryState:
		a.giveOrder()
	}
}

// awaitRuns waits until something changed or it is time for the next look.
func (a *Agent) awaitRuns(changed <-chan struct{}) {
	t := time.NewTimer(orderLook)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-a.ctx.Done():
	}
}

// giveOrder asks the endpoint for its state, decides again and sends the order.
func (a *Agent) giveOrder() {
	asked := time.Now()
	st, err := a.askState()
	a.mu.Lock()
	if err != nil {
		a.closeOrder(false)
		a.mu.Unlock()
		a.endpointLost()
		return
	}
	o, ok := a.book.PrepareSend(uuid.NewString(), a.cfg.Endpoint, st, a.situation(), a.blockers(), asked, time.Now())
	if !ok {
		a.closeOrder(false)
		a.mu.Unlock()
		return
	}
	a.stated = time.Now()
	a.notify()
	a.mu.Unlock()
	a.deps.Log.Info("Giving an order.", "kind", o.Kind, "model", o.Model, "version", o.Version, "adapter", o.Adapter, "role", o.Role, "fence", o.Fence)
	a.meter.order(string(o.Kind))
	a.endOrder(a.sendOrder(o))
}

// sendOrder sends the order and returns how it ended. It also asks the
// endpoint from time to time, for the answer may be lost without a sign.
func (a *Agent) sendOrder(o engine.Order) error {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	answer := make(chan error, 1)
	go func() { answer <- a.deps.Engine.Order(ctx, o) }()
	poll := time.NewTicker(orderPoll)
	defer poll.Stop()
	for {
		select {
		case err := <-answer:
			return err
		case <-poll.C:
		}
		if st, err := a.askState(); err == nil && !st.OrderBusy && st.OrderID == o.ID {
			return nil
		}
	}
}

// endOrder records how an order ended. The endpoint's state, not the answer,
// says what it holds.
func (a *Agent) endOrder(err error) {
	if err == nil {
		_, _ = a.askState()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.closeOrder(true)
	case errors.Is(err, engine.ErrLost):
		a.deps.Log.Warn("The answer to an order was lost.", "err", err)
		a.book.AnswerLost(err.Error())
		a.notify()
	default:
		a.failOrder(err.Error())
	}
}

// settleOrder finds out what became of an order by asking the endpoint.
func (a *Agent) settleOrder() {
	st, err := a.askState()
	if err != nil {
		a.waitOrder(orderPoll)
		return
	}
	a.mu.Lock()
	found := a.book.Phase() == rudderv1.OrderPhase_ORDER_PHASE_FOUND
	ending := a.book.Resolve(st, time.Now())
	switch {
	case ending == orders.Executed || ending == orders.NotExecuted && found:
		a.closeOrder(ending == orders.Executed)
	case ending == orders.NotExecuted:
		a.failOrder("the answer was lost and the order was not carried out")
	}
	a.mu.Unlock()
	if ending == orders.Unresolved {
		a.waitOrder(orderLook)
	}
}

// closeOrder and failOrder end the order in progress; the caller holds mu.
func (a *Agent) closeOrder(done bool) {
	a.book.Close(done)
	a.blocking = nil
	a.notify()
}

func (a *Agent) failOrder(detail string) {
	a.deps.Log.Warn("An order failed.", "detail", detail)
	a.meter.orderFailed(string(a.book.Order().Kind))
	a.book.Fail(detail, rand.Float64(), time.Now())
	a.blocking = nil
	a.notify()
}

// askState asks the endpoint what it holds and records it.
func (a *Agent) askState() (engine.State, error) {
	ctx, cancel := context.WithTimeout(a.ctx, probeTime)
	defer cancel()
	asked := time.Now()
	st, err := a.deps.Engine.State(ctx)
	if err != nil {
		return st, err
	}
	a.serving(asked, st.Models, st.Role)
	return st, nil
}

// situation is what the agent knows now; the caller holds mu.
func (a *Agent) situation() orders.Snapshot {
	return orders.Snapshot{
		Incarnation: a.incarnation, ClockMS: a.clockMS(), State: a.current(),
		Document: a.deps.Keeper.Document(), Endpoint: a.cfg.Endpoint, Models: a.models,
	}
}

// blockers returns how many runs need what the order in progress takes away; a
// group that holds memory counts as one when a model goes, and so do the runs
// that may still come while gateways learn of it. The caller holds mu.
func (a *Agent) blockers() int {
	for r := range a.blocking {
		if _, final := r.final(); final {
			delete(a.blocking, r)
		}
	}
	if time.Now().Before(a.withdraw) {
		return len(a.blocking) + 1
	}
	if a.book.Order().Kind == engine.OrderUnloadModel && a.desk.busy() {
		return len(a.blocking) + 1
	}
	return len(a.blocking)
}

// servesAny tells whether the endpoint will serve a model after the order in
// progress; the caller holds mu.
func (a *Agent) servesAny() bool {
	return slices.ContainsFunc(orders.AvailableDuring(a.models, a.book.Order()), func(m engine.Model) bool { return !m.Loading })
}

// serves tells whether the endpoint takes new runs under a model's, version's
// or adapter's name; the caller holds mu.
func (a *Agent) serves(name string) bool {
	left := a.models
	if !time.Now().Before(a.withdraw) {
		left = orders.AvailableDuring(a.models, a.book.Order())
	}
	for _, m := range left {
		if orders.Serves(m, name) {
			return true
		}
	}
	return false
}

// block lets the order in progress wait for a run that needs what it takes
// away; the caller holds mu.
func (a *Agent) block(r *run) {
	if a.blocking != nil && orders.Unloads(a.models, a.book.Order(), r.req.GetCompletion().GetModel()) {
		a.blocking[r] = struct{}{}
	}
}

// place accepts a permitted order, or says why not.
func (a *Agent) place(req *rudderv1.PlaceRequest) *rudderv1.PlaceResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.accept(req)
	resp := &rudderv1.PlaceResponse{Accepted: err == nil && req.Kind != "", Report: a.report()}
	if err != nil {
		resp.Code, resp.Detail, resp.RetryAfterMs = uint32(err.Code), err.Detail, err.RetryAfter
		a.meter.permitRefused(err.Code)
	}
	return resp
}

// accept takes the order of a permit; the caller holds mu.
func (a *Agent) accept(req *rudderv1.PlaceRequest) *result.Err {
	if req.Kind == "" {
		return nil
	}
	if a.deps.Engine == nil {
		return result.New(result.NotAllowed, "a plain service takes no orders")
	}
	if err := a.book.Accept(permitOf(req), a.situation(), time.Now()); err != nil {
		return err
	}
	a.blocking = make(map[*run]struct{})
	a.withdraw = time.Time{}
	if k := a.book.Order().Kind; k == engine.OrderUnloadModel || k == engine.OrderUnloadAdapter {
		a.withdraw = time.Now().Add(withdrawReports * a.cfg.ReportInterval)
	}
	for _, r := range a.records.runs {
		if _, final := r.final(); !final {
			a.block(r)
		}
	}
	a.notify()
	select {
	case a.orderWake <- struct{}{}:
	default:
	}
	return nil
}

func permitOf(req *rudderv1.PlaceRequest) orders.Permit {
	return orders.Permit{
		Incarnation: req.Incarnation, Generation: req.Generation, Holds: req.Holds, ExpiresMS: req.ExpiresAgentMs,
		Order: engine.Order{Kind: engine.OrderKind(req.Kind), Model: req.Model, Version: req.Version, Adapter: req.Adapter, Role: req.Role},
	}
}
