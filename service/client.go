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

// Options configure a client.
type Options struct {
	BaseURL    string       // http://host:port of the service
	HTTPClient *http.Client // nil: one of the client's own, made for loopback
}

// Client calls one plain service. It implements Service, never sends a call
// twice and follows no redirect.
type Client struct {
	base string
	http http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client of the service at o.BaseURL.
func NewClient(o Options) *Client {
	return &Client{base: strings.TrimSuffix(o.BaseURL, "/"), http: localhttp.New(o.HTTPClient)}
}

// Do implements Service. The context covers the reply's body too.
func (c *Client) Do(ctx context.Context, call Call) (*Reply, error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return nil, wrap(ErrRefused, err)
	}
	var tried, sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn:      func(string) { tried.Store(true) },
		WroteHeaders: func() { sent.Store(true) },
	}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err == nil:
		dropHopHeaders(resp.Header)
		return &Reply{resp.StatusCode, resp.Header, &body{resp.Body}}, nil
	case sent.Load():
		return nil, wrap(ErrLost, err)
	case tried.Load():
		return nil, wrap(ErrUnreachable, err)
	default:
		return nil, wrap(ErrRefused, err)
	}
}

var errBadCall = errors.New("the path does not begin with a slash or the method opens a tunnel")

// request builds the request. A path without its slash would run into the
// base URL and could name another host.
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

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// setHeader passes the caller's header on, without what belongs to the
// caller's own connection.
func setHeader(req *http.Request, call Call) {
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	dropHopHeaders(req.Header)
	// An Expect would hold the body back for an answer that may not come.
	req.Header.Del("Expect")
	req.Header.Set(HeaderRequestID, call.ID)
}

// dropHopHeaders removes them and what a Connection header names.
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
// have arrived: it would send a GET, or anything with an idempotency header,
// a second time when a kept connection breaks. Such a call gets a body that
// cannot be rewound. Any other is sent again only if no byte was written.
func setBody(req *http.Request, b []byte) {
	rewind := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b)), nil }
	req.ContentLength = int64(len(b))
	switch {
	case replayed(req):
		req.Body, _ = rewind()
	case len(b) > 0:
		req.Body, _ = rewind()
		req.GetBody = rewind
	}
}

// replayed reports whether the transport takes the request for idempotent.
func replayed(req *http.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
}

// body marks a reply that breaks off as lost.
type body struct{ io.ReadCloser }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = wrap(ErrLost, err)
	}
	return n, err
}

// Error is the error type of the client; errors.Is finds Kind and Cause.
type Error struct {
	Kind  error // ErrRefused, ErrUnreachable or ErrLost
	Cause error
}

func wrap(kind, cause error) error { return &Error{kind, cause} }

// Error implements error.
func (e *Error) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Cause} }
