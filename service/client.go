package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// HeaderRequestID carries Call.ID.
const HeaderRequestID = "Rudder-Request-Id"

const (
	dialTimeout  = 2 * time.Second
	idleTimeout  = 30 * time.Second
	maxIdleConns = 16
)

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
	c := &Client{base: strings.TrimSuffix(o.BaseURL, "/")}
	if o.HTTPClient != nil {
		c.http = *o.HTTPClient
	} else {
		c.http.Transport = newTransport()
	}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Do implements Service. The context covers the reply's body too.
func (c *Client) Do(ctx context.Context, call Call) (*Reply, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, nil)
	if err != nil {
		return nil, wrap(ErrUnreachable, err)
	}
	setHeader(req, call)
	setBody(req, call.Body)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err == nil:
		return &Reply{resp.StatusCode, resp.Header, &body{resp.Body}}, nil
	case sent.Load():
		return nil, wrap(ErrLost, err)
	default:
		return nil, wrap(ErrUnreachable, err)
	}
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
	for _, v := range req.Header.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			req.Header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	// An Expect would hold the body back for an answer that may not come.
	req.Header.Del("Expect")
	req.Header.Set(HeaderRequestID, call.ID)
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
	Kind  error // ErrUnreachable or ErrLost
	Cause error
}

func wrap(kind, cause error) error { return &Error{kind, cause} }

// Error implements error.
func (e *Error) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Cause} }
