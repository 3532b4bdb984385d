package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/catalog"
)

// askUseAfter is how long an answer may bring nothing before an endpoint is asked whether the
// memory set aside there is used. Events come every 100 to 500 ms; only while a prompt is read,
// which takes one to four seconds, is there a question.
const askUseAfter = 1500 * time.Millisecond

// memoryUse is what a gateway knows of whether the memory set aside for one send is used. Its
// methods may be called concurrently.
type memoryUse struct {
	mu     sync.Mutex
	proved time.Time // the newest proof of use; without one, when the memory was set aside
	asked  int       // how often an endpoint was asked
}

// begin notes that the memory has just been set aside.
func (u *memoryUse) begin(now time.Time) { u.prove(now) }

// prove notes that the memory was used then: a part of the answer came, or its endpoint said so.
func (u *memoryUse) prove(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if at.After(u.proved) {
		u.proved = at
	}
}

// unproved returns for how long there has been no proof of use.
func (u *memoryUse) unproved(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(u.proved)
}

// question returns which of n endpoints to ask next: each in turn, since one may not answer.
func (u *memoryUse) question(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.asked++
	return (u.asked - 1) % n
}

// askUse asks one of the endpoints that have memory set aside whether it is used, when the
// answer has brought nothing for a while. All of it is used by the same request, so that one
// question a renewal is enough, however many endpoints have some.
func (r *reservations) askUse(ctx context.Context) {
	if r.use.unproved(time.Now()) < askUseAfter {
		return
	}
	one := r.list[r.use.question(len(r.list))]
	r.done.Go(func() {
		asked := time.Now()
		report, err := r.g.report(ctx, one.endpoint)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.g.deps.Log.Request("It is not known whether memory is used.", "request", r.request, "endpoint", one.endpoint.ID, "reservation", one.id,
				"unproved_ms", r.use.unproved(asked).Milliseconds(), "err", err)
			return
		}
		state := report.Reservations[one.id]
		if state == ReservationUsed {
			r.use.prove(asked)
			return
		}
		r.logUnused(ctx, one, state, r.use.unproved(asked))
	})
}

// logUnused logs that memory is not used, and what the endpoint that the request went to says
// of its queue: whether others are in the way there, or nothing is.
func (r *reservations) logUnused(ctx context.Context, one *reservation, state ReservationState, unproved time.Duration) {
	at, err := r.g.report(ctx, r.generating)
	r.g.deps.Log.Request("Memory is not used.", "request", r.request, "endpoint", one.endpoint.ID, "reservation", one.id, "tokens", one.tokens, "state", state.String(),
		"unproved_ms", unproved.Milliseconds(), "generating", r.generating.ID, "waiting", at.Waiting, "running", at.Running,
		"memory_used", at.MemoryUsed, "memory_total", at.MemoryTotal, "reservations_there", len(at.Reservations), "err", err)
}

// report asks an endpoint with an engine about itself.
func (g *Gateway) report(ctx context.Context, e catalog.Endpoint) (r EndpointReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	g.meter.reports.Inc()
	res, err := g.deps.Endpoints.Do(ctx, e.ID, e.Address, g.deps.Protocol.Report(e.ID))
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	r, ok, err := g.deps.Protocol.ReadReport(res)
	if err != nil {
		return r, err
	}
	if !ok {
		return r, trace.Errorf("endpoint %s answered %s", e.ID, res.Status)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxReportRest)) // to keep the connection
	return r, trace.Wrap(err)
}
