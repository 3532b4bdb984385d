package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// moveAfter is how long a leaving agent still starts queued work. What is
	// repeatable is then given back, so that another endpoint takes it.
	moveAfter = time.Second
	// maxLeaveLease bounds how long one word of the platform's list is believed.
	maxLeaveLease = 15 * time.Second
	// maxLeaveAge bounds the age of such a word on arrival; an older one comes
	// from a gateway that was frozen.
	maxLeaveAge = 3 * time.Second
)

// departure is why an agent takes no new work. The reasons are independent.
type departure struct {
	stopped  bool      // a planned stop; never taken back
	closed   bool      // the records were taken: nothing is admitted, whatever was promised
	advised  time.Time // until then the platform's list takes the host away
	declared bool      // by the document of generation
	checked  uint64    // the generation that declared was read from
}

// current is the agent's state towards the outside; the caller holds mu.
func (a *Agent) current() rudderv1.AgentState {
	if a.leave.stopped || a.declaredLeaving() || time.Now().Before(a.leave.advised) {
		return rudderv1.AgentState_AGENT_STATE_LEAVING
	}
	return a.state
}

// declaredLeaving reports whether the document in force takes the endpoint or
// its host away; the caller holds mu.
func (a *Agent) declaredLeaving() bool {
	doc := a.deps.Keeper.Document()
	if doc.Generation != a.leave.checked {
		a.leave.checked, a.leave.declared = doc.Generation, leavesIn(doc, a.cfg.Endpoint, a.cfg.Host)
	}
	return a.leave.declared
}

// leavesIn reports whether a document declares the endpoint or the host as leaving.
func leavesIn(doc *rudderv1.Document, endpoint, host string) bool {
	for _, e := range doc.Endpoints {
		if e.Name == endpoint && e.Leaving {
			return true
		}
	}
	for _, h := range doc.Hosts {
		if h.Name == host && h.Leaving {
			return true
		}
	}
	return false
}

// watchDocument reports at once when a document begins or ends a departure.
func (a *Agent) watchDocument() {
	told := false
	for {
		changed := a.deps.Keeper.Changed()
		if leaving := a.isLeaving(); leaving != told {
			told = leaving
			a.departing()
		}
		select {
		case <-changed:
		case <-a.ctx.Done():
			return
		}
	}
}

// isLeaving reports whether the agent is leaving, for whatever reason.
func (a *Agent) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current() == rudderv1.AgentState_AGENT_STATE_LEAVING
}

// stopping begins a planned stop.
func (a *Agent) stopping() {
	a.mu.Lock()
	a.leave.stopped = true
	a.mu.Unlock()
	a.departing()
}

// departing makes a change of the departure known.
func (a *Agent) departing() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify()
	if a.current() == rudderv1.AgentState_AGENT_STATE_LEAVING {
		time.AfterFunc(moveAfter, a.giveBack)
	}
}

// urgentSince reports whether the agent leaves or has a successor while told
// says otherwise, and returns the channel that is closed at the next change.
func (a *Agent) urgentSince(told *rudderv1.AgentReport) (<-chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.current()
	leaves := now != told.State && now == rudderv1.AgentState_AGENT_STATE_LEAVING
	return a.changed, leaves || a.successor != told.Successor
}

// giveBack refuses the repeatable work that still waits, if another endpoint
// is declared that can take it. Unrepeatable work, and a group's run, are bound
// to this agent and run here.
func (a *Agent) giveBack() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current() != rudderv1.AgentState_AGENT_STATE_LEAVING || !a.hasPeer() {
		return
	}
	for id, r := range a.waiting {
		if !r.req.Repeatable || r.req.GetCompletion().GetGroup() != "" || !a.queue.Remove(id) {
			continue
		}
		if r.apply(lifecycle.Event{Kind: lifecycle.EvRefused, Code: result.Draining}, "") != lifecycle.ActIgnore {
			go a.endRun(r)
		}
	}
}

// hasPeer reports whether another endpoint of the same kind is declared and
// stays; the caller holds mu.
func (a *Agent) hasPeer() bool {
	doc := a.deps.Keeper.Document()
	for _, e := range doc.Endpoints {
		if e.Name != a.cfg.Endpoint && e.Service == a.cfg.Service && !leavesIn(doc, e.Name, e.Host) {
			return true
		}
	}
	return false
}

// Leave takes the platform's word about the host from a gateway. Only a fresh
// one for this incarnation counts, and only for its lease.
func (s *server) Leave(_ context.Context, req *connect.Request[rudderv1.LeaveRequest]) (*connect.Response[rudderv1.LeaveResponse], error) {
	s.a.advise(req.Msg)
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	return connect.NewResponse(&rudderv1.LeaveResponse{Leaving: s.a.current() == rudderv1.AgentState_AGENT_STATE_LEAVING}), nil
}

func (a *Agent) advise(m *rudderv1.LeaveRequest) {
	age := time.Duration(a.clockMS()-m.DecidedAgentMs) * time.Millisecond
	lease := min(time.Duration(m.LeaseMs)*time.Millisecond, maxLeaveLease) - max(age, 0)
	if m.Incarnation != a.incarnation || age > maxLeaveAge || lease <= 0 {
		return
	}
	a.mu.Lock()
	now := time.Now()
	begins := now.After(a.leave.advised)
	if until := now.Add(lease); until.After(a.leave.advised) {
		a.leave.advised = until
		time.AfterFunc(lease+time.Millisecond, a.departing)
	}
	a.mu.Unlock()
	if begins {
		a.deps.Log.Info("The platform takes this host away.", "gateway", m.Gateway)
		a.departing()
	}
}
