package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/upstream"
)

const (
	// holdTime is how long memory stays set aside without renewal. It bounds
	// what a killed gateway or an order that is carried out late can leave
	// behind; endpoints want unused memory back within four seconds.
	holdTime = 3 * time.Second
	// renewEvery leaves two tries before the memory lapses.
	renewEvery = holdTime / 3
	// orderTime bounds an order about memory; it takes one round trip.
	orderTime = 400 * time.Millisecond
)

// reservation is memory set aside at one endpoint for one request.
type reservation struct {
	endpoint catalog.Endpoint
	id       string
	tokens   int
}

// reservations is the memory set aside for one send. It is renewed only while there is proof
// that the request uses it (memoryUse): a send that waits for an answer is none, since its
// endpoint may have hung or lost the answer, and nobody else can have the memory meanwhile.
type reservations struct {
	g       *Gateway
	request string
	// generating is the endpoint that the request goes to.
	generating catalog.Endpoint
	list       []*reservation
	use        *memoryUse
	// send is what the request is sent under; it ends with memory that is given back unused.
	send    context.Context
	endSend context.CancelCauseFunc
	// writing is set while the answer waits for its caller: it is then not the endpoint that
	// brings nothing, and what is still to be read of the answer is not thrown away.
	writing atomic.Bool
	stop    context.CancelFunc // of the renewals
	done    sync.WaitGroup
	freed   sync.Once // the release
}

// errMemoryUnused ends a send whose memory nobody used.
var errMemoryUnused = errors.New("no request used the memory that was set aside for this one")

// noMemory is a failure to set memory aside.
type noMemory struct {
	endpoints []string // that failed
	err       error    // of one of them
}

// Error implements error.
func (n *noMemory) Error() string { return n.err.Error() }

// Unwrap returns the cause.
func (n *noMemory) Unwrap() error { return n.err }

// reserve sets memory aside at every helper that the choice names, for a send under ctx. On
// failure, which is a *noMemory, nothing stays set aside.
func (g *Gateway) reserve(ctx context.Context, request string, at *place) (*reservations, error) {
	type ending struct {
		endpoint string
		err      error
	}
	r := &reservations{g: g, request: request, generating: at.endpoint}
	endings := make(chan ending, len(at.reserve))
	for _, want := range at.reserve {
		one := &reservation{endpoint: want.endpoint, id: uuid.NewString(), tokens: want.tokens}
		r.list = append(r.list, one)
		go func() {
			err := g.order(ctx, one, g.deps.Protocol.Reserve(one.endpoint.ID, one.id, one.tokens, holdTime))
			endings <- ending{one.endpoint.ID, err}
		}()
	}
	var failed noMemory
	for range r.list {
		if e := <-endings; e.err != nil {
			failed.endpoints = append(failed.endpoints, e.endpoint)
			failed.err = e.err
		}
	}
	g.deps.Log.Request("Memory set aside.", "request", request, "generating", at.endpoint.ID, "endpoints", r.endpoints(), "reservations", r.ids(),
		"failed", failed.endpoints, "err", failed.err)
	if failed.err != nil {
		g.meter.reserveFailures.Inc()
		r.release()
		return nil, &failed
	}
	r.use = newMemoryUse(newUseLimits(g.config.UnusedMemory), time.Now())
	r.send, r.endSend = context.WithCancelCause(ctx)
	renewing, stop := context.WithCancel(g.ctx)
	r.stop = stop
	r.done.Go(func() { r.renew(renewing) })
	return r, nil
}

// endpoints returns where memory is set aside, and ids under which names, for the log.
func (r *reservations) endpoints() []string {
	out := make([]string, len(r.list))
	for i, one := range r.list {
		out[i] = one.endpoint.ID
	}
	return out
}

func (r *reservations) ids() []string {
	out := make([]string, len(r.list))
	for i, one := range r.list {
		out[i] = one.id
	}
	return out
}

// helpers returns the helpers of a send with the memory set aside there.
func (r *reservations) helpers(at *place) []Helper {
	out := make([]Helper, 0, len(at.helpers))
	for _, e := range at.helpers {
		h := Helper{Address: e.Address}
		if r != nil {
			for _, one := range r.list {
				if one.endpoint.ID == e.ID {
					h.Reservation = one.id
				}
			}
		}
		out = append(out, h)
	}
	return out
}

// renew keeps the memory set aside until ctx ends, or until it is not used.
func (r *reservations) renew(ctx context.Context) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	last, suspended := time.Now(), r.g.suspendedTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now, total := time.Now(), r.g.suspendedTime()
		if now.Sub(last)+total-suspended >= holdTime {
			// This process stood still and the memory lapsed: a renewal would set it aside
			// anew, for a request that was cut with it.
			r.giveBack("lapsed", now)
			return
		}
		last, suspended = now, total
		switch r.use.next(now) {
		case giveBack:
			r.giveBack("not known to be used", now)
			return
		case askUse:
			r.done.Go(func() { r.askUse(ctx) })
		}
		r.renewAll(ctx)
	}
}

// renewAll renews the memory at every endpoint, without waiting for the answers.
func (r *reservations) renewAll(ctx context.Context) {
	for _, one := range r.list {
		if !r.g.state.SameLife(one.endpoint) {
			continue // it holds nothing of this, and must not set it aside anew
		}
		r.done.Go(func() {
			if err := r.g.order(ctx, one, r.g.deps.Protocol.Reserve(one.endpoint.ID, one.id, one.tokens, holdTime)); err != nil && ctx.Err() == nil {
				r.g.deps.Log.Request("Memory was not renewed.", "endpoint", one.endpoint.ID, "reservation", one.id, "err", err)
			}
		})
	}
}

// askUse asks one of the endpoints that have memory set aside whether it is used. All of it is
// used by the same request, so that one question is enough, however many endpoints have some.
func (r *reservations) askUse(ctx context.Context) {
	one := r.questioned(time.Now())
	asked := time.Now()
	report, err := r.g.report(ctx, one.endpoint)
	switch state := report.Reservations[one.id]; {
	case ctx.Err() != nil:
		return
	case err != nil:
		r.g.deps.Log.Request("It is not known whether memory is used.", "request", r.request, "endpoint", one.endpoint.ID, "reservation", one.id,
			"unproved_ms", r.use.unproved(asked).Milliseconds(), "err", err)
	case state == ReservationUsed:
		r.use.prove(asked)
	default:
		r.notUsed(ctx, one, state, asked)
	}
}

// questioned returns whom to ask next: each in turn, but for those that want rest while there are others.
func (r *reservations) questioned(now time.Time) *reservation {
	next := r.use.question(len(r.list))
	for i := range r.list {
		if one := r.list[(next+i)%len(r.list)]; !r.g.state.Resting(one.endpoint.ID, now) {
			return one
		}
	}
	return r.list[next]
}

// notUsed takes in that memory is not used, and asks the endpoint that the request went to whether
// others are in the way there.
func (r *reservations) notUsed(ctx context.Context, one *reservation, state ReservationState, asked time.Time) {
	at, err := r.g.report(ctx, r.generating)
	r.g.deps.Log.Request("Memory is not used.", "request", r.request, "endpoint", one.endpoint.ID, "reservation", one.id, "tokens", one.tokens, "state", state.String(),
		"unproved_ms", r.use.unproved(asked).Milliseconds(), "generating", r.generating.ID, "waiting", at.Waiting, "running", at.Running,
		"memory_used", at.MemoryUsed, "memory_total", at.MemoryTotal, "reservations_there", len(at.Reservations), "err", err)
	if ctx.Err() == nil && r.use.unused(asked, err != nil || at.Waiting > 0) {
		r.giveBack("not used", asked)
	}
}

// giveBack ends a send whose memory nobody uses, and releases the memory: the request may use
// other endpoints, and others this memory.
func (r *reservations) giveBack(why string, now time.Time) {
	writing := r.writing.Load()
	r.g.meter.memoryUnused.Inc()
	r.g.deps.Log.Request("Memory given back.", "request", r.request, "why", why, "generating", r.generating.ID, "endpoints", r.endpoints(), "reservations", r.ids(),
		"unproved_ms", r.use.unproved(now).Milliseconds(), "answer_waits_for_caller", writing)
	if !writing {
		r.endSend(errMemoryUnused)
	}
	r.release()
}

// unused reports whether the send was ended because nobody used its memory; r may be nil.
func (r *reservations) unused() bool {
	return r != nil && errors.Is(context.Cause(r.send), errMemoryUnused)
}

// end ends the send and gives the memory back; r may be nil.
func (r *reservations) end() {
	if r == nil {
		return
	}
	r.endSend(nil)
	r.release()
}

// release gives the memory back in the background, once. An order that gets no answer
// is not repeated: the memory lapses by itself.
func (r *reservations) release() { r.freed.Do(r.releaseAll) }

func (r *reservations) releaseAll() {
	if r.stop != nil {
		r.stop()
	}
	for _, one := range r.list {
		r.g.tasks.Go(func() {
			r.done.Wait() // a renewal must not overtake the release
			if err := r.g.order(context.WithoutCancel(r.g.ctx), one, r.g.deps.Protocol.Release(one.endpoint.ID, one.id)); err != nil {
				r.g.deps.Log.Request("Memory was not released; it lapses.", "endpoint", one.endpoint.ID, "reservation", one.id, "err", err)
			}
		})
	}
}

// order gives one order about memory.
func (g *Gateway) order(ctx context.Context, r *reservation, o *upstream.Request) error {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	g.meter.orders.Inc()
	res, err := g.do(ctx, r.endpoint, o, ownQuestion, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return trace.Wrap(err)
	}
	if res.StatusCode != http.StatusOK {
		return trace.Errorf("endpoint %s answered %s", r.endpoint.ID, res.Status)
	}
	return nil
}
