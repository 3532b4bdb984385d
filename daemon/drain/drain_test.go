package drain

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestPhaseAt: the process refuses requests once the load balancer has noticed the shutdown, and exits in time.
func TestPhaseAt(t *testing.T) {
	s := Schedule{DrainTime: 8 * time.Second, NoticeTime: 3 * time.Second}
	for name, c := range map[string]struct {
		elapsed time.Duration
		want    Phase
	}{
		"at the signal":       {0, Unready},
		"not noticed":         {2999 * time.Millisecond, Unready},
		"noticed":             {3 * time.Second, Refusing},
		"requests end":        {6900 * time.Millisecond, Answering},
		"drain time ends":     {7 * time.Second, Exiting},
		"drain time is over":  {9 * time.Second, Exiting},
		"shortly before exit": {6899 * time.Millisecond, Refusing},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(s.PhaseAt(c.elapsed), c.want)
		})
	}
}

// endlessRequest is a request that is never answered.
type endlessRequest struct{}

func (endlessRequest) InFlight() int64   { return 1 }
func (endlessRequest) Seal()             {}
func (endlessRequest) RefuseUnfinished() {}

// TestContextsEnd: searches end when the load balancer has noticed the shutdown, those for the rest of a response while
// the rest can still be sent, and all work before the exit. A second stop signal changes nothing, and time for which the
// host is suspended counts.
func TestContextsEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		suspended          time.Duration // 1 s after the signal
		search, rest, work time.Duration
	}{
		"not suspended":    {0, 3 * time.Second, 4900 * time.Millisecond, 6900 * time.Millisecond},
		"suspended by 2 s": {2 * time.Second, time.Second, 2900 * time.Millisecond, 4900 * time.Millisecond},
		"suspended by 7 s": {7 * time.Second, time.Second, time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var suspended atomic.Int64
				d := New(func() time.Duration { return time.Duration(suspended.Load()) })
				search, endSearch := d.WithSearch(t.Context(), 0)
				defer endSearch()
				rest, endRest := d.WithSearch(t.Context(), 2*time.Second)
				defer endRest()
				work, endWork := d.WithWork(t.Context())
				defer endWork()
				time.Sleep(time.Hour)
				is.NoErr(work.Err())

				d.Begin(Schedule{DrainTime: 8 * time.Second, NoticeTime: 3 * time.Second}, time.Now())
				began := time.Now()
				time.AfterFunc(time.Second, func() { suspended.Store(int64(tc.suspended)) })
				time.AfterFunc(2*time.Second, func() { d.Begin(Schedule{DrainTime: time.Minute}, time.Now()) })
				exited := make(chan error)
				go func() { exited <- d.Run(t.Context(), endlessRequest{}) }()
				for _, c := range []struct {
					ctx  context.Context
					want time.Duration
				}{{search, tc.search}, {rest, tc.rest}, {work, tc.work}} {
					<-c.ctx.Done()
					is.True(Ended(c.ctx))
					late := time.Since(began) - c.want
					is.True(late >= 0 && late <= pollInterval)
				}
				is.NoErr(<-exited)
				is.True(d.Phase() == Exiting)
			})
		})
	}
}

// TestCallerEndsContext: a context that its caller has ended does not count as ended by the shutdown.
func TestCallerEndsContext(t *testing.T) {
	is := is.New(t)
	d := New(nil)
	ctx, cancel := context.WithCancel(t.Context())
	work, endWork := d.WithWork(ctx)
	defer endWork()
	cancel()
	<-work.Done()
	is.True(!Ended(work))
}
