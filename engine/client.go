package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/micarudder/micarudder/internal/localhttp"
)

// The operations named in errors.
const (
	opStart   = "start"
	opRecv    = "recv"
	opCancel  = "cancel"
	opLoad    = "load"
	opEvents  = "cache events"
	opState   = "state"
	opOrder   = "order"
	opPrefill = "prefill"
	opExport  = "export"
	opImport  = "import"
	opFree    = "free"
)

const (
	maxReplyBytes = 64 << 20
)

// Options configure a client.
type Options struct {
	BaseURL    string       // http://host:port of the engine
	HTTPClient *http.Client // nil: one of the client's own, made for loopback
	Name       string       // sent as the User-Agent
}

// Client talks to one engine over HTTP. It implements Engine and holds no
// goroutine of its own.
type Client struct {
	base string
	http http.Client
	name string
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of the engine at o.BaseURL.
func NewClient(o Options) *Client {
	return &Client{base: strings.TrimSuffix(o.BaseURL, "/"), http: localhttp.New(o.HTTPClient), name: o.Name}
}

// Start implements Engine. The context covers the stream too.
func (c *Client) Start(ctx context.Context, r Request) (Stream, error) {
	h := http.Header{}
	h.Set("Accept", "text/event-stream")
	h.Set(HeaderStream, "1")
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if len(r.ResumeText) > 0 {
		h.Set(HeaderResumeBytes, strconv.Itoa(len(r.ResumeText)))
	}
	if r.MaxTokens > 0 {
		h.Set(HeaderMaxTokens, formatUint(r.MaxTokens))
	}
	setImport(h, r.Import)
	resp, err := c.post(ctx, opStart, r.Path, h, r.ResumeText, r.Body)
	if err != nil {
		return nil, err
	}
	return newStream(resp), nil
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.postJSON(ctx, opCancel, PathCancel, IDBody{id})
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	return l, c.getJSON(ctx, opLoad, PathLoad, &l)
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var b CacheEventsBody
	err := c.getJSON(ctx, opEvents, PathCacheEvents+"?after="+formatUint(after), &b)
	return b.Events, err
}

// State implements Engine.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	return s, c.getJSON(ctx, opState, PathState, &s)
}

// Order implements Engine. ErrRefused and ErrUnreachable mean that the order
// had no effect; after ErrLost, State tells.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.postJSON(ctx, opOrder, PathOrders, o)
}

// Prefill implements Engine.
func (c *Client) Prefill(ctx context.Context, s Span) error {
	h := http.Header{}
	h.Set(HeaderSpanID, s.ID)
	h.Set(HeaderSpanOwner, s.Owner)
	h.Set(HeaderSpanPath, s.Path)
	h.Set(HeaderSpanStart, formatUint(s.Start))
	h.Set(HeaderSpanTokens, formatUint(s.Tokens))
	h.Set(HeaderPriority, strconv.Itoa(s.Priority))
	setImport(h, s.Import)
	return c.drain(c.post(ctx, opPrefill, PathPrefill, h, nil, s.Body))
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, id string) ([]byte, error) {
	body, err := json.Marshal(IDBody{id})
	if err != nil {
		return nil, err
	}
	resp, err := c.post(ctx, opExport, PathExport, http.Header{}, nil, body)
	if err != nil {
		return nil, err
	}
	return readAll(opExport, resp)
}

// Import implements Engine.
func (c *Client) Import(ctx context.Context, id, owner string, data []byte) error {
	h := http.Header{}
	h.Set(HeaderSpanID, id)
	h.Set(HeaderSpanOwner, owner)
	h.Set("Content-Type", "application/octet-stream")
	return c.drain(c.post(ctx, opImport, PathImport, h, nil, data))
}

// Free implements Engine.
func (c *Client) Free(ctx context.Context, id string) error {
	return c.postJSON(ctx, opFree, PathFree, IDBody{id})
}

func (c *Client) postJSON(ctx context.Context, op, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.drain(c.post(ctx, op, path, http.Header{}, nil, body))
}

func (c *Client) getJSON(ctx context.Context, op, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return &Error{Op: op, Kind: ErrRefused, Cause: err}
	}
	resp, err := c.do(op, req)
	if err != nil {
		return err
	}
	raw, err := readAll(op, resp)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return &Error{Op: op, Kind: ErrLost, Status: resp.StatusCode, Cause: err}
	}
	return nil
}

// post sends first and then body as one request body.
func (c *Client) post(ctx context.Context, op, path string, h http.Header, first, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, nil)
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrRefused, Cause: err}
	}
	if h.Get("Content-Type") == "" {
		h.Set("Content-Type", "application/json")
	}
	req.Header = h
	req.ContentLength = int64(len(first) + len(body))
	// With GetBody the transport sends again only if no byte was written: a
	// POST without an idempotency header is not replayed otherwise.
	req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(io.MultiReader(bytes.NewReader(first), bytes.NewReader(body))), nil
	}
	req.Body, _ = req.GetBody()
	return c.do(op, req)
}

// do sends the request; any answer but 200 comes back as an error.
func (c *Client) do(op string, req *http.Request) (*http.Response, error) {
	req.Header.Set("User-Agent", c.name)
	var tried, sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn:      func(string) { tried.Store(true) },
		WroteHeaders: func() { sent.Store(true) },
	}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		return resp, nil
	case err == nil:
		return nil, answerError(op, resp)
	case sent.Load():
		return nil, &Error{Op: op, Kind: ErrLost, Cause: err}
	case tried.Load():
		return nil, &Error{Op: op, Kind: ErrUnreachable, Cause: err}
	default:
		return nil, &Error{Op: op, Kind: ErrRefused, Cause: err}
	}
}

// drain reads an answer whose body does not matter, so that the connection
// can be used again.
func (c *Client) drain(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	return nil
}

func readAll(op string, resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrLost, Status: resp.StatusCode, Cause: err}
	}
	return raw, nil
}

func setImport(h http.Header, handles []string) {
	if len(handles) > 0 {
		h.Set(HeaderImport, strings.Join(handles, ","))
	}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
