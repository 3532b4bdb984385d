// Package upstream sends single HTTP/1.1 requests to endpoints over kept
// connections and says exactly how far each one got. Unlike net/http's
// transport it never sends a request again by itself: whoever calls it decides
// that, and needs to know whether the endpoint may have run the request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Stage says how far a request got before its exchange failed.
type Stage uint8

// The stages.
const (
	// NotSent: no byte was written, so the endpoint cannot run the request.
	NotSent Stage = iota
	// Sent: some of the request was written and no answer came; the endpoint
	// may have run it.
	Sent
)

// String returns the stage as it stands in logs.
func (s Stage) String() string {
	if s == NotSent {
		return "not-sent"
	}
	return "sent"
}

// Error is a failed exchange.
type Error struct {
	Stage Stage
	Err   error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request to an endpoint.
type Request struct {
	Method string
	Target string // path and query, exactly as the caller wrote them
	Host   string
	Header http.Header
	Body   []byte
	// Echo is a header that a valid answer repeats with the request's value;
	// answers with another value belong to another request and are skipped.
	// Empty: no check.
	Echo string
	// MaxIdle is how long a kept connection may have been idle to be used for
	// this request; zero: any.
	MaxIdle time.Duration
	// KeepIdle is the most connections that are kept without use to the endpoint after this request, below
	// Options.IdlePerHost; zero: as many as that.
	KeepIdle int
	// Check is called when there is a connection, right before anything is written; the request is not sent where it reports false.
	// Nil: it is sent.
	Check func() bool
}

// ErrWithdrawn is the cause of an exchange that Request.Check ended.
var ErrWithdrawn = errors.New("the request was withdrawn before it was sent")

// Options bounds a Client.
type Options struct {
	DialTimeout time.Duration
	MaxIdle     time.Duration // longest that a connection is kept without use
	IdlePerHost int           // most connections kept without use to one endpoint
	Dialer      func(ctx context.Context, address string) (net.Conn, error)
}

const (
	readBuffer  = 8 << 10
	writeBuffer = 4 << 10
	// keepAliveMargin is taken off the idle time that an endpoint announces,
	// for the way there and late timers.
	keepAliveMargin = time.Second
	// maxSurplus is the number of answers to other requests that are skipped
	// on one connection before it is given up.
	maxSurplus = 4
)

// Client sends requests. Its methods may be called concurrently.
type Client struct {
	options Options
	idle    pool
	dials   atomic.Uint64
}

// New returns a client.
func New(o Options) *Client {
	if o.Dialer == nil {
		o.Dialer = dialTCP(o.DialTimeout)
	}
	return &Client{options: o, idle: pool{perKey: o.IdlePerHost, conns: make(map[string][]*conn)}}
}

// Dials returns how many connections were opened.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Close closes every idle connection.
func (c *Client) Close() { c.idle.closeAll() }

// CloseIdle closes all idle connections; the client goes on.
func (c *Client) CloseIdle() { c.idle.closeIdle() }

// Forget closes the idle connections to an endpoint that is gone.
func (c *Client) Forget(key string) { c.idle.closeKey(key) }

// Do sends one request to the endpoint named key at address and returns the
// answer whose head has arrived. Cancelling ctx closes the connection, also
// while the answer's body is read. The body must be read to its end or closed.
// A failure is always an *Error.
func (c *Client) Do(ctx context.Context, key, address string, r *Request) (*http.Response, error) {
	conn, err := c.conn(ctx, key, address, r.MaxIdle)
	if err != nil {
		return nil, &Error{Stage: NotSent, Err: err}
	}
	if err := ctx.Err(); err != nil {
		c.idle.put(conn)
		return nil, &Error{Stage: NotSent, Err: err}
	}
	if r.Check != nil && !r.Check() {
		c.idle.put(conn)
		return nil, &Error{Stage: NotSent, Err: ErrWithdrawn}
	}
	conn.watch(ctx)
	conn.keepIdle = r.KeepIdle
	conn.send(r)
	res, err := conn.head(r)
	if err != nil {
		conn.close()
		c.idle.suspect(key, err)
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &Error{Stage: Sent, Err: err}
	}
	conn.idleLimit = announcedIdle(res)
	res.Body = &body{ReadCloser: res.Body, conn: conn, pool: &c.idle, reusable: reusable(res)}
	return res, nil
}

// Kept reports whether a request to the endpoint that allows connections to be idle for so
// long would use a kept one; zero: any. It may prove closed when it is taken.
func (c *Client) Kept(key string, maxIdle time.Duration) bool {
	return c.idle.has(key, c.maxIdle(maxIdle))
}

func (c *Client) maxIdle(wanted time.Duration) time.Duration {
	if wanted == 0 {
		return c.options.MaxIdle
	}
	return min(wanted, c.options.MaxIdle)
}

// conn takes a kept connection that is still sound or opens one.
func (c *Client) conn(ctx context.Context, key, address string, maxIdle time.Duration) (*conn, error) {
	if kept := c.idle.take(key, address, c.maxIdle(maxIdle)); kept != nil {
		return kept, nil
	}
	nc, err := c.options.Dialer(ctx, address)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	return newConn(nc, key, address), nil
}

// reusable reports whether the answer allows another request on its connection.
func reusable(res *http.Response) bool {
	return !res.Close && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
}

// announcedIdle returns how long the endpoint keeps the connection without use,
// less a margin; zero when it does not say.
func announcedIdle(res *http.Response) time.Duration {
	_, after, ok := strings.Cut(res.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return 0
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return 0 // not a time; the client's own bound holds
	}
	announced := time.Duration(seconds) * time.Second
	return max(announced-keepAliveMargin, announced/2, time.Nanosecond)
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	key       string
	address   string
	br        *bufio.Reader
	written   atomic.Bool // the whole of the last request was written
	stopWatch func() bool
	idleSince time.Time
	idleLimit time.Duration // announced by the endpoint; 0: none
	keepIdle  int           // see Request.KeepIdle
}

func newConn(nc net.Conn, key, address string) *conn {
	return &conn{Conn: nc, key: key, address: address, br: bufio.NewReaderSize(nc, readBuffer)}
}

func (c *conn) close() {
	c.unwatch()
	_ = c.Conn.Close()
}

// watch closes the connection when ctx ends.
func (c *conn) watch(ctx context.Context) {
	c.stopWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
}

// unwatch reports false when the connection was closed by its context.
func (c *conn) unwatch() bool {
	if c.stopWatch == nil {
		return true
	}
	stop := c.stopWatch
	c.stopWatch = nil
	return stop()
}

// send writes the request. A long body is written beside the reading of the
// answer, since an endpoint may answer before it has read all of it.
func (c *conn) send(r *Request) {
	c.written.Store(false)
	head := encodeHead(r)
	if len(head)+len(r.Body) <= writeBuffer {
		c.finishWrite(append(head, r.Body...))
		return
	}
	go func() {
		buffers := net.Buffers{head, r.Body}
		if _, err := buffers.WriteTo(c.Conn); err == nil {
			c.written.Store(true)
		}
	}()
}

func (c *conn) finishWrite(p []byte) {
	// A failed write shows up as a failed read of the answer, which may still
	// have arrived before the endpoint closed the connection.
	if _, err := c.Conn.Write(p); err == nil {
		c.written.Store(true)
	}
}

// encodeHead returns the request line and the header fields. Values were
// checked when the caller's head was parsed.
func encodeHead(r *Request) []byte {
	var b strings.Builder
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || bodyExpected(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// bodyExpected reports whether a request of the method states its length even
// when it is empty.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// head reads the head of the answer to r, skipping interim answers and answers
// that belong to other requests.
func (c *conn) head(r *Request) (*http.Response, error) {
	surplus := 0
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode/100 == 1 && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if r.Echo == "" || res.Header.Get(r.Echo) == r.Header.Get(r.Echo) {
			return res, nil
		}
		surplus++
		if surplus > maxSurplus {
			return nil, errors.New("only answers to other requests came")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
		if !reusable(res) {
			return nil, errors.New("an answer to another request came, and the connection ended")
		}
	}
}

// body is an answer's body; it gives the connection back at its end.
type body struct {
	io.ReadCloser
	conn     *conn
	pool     *pool
	reusable bool
	over     bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err == io.EOF)
		b.pool.suspect(b.conn.key, err)
	}
	return n, err
}

// Close ends the exchange; a body that was not read to its end costs the
// connection.
func (b *body) Close() error {
	b.end(false)
	return nil
}

func (b *body) end(whole bool) {
	if b.over {
		return
	}
	b.over = true
	open := b.conn.unwatch()
	if !whole || !open || !b.reusable || !b.conn.written.Load() || b.conn.br.Buffered() > 0 {
		_ = b.conn.Conn.Close()
		return
	}
	b.pool.put(b.conn)
}
