package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/memory"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// reserveNumerator and reserveDenominator give the share of the endpoint's memory that may
	// be reserved. The rest stays available for short work.
	reserveNumerator   = 7
	reserveDenominator = 8
	// sweepRetryInterval is the time between two attempts to free the memory of ended leases.
	sweepRetryInterval = 250 * time.Millisecond
)

// memoryState is the agent's record of its endpoint's memory. The agent's lock guards it.
type memoryState struct {
	leases         *memory.LeaseTable
	jobs           map[string]*spanJob    // by span ID
	queuedJobs     int                    // number of jobs in the queue
	orphanedTokens uint64                 // tokens held at the endpoint without a lease, as last seen
	imports        map[string]*spanImport // finished imports and those in progress, by span ID
	// uncancelled contains the runs whose cancellation failed; they may still use memory.
	uncancelled map[string]struct{}
	wake        chan struct{}
}

func newMemoryState(tokens uint64) *memoryState {
	return &memoryState{
		leases: memory.NewLeaseTable(tokens, tokens/reserveDenominator*reserveNumerator),
		jobs:   make(map[string]*spanJob),
		wake:   make(chan struct{}, 1),

		imports:     make(map[string]*spanImport),
		uncancelled: make(map[string]struct{}),
	}
}

// unavailableTokens returns the memory that is reserved or orphaned and not available to other
// work.
func (d *memoryState) unavailableTokens() uint64 { return d.leases.Reserved() + d.orphanedTokens }

// inUse reports whether a group still holds memory of the endpoint.
func (d *memoryState) inUse() bool { return d.leases.Reserved() > 0 }

func (d *memoryState) wakeLoop() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Reserve grants a lease on the endpoint's memory, or refuses it at once. Running work keeps
// its memory: the lease's memory becomes available as that work ends.
func (s *server) Reserve(_ context.Context, req *connect.Request[rudderv1.ReserveRequest]) (*connect.Response[rudderv1.ReserveResponse], error) {
	return connect.NewResponse(s.a.reserve(req.Msg)), nil
}

func (a *Agent) reserve(m *rudderv1.ReserveRequest) *rudderv1.ReserveResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.servingError(); err != nil {
		return &rudderv1.ReserveResponse{Code: uint32(err.Code), Load: a.load()}
	}
	if m.Model != "" && !a.serves(m.Model) {
		return &rudderv1.ReserveResponse{Code: uint32(result.EndpointRefused), Load: a.load()}
	}
	if !a.servesAny() {
		return &rudderv1.ReserveResponse{Code: uint32(result.EndpointRefused), Load: a.load()}
	}
	now := time.Now()
	a.stopExpiredJobs(now)
	v := a.mem.leases.Reserve(memory.Request{
		Group: m.Group, Epoch: m.Epoch, Holder: m.Holder, Tokens: m.Tokens,
		Lease: time.Duration(m.LeaseMs) * time.Millisecond, StartUnixMs: m.SinceUnixMs, QueuedTokens: a.queuedMemory(),
	}, now)
	a.meter.reserved(v.Granted)
	a.mem.wakeLoop()
	a.notify()
	return &rudderv1.ReserveResponse{Granted: v.Granted, Code: uint32(v.Code), Reservation: v.Reservation, Load: a.load()}
}

// queuedMemory returns the memory for which admitted work waits. Short work is not counted:
// the memory that cannot be reserved is enough for it, and it ends soon. The caller holds mu.
func (a *Agent) queuedMemory() (sum uint64) {
	for _, r := range a.waiting {
		if r.item.Class > routing.ClassShort {
			sum += r.item.MemoryTokens
		}
	}
	return sum
}

// checkGroupMemory refuses work longer than the short class that would delay the first waiting
// group, or would itself have to wait until that group ends; the caller holds mu.
func (a *Agent) checkGroupMemory(it admission.Item, now time.Time) *result.Err {
	groupTokens := a.mem.leases.WaitingTokens(now)
	if groupTokens == 0 || it.Class == routing.ClassShort || it.MemoryTokens == 0 {
		return nil
	}
	if a.queuedMemory()+it.MemoryTokens+groupTokens+a.mem.unavailableTokens() <= a.cfg.MemoryTokens {
		return nil
	}
	return result.New(result.MemoryHeld, "a group is being formed")
}

// servingError returns the reason why the agent accepts no work, or nil; the caller holds mu.
func (a *Agent) servingError() *result.Err {
	switch a.effectiveState() {
	case rudderv1.AgentState_AGENT_STATE_SERVING:
		return nil
	case rudderv1.AgentState_AGENT_STATE_LEAVING:
		return result.New(result.Draining, "")
	case rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST:
		return result.New(result.EndpointRefused, "endpoint unreachable")
	default:
		return result.New(result.Starting, "")
	}
}

// Renew extends a lease; held is false if the lease has ended.
func (s *server) Renew(_ context.Context, req *connect.Request[rudderv1.RenewRequest]) (*connect.Response[rudderv1.RenewResponse], error) {
	a := s.a
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.stopExpiredJobs(now)
	held := a.mem.leases.Renew(req.Msg.Reservation, time.Duration(req.Msg.LeaseMs)*time.Millisecond, now)
	return connect.NewResponse(&rudderv1.RenewResponse{Held: held}), nil
}

// Release ends a lease. If there is none, it ensures that a late request for it is refused.
func (s *server) Release(_ context.Context, req *connect.Request[rudderv1.ReleaseRequest]) (*connect.Response[rudderv1.ReleaseResponse], error) {
	a := s.a
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	released := a.mem.leases.Release(req.Msg.Reservation, now)
	a.stopExpiredJobs(now)
	return connect.NewResponse(&rudderv1.ReleaseResponse{Released: released}), nil
}

// stopExpiredJobs stops the jobs of leases that have ended; the caller holds mu.
func (a *Agent) stopExpiredJobs(now time.Time) {
	closing := a.mem.leases.Expire(now)
	for _, l := range closing {
		for _, j := range a.mem.jobs {
			if j.req.Reservation == l.ID {
				j.stop(result.New(result.LeaseLost, ""))
			}
		}
	}
	if len(closing) > 0 {
		a.mem.wakeLoop()
	}
}

// memoryLoop ends leases when they expire and frees their memory.
func (a *Agent) memoryLoop() {
	for {
		wait := a.freeEndedLeases()
		timer := time.NewTimer(wait)
		select {
		case <-a.ctx.Done():
			timer.Stop()
			return
		case <-a.mem.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// maxSweepInterval is the longest wait of memoryLoop.
const maxSweepInterval = time.Minute

// freeEndedLeases frees the memory of ended leases and returns the time until the next check.
func (a *Agent) freeEndedLeases() time.Duration {
	a.mu.Lock()
	closing := len(a.mem.leases.Expire(time.Now())) > 0
	a.mu.Unlock()
	if closing {
		_, _ = a.sweep()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.stopExpiredJobs(now)
	if len(a.mem.leases.Expire(now)) > 0 {
		a.clearWake()
		return sweepRetryInterval
	}
	if at, ok := a.mem.leases.NextExpiry(); ok {
		return max(at.Sub(now), 0)
	}
	return maxSweepInterval
}

// clearWake discards a wake-up that the current iteration of the loop has already handled.
func (a *Agent) clearWake() {
	select {
	case <-a.mem.wake:
	default:
	}
}
