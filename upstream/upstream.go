// Package upstream sends single HTTP/1.1 requests to endpoints over persistent
// connections and reports exactly how far each one got. Unlike http.Transport it
// never retries a request by itself: the caller decides that, and needs to know
// whether the endpoint may have run the request.
package upstream

import (
	"bufio"
	"cmp"
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

	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/internal/httpresponse"
)

// Stage is how far a request got before its exchange failed.
type Stage uint8

// The stages of a failed exchange.
const (
	// NotSent: no byte was written, so the endpoint cannot run the request.
	NotSent Stage = iota
	// Sent: writing had begun and no valid response head arrived; the endpoint may
	// have run the request.
	Sent
)

// String returns the stage as it is written in logs.
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
	Target string // path and query, unchanged from the caller's request
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader names a header that a valid response repeats with the request's value.
	// Responses with another value belong to another request and are skipped.
	// Empty: no check.
	EchoHeader string
	// MaxIdle is how long a connection may have been idle to be reused for this
	// request, below Options.MaxIdle; zero: Options.MaxIdle.
	MaxIdle time.Duration
	// MaxIdleConns is the largest number of idle connections to the endpoint that are kept after
	// this request, below Options.IdlePerHost; zero: Options.IdlePerHost.
	MaxIdleConns int
	// Stream says whether the response is a stream of events. If so, one that ends with its connection
	// inside an event fails with io.ErrUnexpectedEOF.
	Stream StreamKind
	// Memory counts what the response occupies; the caller releases it. Nil: Options.Responses counts it until
	// the response body was read or closed.
	Memory *heldmemory.Response
	// PreSendCheck is called once a connection is available, right before the first byte is written.
	// If it returns false, the request is not sent and Do fails with ErrCheckFailed. Nil: no check.
	PreSendCheck func() bool
}

// ErrCheckFailed is the cause of an exchange that Request.PreSendCheck canceled.
var ErrCheckFailed = errors.New("request canceled by its check before it was sent")

// Options configures a Client.
type Options struct {
	DialTimeout time.Duration
	MaxIdle     time.Duration // longest time that an idle connection is kept
	IdlePerHost int           // largest number of idle connections kept to one endpoint
	Dialer      func(ctx context.Context, address string) (net.Conn, error)
	// SlowReaderTimeout is the time after which an endpoint that reads nothing of a request is
	// disconnected; the buffers of its connections are bounded then. Zero: off.
	SlowReaderTimeout time.Duration
	// Responses counts the responses to requests without Memory. Nil: they do not count.
	Responses *heldmemory.Responses
	// Dialed is called after each connection to an endpoint was tried, with the time that it took and the
	// error, if any. Nil: not called.
	Dialed func(address string, took time.Duration, err error)
}

const (
	readBuffer  = 8 << 10
	writeBuffer = 4 << 10
	// idleTimeoutMargin is subtracted from the idle timeout that an endpoint advertises,
	// to allow for network delay and late timers.
	idleTimeoutMargin = time.Second
	// maxMismatched is the number of responses to other requests that are skipped while
	// one response is awaited; after one more the exchange fails and its connection is closed.
	maxMismatched = 4
)

// Client sends requests. Its methods are safe for concurrent use.
type Client struct {
	options Options
	idle    pool
	dials   atomic.Uint64
}

// New returns a client. Without a Dialer in its options it dials TCP.
func New(o Options) *Client {
	if o.Dialer == nil {
		o.Dialer = dialTCP(o.DialTimeout)
	}
	if o.SlowReaderTimeout > 0 {
		o.Dialer = boundConns(o.Dialer, o.SlowReaderTimeout)
	}
	return &Client{options: o, idle: pool{maxPerKey: o.IdlePerHost, conns: make(map[string][]*conn)}}
}

// Dials returns the number of connections opened so far.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Close closes all idle connections; those in use are closed after their exchange.
func (c *Client) Close() { c.idle.closeAll() }

// CloseIdle closes all idle connections; the client stays usable.
func (c *Client) CloseIdle() { c.idle.closeIdle() }

// CloseIdleTo closes the idle connections to an endpoint.
func (c *Client) CloseIdleTo(key string) { c.idle.closeKey(key) }

// Do sends one request to the endpoint named key at address and returns its
// response once the head has arrived. Cancelling ctx closes the connection, also
// while the response body is read. The body must be read to its end or closed.
// Errors are always of type *Error.
func (c *Client) Do(ctx context.Context, key, address string, r *Request) (*http.Response, error) {
	conn, err := c.acquire(ctx, key, address, r.MaxIdle)
	if err != nil {
		return nil, &Error{Stage: NotSent, Err: err}
	}
	if err := ctx.Err(); err != nil {
		c.idle.put(conn)
		return nil, &Error{Stage: NotSent, Err: err}
	}
	if r.PreSendCheck != nil && !r.PreSendCheck() {
		c.idle.put(conn)
		return nil, &Error{Stage: NotSent, Err: ErrCheckFailed}
	}
	conn.watch(ctx)
	conn.maxIdleConns = r.MaxIdleConns
	conn.count(r.Memory, c.options.Responses)
	conn.send(r)
	res, err := conn.readHead(r)
	if err != nil {
		err = conn.cause(err)
		conn.endCount()
		conn.close()
		c.idle.closeOnTimeout(key, err)
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &Error{Stage: Sent, Err: err}
	}
	conn.idleTimeout = idleTimeout(res)
	if r.Stream != NoStream && unframed(res) && IsEventStream(res) {
		res.Body = &unframedStream{ReadCloser: res.Body, kind: r.Stream}
	}
	res.Body = &body{ReadCloser: res.Body, conn: conn, pool: &c.idle, reusable: reusable(res)}
	return res, nil
}

// HasIdle reports whether a request to the endpoint with this MaxIdle would reuse an idle
// connection. That connection may turn out to be closed when it is taken.
func (c *Client) HasIdle(key string, maxIdle time.Duration) bool {
	return c.idle.hasIdle(key, c.maxIdle(maxIdle))
}

// maxIdle returns the idle time allowed by both the request and the options.
func (c *Client) maxIdle(requested time.Duration) time.Duration {
	if requested == 0 {
		return c.options.MaxIdle
	}
	return min(requested, c.options.MaxIdle)
}

// acquire takes a usable idle connection or opens a new one.
func (c *Client) acquire(ctx context.Context, key, address string, maxIdle time.Duration) (*conn, error) {
	if idle := c.idle.take(key, address, c.maxIdle(maxIdle)); idle != nil {
		return idle, nil
	}
	nc, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	return newConn(nc, key, address), nil
}

// dial opens a connection.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	began := time.Now()
	nc, err := c.options.Dialer(ctx, address)
	if c.options.Dialed != nil {
		c.options.Dialed(address, time.Since(began), err)
	}
	return nc, err
}

// reusable reports whether the response allows another request on its connection.
func reusable(res *http.Response) bool {
	return !res.Close && !unframed(res)
}

// idleTimeout returns the idle timeout that the endpoint advertises in the Keep-Alive
// header, less a margin; zero when it advertises none.
func idleTimeout(res *http.Response) time.Duration {
	_, after, ok := strings.Cut(res.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return 0
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return 0 // malformed; the client's own limit applies
	}
	timeout := time.Duration(seconds) * time.Second
	return max(timeout-idleTimeoutMargin, timeout/2, time.Nanosecond)
}

// conn is one connection to an endpoint.
type conn struct {
	*httpresponse.Conn
	key          string
	address      string
	head         *headLimiter
	br           *bufio.Reader
	written      atomic.Bool // the last request was written completely
	memory       *heldmemory.Response
	ownsMemory   bool        // whether the memory is released with the exchange
	evicted      atomic.Bool // closed for lack of memory
	stopWatch    func() bool
	idleSince    time.Time
	idleTimeout  time.Duration // advertised by the endpoint; 0: none
	maxIdleConns int           // Request.MaxIdleConns of the last request
}

func newConn(nc net.Conn, key, address string) *conn {
	c := httpresponse.NewConn(nc)
	head := &headLimiter{conn: c}
	return &conn{Conn: c, key: key, address: address, head: head, br: bufio.NewReaderSize(head, readBuffer)}
}

// close closes the connection and stops watching the context.
func (c *conn) close() {
	c.unwatch()
	_ = c.Conn.Close()
}

// watch closes the connection when ctx ends.
func (c *conn) watch(ctx context.Context) {
	c.stopWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
}

// unwatch stops watching the context. It returns false when the context's end has already
// closed the connection.
func (c *conn) unwatch() bool {
	if c.stopWatch == nil {
		return true
	}
	stop := c.stopWatch
	c.stopWatch = nil
	return stop()
}

// count makes the memory of an exchange count what its response occupies. Without such memory it counts among all
// responses until the exchange ends.
func (c *conn) count(memory *heldmemory.Response, all *heldmemory.Responses) {
	c.ownsMemory = memory == nil
	if c.ownsMemory {
		memory = all.Begin()
	}
	c.memory, c.head.memory = memory, memory
	memory.SetEvict(func() {
		c.evicted.Store(true)
		_ = c.Conn.Close()
	})
}

// endCount ends what count began.
func (c *conn) endCount() {
	c.memory.SetEvict(nil)
	if c.ownsMemory {
		c.memory.Release()
	}
}

// cause returns why the exchange failed with err.
func (c *conn) cause(err error) error {
	if c.evicted.Load() {
		return heldmemory.ErrResponsesFull
	}
	return cmp.Or(c.head.refused, err)
}

// send writes the request. A long body is written concurrently with reading the
// response, since an endpoint may respond before it has read all of it.
func (c *conn) send(r *Request) {
	c.written.Store(false)
	c.BeginResponse()
	head := encodeHead(r)
	if len(head)+len(r.Body) <= writeBuffer {
		c.writeSync(append(head, r.Body...))
		return
	}
	go func() {
		buffers := net.Buffers{head, r.Body}
		if _, err := buffers.WriteTo(c.NetConn()); err == nil {
			c.written.Store(true)
		}
	}()
}

// writeSync writes p before it returns.
func (c *conn) writeSync(p []byte) {
	// A write error is not returned: it also fails the read of the response, and a response
	// may have arrived before the endpoint closed the connection.
	if _, err := c.Conn.Write(p); err == nil {
		c.written.Store(true)
	}
}

// encodeHead returns the request line and the header fields. It does not validate header
// values; they were checked when the caller's request head was parsed.
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
	if len(r.Body) > 0 || sendsContentLength(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// sendsContentLength reports whether a request of the method carries a Content-Length
// even when its body is empty.
func sendsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readHead reads the head of the response to r, skipping interim (1xx) responses and
// responses that belong to other requests.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	mismatched := 0
	c.head.begin()
	defer c.head.end()
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if err := c.CheckHead(res); err != nil {
			return nil, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		if r.EchoHeader == "" || res.Header.Get(r.EchoHeader) == r.Header.Get(r.EchoHeader) {
			return res, c.memory.Resize(heldmemory.Head, heldmemory.ParsedHeadBytes(res.Header))
		}
		mismatched++
		if mismatched > maxMismatched {
			return nil, errors.New("received only responses to other requests")
		}
		c.head.end()
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
		c.head.begin()
		if !reusable(res) {
			return nil, errors.New("received a response to another request, and the connection cannot be reused")
		}
	}
}

// body is a response body; at its end it returns the connection to the pool.
type body struct {
	io.ReadCloser
	conn     *conn
	pool     *pool
	reusable bool
	ended    bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		err = b.conn.cause(err)
		b.finish(err == io.EOF)
		b.pool.closeOnTimeout(b.conn.key, err)
	}
	return n, err
}

// Close ends the exchange. If the body was not read to its end, the connection is
// closed.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

// finish returns the connection to the pool, or closes it when it cannot be reused.
func (b *body) finish(complete bool) {
	if b.ended {
		return
	}
	b.ended = true
	b.conn.endCount()
	open := b.conn.unwatch()
	if !complete || !open || !b.reusable || !b.conn.written.Load() || b.conn.br.Buffered() > 0 {
		_ = b.conn.Conn.Close()
		return
	}
	b.pool.put(b.conn)
}
