package drain

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/internal/sleep"
)

// ErrShutdown is the cause of contexts that the shutdown has ended.
var ErrShutdown = errors.New("the process is shutting down")

// pollInterval is how often Run checks the phase and the number of requests in flight.
const pollInterval = 20 * time.Millisecond

// Drain is the shutdown of one process. Its methods may be called concurrently.
type Drain struct {
	suspended func() time.Duration
	begun     atomic.Pointer[stopSignal]
	search    context.Context // ends with Refusing
	endSearch context.CancelCauseFunc
	work      context.Context // ends with Answering
	endWork   context.CancelCauseFunc
}

// stopSignal is the moment at which the stop signal arrived, and what follows it.
type stopSignal struct {
	schedule  Schedule
	at        time.Time
	suspended time.Duration // total suspension of the host until then
}

// New returns the shutdown of a process that has not been told to stop. suspended returns how long the host was
// suspended in total, which the monotonic clock does not count; nil: it is never suspended.
func New(suspended func() time.Duration) *Drain {
	if suspended == nil {
		suspended = func() time.Duration { return 0 }
	}
	d := &Drain{suspended: suspended}
	d.work, d.endWork = context.WithCancelCause(context.Background())
	d.search, d.endSearch = context.WithCancelCause(d.work)
	return d
}

// Begin begins the shutdown; now is when the stop signal arrived. Only the first call counts.
func (d *Drain) Begin(s Schedule, now time.Time) {
	d.begun.CompareAndSwap(nil, &stopSignal{schedule: s, at: now, suspended: d.suspended()})
}

// Begun reports whether the stop signal has arrived.
func (d *Drain) Begun() bool { return d.begun.Load() != nil }

// Phase returns the phase of the shutdown.
func (d *Drain) Phase() Phase {
	stop := d.begun.Load()
	if stop == nil {
		return Serving
	}
	return stop.schedule.PhaseAt(d.elapsed(stop))
}

// elapsed returns the time since the stop signal.
func (d *Drain) elapsed(stop *stopSignal) time.Duration {
	return time.Since(stop.at) + d.suspended() - stop.suspended
}

// WithWork returns a context for all that is done for a request. It ends with ErrShutdown early enough for the
// request to be answered before the process exits.
func (d *Drain) WithWork(ctx context.Context) (context.Context, context.CancelFunc) {
	return endingAfter(ctx, d.work, func(context.Context) {})
}

// WithSearch returns a context for the search for an endpoint. It ends with ErrShutdown once the caller finds one
// sooner at another process. The search for the rest of a response that the caller has the beginning of goes on for as
// long as the rest, which takes this long, can still be sent; zero: nothing was sent.
func (d *Drain) WithSearch(ctx context.Context, rest time.Duration) (context.Context, context.CancelFunc) {
	return endingAfter(ctx, d.search, func(ctx context.Context) {
		if rest > 0 {
			sleep.For(ctx, d.untilAnswers()-rest)
		}
	})
}

// untilAnswers returns the time until Answering. The shutdown must have begun.
func (d *Drain) untilAnswers() time.Duration {
	stop := d.begun.Load()
	return stop.schedule.answerAt() - d.elapsed(stop)
}

// endingAfter returns a child of ctx that ends as well after other has ended and delay has returned.
func endingAfter(ctx, other context.Context, delay func(context.Context)) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(other, func() {
		delay(ctx)
		cancel(ErrShutdown)
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Ended reports whether the shutdown has ended a context.
func Ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrShutdown) }

// Requests are the requests that come to the process.
type Requests interface {
	// InFlight returns how many have begun to arrive and are not answered.
	InFlight() int64
	// Seal makes sure that no further request is read. Those that may be read at that moment count as in flight.
	Seal()
	// RefuseUnfinished refuses the requests that have not arrived as far as they can be served, and seals.
	RefuseUnfinished()
}

// Run follows the phases of the shutdown that has begun. It returns once the load balancer must have noticed the
// shutdown and nothing is in flight, or when the process has to exit. It returns an error if ctx ends first.
func (d *Drain) Run(ctx context.Context, requests Requests) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if d.step(d.Phase(), requests) {
			return nil
		}
	}
}

// step does what the phase asks for. It reports whether the process exits.
func (d *Drain) step(phase Phase, requests Requests) (exit bool) {
	if phase >= Refusing {
		d.endSearch(ErrShutdown)
	}
	if phase >= Answering {
		d.endWork(ErrShutdown)
		requests.RefuseUnfinished()
	}
	if phase >= Exiting {
		return true
	}
	if phase < Refusing || requests.InFlight() > 0 {
		return false
	}
	requests.Seal()
	return requests.InFlight() == 0
}
