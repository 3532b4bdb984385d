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

// Operation names used in errors.
const (
	opStart       = "start"
	opRecv        = "recv"
	opCancel      = "cancel"
	opLoad        = "load"
	opCacheEvents = "cache events"
	opState       = "state"
	opOrder       = "order"
	opPrefill     = "prefill"
	opExport      = "export"
	opImport      = "import"
	opFree        = "free"
)

const (
	maxResponseBytes = 64 << 20
)

// Options configure a Client.
type Options struct {
	BaseURL    string       // http://host:port of the engine
	HTTPClient *http.Client // nil: a client of its own for loopback connections
	Name       string       // sent as the User-Agent
}

// Client is the HTTP client of one engine. It implements Engine and runs no
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

// Start implements Engine. The context also covers the stream.
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
	err := c.getJSON(ctx, opCacheEvents, PathCacheEvents+"?after="+formatUint(after), &b)
	return b.Events, err
}

// State implements Engine.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	return s, c.getJSON(ctx, opState, PathState, &s)
}

// Order implements Engine. After ErrRefused and ErrUnreachable the order had no
// effect; after ErrLost, State tells whether it had.
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
	return c.discardBody(c.post(ctx, opPrefill, PathPrefill, h, nil, s.Body))
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
	return c.discardBody(c.post(ctx, opImport, PathImport, h, nil, data))
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
	return c.discardBody(c.post(ctx, op, path, http.Header{}, nil, body))
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

// post sends prefix followed by body as one request body.
func (c *Client) post(ctx context.Context, op, path string, h http.Header, prefix, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, nil)
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrRefused, Cause: err}
	}
	if h.Get("Content-Type") == "" {
		h.Set("Content-Type", "application/json")
	}
	req.Header = h
	req.ContentLength = int64(len(prefix) + len(body))
	// With GetBody the transport resends the request only if no byte of it was
	// written; otherwise it does not replay a POST without an idempotency
	// header.
	req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(io.MultiReader(bytes.NewReader(prefix), bytes.NewReader(body))), nil
	}
	req.Body, _ = req.GetBody()
	return c.do(op, req)
}

// do sends the request; a response with a status other than 200 is returned as
// an error.
func (c *Client) do(op string, req *http.Request) (*http.Response, error) {
	req.Header.Set("User-Agent", c.name)
	var connRequested, sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn:      func(string) { connRequested.Store(true) },
		WroteHeaders: func() { sent.Store(true) },
	}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		return resp, nil
	case err == nil:
		return nil, responseError(op, resp)
	case sent.Load():
		return nil, &Error{Op: op, Kind: ErrLost, Cause: err}
	case connRequested.Load():
		return nil, &Error{Op: op, Kind: ErrUnreachable, Cause: err}
	default:
		return nil, &Error{Op: op, Kind: ErrRefused, Cause: err}
	}
}

// discardBody reads a response whose body is not needed, so that the connection
// can be reused.
func (c *Client) discardBody(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	return nil
}

func readAll(op string, resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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
