package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/micarudder/micarudder/memory"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// maxForming bounds the groups that one gateway forms at once; the others
	// wait their turn.
	maxForming = 4
	// groupLease is the length of a group's leases, renewEvery the time between
	// two renewals: a lost renewal or two does no harm.
	groupLease = 4 * time.Second
	renewEvery = time.Second
	// avoidTime is how long an endpoint that failed a group is taken only if
	// there is no other.
	avoidTime = 30 * time.Second
)

// group runs one prompt that no single endpoint can hold over several of them,
// up to the order of the run at the last. package memory makes its decisions.
type group struct {
	s     *session
	id    string
	since time.Time
	avoid map[string]time.Time // endpoints that failed, with when
	spans []*rudderv1.KVHandle // computed so far, in the prompt's order
	links []*link              // by member

	mu    sync.Mutex // guards state, which renewals use too
	state *memory.Group

	ready *link // where the run is to be ordered, once formed

	ctx    context.Context // of the present attempt
	cancel context.CancelCauseFunc
	leases sync.WaitGroup // the renewals of the present attempt
}

// lapse is the cause of an attempt's end when a member's lease is over.
type lapse struct{ member int }

// Error implements error.
func (l *lapse) Error() string { return "a lease lapsed" }

// newGroup returns a group that avoids the endpoints excluded so far.
func newGroup(s *session) *group {
	id := newID()
	gr := &group{s: s, id: id, since: s.began, avoid: make(map[string]time.Time), state: memory.NewGroup(id, s.life.Attempts > 0)}
	for name := range s.excluded {
		gr.avoid[name] = time.Now()
	}
	return gr
}

// needsGroup reports whether no endpoint that serves the model could hold the
// prompt and its answer even if it were idle. An endpoint not heard yet, or of
// unknown size, might.
func (g *Gateway) needsGroup(c *rudderv1.Completion) bool {
	need, found := c.PromptTokens+c.MaxTokens, false
	for _, l := range g.links.all() {
		size, serves := l.size(c.Model)
		if !serves {
			continue
		}
		if size == 0 || need <= size {
			return false
		}
		found = true
	}
	return found
}

// size returns the endpoint's memory, 0 when unknown, and whether it serves the
// model or, not being heard yet, may do so.
func (l *link) size(model string) (tokens uint64, serves bool) {
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
// returns the link of the endpoint to order it from. The end is set when the
// caller is to be told something else instead; nothing has run then.
func (gr *group) form(ctx context.Context) (*link, *rudderv1.End) {
	if end := gr.s.g.enterForming(ctx); end != nil {
		return nil, end
	}
	leave := sync.OnceFunc(gr.s.g.leaveForming)
	defer leave()
	for {
		gr.begin(ctx)
		a := gr.next()
		for a.Kind < memory.ActionRun {
			if a.Kind != memory.ActionReserve {
				leave()
			}
			gr.step(ctx, a)
			a = gr.next()
		}
		switch a.Kind {
		case memory.ActionRun:
			return gr.links[a.Member], nil
		case memory.ActionFail:
			gr.disband()
			return nil, gr.failed(ctx, a.Code)
		}
		gr.disband()
		if end := gr.rest(ctx, a.Backoff); end != nil {
			return nil, end
		}
	}
}

func (gr *group) next() memory.Action {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.state.Next()
}

// enterForming waits for a turn to form a group.
func (g *Gateway) enterForming(ctx context.Context) *rudderv1.End {
	select {
	case g.forming <- struct{}{}:
		return nil
	case <-ctx.Done():
		return unformed(ctx, result.New(result.MemoryHeld, "other groups were being formed"))
	}
}

func (g *Gateway) leaveForming() { <-g.forming }

// unformed is the end of a group whose time ran out, or whose caller left,
// before its run was ordered.
func unformed(ctx context.Context, err *result.Err) *rudderv1.End {
	if errors.Is(ctx.Err(), context.Canceled) {
		err = &result.Err{Code: result.Canceled, Outcome: result.NotRun}
	}
	err.RetryAfter = comeBack.Milliseconds()
	return endOf(err)
}

// failed is the end of a group that is given up. What befell a member before
// the run was ordered means to the caller that the memory was not to be had.
func (gr *group) failed(ctx context.Context, code result.Code) *rudderv1.End {
	return unformed(ctx, &result.Err{Code: callerCode(code), Outcome: result.NotRun, Detail: "group of endpoints: " + code.String()})
}

func callerCode(c result.Code) result.Code {
	switch c {
	case result.AgentLost, result.EndpointLost, result.LeaseLost:
		return result.MemoryHeld
	default:
		return c
	}
}

// rest waits before the next attempt, by a random part of the pause so that
// groups that collided do not collide again.
func (gr *group) rest(ctx context.Context, pause time.Duration) *rudderv1.End {
	select {
	case <-time.After(pause/2 + rand.N(pause)):
		return nil
	case <-ctx.Done():
		return unformed(ctx, result.New(result.MemoryHeld, ""))
	}
}

// begin plans the next attempt.
func (gr *group) begin(ctx context.Context) {
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
	gr.s.g.meter.group("attempt")
	gr.leases.Go(gr.renewLoop)
}

// plan chooses the members, or says why there is no plan.
func (gr *group) plan() (memory.Plan, result.Code) {
	c := gr.s.o.completion
	need := memory.PlanRequest{Prompt: c.PromptTokens, Answer: c.MaxTokens}
	if gr.s.o.claims != nil {
		need.LastEndpoint = gr.s.o.claims.Endpoint
	}
	rooms, links := gr.rooms(time.Now())
	p := need.Plan(rooms)
	if p == nil {
		return nil, result.NoEndpoint
	}
	var takes time.Duration
	for _, m := range p {
		l := links[m.Endpoint]
		gr.links = append(gr.links, l)
		takes += l.cost().Prefill(m.Start+m.Tokens, m.Start)
	}
	if takes > time.Until(gr.s.o.deadline) {
		return nil, result.DeadlineTooNear
	}
	gr.explain(p)
	return p, 0
}

// rooms is the view of the planner, with the links by endpoint.
func (gr *group) rooms(now time.Time) ([]memory.EndpointMemory, map[string]*link) {
	var rooms []memory.EndpointMemory
	links := make(map[string]*link)
	view, order := gr.s.g.links.view(now)
	for i, c := range view {
		l := order[i]
		if !c.Connected || c.Leaving || !c.Models[gr.s.o.completion.Model] {
			continue
		}
		failed, ok := gr.avoid[c.Endpoint]
		rooms = append(rooms, l.room(&c, ok && now.Sub(failed) < avoidTime))
		links[c.Endpoint] = l
	}
	return rooms, links
}

// room is the link as the planner of groups sees it.
func (l *link) room(c *routing.Candidate, avoid bool) memory.EndpointMemory {
	l.mu.Lock()
	defer l.mu.Unlock()
	return memory.EndpointMemory{
		Endpoint: c.Endpoint, Limit: l.load.GetReserveLimit(), Reserved: l.load.GetReservedTokens(), Free: c.FreeTokens,
		Wait: c.Wait[routing.ClassHuge] + c.Pending, SameDataCentre: c.DataCentre == l.g.cfg.DataCentre, Avoid: avoid || c.BreakerOpen,
	}
}

// cost is the endpoint's learned cost.
func (l *link) cost() routing.Cost {
	l.mu.Lock()
	defer l.mu.Unlock()
	return costOf(l.load).OrDefault()
}

// explain records the choice as a routing decision.
func (gr *group) explain(p memory.Plan) {
	names := make([]string, 0, len(p))
	for _, m := range p {
		names = append(names, m.Endpoint)
	}
	d := routing.Decision{Reason: "group " + strings.Join(names, " ")}
	gr.s.g.explain.record(gr.s.o.id, gr.s.life.Attempts+1, names[len(names)-1], d)
}
