package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/stall"
	"github.com/micarudder/micarudder/waitpolicy"
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

// stallMonitor cuts the stream of one attempt if its endpoint delivers no event for too long. It
// begins with the first event of the attempt that has an id. Before that, the prompt may still be
// prefilled, even if the endpoint has sent comments; and a stream without ids cannot be resumed, since
// its events would be repeated. All methods accept a nil receiver.
type stallMonitor struct {
	x           *exchange
	endpoint    string
	limit       time.Duration
	cancel      context.CancelCauseFunc
	resumedFrom string // id of the last event before this attempt

	mu               sync.Mutex
	watch            *stall.Watch // nil before the first event that has an id
	timer            *time.Timer  // runs the next check
	excluded         []string     // endpoints at which the stream cannot be resumed
	attemptsLeft     bool
	lastEvent        time.Time
	lastProgress     time.Time // lastEvent, or when the caller took that event
	waitingForCaller bool
	failureRecorded  bool
	ended, cut       bool
}

// newStallMonitor returns a monitor for an attempt and the context that it cancels. The monitor is nil
// if the route's streams are not monitored.
func (x *exchange) newStallMonitor(ctx context.Context, pl *placement) (context.Context, *stallMonitor) {
	limit := stall.Limit(x.route)
	if !x.g.config.StallResume || limit == 0 {
		return ctx, nil
	}
	m := &stallMonitor{x: x, endpoint: pl.endpoint.ID, limit: limit}
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

// begin starts the checks. The fields of the exchange that it reads do not change while its response
// is relayed.
func (m *stallMonitor) begin(now time.Time) {
	x := m.x
	m.excluded = slices.Concat(x.tried, x.excluded)
	m.attemptsLeft = len(x.sentEndpoints) < x.route.MaxAttempts && x.waitPolicy().AfterAttempt(x.route, true) != waitpolicy.NoRetry
	m.watch = stall.NewWatch(m.limit, x.g.checkSuspension(), now)
	x.g.deliveries.update(func(d *stall.Deliveries) { d.Begin(m.endpoint) })
	m.timer = time.AfterFunc(m.watch.Interval(), m.check)
}

// check cuts the stream if it is stalled and may be resumed.
func (m *stallMonitor) check() {
	suspended := m.x.g.checkSuspension()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	idle, stalled := m.watch.Check(stall.Observation{LastProgress: m.lastProgress, WaitingForCaller: m.waitingForCaller, Suspended: suspended}, now)
	if stalled && m.handleStall(idle, now) {
		m.cut = true
		m.cancel(errStalled)
		return
	}
	m.timer.Reset(m.watch.Interval())
}

// handleStall records a stall and decides whether the stream is cut. If not, it is left alone for
// another limit.
func (m *stallMonitor) handleStall(idle time.Duration, now time.Time) (cut bool) {
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
	decision := m.decide(now)
	g.deps.Log.Request("Stream stalled.", "request", m.x.call.ID, "endpoint", m.endpoint, "outcome", string(decision), "idle_ms", idle.Milliseconds(),
		"limit_ms", m.limit.Milliseconds(), "last_event_age_ms", now.Sub(m.lastEvent).Milliseconds(), "delivers_to_others", toOthers)
	if decision != stallCut {
		m.watch.Restart(now)
		return false
	}
	g.meter.stallsCut.Inc()
	g.meter.retries.Inc()
	return true
}

// stallDecision says what is done about a stalled stream.
type stallDecision string

const (
	stallCut        stallDecision = "cut"
	stallNoAttempt  stallDecision = "no attempt left"
	stallNoEndpoint stallDecision = "no other endpoint"
	stallNoBudget   stallDecision = "retry budget used up"
)

// decide decides about a stalled stream. If the stream is cut, its resumption has been charged to the
// retry budget: after the cut it would be too late to refuse it.
func (m *stallMonitor) decide(now time.Time) stallDecision {
	switch x := m.x; {
	case !m.attemptsLeft:
		return stallNoAttempt
	case !x.g.state.acceptsElsewhere(x.service.Name, m.excluded, now):
		return stallNoEndpoint
	case !x.g.picker.takeRetry(x.service.Name, now):
		return stallNoBudget
	}
	return stallCut
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

// wasCut reports whether the stream was cut.
func (m *stallMonitor) wasCut() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
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
