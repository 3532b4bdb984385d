package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/prefix"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// completionBody is the part of a completion request that the gateway reads.
// The body itself is forwarded unchanged.
type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *uint64         `json:"max_tokens"`
	MaxCompletionTokens *uint64         `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readBody reads the complete body within the limits on size and time, and
// while the gateway can still serve the request. If that fails, it leaves the
// read deadline set, so that the server does not wait for the rest of the body
// before it answers. The body counts to the memory of bodies until the request
// ends.
func (g *Gateway) readBody(x *exchange) ([]byte, *result.Err) {
	if x.r.ContentLength > g.cfg.MaxBody {
		return nil, result.New(result.TooLarge, "")
	}
	rc := http.NewResponseController(x.raw)
	_ = rc.SetReadDeadline(time.Now().Add(g.cfg.BodyTime))
	ctx := x.r.Context()
	stopWatching := context.AfterFunc(ctx, func() { _ = rc.SetReadDeadline(time.Now()) })
	var err error
	x.body, err = g.bodies.Read(http.MaxBytesReader(x.raw, x.r.Body, g.cfg.MaxBody), x.r.ContentLength, g.cfg.MaxBody)
	var tooLarge *http.MaxBytesError
	switch ended := !stopWatching(); {
	case ended && drain.Ended(ctx):
		return nil, errDraining()
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		return x.body.Bytes, nil
	case errors.Is(err, heldmemory.ErrFull):
		x.w.Header().Set("Connection", "close")
		return nil, result.New(result.BodyMemoryFull, "")
	case errors.As(err, &tooLarge):
		return nil, result.New(result.TooLarge, "")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.New(result.SlowSender, "")
	default:
		return nil, result.New(result.BadRequest, "body broke off")
	}
}

// readCompletion parses the parameters of a completion request.
func readCompletion(body []byte) (*completionBody, *result.Err) {
	c := new(completionBody)
	if err := json.Unmarshal(body, c); err != nil {
		return nil, result.New(result.BadRequest, "body is not a completion request: "+err.Error())
	}
	if c.Model == "" {
		return nil, result.New(result.BadRequest, "model missing")
	}
	if len(c.Prompt) == 0 && len(c.Messages) == 0 {
		return nil, result.New(result.BadRequest, "neither messages nor prompt given")
	}
	return c, nil
}

// text returns the text of the prompt: the contents of all messages and the
// prompt field, concatenated.
func (c *completionBody) text() []byte {
	var out []byte
	for _, m := range c.Messages {
		out = append(out, contentText(m.Content)...)
	}
	return append(out, contentText(c.Prompt)...)
}

// contentText returns the text of a content value, which is a string or a list
// of strings and text parts.
func contentText(raw json.RawMessage) []byte {
	if len(raw) == 0 {
		return nil
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return []byte(s)
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return nil
	}
	var out []byte
	for _, item := range list {
		out = append(out, partText(item)...)
	}
	return out
}

func partText(item json.RawMessage) []byte {
	var s string
	if json.Unmarshal(item, &s) == nil {
		return []byte(s)
	}
	var part struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(item, &part)
	return []byte(part.Text)
}

// newCompletion checks the request against the workspace and the document and
// returns the completion to order.
func (g *Gateway) newCompletion(c *completionBody, path string, ws *rudderv1.Workspace) (*rudderv1.Completion, *result.Err) {
	m := findModel(g.deps.Tracker.Document(), c.Model)
	if m == nil || !allowed(ws.Models, m.Name) {
		return nil, result.New(result.UnknownModel, c.Model)
	}
	text := c.text()
	out := &rudderv1.Completion{
		Model: c.Model, Path: path, PromptTokens: prefix.Tokens(len(text)), MaxTokens: g.cfg.DefaultTokens,
		Prefix: prefix.Chain(c.Model, text, prefix.MaxBlocks),
	}
	if c.MaxTokens != nil {
		out.MaxTokens = *c.MaxTokens
	}
	if c.MaxCompletionTokens != nil {
		out.MaxTokens = *c.MaxCompletionTokens
	}
	if m.MaxTokens > 0 && (out.MaxTokens > m.MaxTokens || out.PromptTokens > m.MaxTokens-out.MaxTokens) {
		return nil, result.New(result.PromptTooLong, "longest context "+strconv.FormatUint(m.MaxTokens, 10))
	}
	return out, nil
}

// mayUseModel reports whether a workspace may use the model or adapter with the
// given name.
func (g *Gateway) mayUseModel(ws *rudderv1.Workspace, name string) bool {
	m := findModel(g.deps.Tracker.Document(), name)
	return m != nil && allowed(ws.Models, m.Name)
}

// findModel returns the model with the given name, or the base model of the
// adapter with that name. The name may carry any version: while endpoints
// change to a new version, some still serve the old one.
func findModel(doc *rudderv1.Document, name string) *rudderv1.Model {
	name, _, _ = strings.Cut(name, "@")
	for _, m := range doc.Models {
		if m.Name == name {
			return m
		}
	}
	for _, m := range doc.Models {
		if slices.ContainsFunc(m.Adapters, func(a *rudderv1.Adapter) bool { return a.Name == name }) {
			return m
		}
	}
	return nil
}

func allowed(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// readDeadline returns the deadline of the request.
func (g *Gateway) readDeadline(r *http.Request, now time.Time) (time.Time, *result.Err) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(g.cfg.DefaultDeadline), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return time.Time{}, result.New(result.BadHeader, headerDeadline+" is not a duration such as 30s")
	}
	return now.Add(min(d, g.cfg.MaxDeadline)), nil
}

// readRepeatable returns whether the request may run more than once.
func readRepeatable(r *http.Request, fallback bool) (bool, *result.Err) {
	switch strings.ToLower(r.Header.Get(headerRepeatable)) {
	case "":
		return fallback, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, result.New(result.BadHeader, headerRepeatable+" is neither true nor false")
	}
}

// readOffset returns the number of response bytes that the caller already has.
func readOffset(r *http.Request) (uint64, *result.Err) {
	text := r.Header.Get(headerLastEvent)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, result.New(result.BadHeader, headerLastEvent+" is not an offset")
	}
	return n, nil
}
