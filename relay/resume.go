package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/eventstream"
	"github.com/micarudder/micarudder/stall"
	"github.com/micarudder/micarudder/waitpolicy"
)

// resumption is the attempt to resume a stalled stream at another endpoint. The response at the endpoint where
// it stalled is awaited until the other one delivers, so that a resumption that is denied, refused or fails
// costs the caller nothing. While it runs it has the exchange to itself: the goroutine that relays the response
// waits for bytes, and once it has some, for the resumption to end.
type resumption struct {
	ctx      context.Context
	cancel   context.CancelFunc
	handover stall.Handover // guarded by stallMonitor.mu
	next     *placement     // the attempt that the stream has moved to; nil if it has not
	done     chan struct{}  // closed once the resumption has ended
}

// read reads from the response. It fails with errStalled once the stream has moved to another endpoint.
func (m *stallMonitor) read(body io.Reader, p []byte) (int, error) {
	if m == nil {
		return body.Read(p)
	}
	m.mu.Lock()
	m.reading = true
	m.mu.Unlock()
	n, err := body.Read(p)
	if !m.endRead(n > 0 || err == io.EOF) {
		return 0, errStalled
	}
	return n, err
}

// endRead ends a read and waits for a resumption that is in progress. It reports whether what the read
// returned is valid: the stream had not moved before.
func (m *stallMonitor) endRead(delivered bool) (valid bool) {
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

// beginResumption begins a resumption if the stream is stalled, and returns for how long it has had no event.
// Otherwise it schedules the next check.
func (m *stallMonitor) beginResumption(suspended time.Duration, now time.Time) (*resumption, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return nil, 0
	}
	idle, stalled := m.watch.Check(stall.Observation{LastProgress: m.lastProgress, WaitingForCaller: m.waitingForCaller, Suspended: suspended}, now)
	if !stalled || !m.reading {
		m.timer.Reset(m.watch.Interval())
		return nil, 0
	}
	m.resumption = &resumption{done: make(chan struct{})}
	m.resumption.ctx, m.resumption.cancel = context.WithCancel(m.requestCtx)
	return m.resumption, idle
}

// endResumption moves the stream to the attempt that has begun at another endpoint. If there is none, or its
// own endpoint has delivered first, the stream is left there for another limit.
func (m *stallMonitor) endResumption(r *resumption, next *placement) {
	defer close(r.done)
	m.mu.Lock()
	defer m.mu.Unlock()
	if next != nil {
		moves, cut := r.handover.Begun()
		if moves {
			m.x.g.meter.stallsCut.Inc()
			r.next = next
		}
		if cut {
			m.cancel(errStalled)
		}
	}
	if r.next != nil {
		return
	}
	if next != nil {
		next.end()
	}
	r.cancel()
	m.resumption = nil
	m.watch.Restart(time.Now())
	m.timer.Reset(m.watch.Interval())
}

// resumedAt returns the attempt that the stream has moved to, or nil. It is called once no read is in progress.
func (m *stallMonitor) resumedAt() *placement {
	if m == nil || m.resumption == nil {
		return nil
	}
	return m.resumption.next
}

// resumeResult says what came of a resumption, for the log: one of the following, or the outcome with which
// the attempt to resume ended.
type resumeResult string

const (
	resumeBegun      resumeResult = "resumed"
	resumeNoAttempt  resumeResult = "no attempt left"
	resumeNoEndpoint resumeResult = "no other endpoint"
	resumeFailed     resumeResult = "the other endpoint failed"
)

// resume sends the rest of the stream to another endpoint. It returns the attempt once its first event has
// arrived, and nil if there will be none; the caller's response is not affected.
func (x *exchange) resume(ctx context.Context) (*placement, resumeResult) {
	x.resuming = true
	defer func() { x.resuming = false }()
	if result := x.mayResume(ctx); result != "" {
		return nil, result
	}
	attempts := x.attempts
	next, o := x.obtain(ctx)
	if x.attempts == attempts {
		x.retryGranted = true // it was charged to the retry budget, and no endpoint has received it
	}
	if next == nil {
		return nil, resumeResult(o)
	}
	if !x.isResumable(next.response) {
		next.end()
		return nil, resumeFailed
	}
	if err := awaitFirstEvent(next.response, x.stream.lastID); err != nil {
		_, _ = x.handleBrokenStream(next, err)
		next.end()
		return nil, resumeFailed
	}
	return next, resumeBegun
}

// mayResume returns why the stream may not be sent to another endpoint now, or an empty string after charging
// the retry budget.
func (x *exchange) mayResume(ctx context.Context) resumeResult {
	switch {
	case len(x.sentEndpoints) >= x.route.MaxAttempts, x.waitPolicy().AfterAttempt(x.route, true) == waitpolicy.NoRetry:
		return resumeNoAttempt
	case !x.g.state.acceptsElsewhere(x.service.Name, slices.Concat(x.tried, x.excluded), time.Now()):
		return resumeNoEndpoint
	}
	if o, ok := x.authorize(ctx); !ok {
		return resumeResult(o)
	}
	if o, ok := x.mayRetry(ctx); !ok {
		return resumeResult(o)
	}
	return ""
}

// errEventTooLarge ends a stream with an event that is longer than maxEventBytes.
var errEventTooLarge = errors.New("an event is too large")

// awaitFirstEvent reads from the response until it has an event with another id than lastID, or ends. What
// was read remains in its body.
func awaitFirstEvent(res *http.Response, lastID string) error {
	var begun []byte
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		begun = append(begun, buf[:n]...)
		_, rest, id := eventstream.Split(begun, lastID)
		switch {
		case id != lastID, err == io.EOF && len(rest) == 0:
			res.Body = &begunBody{Reader: io.MultiReader(bytes.NewReader(begun), res.Body), Closer: res.Body}
			return nil
		case err != nil:
			return err
		case len(rest) > maxEventBytes:
			return errEventTooLarge
		}
	}
}

// begunBody is a response body of which the beginning was read before.
type begunBody struct {
	io.Reader
	io.Closer
}
