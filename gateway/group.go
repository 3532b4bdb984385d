package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/memory"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// maxForming is the maximum number of groups that one gateway forms at
	// once; others wait for a slot.
	maxForming = 4
	// groupLeaseTTL is the duration of a group's leases and renewInterval the
	// time between renewals: one or two lost renewals do no harm.
	groupLeaseTTL = 4 * time.Second
	renewInterval = time.Second
	// avoidDuration is how long an endpoint that failed a group is used only if
	// there is no alternative.
	avoidDuration = 30 * time.Second
)

// group prefills a prompt that does not fit into the memory of any single
// endpoint on several endpoints, up to the order of the run from the last one.
// Package memory makes its decisions.
type group struct {
	s           *session
	id          string
	requestedAt time.Time
	failedAt    map[string]time.Time // when endpoints failed, by name
	spans       []*rudderv1.KVHandle // computed so far, in the order of the prompt
	links       []*link              // by member index

	mu    sync.Mutex // guards state, which the renewals use too
	state *memory.Group

	runLink *link // where to order the run; set once the group is formed

	ctx        context.Context // of the current attempt
	cancel     context.CancelCauseFunc
	background sync.WaitGroup // renewals and preloads of the current attempt
}

// leaseExpiredError is the cancellation cause of an attempt in which a member's
// lease has expired.
type leaseExpiredError struct{ member int }

// Error implements error.
func (l *leaseExpiredError) Error() string { return "lease of a group member expired" }

// newGroup returns a group that avoids the endpoints excluded so far.
func newGroup(s *session) *group {
	id := newID()
	gr := &group{s: s, id: id, requestedAt: s.start, failedAt: make(map[string]time.Time), state: memory.NewGroup(id, s.dispatch.Attempts > 0)}
	for name := range s.excluded {
		gr.failedAt[name] = time.Now()
	}
	return gr
}

// needsGroup reports whether the prompt and its response exceed the memory of
// every endpoint that serves the model, even when idle. An endpoint that has
// not been heard from, or whose memory is unknown, is assumed to be large
// enough.
func (g *Gateway) needsGroup(c *rudderv1.Completion) bool {
	need, found := c.PromptTokens+c.MaxTokens, false
	for _, l := range g.links.all() {
		tokens, serves := l.memorySize(c.Model)
		if !serves {
			continue
		}
		if tokens == 0 || need <= tokens {
			return false
		}
		found = true
	}
	return found
}

// memorySize returns the endpoint's memory, 0 if unknown, and whether it serves
// the model. An endpoint that has not been heard from is assumed to serve it.
func (l *link) memorySize(model string) (tokens uint64, serves bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.declared.Service != "" || l.models != nil && !l.models[model] {
		return 0, false
	}
	if n := l.load.GetMemoryTokens(); n > 0 {
		return n, true
	}
	return l.declared.MemoryTokens, true
}

// form takes the group through its steps until the run can be ordered, and
// returns the link of the endpoint to order it from. If that fails, it returns
// the end for the caller; nothing has run then.
func (gr *group) form(ctx context.Context) (*link, *rudderv1.End) {
	if end := gr.s.g.acquireFormingSlot(ctx); end != nil {
		return nil, end
	}
	releaseSlot := sync.OnceFunc(gr.s.g.releaseFormingSlot)
	defer releaseSlot()
	for {
		gr.beginAttempt(ctx)
		a := gr.next()
		for a.Kind < memory.ActionRun {
			if a.Kind != memory.ActionReserve {
				releaseSlot()
			}
			gr.execute(ctx, a)
			a = gr.next()
		}
		switch a.Kind {
		case memory.ActionRun:
			return gr.links[a.Member], nil
		case memory.ActionFail:
			gr.releaseAll()
			return nil, gr.failureEnd(ctx, a.Code)
		}
		gr.releaseAll()
		if end := gr.backOff(ctx, a.Backoff); end != nil {
			return nil, end
		}
	}
}

func (gr *group) next() memory.Action {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.state.Next()
}

// acquireFormingSlot waits for a slot to form a group.
func (g *Gateway) acquireFormingSlot(ctx context.Context) *rudderv1.End {
	select {
	case g.formingSlots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return endBeforeRun(ctx, result.New(result.MemoryHeld, "other groups were being formed"))
	}
}

func (g *Gateway) releaseFormingSlot() { <-g.formingSlots }

// endBeforeRun returns the end of a group whose time ran out, whose caller
// disconnected or whose gateway shuts down before its run was ordered.
func endBeforeRun(ctx context.Context, err *result.Err) *rudderv1.End {
	switch {
	case drain.Ended(ctx):
		err = errDraining()
	case errors.Is(ctx.Err(), context.Canceled):
		err = &result.Err{Code: result.Canceled, Outcome: result.NotRun}
	}
	err.RetryAfter = defaultRetryAfter.Milliseconds()
	return endOf(err)
}

// failureEnd returns the end of a group that has failed for good. A member that
// was lost before the run was ordered is reported to the caller as memory that
// was not available.
func (gr *group) failureEnd(ctx context.Context, code result.Code) *rudderv1.End {
	return endBeforeRun(ctx, &result.Err{Code: callerCode(code), Outcome: result.NotRun, Detail: "group of endpoints: " + code.String()})
}

func callerCode(c result.Code) result.Code {
	switch c {
	case result.AgentLost, result.EndpointLost, result.LeaseLost:
		return result.MemoryHeld
	default:
		return c
	}
}

// backOff waits before the next attempt. The wait is randomized, so that groups
// that collided do not collide again.
func (gr *group) backOff(ctx context.Context, backoff time.Duration) *rudderv1.End {
	select {
	case <-time.After(backoff/2 + rand.N(backoff)):
		return nil
	case <-ctx.Done():
		return endBeforeRun(ctx, result.New(result.MemoryHeld, ""))
	}
}

// beginAttempt plans the next attempt and starts its renewals.
func (gr *group) beginAttempt(ctx context.Context) {
	gr.spans, gr.links = nil, nil
	plan, code := gr.plan()
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.ctx, gr.cancel = context.WithCancelCause(ctx)
	if code != 0 {
		gr.state.RecordNoPlan(code)
		return
	}
	gr.state.Begin(plan)
	gr.s.g.meter.recordGroupStep("attempt")
	gr.background.Go(gr.renewLoop)
}

// plan selects the members, or returns the reason why there is no plan.
func (gr *group) plan() (memory.Plan, result.Code) {
	c := gr.s.cr.completion
	req := memory.PlanRequest{Prompt: c.PromptTokens, Output: c.MaxTokens}
	if gr.s.cr.claims != nil {
		req.LastEndpoint = gr.s.cr.claims.Endpoint
	}
	memories, links := gr.memories(time.Now())
	p := req.Plan(memories)
	if p == nil {
		return nil, result.NoEndpoint
	}
	var total time.Duration
	for _, m := range p {
		l := links[m.Endpoint]
		gr.links = append(gr.links, l)
		total += l.cost().Prefill(m.Start+m.Tokens, m.Start)
	}
	if total > time.Until(gr.s.cr.deadline) {
		return nil, result.DeadlineTooNear
	}
	gr.recordDecision(p)
	return p, 0
}

// memories returns the memory of the usable endpoints, the input of the
// planner, and their links by endpoint name.
func (gr *group) memories(now time.Time) ([]memory.EndpointMemory, map[string]*link) {
	var memories []memory.EndpointMemory
	links := make(map[string]*link)
	view, byIndex := gr.s.g.links.candidates(now)
	for i, c := range view {
		l := byIndex[i]
		if !c.Connected || c.Draining || !c.Models[gr.s.cr.completion.Model] {
			continue
		}
		failed, ok := gr.failedAt[c.Endpoint]
		memories = append(memories, l.memoryState(&c, ok && now.Sub(failed) < avoidDuration))
		links[c.Endpoint] = l
	}
	return memories, links
}

// memoryState returns the endpoint's memory as input of the planner.
func (l *link) memoryState(c *routing.Candidate, avoid bool) memory.EndpointMemory {
	l.mu.Lock()
	defer l.mu.Unlock()
	return memory.EndpointMemory{
		Endpoint: c.Endpoint, Limit: l.load.GetReserveLimit(), Reserved: l.load.GetReservedTokens(), Free: c.FreeTokens,
		Wait: c.Wait[routing.ClassHuge] + c.Pending, SameDataCentre: c.DataCentre == l.g.cfg.DataCentre, Avoid: avoid || c.BreakerOpen,
	}
}

// cost returns the endpoint's learned cost, with defaults for what is unknown.
func (l *link) cost() routing.Cost {
	l.mu.Lock()
	defer l.mu.Unlock()
	return costOf(l.load).OrDefault()
}

// recordDecision records the plan as a routing decision.
func (gr *group) recordDecision(p memory.Plan) {
	names := make([]string, 0, len(p))
	for _, m := range p {
		names = append(names, m.Endpoint)
	}
	d := routing.Decision{Reason: "group " + strings.Join(names, " ")}
	gr.s.g.explain.record(gr.s.cr.id, gr.s.dispatch.Attempts+1, names[len(names)-1], d)
}
