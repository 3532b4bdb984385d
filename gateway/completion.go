package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

const chatPath = "/v1/chat/completions"

// completionWriter writes one completion to its caller, as server-sent events
// or as a single JSON document.
type completionWriter struct {
	g           *Gateway
	x           *exchange
	cr          *callerRequest
	rc          *http.ResponseController
	id          string
	model       string
	chat        bool
	stream      bool
	created     int64
	headersSent bool   // the response's headers were sent
	ticketSent  bool   // the caller may have received its ticket
	text        []byte // the response so far, when not streaming
	partialRune []byte // first bytes of a character that has not fully arrived
	offset      uint64 // response bytes written as events
}

func newCompletionWriter(g *Gateway, x *exchange, cr *callerRequest, model string, stream bool, path string) *completionWriter {
	return &completionWriter{
		g: g, x: x, cr: cr, rc: http.NewResponseController(x.raw), model: model, chat: path == chatPath, stream: stream,
		id: "cmpl-" + cr.id, created: time.Now().Unix(), offset: cr.resumeOffset,
	}
}

// SetTicket implements sink. For an unrepeatable request or a long prompt, a
// stream sends its headers at once, so that the caller has its ticket whatever
// happens next.
func (c *completionWriter) SetTicket(ticket string) {
	if c.headersSent {
		return
	}
	setRunHeaders(c.x.w.Header(), ticket, c.cr.id)
	early := !c.cr.repeatable || routing.ClassOf(c.cr.completion.GetPromptTokens()) >= routing.ClassLong
	if c.stream && early {
		_ = c.write("")
	}
	if !c.stream && sendEarlyHints(c.x) {
		c.ticketSent = true
	}
}

// TicketSent implements sink.
func (c *completionWriter) TicketSent() bool { return c.ticketSent || c.headersSent }

// Head implements sink. A completion has no head.
func (c *completionWriter) Head(*rudderv1.ServiceHead) error { return nil }

// Text implements sink.
func (c *completionWriter) Text(text []byte, end uint64) error {
	if !c.stream {
		c.text = append(c.text, text...)
		return nil
	}
	complete, rest := splitText(append(c.partialRune, text...))
	c.partialRune = rest
	if len(complete) == 0 {
		return nil
	}
	c.offset = end - uint64(len(rest))
	return c.event(strconv.FormatUint(c.offset, 10), c.chunk(string(complete), nil))
}

// splitText splits off a character at the end of the text that has not fully
// arrived.
func splitText(b []byte) (complete, rest []byte) {
	for i := 1; i < utf8.UTFMax && i <= len(b); i++ {
		if tail := b[len(b)-i:]; utf8.RuneStart(tail[0]) {
			if !utf8.FullRune(tail) {
				return b[:len(b)-i], append([]byte(nil), tail...)
			}
			break
		}
	}
	return b, nil
}

// Restart implements sink.
func (c *completionWriter) Restart() error {
	c.text, c.partialRune, c.offset = nil, nil, 0
	if !c.stream || !c.headersSent && c.cr.resumeOffset == 0 {
		return nil
	}
	return c.write("event: restart\nid: 0\ndata: {}\n\n")
}

// sendHeaders sends the response headers of an event stream, once.
func (c *completionWriter) sendHeaders() {
	if c.headersSent {
		return
	}
	c.headersSent = true
	h := c.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	c.x.w.WriteHeader(http.StatusOK)
}

// event sends one server-sent event. The id may be empty.
func (c *completionWriter) event(id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if id != "" {
		return c.write(fmt.Sprintf("id: %s\ndata: %s\n\n", id, data))
	}
	return c.write(fmt.Sprintf("data: %s\n\n", data))
}

// write sends a part of the stream, with a time limit for the caller to read
// it.
func (c *completionWriter) write(part string) error {
	c.sendHeaders()
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.g.cfg.WriteTime))
	if _, err := c.x.w.Write([]byte(part)); err != nil {
		return err
	}
	if err := c.rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// choice is one element of the "choices" array.
type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completionObject is a completion or one chunk of it.
type completionObject struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

func (c *completionWriter) object(kind string, ch choice) completionObject {
	return completionObject{ID: c.id, Object: kind, Created: c.created, Model: c.model, Choices: []choice{ch}}
}

func (c *completionWriter) chunk(text string, finish *string) completionObject {
	if c.chat {
		return c.object("chat.completion.chunk", choice{Delta: &content{Content: text}, FinishReason: finish})
	}
	return c.object("text_completion", choice{Text: &text, FinishReason: finish})
}

// finish sends the end of the request to the caller.
func (c *completionWriter) finish(end *rudderv1.End) {
	if result.Code(end.Code) != result.OK {
		c.fail(end)
		return
	}
	u := &usage{end.GetUsage().GetPromptTokens(), end.GetUsage().GetOutputTokens(), 0}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	if c.stream {
		c.finishStream(end, u)
		return
	}
	text := string(c.text)
	var obj completionObject
	if c.chat {
		obj = c.object("chat.completion", choice{Message: &content{"assistant", text}, FinishReason: &end.FinishReason})
	} else {
		obj = c.object("text_completion", choice{Text: &text, FinishReason: &end.FinishReason})
	}
	obj.Usage = u
	writeJSON(c.x.w, obj)
}

func (c *completionWriter) finishStream(end *rudderv1.End, u *usage) {
	last := c.chunk(string(c.partialRune), &end.FinishReason)
	last.Usage = u
	if c.event(strconv.FormatUint(end.Length, 10), last) == nil {
		_ = c.write("data: [DONE]\n\n")
	}
}

// fail sends a problem, as the response itself or, once the stream has begun,
// as an event. The stream then ends without [DONE]. A stream that is cut off by the
// shutdown of the gateway has no such event, since its caller reads on from
// another gateway.
func (c *completionWriter) fail(end *rudderv1.End) {
	p := problemOf(end, c.cr.id, c.cr.ticket)
	if !c.headersSent {
		writeProblem(c.x.w, p)
		return
	}
	if drain.Ended(c.x.r.Context()) {
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(p)
	if err == nil {
		_ = c.write(fmt.Sprintf("event: error\ndata: {\"error\":%s}\n\n", data))
	}
}
