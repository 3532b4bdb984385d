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
	// reserveParts and reserveOf are the share of the endpoint's memory that
	// reservations may take: the rest stays for short work.
	reserveParts = 7
	reserveOf    = 8
	// sweepPause is the time between two tries to free what ended leases hold.
	sweepPause = 250 * time.Millisecond
)

// desk is the agent's hold on its endpoint's memory. The agent's lock guards it.
type desk struct {
	book    *memory.LeaseTable
	jobs    map[string]*spanJob // by span id
	waiting int                 // of them in the queue
	orphans uint64              // tokens held at the endpoint under no lease, as last seen
	moves   map[string]*move    // spans imported or being imported, by span id
	// uncancelled are the runs whose cancelling failed; they may hold memory.
	uncancelled map[string]struct{}
	wake        chan struct{}
}

func newDesk(tokens uint64) *desk {
	return &desk{
		book: memory.NewLeaseTable(tokens, tokens/reserveOf*reserveParts),
		jobs: make(map[string]*spanJob),
		wake: make(chan struct{}, 1),

		moves:       make(map[string]*move),
		uncancelled: make(map[string]struct{}),
	}
}

// tokens is the memory that is not there for other work.
func (d *desk) tokens() uint64 { return d.book.Reserved() + d.orphans }

// busy reports whether a group still uses the endpoint.
func (d *desk) busy() bool { return d.book.Reserved() > 0 }

func (d *desk) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Reserve grants a lease over the endpoint's memory, or refuses it at once.
// Running work keeps what it has: the memory fills as that work ends.
func (s *server) Reserve(_ context.Context, req *connect.Request[rudderv1.ReserveRequest]) (*connect.Response[rudderv1.ReserveResponse], error) {
	return connect.NewResponse(s.a.reserve(req.Msg)), nil
}

func (a *Agent) reserve(m *rudderv1.ReserveRequest) *rudderv1.ReserveResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.notServing(); err != nil {
		return &rudderv1.ReserveResponse{Code: uint32(err.Code), Load: a.load()}
	}
	if m.Model != "" && !a.serves(m.Model) {
		return &rudderv1.ReserveResponse{Code: uint32(result.EndpointRefused), Load: a.load()}
	}
	if !a.servesAny() {
		return &rudderv1.ReserveResponse{Code: uint32(result.EndpointRefused), Load: a.load()}
	}
	now := time.Now()
	a.endLapsed(now)
	v := a.desk.book.Reserve(memory.Request{
		Group: m.Group, Epoch: m.Epoch, Holder: m.Holder, Tokens: m.Tokens,
		Lease: time.Duration(m.LeaseMs) * time.Millisecond, StartUnixMs: m.SinceUnixMs, QueuedTokens: a.queuedMemory(),
	}, now)
	a.meter.reserved(v.Granted)
	a.desk.poke()
	a.notify()
	return &rudderv1.ReserveResponse{Granted: v.Granted, Code: uint32(v.Code), Reservation: v.Reservation, Load: a.load()}
}

// queuedMemory is the memory that admitted work waits for. Short work is left
// out: what is never reserved is enough for it, and it is soon over. The caller
// holds mu.
func (a *Agent) queuedMemory() (sum uint64) {
	for _, r := range a.waiting {
		if r.item.Class > routing.ClassShort {
			sum += r.item.MemoryTokens
		}
	}
	return sum
}

// leavesRoom refuses longer work that would keep a group in line waiting, or
// would itself wait for the group's end; the caller holds mu.
func (a *Agent) leavesRoom(it admission.Item, now time.Time) *result.Err {
	wanted := a.desk.book.WaitingTokens(now)
	if wanted == 0 || it.Class == routing.ClassShort || it.MemoryTokens == 0 {
		return nil
	}
	if a.queuedMemory()+it.MemoryTokens+wanted+a.desk.tokens() <= a.cfg.MemoryTokens {
		return nil
	}
	return result.New(result.MemoryHeld, "a group is being formed")
}

// notServing says why the agent takes no work; the caller holds mu.
func (a *Agent) notServing() *result.Err {
	switch a.current() {
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

// Renew extends a lease; held is false once it is over.
func (s *server) Renew(_ context.Context, req *connect.Request[rudderv1.RenewRequest]) (*connect.Response[rudderv1.RenewResponse], error) {
	a := s.a
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.endLapsed(now)
	held := a.desk.book.Renew(req.Msg.Reservation, time.Duration(req.Msg.LeaseMs)*time.Millisecond, now)
	return connect.NewResponse(&rudderv1.RenewResponse{Held: held}), nil
}

// Release ends a lease, or makes sure that a late request for it is refused.
func (s *server) Release(_ context.Context, req *connect.Request[rudderv1.ReleaseRequest]) (*connect.Response[rudderv1.ReleaseResponse], error) {
	a := s.a
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	released := a.desk.book.Release(req.Msg.Reservation, now)
	a.endLapsed(now)
	return connect.NewResponse(&rudderv1.ReleaseResponse{Released: released}), nil
}

// endLapsed stops what is done under leases that are over; the caller holds mu.
func (a *Agent) endLapsed(now time.Time) {
	closing := a.desk.book.Expire(now)
	for _, l := range closing {
		for _, j := range a.desk.jobs {
			if j.req.Reservation == l.ID {
				j.stop(result.New(result.LeaseLost, ""))
			}
		}
	}
	if len(closing) > 0 {
		a.desk.poke()
	}
}

// memoryLoop ends leases on time and frees what they held.
func (a *Agent) memoryLoop() {
	for {
		wait := a.settleLeases()
		timer := time.NewTimer(wait)
		select {
		case <-a.ctx.Done():
			timer.Stop()
			return
		case <-a.desk.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// idleSweep is the longest pause of memoryLoop.
const idleSweep = time.Minute

// settleLeases frees what ended leases hold and returns when to look again.
func (a *Agent) settleLeases() time.Duration {
	a.mu.Lock()
	closing := len(a.desk.book.Expire(time.Now())) > 0
	a.mu.Unlock()
	if closing {
		_, _ = a.sweep()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.endLapsed(now)
	if len(a.desk.book.Expire(now)) > 0 {
		a.drainWake()
		return sweepPause
	}
	if at, ok := a.desk.book.NextExpiry(); ok {
		return max(at.Sub(now), 0)
	}
	return idleSweep
}

// drainWake drops a wake that this turn of the loop has answered already.
func (a *Agent) drainWake() {
	select {
	case <-a.desk.wake:
	default:
	}
}
