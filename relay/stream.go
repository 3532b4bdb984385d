package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventstream"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/httpsyntax"
	"github.com/micarudder/micarudder/stall/monitor"
	"github.com/micarudder/micarudder/upstream"
)

const (
	// maxEventBytes is the largest event that is buffered until it is complete.
	maxEventBytes = 1 << 20
	// maxBufferedBytes is how much of a response that is not a stream is buffered; responses of plain
	// services are a few KB.
	maxBufferedBytes = 64 << 10
	// copyBufferBytes is the most that is read from an endpoint at once.
	copyBufferBytes = 16 << 10
)

// eventStream is the state of a stream as far as it was passed on to the caller.
type eventStream struct {
	headSent bool
	lastID   string // id of the last complete event passed on
}

// relayAttempt relays the response of an attempt and ends the attempt. If it ends before the response is
// complete, next is the attempt that has resumed the stream already, or again is set if mayRetry decides.
func (x *exchange) relayAttempt(pl *placement) (next *placement, o outcome, again bool) {
	defer pl.end()
	o, again = x.relay(pl)
	next, moved := pl.stall.Next()
	if moved && !again {
		next.end()
	}
	return next, o, again
}

// keepFailed keeps a response with which the endpoint failed, in case the request cannot be repeated. The caller
// of a begun stream has no use for it.
func (x *exchange) keepFailed(pl *placement) {
	if !x.partial() {
		x.dropFailed()
		pl.release()
		x.failed = pl
	}
}

// dropFailed ends the kept attempt, if there is one.
func (x *exchange) dropFailed() {
	x.failed.end()
	x.failed = nil
}

// relayFailed passes the kept response on, if there is one. It reports false if there is none or it broke.
func (x *exchange) relayFailed() (o outcome, ok bool) {
	failed := x.failed
	if failed == nil {
		return "", false
	}
	x.failed = nil
	defer failed.end()
	o, again := x.relay(failed)
	return o, !again
}

// relay passes a response on to the caller. again is set if it broke before it was complete and the request
// may be sent again.
func (x *exchange) relay(pl *placement) (o outcome, again bool) {
	res := pl.response
	if x.isResumable(res) {
		return x.relayEvents(pl)
	}
	if x.partial() {
		return x.abort(brokenOff), false
	}
	if x.route.Kind == catalog.Streaming {
		x.writeHead(res)
		return x.finishResponse(pl, x.copyBody(pl, res.Body, true)), false
	}
	return x.relayBuffered(pl)
}

// relayBuffered buffers the beginning of a response until the response is complete or exceeds the
// buffer. If it breaks before, the caller has seen nothing of it and the request may be sent again
// where that is allowed.
func (x *exchange) relayBuffered(pl *placement) (o outcome, again bool) {
	res := pl.response
	buffered, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedBytes))
	if err != nil {
		x.recordFailure(pl, err)
		if pl.ctx.Err() == nil {
			x.recordOutcome(pl, health.BadResponse)
			x.handleBrokenExchange(pl)
		}
		return "", true
	}
	x.recordPart(pl)
	x.writeHead(res)
	if x.writeToCaller(pl, buffered, false) != nil {
		return callerGone, false
	}
	if len(buffered) < maxBufferedBytes {
		return x.finishResponse(pl, nil), false
	}
	return x.finishResponse(pl, x.copyBody(pl, res.Body, false)), false
}

// isResumable reports whether the response is a stream that can resume at another endpoint.
func (x *exchange) isResumable(res *http.Response) bool {
	return x.route.Resumable && upstream.IsEventStream(res)
}

// writeHead passes on the status and header of a response without its hop-by-hop fields.
func (x *exchange) writeHead(res *http.Response) {
	h := x.w.Header()
	for name, values := range res.Header {
		if !httpsyntax.HopByHop(name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing the type
	}
	x.sendHead(res.StatusCode)
}

// copyBody passes on a body and, if flush is set, flushes after each part.
func (x *exchange) copyBody(pl *placement, body io.Reader, flush bool) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			x.recordPart(pl)
			if e := x.writeToCaller(pl, buf[:n], flush); e != nil {
				return &callerWriteError{e}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayEvents passes on complete events only, so that a stream that breaks inside an event can
// resume at another endpoint.
func (x *exchange) relayEvents(pl *placement) (o outcome, again bool) {
	res := pl.response
	if x.stream == nil {
		x.stream = &eventStream{}
	}
	events := eventstream.NewBuffer(x.stream.lastID, maxEventBytes, pl.reserve(heldmemory.Event))
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := pl.stall.Read(res.Body, buf)
		complete, appendErr := events.Append(buf[:n])
		x.stream.lastID = events.LastID
		if len(complete) > 0 && x.writeEvents(pl, res, complete) != nil {
			return callerGone, false
		}
		switch {
		case appendErr != nil:
			return x.handleBrokenStream(pl, appendErr)
		case err == io.EOF && events.Empty():
			if !x.stream.headSent {
				x.writeHead(res)
			}
			return x.finishResponse(pl, nil), false
		case err != nil:
			return x.handleBrokenStream(pl, err)
		}
	}
}

// writeEvents passes on complete events, preceded by the head of the first response.
func (x *exchange) writeEvents(pl *placement, res *http.Response, events []byte) error {
	x.recordPart(pl)
	if !x.stream.headSent {
		x.stream.headSent = true
		x.writeHead(res)
	}
	pl.stall.EventArrived(x.stream.lastID)
	defer pl.stall.EventPassedOn()
	return x.writeToCaller(pl, events, true)
}

// writeToCaller writes a part of the response to the caller and, if flush is set, flushes it. It
// blocks while the caller does not read.
func (x *exchange) writeToCaller(pl *placement, part []byte, flush bool) error {
	if pl.reservations != nil {
		pl.reservations.writingToCaller.Store(true)
		defer pl.reservations.writingToCaller.Store(false)
	}
	began := time.Now()
	_, err := x.w.Write(part)
	if err == nil && flush {
		err = http.NewResponseController(x.w).Flush()
	}
	pl.callerDelay = max(pl.callerDelay, time.Since(began))
	x.logSlowReader(err)
	return err
}

// handleBrokenStream handles a stream that ended early.
func (x *exchange) handleBrokenStream(pl *placement, err error) (outcome, bool) {
	if x.r.Context().Err() != nil {
		return callerGone, false
	}
	x.recordFailure(pl, err)
	switch {
	case errors.Is(err, monitor.ErrMoved):
		x.g.meter.resumes.Inc()
	case pl.ctx.Err() == nil:
		x.recordBrokenResponse(pl)
		x.g.meter.resumes.Inc()
		x.handleBrokenExchange(pl)
	}
	return "", true
}

// recordPart records that a part of the response has arrived.
func (x *exchange) recordPart(pl *placement) {
	now := time.Now()
	pl.responseBegun = true
	if x.firstPartAt.IsZero() {
		x.firstPartAt = now
		x.g.meter.firstByte.UpdateDuration(x.started)
		x.recordIfLate(pl.endpoint.ID, now.Sub(pl.chosenAt), pl.expected.LateAfter())
		for _, helper := range pl.helpers { // the delay may be caused by a helper
			x.recordIfLate(helper.ID, now.Sub(pl.chosenAt), pl.expected.LateAfter())
		}
	} else {
		gap := now.Sub(x.lastPartAt)
		x.maxGap = max(x.maxGap, gap)
		x.recordIfLate(pl.endpoint.ID, gap, x.route.GapObjective)
	}
	x.lastPartAt = now
	if pl.reservations != nil {
		pl.reservations.usage.RecordUse(now)
	}
	pl.endPrefill()
}

// recordIfLate records an endpoint as late if a part of a stream took longer than the limit.
func (x *exchange) recordIfLate(endpoint string, took, limit time.Duration) {
	if limit > 0 && took > limit && x.route.Kind == catalog.Streaming {
		x.g.picker.recordLate(endpoint, time.Now())
	}
}

// finishResponse returns the outcome of a response whose relaying ended with err.
func (x *exchange) finishResponse(pl *placement, err error) outcome {
	if err == nil {
		x.recordOutcome(pl, health.Success)
		x.recordSuccess(pl)
		return answered
	}
	x.recordFailure(pl, err)
	if _, ok := err.(*callerWriteError); ok || x.r.Context().Err() != nil {
		return callerGone
	}
	if pl.ctx.Err() == nil {
		x.recordBrokenResponse(pl)
		x.handleBrokenExchange(pl)
	}
	return x.abort(brokenOff)
}

// callerWriteError is a failure to write to the caller.
type callerWriteError struct{ error }
