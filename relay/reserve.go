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
	"github.com/micarudder/micarudder/memoryuse"
	"github.com/micarudder/micarudder/upstream"
)

// orderTimeout bounds a reserve or release order, which takes one round trip.
const orderTimeout = 400 * time.Millisecond

// reservation is memory reserved at one endpoint for one request.
type reservation struct {
	endpoint catalog.Endpoint
	id       string
	tokens   int
}

// reservations is the memory reserved for one attempt. It is renewed only while there is evidence
// that the request uses it (see memoryuse.Usage). An attempt that waits for a response is no such
// evidence: its endpoint may have hung or lost the response, while nobody else can use the memory.
type reservations struct {
	g       *Gateway
	request string
	// decoding is the endpoint that the request is sent to.
	decoding catalog.Endpoint
	list     []*reservation
	usage    *memoryuse.Usage
	// attemptCtx is the context of the attempt; it is cancelled if the memory is released as unused.
	attemptCtx    context.Context
	cancelAttempt context.CancelCauseFunc
	// writingToCaller is set while the response waits for its caller. The endpoint is then not the
	// cause of the delay, and the unread rest of the response must not be dropped.
	writingToCaller atomic.Bool
	stopRenewal     context.CancelFunc // cancels the renewals
	background      sync.WaitGroup
	releaseOnce     sync.Once // guards the release
}

// errMemoryUnused ends an attempt whose reserved memory was not used.
var errMemoryUnused = errors.New("the memory reserved for this request was not used")

// reserveError is a failure to reserve memory.
type reserveError struct {
	endpoints []string // that failed
	err       error    // of one of the endpoints
}

// Error implements error.
func (e *reserveError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *reserveError) Unwrap() error { return e.err }

// reserve reserves memory for an attempt under ctx at every endpoint that the placement names. If
// it fails, with a *reserveError, all of the memory is released again.
func (g *Gateway) reserve(ctx context.Context, request string, pl *placement) (*reservations, error) {
	type orderResult struct {
		endpoint string
		err      error
	}
	r := &reservations{g: g, request: request, decoding: pl.endpoint}
	reservedAt := time.Now()
	results := make(chan orderResult, len(pl.memoryDemands))
	for _, want := range pl.memoryDemands {
		rv := &reservation{endpoint: want.endpoint, id: uuid.NewString(), tokens: want.tokens}
		r.list = append(r.list, rv)
		r.background.Go(func() {
			err := g.sendOrder(ctx, rv, g.deps.Protocol.Reserve(rv.endpoint.ID, rv.id, rv.tokens, memoryuse.ReservationTTL))
			results <- orderResult{rv.endpoint.ID, err}
		})
	}
	var failed reserveError
	for range r.list {
		select {
		case res := <-results:
			if res.err != nil {
				failed.endpoints = append(failed.endpoints, res.endpoint)
				failed.err = res.err
			}
		case <-ctx.Done():
			failed.err = ctx.Err()
		}
	}
	g.deps.Log.Request("Memory set aside.", "request", request, "generating", pl.endpoint.ID, "endpoints", r.endpointIDs(), "reservations", r.reservationIDs(),
		"failed", failed.endpoints, "err", failed.err)
	if failed.err != nil {
		g.meter.reserveFailures.Inc()
		r.release()
		return nil, &failed
	}
	r.usage = memoryuse.New(memoryuse.NewLimits(g.config.UnusedMemory), len(r.list), reservedAt)
	r.attemptCtx, r.cancelAttempt = context.WithCancelCause(ctx)
	renewing, stop := context.WithCancel(g.ctx)
	r.stopRenewal = stop
	r.background.Go(func() { r.renew(renewing) })
	return r, nil
}

// endpointIDs returns the endpoints of the reservations, and reservationIDs their ids, for the log.
func (r *reservations) endpointIDs() []string {
	out := make([]string, len(r.list))
	for i, rv := range r.list {
		out[i] = rv.endpoint.ID
	}
	return out
}

func (r *reservations) reservationIDs() []string {
	out := make([]string, len(r.list))
	for i, rv := range r.list {
		out[i] = rv.id
	}
	return out
}

// helpers returns the helpers of an attempt with their reservations.
func (r *reservations) helpers(pl *placement) []Helper {
	out := make([]Helper, 0, len(pl.helpers))
	for _, e := range pl.helpers {
		h := Helper{Address: e.Address}
		if r != nil {
			for _, rv := range r.list {
				if rv.endpoint.ID == e.ID {
					h.Reservation = rv.id
				}
			}
		}
		out = append(out, h)
	}
	return out
}

// renew renews the reservations until ctx ends or the memory turns out to be unused.
func (r *reservations) renew(ctx context.Context) {
	tick := time.NewTicker(memoryuse.RenewInterval)
	defer tick.Stop()
	suspended := r.g.checkSuspension()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now, total := time.Now(), r.g.checkSuspension()
		if r.usage.Lapsed(now, total-suspended) {
			// This process was stopped or suspended and the reservations have expired. A renewal
			// would reserve the memory again, for a request that ended with them.
			r.releaseUnused("lapsed", now)
			return
		}
		suspended = total
		switch r.usage.Next(now) {
		case memoryuse.Release:
			r.releaseUnused("no evidence of use", now)
			return
		case memoryuse.Query:
			r.background.Go(func() { r.queryUsage(ctx) })
		}
		r.renewAll(ctx)
	}
}

// renewAll sends a renewal to every endpoint that needs one, without waiting for the responses.
func (r *reservations) renewAll(ctx context.Context) {
	now := time.Now()
	until, endpoints := r.usage.Renewal(now)
	for _, i := range endpoints {
		rv := r.list[i]
		if !r.g.state.SameIncarnation(rv.endpoint) {
			continue // the endpoint has restarted without this reservation and must not reserve the memory again
		}
		r.background.Go(func() {
			err := r.g.sendOrder(ctx, rv, r.g.deps.Protocol.Reserve(rv.endpoint.ID, rv.id, rv.tokens, until.Sub(now)))
			switch {
			case err == nil:
				r.usage.Confirm(i, until)
			case ctx.Err() == nil:
				r.g.deps.Log.Request("Memory was not renewed.", "endpoint", rv.endpoint.ID, "reservation", rv.id, "hold_ms", until.Sub(now).Milliseconds(), "err", err)
			}
		})
	}
}

// queryUsage queries one of the endpoints for whether the memory reserved there is in use. All
// reservations are used by the same request, so that one query is enough, however many endpoints
// hold one.
func (r *reservations) queryUsage(ctx context.Context) {
	rv := r.nextReservation(time.Now())
	queriedAt := time.Now()
	report, err := r.g.fetchReport(ctx, rv.endpoint)
	switch state := report.Reservations[rv.id]; {
	case ctx.Err() != nil:
		return
	case err != nil:
		r.g.deps.Log.Request("It is not known whether memory is used.", "request", r.request, "endpoint", rv.endpoint.ID, "reservation", rv.id,
			"unproved_ms", r.usage.SinceLastUse(queriedAt).Milliseconds(), "err", err)
	case state == ReservationUsed:
		if r.usage.RecordUse(queriedAt); r.usage.RenewalDue(time.Now()) {
			r.renewAll(ctx)
		}
	default:
		r.handleUnused(ctx, rv, state, queriedAt)
	}
}

// nextReservation returns the reservation to query next. It rotates through the endpoints and
// skips those that asked this gateway to back off, unless all of them did.
func (r *reservations) nextReservation(now time.Time) *reservation {
	next := r.usage.NextQuery(len(r.list))
	for i := range r.list {
		if rv := r.list[(next+i)%len(r.list)]; !r.g.state.InBackoff(rv.endpoint.ID, now) {
			return rv
		}
	}
	return r.list[next]
}

// handleUnused handles the response that reserved memory is not in use: it queries the decoding
// endpoint for whether requests are queued there.
func (r *reservations) handleUnused(ctx context.Context, rv *reservation, state ReservationState, queriedAt time.Time) {
	report, err := r.g.fetchReport(ctx, r.decoding)
	r.g.deps.Log.Request("Memory is not used.", "request", r.request, "endpoint", rv.endpoint.ID, "reservation", rv.id, "tokens", rv.tokens, "state", state.String(),
		"unproved_ms", r.usage.SinceLastUse(queriedAt).Milliseconds(), "generating", r.decoding.ID, "waiting", report.Waiting, "running", report.Running,
		"memory_used", report.MemoryUsed, "memory_total", report.MemoryTotal, "reservations_there", len(report.Reservations), "err", err)
	if ctx.Err() == nil && r.usage.RecordUnused(queriedAt, err != nil || report.Waiting > 0) {
		r.releaseUnused("not used", queriedAt)
	}
}

// releaseUnused ends an attempt whose reserved memory is not used, and releases the memory: the
// request may then use other endpoints, and other requests the memory.
func (r *reservations) releaseUnused(reason string, now time.Time) {
	waitsForCaller := r.writingToCaller.Load()
	r.g.meter.memoryUnused.Inc()
	r.g.deps.Log.Request("Memory given back.", "request", r.request, "why", reason, "generating", r.decoding.ID, "endpoints", r.endpointIDs(), "reservations", r.reservationIDs(),
		"unproved_ms", r.usage.SinceLastUse(now).Milliseconds(), "answer_waits_for_caller", waitsForCaller)
	if !waitsForCaller {
		r.cancelAttempt(errMemoryUnused)
	}
	r.release()
}

// endedUnused reports whether the attempt was ended because its reserved memory was not used; r may
// be nil.
func (r *reservations) endedUnused() bool {
	return r != nil && errors.Is(context.Cause(r.attemptCtx), errMemoryUnused)
}

// end ends the attempt and releases the memory; r may be nil.
func (r *reservations) end() {
	if r == nil {
		return
	}
	r.cancelAttempt(nil)
	r.release()
}

// release releases the memory in the background, once. A release without a response is not repeated,
// since the reservation expires by itself.
func (r *reservations) release() { r.releaseOnce.Do(r.releaseAll) }

func (r *reservations) releaseAll() {
	if r.stopRenewal != nil {
		r.stopRenewal()
	}
	for _, rv := range r.list {
		r.g.background.Go(func() {
			r.background.Wait() // a reservation or renewal must not arrive after the release
			if err := r.g.sendOrder(context.WithoutCancel(r.g.ctx), rv, r.g.deps.Protocol.Release(rv.endpoint.ID, rv.id)); err != nil {
				r.g.deps.Log.Request("Memory was not released; it lapses.", "endpoint", rv.endpoint.ID, "reservation", rv.id, "err", err)
			}
		})
	}
}

// sendOrder sends a reserve or release order to the endpoint of a reservation. It does not abandon an
// order that may be on its way when ctx ends, because the release that follows could overtake it.
func (g *Gateway) sendOrder(ctx context.Context, r *reservation, order *upstream.Request) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	g.meter.orders.Inc()
	res, err := g.do(ctx, r.endpoint, order, gatewayQuery, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardedBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	if res.StatusCode != http.StatusOK || n == maxDiscardedBytes {
		return trace.Errorf("endpoint %s answered %s with a body of %d bytes or more", r.endpoint.ID, res.Status, n)
	}
	return nil
}
