package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/micarudder/micarudder/internal/standin/answer"
)

// answering sends the answer of one run to its caller.
type answering struct {
	s    *Server
	w    http.ResponseWriter
	job  *job
	run  *run
	sent int    // bytes of the answer that the caller has
	head []byte // beginning of each event
	text []byte
	buf  []byte
}

// progress is a run's state at one moment.
type progress struct {
	out    int
	end    ending
	faults Faults
}

func (a *answering) look() progress {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	return progress{a.run.out, a.run.end, a.s.faults}
}

// stream sends the answer as server-sent events.
func (a *answering) stream(ctx context.Context) {
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
		if a.emit(a.look()) {
			return
		}
	}
}

// emit sends what is new and reports whether the stream is over.
func (a *answering) emit(p progress) bool {
	limit := a.limit(p)
	a.buf = a.buf[:0]
	if limit > a.sent {
		a.appendText(limit)
	}
	switch {
	case p.end == finished && limit < p.out*answer.TokenBytes:
		a.buf = append(a.buf, "data: {\"error\":{\"code\":\"failed\",\"message\":\"the engine failed\"}}\n\n"...)
	case p.end == finished:
		a.appendEnd("length", p.out)
	case p.end == canceled:
		a.buf = append(a.buf, "data: {\"error\":{\"code\":\"failed\",\"message\":\"cancelled\"}}\n\n"...)
	}
	_, err := a.w.Write(a.buf)
	a.flush()
	if p.end == died || a.cut(p) {
		abort()
	}
	if err != nil {
		a.s.cancel(a.run)
	}
	return err != nil || p.end != running
}

// limit returns up to which byte the answer may be sent.
func (a *answering) limit(p progress) int {
	out := p.out
	if p.faults.FailStream {
		out = min(out, a.job.max-1)
	}
	if n := p.faults.CutAfterTokens; n > 0 {
		out = min(out, a.run.record.Resumed+n)
	}
	return out * answer.TokenBytes
}

func (a *answering) cut(p progress) bool {
	n := p.faults.CutAfterTokens
	return n > 0 && a.sent >= (a.run.record.Resumed+n)*answer.TokenBytes
}

// appendText adds an event with the answer's bytes up to limit.
func (a *answering) appendText(limit int) {
	first := a.sent / answer.TokenBytes
	a.text = a.job.key.Append(a.text[:0], first, limit/answer.TokenBytes)
	text := a.text[a.sent-first*answer.TokenBytes:]
	a.appendHead()
	if a.job.chat {
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

// appendHead adds the part that all events of a stream begin with.
func (a *answering) appendHead() {
	if a.head == nil {
		a.head = a.makeHead()
	}
	a.buf = append(a.buf, a.head...)
}

func (a *answering) makeHead() []byte {
	object := "text_completion"
	if a.job.chat {
		object = "chat.completion.chunk"
	}
	return fmt.Appendf(nil, `data: {"id":%s,"object":%q,"model":%s,"choices":[{"index":0,`,
		quote(a.job.id), object, quote(a.job.model))
}

// quote returns s as a JSON string.
func quote(s string) []byte {
	b, _ := json.Marshal(s)
	return b
}

// appendEnd adds the finishing event and the closing mark.
func (a *answering) appendEnd(reason string, out int) {
	a.appendHead()
	if a.job.chat {
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

func (a *answering) appendUsage(out int) {
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

func (a *answering) flush() { _ = http.NewResponseController(a.w).Flush() }

// whole sends the answer as one JSON document once the run is over.
func (a *answering) whole(ctx context.Context) {
	for {
		select {
		case <-a.run.notify:
		case <-ctx.Done():
			a.s.cancel(a.run)
			return
		}
		p := a.look()
		switch p.end {
		case running:
		case finished:
			a.writeWhole(p.out)
			return
		case canceled:
			writeError(a.w, http.StatusInternalServerError, "failed", "cancelled")
			return
		default:
			abort()
		}
	}
}

func (a *answering) writeWhole(out int) {
	text := a.job.key.Append(nil, 0, out)
	a.buf = append(a.buf[:0], `{"id":`...)
	a.buf = append(a.buf, quote(a.job.id)...)
	a.buf = append(a.buf, `,"object":"`...)
	if a.job.chat {
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
