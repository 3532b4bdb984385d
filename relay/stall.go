package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/stall"
)

// errStalled ends an attempt whose stream made no progress.
var errStalled = errors.New("the stream made no progress")

// deliveryDivisor is the part of the limit, as a divisor, within which an endpoint that works delivers
// an event to some other stream: at least two gap objectives. An endpoint that stops altogether has
// sent the last events of its streams shortly after each other.
const deliveryDivisor = 2

// streamDeliveries records when endpoints last delivered an event to this gateway.
type streamDeliveries struct {
	mu     sync.Mutex
	record *stall.Deliveries
}

func (d *streamDeliveries) update(f func(*stall.Deliveries)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.record)
}

func (d *streamDeliveries) deliveredSince(endpoint string, t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.record.DeliveredSince(endpoint, t)
}

// stallMonitor resumes the stream of one attempt at another endpoint if its own delivers no event for too
// long, and cuts the attempt once the other one delivers. It begins with the first event of the attempt that
// has an id. Before that, the prompt may still be prefilled, even if the endpoint has sent comments; and a
// stream without ids cannot be resumed, since its events would be repeated. All methods accept a nil receiver.
type stallMonitor struct {
	x           *exchange
	endpoint    string
	limit       time.Duration
	requestCtx  context.Context // of the request, for attempts that resume the stream
	cancel      context.CancelCauseFunc
	resumedFrom string // id of the last event before this attempt

	mu               sync.Mutex
	watch            *stall.Watch // nil before the first event that has an id
	timer            *time.Timer  // runs the next check
	lastEvent        time.Time
	lastProgress     time.Time // lastEvent, or when the caller took that event
	waitingForCaller bool
	reading          bool        // whether the exchange waits for the response
	resumption       *resumption // in progress or successful; nil: none
	failureRecorded  bool
	ended            bool
}

// newStallMonitor returns a monitor for an attempt under ctx and the context that it cancels. The monitor is
// nil if the route's streams are not monitored.
func (x *exchange) newStallMonitor(requestCtx, ctx context.Context, pl *placement) (context.Context, *stallMonitor) {
	limit := stall.Limit(x.route)
	if !x.g.config.StallResume || limit == 0 {
		return ctx, nil
	}
	m := &stallMonitor{x: x, endpoint: pl.endpoint.ID, limit: limit, requestCtx: requestCtx}
	if x.stream != nil {
		m.resumedFrom = x.stream.lastID
	}
	ctx, m.cancel = context.WithCancelCause(ctx)
	return ctx, m
}

// eventArrived records that an event arrived and is about to be written to the caller. lastID is the id
// of the newest event that has one.
func (m *stallMonitor) eventArrived(lastID string) {
	if m == nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watch == nil && lastID != m.resumedFrom {
		m.begin(now)
	}
	m.lastEvent, m.lastProgress, m.waitingForCaller = now, now, true
	m.x.g.deliveries.update(func(d *stall.Deliveries) { d.Record(m.endpoint, now) })
}

// eventPassedOn records that the caller took the newest event.
func (m *stallMonitor) eventPassedOn() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastProgress, m.waitingForCaller = time.Now(), false
}

// begin starts the checks.
func (m *stallMonitor) begin(now time.Time) {
	x := m.x
	m.watch = stall.NewWatch(m.limit, x.g.checkSuspension(), now)
	x.g.deliveries.update(func(d *stall.Deliveries) { d.Begin(m.endpoint) })
	m.timer = time.AfterFunc(m.watch.Interval(), m.check)
}

// check resumes the stream elsewhere if it is stalled.
func (m *stallMonitor) check() {
	suspended := m.x.g.checkSuspension()
	now := time.Now()
	if r, idle := m.beginResumption(suspended, now); r != nil {
		m.endResumption(r, m.handleStall(r, idle, now))
	}
}

// handleStall records a stall and tries to resume the stream elsewhere. It returns the attempt that has begun
// there, if any.
func (m *stallMonitor) handleStall(r *resumption, idle time.Duration, now time.Time) *placement {
	g := m.x.g
	toOthers := g.deliveries.deliveredSince(m.endpoint, now.Add(-m.limit/deliveryDivisor))
	g.meter.stalls.Inc()
	g.picker.recordLate(m.endpoint, now)
	if !toOthers && !m.failureRecorded {
		m.failureRecorded = true
		if g.picker.recordOutcome(m.endpoint, health.BadResponse, now) {
			g.deps.Log.Logger().Warn("Endpoint suspect.", "endpoint", m.endpoint, "request", m.x.call.ID, "err", errStalled)
		}
	}
	next, result := m.x.resume(r.ctx)
	g.deps.Log.Request("Stream stalled.", "request", m.x.call.ID, "endpoint", m.endpoint, "outcome", string(result), "idle_ms", idle.Milliseconds(),
		"limit_ms", m.limit.Milliseconds(), "last_event_age_ms", now.Sub(m.lastEvent).Milliseconds(), "delivers_to_others", toOthers, "took_ms", time.Since(now).Milliseconds())
	return next
}

// acceptsElsewhere reports whether a service has an endpoint that accepts requests and is not among the
// excluded ones.
func (s *State) acceptsElsewhere(service string, excluded []string, now time.Time) bool {
	for _, e := range s.Endpoints(service) {
		if !slices.Contains(excluded, e.ID) && s.AcceptsRequests(e.ID, now) {
			return true
		}
	}
	return false
}

// end ends the checks.
func (m *stallMonitor) end() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.watch != nil {
		m.timer.Stop()
		m.x.g.deliveries.update(func(d *stall.Deliveries) { d.End(m.endpoint) })
	}
	m.cancel(nil)
}
