package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
)

const (
	// maxEventBytes is the largest event that is buffered until it is complete.
	maxEventBytes = 1 << 20
	// maxBufferedBytes is how much of an answer that is not a stream is buffered; answers of plain
	// services are a few KB.
	maxBufferedBytes = 64 << 10
	// copyBufferBytes is the most that is read from an endpoint at once.
	copyBufferBytes = 16 << 10
)

// eventStream is the state of a stream as far as it was passed on to the caller.
type eventStream struct {
	headSent bool
	lastID   string // id of the last complete event passed on
	partial  []byte // bytes of the incomplete event
}

// splitEvents splits buf after its last complete event and records the id of that event. An event
// ends with an empty line; lines may end with CR LF.
func (s *eventStream) splitEvents(buf []byte) (complete, rest []byte) {
	end := 0
	for {
		n := eventLength(buf[end:])
		if n == 0 {
			return buf[:end], buf[end:]
		}
		if id, ok := eventID(buf[end : end+n]); ok {
			s.lastID = id
		}
		end += n
	}
}

// eventLength returns the length of the first complete event in buf, or 0 if there is none.
func eventLength(buf []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(buf[at:], '\n')
		if n < 0 {
			return 0
		}
		line := buf[at : at+n]
		at += n + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
}

// eventID returns the value of the event's id line.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// relay passes an answer on to the caller. again is set if a stream broke that may resume at
// another endpoint.
func (x *exchange) relay(ctx context.Context, at *placement, res *http.Response) (o outcome, again bool) {
	if x.isResumable(res) {
		return x.relayEvents(ctx, at, res)
	}
	if x.stream != nil && x.stream.headSent {
		return x.abort(), false
	}
	if x.route.Kind == catalog.Streaming {
		x.writeHead(res)
		return x.finishAnswer(at, x.copyBody(at, res.Body, true)), false
	}
	return x.relayBuffered(ctx, at, res)
}

// relayBuffered buffers the beginning of an answer until the answer is complete or exceeds the
// buffer. If it breaks before, the caller has seen nothing of it and the request may be sent again
// where that is allowed.
func (x *exchange) relayBuffered(ctx context.Context, at *placement, res *http.Response) (o outcome, again bool) {
	buffered, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedBytes))
	if err != nil {
		x.recordFailure(at, err)
		if ctx.Err() == nil {
			x.recordOutcome(at, health.BadResponse)
			x.handleBrokenExchange(at)
		}
		return "", true
	}
	x.recordPart(at)
	x.writeHead(res)
	if x.writeToCaller(at, buffered, false) != nil {
		return callerGone, false
	}
	if len(buffered) < maxBufferedBytes {
		return x.finishAnswer(at, nil), false
	}
	return x.finishAnswer(at, x.copyBody(at, res.Body, false)), false
}

// isResumable reports whether the answer is a stream that can resume at another endpoint.
func (x *exchange) isResumable(res *http.Response) bool {
	if !x.route.Resumable || res.StatusCode != http.StatusOK {
		return false
	}
	kind := res.Header.Get("Content-Type")
	return kind == "" || strings.HasPrefix(kind, "text/event-stream")
}

// writeHead passes on the status and header of an answer without its hop-by-hop fields.
func (x *exchange) writeHead(res *http.Response) {
	h := x.w.Header()
	for name, values := range res.Header {
		if !HopByHop(name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing the type
	}
	x.w.WriteHeader(res.StatusCode)
}

// copyBody passes on a body and, if flush is set, flushes after each part.
func (x *exchange) copyBody(at *placement, body io.Reader, flush bool) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			x.recordPart(at)
			if e := x.writeToCaller(at, buf[:n], flush); e != nil {
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
func (x *exchange) relayEvents(ctx context.Context, at *placement, res *http.Response) (o outcome, again bool) {
	if x.stream == nil {
		x.stream = &eventStream{}
	}
	s := x.stream
	s.partial = s.partial[:0]
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			s.partial = append(s.partial, buf[:n]...)
			whole, rest := s.splitEvents(s.partial)
			if len(whole) > 0 {
				if e := x.writeEvents(at, res, whole); e != nil {
					return callerGone, false
				}
				s.partial = append(s.partial[:0], rest...)
			}
		}
		if err == nil && len(s.partial) <= maxEventBytes {
			continue
		}
		if err == io.EOF && len(s.partial) == 0 {
			if !s.headSent {
				x.writeHead(res)
			}
			return x.finishAnswer(at, nil), false
		}
		return x.handleBrokenStream(ctx, at, err)
	}
}

// writeEvents passes on complete events, preceded by the head of the first answer.
func (x *exchange) writeEvents(at *placement, res *http.Response, events []byte) error {
	x.recordPart(at)
	if !x.stream.headSent {
		x.stream.headSent = true
		x.writeHead(res)
	}
	return x.writeToCaller(at, events, true)
}

// writeToCaller writes a part of the answer to the caller and, if flush is set, flushes it. It
// blocks while the caller does not read.
func (x *exchange) writeToCaller(at *placement, part []byte, flush bool) error {
	if at.reservations != nil {
		at.reservations.writingToCaller.Store(true)
		defer at.reservations.writingToCaller.Store(false)
	}
	if _, err := x.w.Write(part); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(x.w).Flush()
}

// handleBrokenStream handles a stream that ended early.
func (x *exchange) handleBrokenStream(ctx context.Context, at *placement, err error) (outcome, bool) {
	if x.r.Context().Err() != nil {
		return callerGone, false
	}
	x.recordFailure(at, err)
	if ctx.Err() == nil {
		x.recordOutcome(at, health.BadResponse)
		x.g.meter.resumes.Inc()
		x.handleBrokenExchange(at)
	}
	return "", true
}

// recordPart records that a part of the answer has arrived.
func (x *exchange) recordPart(at *placement) {
	now := time.Now()
	x.answerBegun = true
	if x.firstPartAt.IsZero() {
		x.firstPartAt = now
		x.g.meter.firstByte.UpdateDuration(x.started)
		x.recordIfLate(at.endpoint.ID, now.Sub(at.chosenAt), at.expected.LateAfter())
		for _, helper := range at.helpers { // the delay may be caused by a helper
			x.recordIfLate(helper.ID, now.Sub(at.chosenAt), at.expected.LateAfter())
		}
	} else {
		gap := now.Sub(x.lastPartAt)
		x.maxGap = max(x.maxGap, gap)
		x.recordIfLate(at.endpoint.ID, gap, x.route.GapObjective)
	}
	x.lastPartAt = now
	if at.reservations != nil {
		at.reservations.usage.recordUse(now)
	}
	at.endPrefill()
}

// recordIfLate records an endpoint as late if a part of a stream took longer than the limit.
func (x *exchange) recordIfLate(endpoint string, took, limit time.Duration) {
	if limit > 0 && took > limit && x.route.Kind == catalog.Streaming {
		x.g.picker.recordLate(endpoint, time.Now())
	}
}

// finishAnswer returns the outcome of an answer whose relaying ended with err.
func (x *exchange) finishAnswer(at *placement, err error) outcome {
	if err == nil {
		x.recordOutcome(at, health.Success)
		x.recordSuccess(at)
		return answered
	}
	x.recordFailure(at, err)
	if _, ok := err.(*callerWriteError); ok || x.r.Context().Err() != nil {
		return callerGone
	}
	if time.Until(x.deadline) > 0 && !at.reservations.endedUnused() {
		x.recordOutcome(at, health.BadResponse)
		x.handleBrokenExchange(at)
	}
	return x.abort()
}

// callerWriteError is a failure to write to the caller.
type callerWriteError struct{ error }
