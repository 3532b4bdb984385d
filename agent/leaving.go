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
	// returnQueuedAfter is how long a draining agent still starts queued work. After that,
	// repeatable work in the queue is refused, so that another endpoint can run it.
	returnQueuedAfter = time.Second
	// maxDrainLease limits how long one notice from the platform's host list is valid.
	maxDrainLease = 15 * time.Second
	// maxDrainNoticeAge is the maximum age of such a notice on arrival; an older one comes from a
	// gateway that was suspended.
	maxDrainNoticeAge = 3 * time.Second
)

// drainState contains the reasons why an agent accepts no new work. They are independent.
type drainState struct {
	stopping          bool      // a planned stop has begun; it cannot be revoked
	admissionClosed   bool      // the records have been handed over: nothing is admitted, not even under a lease
	drainUntil        time.Time // the platform withdraws the host until then
	declared          bool      // the configuration of checkedGeneration declares the endpoint or host as draining
	checkedGeneration uint64    // the generation from which declared was read
}

// effectiveState returns the state that is reported to others; the caller holds mu.
func (a *Agent) effectiveState() rudderv1.AgentState {
	if a.draining.stopping || a.declaredDraining() || time.Now().Before(a.draining.drainUntil) {
		return rudderv1.AgentState_AGENT_STATE_LEAVING
	}
	return a.state
}

// declaredDraining reports whether the configuration in force declares the endpoint or its host
// as draining; the caller holds mu.
func (a *Agent) declaredDraining() bool {
	doc := a.deps.Tracker.Document()
	if doc.Generation != a.draining.checkedGeneration {
		a.draining.checkedGeneration, a.draining.declared = doc.Generation, documentDraining(doc, a.cfg.Endpoint, a.cfg.Host)
	}
	return a.draining.declared
}

// documentDraining reports whether a document declares the endpoint or the host as draining.
func documentDraining(doc *rudderv1.Document, endpoint, host string) bool {
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

// watchDocument reports without delay that the agent starts or stops draining because of a new
// document.
func (a *Agent) watchDocument() {
	reported := false
	for {
		changed := a.deps.Tracker.Changed()
		if draining := a.isDraining(); draining != reported {
			reported = draining
			a.drainingChanged()
		}
		select {
		case <-changed:
		case <-a.ctx.Done():
			return
		}
	}
}

// isDraining reports whether the agent is draining for any reason.
func (a *Agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.effectiveState() == rudderv1.AgentState_AGENT_STATE_LEAVING
}

// beginStop begins a planned stop.
func (a *Agent) beginStop() {
	a.mu.Lock()
	a.draining.stopping = true
	a.mu.Unlock()
	a.drainingChanged()
}

// drainingChanged reports that the agent has started or stopped draining. If it is draining, it
// schedules returnQueued.
func (a *Agent) drainingChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify()
	if a.effectiveState() == rudderv1.AgentState_AGENT_STATE_LEAVING {
		time.AfterFunc(returnQueuedAfter, a.returnQueued)
	}
}

// urgentSince reports whether the agent is draining, or has a successor, and the last report
// did not contain that. It also returns the channel that is closed at the next change.
func (a *Agent) urgentSince(last *rudderv1.AgentReport) (<-chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.effectiveState()
	beganDraining := now != last.State && now == rudderv1.AgentState_AGENT_STATE_LEAVING
	return a.changed, beganDraining || a.successor != last.Successor
}

// returnQueued refuses the repeatable work in the queue if another declared endpoint can run
// it. Unrepeatable work and the runs of groups are bound to this agent and run here.
func (a *Agent) returnQueued() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.effectiveState() != rudderv1.AgentState_AGENT_STATE_LEAVING || !a.hasPeer() {
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

// hasPeer reports whether another endpoint of the same kind is declared and not draining; the
// caller holds mu.
func (a *Agent) hasPeer() bool {
	doc := a.deps.Tracker.Document()
	for _, e := range doc.Endpoints {
		if e.Name != a.cfg.Endpoint && e.Service == a.cfg.Service && !documentDraining(doc, e.Name, e.Host) {
			return true
		}
	}
	return false
}

// Leave handles a notice from the platform about the host, forwarded by a gateway. It is
// applied only if it is recent and names this incarnation, and only until its lease ends.
func (s *server) Leave(_ context.Context, req *connect.Request[rudderv1.LeaveRequest]) (*connect.Response[rudderv1.LeaveResponse], error) {
	s.a.applyDrainNotice(req.Msg)
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	return connect.NewResponse(&rudderv1.LeaveResponse{Leaving: s.a.effectiveState() == rudderv1.AgentState_AGENT_STATE_LEAVING}), nil
}

func (a *Agent) applyDrainNotice(m *rudderv1.LeaveRequest) {
	age := time.Duration(a.clockMS()-m.DecidedAgentMs) * time.Millisecond
	lease := min(time.Duration(m.LeaseMs)*time.Millisecond, maxDrainLease) - max(age, 0)
	if m.Incarnation != a.incarnation || age > maxDrainNoticeAge || lease <= 0 {
		return
	}
	a.mu.Lock()
	now := time.Now()
	begins := now.After(a.draining.drainUntil)
	if until := now.Add(lease); until.After(a.draining.drainUntil) {
		a.draining.drainUntil = until
		time.AfterFunc(lease+time.Millisecond, a.drainingChanged)
	}
	a.mu.Unlock()
	if begins {
		a.deps.Log.Info("The platform is withdrawing this host.", "gateway", m.Gateway)
		a.drainingChanged()
	}
}
