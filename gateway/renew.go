package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/rudderv1"
)

// releaseTimeout limits one release call. If the call is lost, the memory is
// freed when the lease expires.
const releaseTimeout = time.Second

// renewLoop renews the leases of the current attempt until the attempt ends,
// and cancels the attempt if a lease has expired.
func (gr *group) renewLoop() {
	ctx, cancel := gr.ctx, gr.cancel
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if m, expired := gr.expiredMember(); expired {
			cancel(&leaseExpiredError{m})
			return
		}
		gr.renewAll(ctx, cancel)
	}
}

// renewAll starts the renewal of every held lease without waiting for the
// responses.
func (gr *group) renewAll(ctx context.Context, cancel context.CancelCauseFunc) {
	gr.mu.Lock()
	held, reservation := gr.state.Holders(true), gr.state.Reservation()
	gr.mu.Unlock()
	for _, m := range held {
		l := gr.links[m]
		gr.background.Go(func() { gr.renew(ctx, cancel, m, l, reservation) })
	}
}

func (gr *group) renew(ctx context.Context, cancel context.CancelCauseFunc, member int, l *link, reservation string) {
	callCtx, stop := context.WithTimeout(ctx, renewInterval)
	defer stop()
	sent := time.Now()
	resp, err := l.client.Renew(callCtx, connect.NewRequest(&rudderv1.RenewRequest{
		Reservation: reservation, LeaseMs: groupLeaseTTL.Milliseconds(),
	}))
	if err != nil {
		return // the lease expires unless a later renewal succeeds
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if resp.Msg.Held {
		gr.state.RecordRenewed(member, sent, groupLeaseTTL)
		return
	}
	for _, m := range gr.state.Holders(true) {
		if m == member {
			cancel(&leaseExpiredError{m})
		}
	}
}

// releaseMembers releases the reservations of the given members.
func (gr *group) releaseMembers(members []int) {
	reservation := gr.reservation()
	var calls sync.WaitGroup
	for _, m := range members {
		l := gr.links[m]
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(gr.s.g.ctx, releaseTimeout)
			defer cancel()
			if _, err := l.client.Release(ctx, connect.NewRequest(&rudderv1.ReleaseRequest{Reservation: reservation})); err != nil {
				gr.s.g.deps.Log.Info("Failed to release a reservation; its lease will expire.", "group", gr.id, "endpoint", l.declared.Name, "err", err)
			}
		})
	}
	calls.Wait()
}

// stopBackground cancels the context of the current attempt and waits for its
// renewals and preloads to end.
func (gr *group) stopBackground() {
	gr.cancel(nil)
	gr.background.Wait()
}

// releaseAll ends the current attempt and releases every reservation that it
// may hold. The lease of a run that was ordered lasts as long as the run.
func (gr *group) releaseAll() {
	gr.stopBackground()
	gr.mu.Lock()
	held := gr.state.Holders(false)
	gr.mu.Unlock()
	gr.releaseMembers(held)
}
