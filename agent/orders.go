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
	// orderCheckInterval is how often a waiting order is checked; a change wakes the loop
	// earlier.
	orderCheckInterval = 250 * time.Millisecond
	// orderPollInterval is how often the endpoint is polled while an order is in progress.
	orderPollInterval = time.Second
	// unloadNoticeReports is the number of report intervals in which gateways learn that a
	// model or adapter will be unloaded, before new runs of it are refused.
	unloadNoticeReports = 2
)

// orderLoop executes accepted orders, one at a time.
func (a *Agent) orderLoop() {
	for a.ctx.Err() == nil {
		switch a.orderPhase() {
		case rudderv1.OrderPhase_ORDER_PHASE_WAITING:
			a.advanceOrder()
		case rudderv1.OrderPhase_ORDER_PHASE_FOUND, rudderv1.OrderPhase_ORDER_PHASE_UNKNOWN:
			a.resolveOrder()
		default:
			a.awaitOrder(0)
		}
	}
}

// awaitOrder waits for an accepted order, at most for maxWait if it is not 0.
func (a *Agent) awaitOrder(maxWait time.Duration) {
	var timeout <-chan time.Time
	if maxWait > 0 {
		t := time.NewTimer(maxWait)
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
	return a.orders.Phase()
}

// advanceOrder checks a waiting order and sends it once no run needs what it unloads.
func (a *Agent) advanceOrder() {
	a.mu.Lock()
	action := a.orders.CheckWaiting(a.snapshot(), a.blockers(), time.Now())
	if action == orders.Drop {
		a.closeOrder(false)
	}
	changed := a.changed
	a.mu.Unlock()
	switch action {
	case orders.Wait:
		a.awaitRuns(changed)
	case orders.QueryState:
		a.executeOrder()
	}
}

// awaitRuns waits for a change or until the next check is due.
func (a *Agent) awaitRuns(changed <-chan struct{}) {
	t := time.NewTimer(orderCheckInterval)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-a.ctx.Done():
	}
}

// executeOrder queries the endpoint's state, makes the final decision and sends the order.
func (a *Agent) executeOrder() {
	queriedAt := time.Now()
	st, err := a.queryState()
	a.mu.Lock()
	if err != nil {
		a.closeOrder(false)
		a.mu.Unlock()
		a.endpointLost()
		return
	}
	o, ok := a.orders.PrepareSend(uuid.NewString(), a.cfg.Endpoint, st, a.snapshot(), a.blockers(), queriedAt, time.Now())
	if !ok {
		a.closeOrder(false)
		a.mu.Unlock()
		return
	}
	a.modelsAsOf = time.Now()
	a.notify()
	a.mu.Unlock()
	a.deps.Log.Info("Sending an order to the endpoint.", "kind", o.Kind, "model", o.Model, "version", o.Version, "adapter", o.Adapter, "role", o.Role, "fence", o.Fence)
	a.meter.order(string(o.Kind))
	a.recordOrderResult(a.sendOrder(o))
}

// sendOrder sends the order and returns its result. It also polls the endpoint, because the
// response may be lost without an error.
func (a *Agent) sendOrder(o engine.Order) error {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	orderErr := make(chan error, 1)
	go func() { orderErr <- a.deps.Engine.Order(ctx, o) }()
	poll := time.NewTicker(orderPollInterval)
	defer poll.Stop()
	for {
		select {
		case err := <-orderErr:
			return err
		case <-poll.C:
		}
		if st, err := a.queryState(); err == nil && !st.OrderBusy && st.OrderID == o.ID {
			return nil
		}
	}
}

// recordOrderResult records the result of an order. What the endpoint holds is taken from its
// state, not from the response.
func (a *Agent) recordOrderResult(err error) {
	if err == nil {
		_, _ = a.queryState()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.closeOrder(true)
	case errors.Is(err, engine.ErrLost):
		a.deps.Log.Warn("The response to an order was lost.", "err", err)
		a.orders.ResponseLost(err.Error())
		a.notify()
	default:
		a.failOrder(err.Error())
	}
}

// resolveOrder determines the result of an order by querying the endpoint.
func (a *Agent) resolveOrder() {
	st, err := a.queryState()
	if err != nil {
		a.awaitOrder(orderPollInterval)
		return
	}
	a.mu.Lock()
	found := a.orders.Phase() == rudderv1.OrderPhase_ORDER_PHASE_FOUND
	resolution := a.orders.Resolve(st, time.Now())
	switch {
	case resolution == orders.Executed || resolution == orders.NotExecuted && found:
		a.closeOrder(resolution == orders.Executed)
	case resolution == orders.NotExecuted:
		a.failOrder("the answer was lost and the order was not carried out")
	}
	a.mu.Unlock()
	if resolution == orders.Unresolved {
		a.awaitOrder(orderCheckInterval)
	}
}

// closeOrder ends the order in progress without recording a failure; the caller holds mu.
func (a *Agent) closeOrder(done bool) {
	a.orders.Close(done)
	a.blocking = nil
	a.notify()
}

// failOrder ends the order in progress and records its failure; the caller holds mu.
func (a *Agent) failOrder(detail string) {
	a.deps.Log.Warn("Order failed.", "detail", detail)
	a.meter.orderFailed(string(a.orders.Order().Kind))
	a.orders.Fail(detail, rand.Float64(), time.Now())
	a.blocking = nil
	a.notify()
}

// queryState queries the endpoint's state and records the models and the role that it reports.
func (a *Agent) queryState() (engine.State, error) {
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	queriedAt := time.Now()
	st, err := a.deps.Engine.State(ctx)
	if err != nil {
		return st, err
	}
	a.recordModels(queriedAt, st.Models, st.Role)
	return st, nil
}

// snapshot returns the state on which decisions about orders are based; the caller holds mu.
func (a *Agent) snapshot() orders.Snapshot {
	return orders.Snapshot{
		Incarnation: a.incarnation, ClockMS: a.clockMS(), State: a.effectiveState(),
		Document: a.deps.Tracker.Document(), Endpoint: a.cfg.Endpoint, Models: a.models,
	}
}

// blockers returns the number of runs that need what the order in progress unloads. A group
// that holds memory counts as one run if a model is unloaded. So do, together, the runs that
// may still arrive before gateways have learned of the order. The caller holds mu.
func (a *Agent) blockers() int {
	for r := range a.blocking {
		if _, final := r.final(); final {
			delete(a.blocking, r)
		}
	}
	if time.Now().Before(a.refuseUnloadingFrom) {
		return len(a.blocking) + 1
	}
	if a.orders.Order().Kind == engine.OrderUnloadModel && a.mem.inUse() {
		return len(a.blocking) + 1
	}
	return len(a.blocking)
}

// servesAny reports whether the endpoint will serve any model after the order in progress; the
// caller holds mu.
func (a *Agent) servesAny() bool {
	return slices.ContainsFunc(orders.AvailableDuring(a.models, a.orders.Order()), func(m engine.Model) bool { return !m.Loading })
}

// serves reports whether the endpoint accepts new runs under the name of a model, version or
// adapter; the caller holds mu.
func (a *Agent) serves(name string) bool {
	available := a.models
	if !time.Now().Before(a.refuseUnloadingFrom) {
		available = orders.AvailableDuring(a.models, a.orders.Order())
	}
	for _, m := range available {
		if orders.Serves(m, name) {
			return true
		}
	}
	return false
}

// addBlocker makes the order in progress wait for a run if the run needs what the order
// unloads; the caller holds mu.
func (a *Agent) addBlocker(r *run) {
	if a.blocking != nil && orders.Unloads(a.models, a.orders.Order(), r.req.GetCompletion().GetModel()) {
		a.blocking[r] = struct{}{}
	}
}

// place accepts a permitted order, or returns the reason for refusing it.
func (a *Agent) place(req *rudderv1.PlaceRequest) *rudderv1.PlaceResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.acceptPermit(req)
	resp := &rudderv1.PlaceResponse{Accepted: err == nil && req.Kind != "", Report: a.report()}
	if err != nil {
		resp.Code, resp.Detail, resp.RetryAfterMs = uint32(err.Code), err.Detail, err.RetryAfter
		a.meter.permitRefused(err.Code)
	}
	return resp
}

// acceptPermit accepts the order of a permit; the caller holds mu.
func (a *Agent) acceptPermit(req *rudderv1.PlaceRequest) *result.Err {
	if req.Kind == "" {
		return nil
	}
	if a.deps.Engine == nil {
		return result.New(result.NotAllowed, "a plain service takes no orders")
	}
	if err := a.orders.Accept(permitFrom(req), a.snapshot(), time.Now()); err != nil {
		return err
	}
	a.blocking = make(map[*run]struct{})
	a.refuseUnloadingFrom = time.Time{}
	if k := a.orders.Order().Kind; k == engine.OrderUnloadModel || k == engine.OrderUnloadAdapter {
		a.refuseUnloadingFrom = time.Now().Add(unloadNoticeReports * a.cfg.ReportInterval)
	}
	for _, r := range a.records.runs {
		if _, final := r.final(); !final {
			a.addBlocker(r)
		}
	}
	a.notify()
	select {
	case a.orderWake <- struct{}{}:
	default:
	}
	return nil
}

func permitFrom(req *rudderv1.PlaceRequest) orders.Permit {
	return orders.Permit{
		Incarnation: req.Incarnation, Generation: req.Generation, Holds: req.Holds, ExpiresMS: req.ExpiresAgentMs,
		Order: engine.Order{Kind: engine.OrderKind(req.Kind), Model: req.Model, Version: req.Version, Adapter: req.Adapter, Role: req.Role},
	}
}
