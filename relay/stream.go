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
	// maxEvent is the largest event that is held back until it is whole.
	maxEvent = 1 << 20
	// holdBack is how much of an answer that is no stream is held back; answers
	// of plain services are a few KB.
	holdBack = 64 << 10
	// copyBuffer is the most that is read from an endpoint at once.
	copyBuffer = 16 << 10
)

// eventStream is what a caller has got of a stream so far.
type eventStream struct {
	headSent bool
	lastID   string // of the last whole event passed on
	partial  []byte // of the event that is still coming
}

// cut splits off the whole events of buf and notes the id of the last one. The
// events end with an empty line; lines may end with CR LF.
func (s *eventStream) cut(buf []byte) (whole, rest []byte) {
	end := 0
	for {
		n := eventEnd(buf[end:])
		if n == 0 {
			return buf[:end], buf[end:]
		}
		if id, ok := eventID(buf[end : end+n]); ok {
			s.lastID = id
		}
		end += n
	}
}

// eventEnd returns the length of the first whole event in buf, 0 for none.
func eventEnd(buf []byte) int {
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

// relay passes an answer on. again is set when a stream broke that may go on at
// another endpoint.
func (x *exchange) relay(ctx context.Context, at *place, res *http.Response) (o outcome, again bool) {
	if x.resumes(res) {
		return x.relayEvents(ctx, at, res)
	}
	if x.stream != nil && x.stream.headSent {
		return x.abort(), false
	}
	if x.route.Kind == catalog.Streaming {
		x.writeHead(res)
		return x.answerEnded(at, x.copyBody(at, res.Body, true)), false
	}
	return x.relayWhole(ctx, at, res)
}

// relayWhole holds the beginning of an answer back until it is whole or too
// long to hold, so that one that breaks early costs the caller nothing where
// the request may be sent again.
func (x *exchange) relayWhole(ctx context.Context, at *place, res *http.Response) (o outcome, again bool) {
	held, err := io.ReadAll(io.LimitReader(res.Body, holdBack))
	if err != nil {
		x.brokenBy(at, err)
		if ctx.Err() == nil {
			x.note(at, health.Bad)
			x.broke(at)
		}
		return "", true
	}
	x.part(at)
	x.writeHead(res)
	if x.toCaller(at, held, false) != nil {
		return callerGone, false
	}
	if len(held) < holdBack {
		return x.answerEnded(at, nil), false
	}
	return x.answerEnded(at, x.copyBody(at, res.Body, false)), false
}

// resumes reports whether the answer is a stream that may go on elsewhere.
func (x *exchange) resumes(res *http.Response) bool {
	if !x.route.Resumable || res.StatusCode != http.StatusOK {
		return false
	}
	kind := res.Header.Get("Content-Type")
	return kind == "" || strings.HasPrefix(kind, "text/event-stream")
}

// writeHead passes on the head of an answer, less what belongs to the
// endpoint's connection.
func (x *exchange) writeHead(res *http.Response) {
	h := x.w.Header()
	for name, values := range res.Header {
		if !HopByHop(name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	x.w.WriteHeader(res.StatusCode)
}

// copyBody passes on a body, each part at once if flushed is set.
func (x *exchange) copyBody(at *place, body io.Reader, flushed bool) error {
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			x.part(at)
			if e := x.toCaller(at, buf[:n], flushed); e != nil {
				return &callerError{e}
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

// relayEvents passes on whole events, so that a break inside an event leaves
// the caller with a stream that another endpoint can go on with.
func (x *exchange) relayEvents(ctx context.Context, at *place, res *http.Response) (o outcome, again bool) {
	if x.stream == nil {
		x.stream = &eventStream{}
	}
	s := x.stream
	s.partial = s.partial[:0]
	buf := make([]byte, copyBuffer)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			s.partial = append(s.partial, buf[:n]...)
			whole, rest := s.cut(s.partial)
			if len(whole) > 0 {
				if e := x.writeEvents(at, res, whole); e != nil {
					return callerGone, false
				}
				s.partial = append(s.partial[:0], rest...)
			}
		}
		if err == nil && len(s.partial) <= maxEvent {
			continue
		}
		if err == io.EOF && len(s.partial) == 0 {
			if !s.headSent {
				x.writeHead(res)
			}
			return x.answerEnded(at, nil), false
		}
		return x.streamBroke(ctx, at, err)
	}
}

// writeEvents passes on whole events, after the head of the first answer.
func (x *exchange) writeEvents(at *place, res *http.Response, events []byte) error {
	x.part(at)
	if !x.stream.headSent {
		x.stream.headSent = true
		x.writeHead(res)
	}
	return x.toCaller(at, events, true)
}

// toCaller writes a part of the answer to the caller, at once if flushed is set. It may wait
// for a caller that does not read.
func (x *exchange) toCaller(at *place, part []byte, flushed bool) error {
	if at.memory != nil {
		at.memory.writing.Store(true)
		defer at.memory.writing.Store(false)
	}
	if _, err := x.w.Write(part); err != nil {
		return err
	}
	if !flushed {
		return nil
	}
	return http.NewResponseController(x.w).Flush()
}

// streamBroke decides what becomes of a stream that ended early.
func (x *exchange) streamBroke(ctx context.Context, at *place, err error) (outcome, bool) {
	if x.r.Context().Err() != nil {
		return callerGone, false
	}
	x.brokenBy(at, err)
	if ctx.Err() == nil {
		x.note(at, health.Bad)
		x.g.meter.resumes.Inc()
		x.broke(at)
	}
	return "", true
}

// part notes that a part of the answer has come.
func (x *exchange) part(at *place) {
	now := time.Now()
	x.begun = true
	if x.firstAt.IsZero() {
		x.firstAt = now
		x.g.meter.firstByte.UpdateDuration(x.started)
		x.judge(at.endpoint.ID, now.Sub(at.chosen), at.expected.LatestFirst())
		for _, helper := range at.helpers { // it may be for one of them
			x.judge(helper.ID, now.Sub(at.chosen), at.expected.LatestFirst())
		}
	} else {
		gap := now.Sub(x.lastAt)
		x.maxGap = max(x.maxGap, gap)
		x.judge(at.endpoint.ID, gap, x.route.GapObjective)
	}
	x.lastAt = now
	if at.memory != nil {
		at.memory.use.prove(now)
	}
	at.read()
}

// judge notes an endpoint that a part of a stream waited for much longer than it should.
func (x *exchange) judge(endpoint string, took, most time.Duration) {
	if most > 0 && took > most && x.route.Kind == catalog.Streaming {
		x.g.picker.noteLate(endpoint, time.Now())
	}
}

// answerEnded judges how the relaying of an answer ended.
func (x *exchange) answerEnded(at *place, err error) outcome {
	if err == nil {
		x.note(at, health.Good)
		x.served(at)
		return answered
	}
	x.brokenBy(at, err)
	if _, ok := err.(*callerError); ok || x.r.Context().Err() != nil {
		return callerGone
	}
	if time.Until(x.deadline) > 0 && !at.memory.unused() {
		x.note(at, health.Bad)
		x.broke(at)
	}
	return x.abort()
}

// callerError is a failure to write to the caller.
type callerError struct{ error }
