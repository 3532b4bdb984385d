// Package monitor resumes streams that make no progress. It watches the response of one endpoint and, while it
// still awaits it, lets the stream be resumed at another one. Whatever denies, refuses or fails the resumption
// leaves the stream where it is.
package monitor

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/micarudder/micarudder/stall"
)

// ErrMoved is returned by Monitor.Read once the stream has moved to another endpoint.
var ErrMoved = errors.New("the stream made no progress")

// Options describes the stream that a Monitor watches. A is an attempt to serve it.
type Options[A any] struct {
	// Limit is the time without an event after which the stream is resumed elsewhere.
	Limit time.Duration
	// Suspended returns how long the host was suspended in total.
	Suspended func() time.Duration
	// Deliveries records the events of all streams, and Endpoint is the one of this stream.
	Deliveries *Deliveries
	Endpoint   string
	// ResumedFrom is the id of the last event before the response.
	ResumedFrom string
	// Resume sends the rest of the stream to another endpoint and returns the attempt once its first event
	// has arrived; ok is false if there will be none. The goroutine that reads the stream waits meanwhile.
	Resume func(context.Context, Stall) (next A, ok bool)
	// Discard ends an attempt that has begun but does not get the stream.
	Discard func(next A)
	// Move is called when the stream moves. If cut is set, the first attempt has to be ended.
	Move func(cut bool)
}

// Stall is a stream without progress.
type Stall struct {
	At           time.Time
	Idle         time.Duration // time without an event that counts
	LastEventAge time.Duration
	// DeliversToOthers is set if the endpoint delivered to other streams in the second half of the limit.
	DeliversToOthers bool
}

// deliveryDivisor is the part of the limit, as a divisor, within which an endpoint that works delivers
// an event to some other stream: at least two gap objectives. An endpoint that stops altogether has
// sent the last events of its streams shortly after each other.
const deliveryDivisor = 2

// Monitor watches the response of one attempt. It begins with the first event that has an id. Before that, the
// prompt may still be prefilled, even if the endpoint has sent comments; and a stream without ids cannot be
// resumed, since its events would be repeated. All methods accept a nil receiver, which watches nothing.
type Monitor[A any] struct {
	ctx     context.Context // for the attempts that resume the stream
	options Options[A]

	mu               sync.Mutex
	watch            *stall.Watch // nil before the first event that has an id
	timer            *time.Timer  // runs the next check
	lastEvent        time.Time
	lastProgress     time.Time // lastEvent, or when the caller took that event
	waitingForCaller bool
	reading          bool           // whether the stream's goroutine waits for the response
	resumption       *resumption[A] // in progress or successful; nil: none
	ended            bool
}

// resumption is one attempt to resume the stream elsewhere.
type resumption[A any] struct {
	ctx      context.Context
	cancel   context.CancelFunc
	handover stall.Handover // guarded by Monitor.mu
	next     A              // valid if moved is set
	moved    bool
	done     chan struct{} // closed once the resumption has ended
}

// New returns a monitor. Attempts that resume the stream run under ctx.
func New[A any](ctx context.Context, o Options[A]) *Monitor[A] {
	return &Monitor[A]{ctx: ctx, options: o}
}

// EventArrived records that an event arrived and is about to be written to the caller. lastID is the id
// of the newest event that has one.
func (m *Monitor[A]) EventArrived(lastID string) {
	if m == nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watch == nil && lastID != m.options.ResumedFrom {
		m.begin(now)
	}
	m.lastEvent, m.lastProgress, m.waitingForCaller = now, now, true
	m.options.Deliveries.record(m.options.Endpoint, now)
}

// EventPassedOn records that the caller took the newest event.
func (m *Monitor[A]) EventPassedOn() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastProgress, m.waitingForCaller = time.Now(), false
}

// begin starts the checks. The caller holds the lock.
func (m *Monitor[A]) begin(now time.Time) {
	m.watch = stall.NewWatch(m.options.Limit, m.options.Suspended(), now)
	m.options.Deliveries.begin(m.options.Endpoint)
	m.timer = time.AfterFunc(m.watch.Interval(), m.check)
}

// Read reads from the response. It fails with ErrMoved once the stream has moved to another endpoint.
func (m *Monitor[A]) Read(response io.Reader, p []byte) (int, error) {
	if m == nil {
		return response.Read(p)
	}
	m.mu.Lock()
	m.reading = true
	m.mu.Unlock()
	n, err := response.Read(p)
	if !m.endRead(n > 0 || err == io.EOF) {
		return 0, ErrMoved
	}
	return n, err
}

// endRead ends a read and waits for a resumption that is in progress. It reports whether what the read
// returned is valid, because the stream had not moved before.
func (m *Monitor[A]) endRead(delivered bool) (valid bool) {
	m.mu.Lock()
	m.reading = false
	r := m.resumption
	if r == nil {
		m.mu.Unlock()
		return true
	}
	if delivered {
		valid = r.handover.Delivered()
	} else {
		valid = r.handover.Broke()
	}
	m.mu.Unlock()
	if delivered && valid {
		r.cancel()
	}
	<-r.done
	return valid
}

// check resumes the stream elsewhere if it is stalled.
func (m *Monitor[A]) check() {
	suspended := m.options.Suspended()
	now := time.Now()
	r, s := m.beginResumption(suspended, now)
	if r == nil {
		return
	}
	s.DeliversToOthers = m.options.Deliveries.deliveredSince(m.options.Endpoint, now.Add(-m.options.Limit/deliveryDivisor))
	next, ok := m.options.Resume(r.ctx, s)
	m.endResumption(r, next, ok)
}

// beginResumption begins a resumption if the stream is stalled. Otherwise it schedules the next check.
func (m *Monitor[A]) beginResumption(suspended time.Duration, now time.Time) (*resumption[A], Stall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return nil, Stall{}
	}
	idle, stalled := m.watch.Check(stall.Observation{LastProgress: m.lastProgress, WaitingForCaller: m.waitingForCaller, Suspended: suspended}, now)
	if !stalled || !m.reading {
		m.timer.Reset(m.watch.Interval())
		return nil, Stall{}
	}
	r := &resumption[A]{done: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(m.ctx)
	m.resumption = r
	return r, Stall{At: now, Idle: idle, LastEventAge: now.Sub(m.lastEvent)}
}

// endResumption moves the stream to the attempt that has begun at another endpoint. If there is none, or its
// own endpoint has delivered first, the stream is left there for another limit.
func (m *Monitor[A]) endResumption(r *resumption[A], next A, begun bool) {
	defer close(r.done)
	m.mu.Lock()
	defer m.mu.Unlock()
	if begun {
		var cut bool
		if r.moved, cut = r.handover.Begun(); r.moved {
			r.next = next
			m.options.Move(cut)
			return
		}
		m.options.Discard(next)
	}
	r.cancel()
	m.resumption = nil
	m.watch.Restart(time.Now())
	m.timer.Reset(m.watch.Interval())
}

// Next returns the attempt that the stream has moved to, if it has. It must not be called during a Read.
func (m *Monitor[A]) Next() (next A, moved bool) {
	if m == nil {
		return next, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.resumption == nil {
		return next, false
	}
	return m.resumption.next, m.resumption.moved
}

// End ends the checks. It must not be called during a Read.
func (m *Monitor[A]) End() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watch != nil && !m.ended {
		m.timer.Stop()
		m.options.Deliveries.end(m.options.Endpoint)
	}
	m.ended = true
}
