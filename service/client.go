package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/micarudder/micarudder/internal/localhttp"
)

// HeaderRequestID carries Call.ID.
const HeaderRequestID = "Rudder-Request-Id"

// Options configure a Client.
type Options struct {
	BaseURL    string       // http://host:port of the service
	HTTPClient *http.Client // nil: a client of its own for loopback connections
}

// Client is the HTTP client of one service. It implements Service, never sends
// a call twice and follows no redirects.
type Client struct {
	base string
	http http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client of the service at o.BaseURL.
func NewClient(o Options) *Client {
	return &Client{base: strings.TrimSuffix(o.BaseURL, "/"), http: localhttp.New(o.HTTPClient)}
}

// Do implements Service. The context also covers the body of the response.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return nil, newError(ErrRefused, err)
	}
	var connRequested, sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn:      func(string) { connRequested.Store(true) },
		WroteHeaders: func() { sent.Store(true) },
	}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err == nil:
		dropHopHeaders(resp.Header)
		return &Response{resp.StatusCode, resp.Header, &responseBody{resp.Body}}, nil
	case sent.Load():
		return nil, newError(ErrLost, err)
	case connRequested.Load():
		return nil, newError(ErrUnreachable, err)
	default:
		return nil, newError(ErrRefused, err)
	}
}

var errBadCall = errors.New("the path does not begin with a slash or the method opens a tunnel")

// request builds the HTTP request. A path without a leading slash would be
// joined to the host of the base URL and could name another host.
func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") || call.Method == http.MethodConnect {
		return nil, errBadCall
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, nil)
	if err != nil {
		return nil, err
	}
	setHeader(req, call)
	setBody(req, call.Body)
	return req, nil
}

// hopHeaders are hop-by-hop headers, which apply to one connection only and are
// not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// setHeader forwards the caller's headers without the hop-by-hop headers.
func setHeader(req *http.Request, call Call) {
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	dropHopHeaders(req.Header)
	// An Expect header would delay the body until a response that may never
	// arrive.
	req.Header.Del("Expect")
	req.Header.Set(HeaderRequestID, call.ID)
}

// dropHopHeaders removes the hop-by-hop headers and those named by a Connection
// header.
func dropHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// setBody sets the body so that the transport cannot replay a call that may
// have arrived. The transport would resend a GET, or any request with an
// idempotency header, when a reused connection breaks, so such a call gets a
// body that cannot be rewound. Any other call is resent only if no byte of it
// was written.
func setBody(req *http.Request, b []byte) {
	rewind := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b)), nil }
	req.ContentLength = int64(len(b))
	switch {
	case transportRetries(req):
		req.Body, _ = rewind()
	case len(b) > 0:
		req.Body, _ = rewind()
		req.GetBody = rewind
	}
}

// transportRetries reports whether the transport regards the request as
// idempotent and would resend it.
func transportRetries(req *http.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
}

// responseBody is the body of a reply; it returns ErrLost if the connection breaks
// off.
type responseBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = newError(ErrLost, err)
	}
	return n, err
}

// Error is the error type of the client; errors.Is matches Kind and Cause.
type Error struct {
	Kind  error // ErrRefused, ErrUnreachable or ErrLost
	Cause error
}

func newError(kind, cause error) error { return &Error{kind, cause} }

// Error implements error.
func (e *Error) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Cause} }
