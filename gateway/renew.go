package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/rudderv1"
)

// releaseTime bounds a release; one that is lost is made good by the lease's end.
const releaseTime = time.Second

// renewLoop renews the leases of the present attempt until the attempt ends,
// and ends it when one is over.
func (gr *group) renewLoop() {
	ctx, cancel := gr.ctx, gr.cancel
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if m, lapsed := gr.lapsed(); lapsed {
			cancel(&lapse{m})
			return
		}
		gr.renewAll(ctx, cancel)
	}
}

// renewAll renews every lease that is held, without waiting for the answers.
func (gr *group) renewAll(ctx context.Context, cancel context.CancelCauseFunc) {
	gr.mu.Lock()
	held, reservation := gr.state.Holders(true), gr.state.Reservation()
	gr.mu.Unlock()
	for _, m := range held {
		l := gr.links[m]
		gr.leases.Go(func() { gr.renew(ctx, cancel, m, l, reservation) })
	}
}

func (gr *group) renew(ctx context.Context, cancel context.CancelCauseFunc, member int, l *link, reservation string) {
	callCtx, stop := context.WithTimeout(ctx, renewEvery)
	defer stop()
	sent := time.Now()
	resp, err := l.client.Renew(callCtx, connect.NewRequest(&rudderv1.RenewRequest{
		Reservation: reservation, LeaseMs: groupLease.Milliseconds(),
	}))
	if err != nil {
		return // the lease lapses unless a later one gets through
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if resp.Msg.Held {
		gr.state.RecordRenewed(member, sent, groupLease)
		return
	}
	for _, m := range gr.state.Holders(true) {
		if m == member {
			cancel(&lapse{m})
		}
	}
}

// release gives the members' memory back.
func (gr *group) release(members []int) {
	reservation := gr.reservation()
	var calls sync.WaitGroup
	for _, m := range members {
		l := gr.links[m]
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(gr.s.g.ctx, releaseTime)
			defer cancel()
			if _, err := l.client.Release(ctx, connect.NewRequest(&rudderv1.ReleaseRequest{Reservation: reservation})); err != nil {
				gr.s.g.deps.Log.Info("Release failed; the lease will lapse.", "group", gr.id, "endpoint", l.declared.Name, "err", err)
			}
		})
	}
	calls.Wait()
}

// stop ends the present attempt's renewals.
func (gr *group) stop() {
	gr.cancel(nil)
	gr.leases.Wait()
}

// disband ends the present attempt and releases all that it may hold. The lease
// of a run that was ordered lasts as long as the run.
func (gr *group) disband() {
	gr.stop()
	gr.mu.Lock()
	held := gr.state.Holders(false)
	gr.mu.Unlock()
	gr.release(held)
}
