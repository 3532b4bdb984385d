package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/micarudder/micarudder/internal/standin/answer"
)

// responder sends the response for one run to its caller.
type responder struct {
	s      *Server
	w      http.ResponseWriter
	req    *completion
	run    *run
	sent   int    // bytes of the answer that the caller has received
	prefix []byte // start of every event
	text   []byte
	buf    []byte
}

// progress is the state of a run at one time.
type progress struct {
	out    int
	state  runState
	faults Faults
}

func (a *responder) progress() progress {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	return progress{a.run.out, a.run.state, a.s.faults}
}

// stream sends the answer as server-sent events.
func (a *responder) stream(ctx context.Context) {
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	for {
		select {
		case <-a.run.notify:
		case <-ctx.Done():
			a.s.cancel(a.run)
			return
		}
		if a.emit(a.progress()) {
			return
		}
	}
}

// emit sends the new part of the answer and reports whether the stream has ended.
func (a *responder) emit(p progress) bool {
	limit := a.limit(p)
	a.buf = a.buf[:0]
	if limit > a.sent {
		a.appendText(limit)
	}
	switch {
	case p.state == finished && limit < p.out*answer.TokenBytes:
		a.buf = append(a.buf, "data: {\"error\":{\"code\":\"failed\",\"message\":\"the engine failed\"}}\n\n"...)
	case p.state == finished:
		a.appendEnd("length", p.out)
	case p.state == canceled:
		a.buf = append(a.buf, "data: {\"error\":{\"code\":\"failed\",\"message\":\"cancelled\"}}\n\n"...)
	}
	_, err := a.w.Write(a.buf)
	a.flush()
	if p.state == died || a.cutReached(p) {
		abort()
	}
	if err != nil {
		a.s.cancel(a.run)
	}
	return err != nil || p.state != running
}

// limit returns the length of the answer in bytes that may be sent so far.
func (a *responder) limit(p progress) int {
	out := p.out
	if p.faults.FailStream {
		out = min(out, a.req.max-1)
	}
	if n := p.faults.CutAfterTokens; n > 0 {
		out = min(out, a.run.record.Resumed+n)
	}
	return out * answer.TokenBytes
}

func (a *responder) cutReached(p progress) bool {
	n := p.faults.CutAfterTokens
	return n > 0 && a.sent >= (a.run.record.Resumed+n)*answer.TokenBytes
}

// appendText appends an event with the answer's bytes up to limit.
func (a *responder) appendText(limit int) {
	first := a.sent / answer.TokenBytes
	a.text = a.req.key.Append(a.text[:0], first, limit/answer.TokenBytes)
	text := a.text[a.sent-first*answer.TokenBytes:]
	a.appendPrefix()
	if a.req.chat {
		a.buf = append(a.buf, `"delta":{"content":"`...)
		a.buf = append(a.buf, text...)
		a.buf = append(a.buf, `"}`...)
	} else {
		a.buf = append(a.buf, `"text":"`...)
		a.buf = append(a.buf, text...)
		a.buf = append(a.buf, '"')
	}
	a.buf = append(a.buf, `,"finish_reason":null}],"tokens":`...)
	a.buf = strconv.AppendInt(a.buf, int64(limit/answer.TokenBytes-first), 10)
	a.buf = append(a.buf, "}\n\n"...)
	a.sent = limit
}

// appendPrefix appends the part with which every event of a stream starts.
func (a *responder) appendPrefix() {
	if a.prefix == nil {
		a.prefix = a.eventPrefix()
	}
	a.buf = append(a.buf, a.prefix...)
}

func (a *responder) eventPrefix() []byte {
	object := "text_completion"
	if a.req.chat {
		object = "chat.completion.chunk"
	}
	return fmt.Appendf(nil, `data: {"id":%s,"object":%q,"model":%s,"choices":[{"index":0,`,
		quote(a.req.id), object, quote(a.req.model))
}

// quote returns s as a JSON string.
func quote(s string) []byte {
	b, _ := json.Marshal(s)
	return b
}

// appendEnd appends the final event and the end marker.
func (a *responder) appendEnd(reason string, out int) {
	a.appendPrefix()
	if a.req.chat {
		a.buf = append(a.buf, `"delta":{}`...)
	} else {
		a.buf = append(a.buf, `"text":""`...)
	}
	a.buf = append(a.buf, `,"finish_reason":"`...)
	a.buf = append(a.buf, reason...)
	a.buf = append(a.buf, `"}],"usage":`...)
	a.appendUsage(out)
	a.buf = append(a.buf, "}\n\ndata: [DONE]\n\n"...)
}

func (a *responder) appendUsage(out int) {
	prompt := a.run.target - uint64(a.run.record.Resumed)
	a.buf = append(a.buf, `{"prompt_tokens":`...)
	a.buf = strconv.AppendUint(a.buf, prompt, 10)
	a.buf = append(a.buf, `,"completion_tokens":`...)
	a.buf = strconv.AppendInt(a.buf, int64(out), 10)
	a.buf = append(a.buf, `,"total_tokens":`...)
	a.buf = strconv.AppendUint(a.buf, prompt+uint64(out), 10)
	a.buf = append(a.buf, `,"prompt_tokens_details":{"cached_tokens":`...)
	a.buf = strconv.AppendUint(a.buf, a.run.cached, 10)
	a.buf = append(a.buf, "}}"...)
}

func (a *responder) flush() { _ = http.NewResponseController(a.w).Flush() }

// sendComplete sends the answer as one JSON document once the run has ended.
func (a *responder) sendComplete(ctx context.Context) {
	for {
		select {
		case <-a.run.notify:
		case <-ctx.Done():
			a.s.cancel(a.run)
			return
		}
		p := a.progress()
		switch p.state {
		case running:
		case finished:
			a.writeComplete(p.out)
			return
		case canceled:
			writeError(a.w, http.StatusInternalServerError, "failed", "cancelled")
			return
		default:
			abort()
		}
	}
}

func (a *responder) writeComplete(out int) {
	text := a.req.key.Append(nil, 0, out)
	a.buf = append(a.buf[:0], `{"id":`...)
	a.buf = append(a.buf, quote(a.req.id)...)
	a.buf = append(a.buf, `,"object":"`...)
	if a.req.chat {
		a.buf = append(a.buf, `chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"`...)
		a.buf = append(a.buf, text...)
		a.buf = append(a.buf, `"},`...)
	} else {
		a.buf = append(a.buf, `text_completion","choices":[{"index":0,"text":"`...)
		a.buf = append(a.buf, text...)
		a.buf = append(a.buf, `",`...)
	}
	a.buf = append(a.buf, `"finish_reason":"length"}],"usage":`...)
	a.appendUsage(out)
	a.buf = append(a.buf, '}')
	a.w.Header().Set("Content-Type", "application/json")
	_, _ = a.w.Write(a.buf)
}
