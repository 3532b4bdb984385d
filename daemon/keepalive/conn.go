package keepalive

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// phase is how far the current request of a connection has come.
type phase uint8

const (
	opened  phase = iota // nothing was read of the connection's first request
	idle                 // all requests are answered, and nothing was read of the next one
	begun                // a part of the head was read
	serving              // the request is with its handler, or its response is not complete
)

// wait is the deadline that applies to reads between two requests.
type wait uint8

const (
	noWait    wait = iota
	idleWait       // net/http is about to set the deadline of an idle connection
	firstWait      // that deadline applies until the first bytes of the next request are there
)

// lingerTime is how long the rest of a refused request may arrive. A reset, which answers bytes to a closed connection,
// would discard the response.
const lingerTime = 500 * time.Millisecond

// pastTime is a deadline that makes a read return at once.
var pastTime = time.Unix(1, 0)

// Conn is a caller's connection. Its methods are as safe for concurrent use as those of the connection below it.
type Conn struct {
	net.Conn
	conns       *Conns
	headTimeout time.Duration // from the first byte of a head to its end; 0: none
	headBytes   int           // the most that a head may have

	mu        sync.Mutex
	phase     phase
	wait      wait
	beganAt   time.Time // when the phase begun began
	readAhead bool      // whether a byte of the next request was read while the current one is served
	head      head      // of the request that has begun
	held      heldBytes // kept back until the head is complete
	handsOut  bool      // whether it is, and what is held is handed out
	unscanned bool      // whether that is the beginning of the next request
	reading   bool      // whether a read is under way
	readsBody bool      // whether it is one of a body
	woken     bool      // whether its deadline was moved to the past
	closed    bool
	evicted   bool      // whether it ends to make room for another one
	lingers   bool      // whether all is sent, and it only waits for the caller to close its side
	idleSince time.Time // when it was opened, or the last request was answered
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It returns nothing of a request before its head is complete, and io.EOF in place of waiting
// for a request that may not begin any more. If the rest of a head is not awaited any more, it refuses the request.
func (c *Conn) Read(p []byte) (int, error) {
	if n := c.takeHeld(p); n > 0 {
		return n, nil
	}
	for {
		if next := c.beforeRead(len(p)); next.status != 0 {
			return 0, c.refuse(next.status)
		} else if next.end {
			return 0, io.EOF
		}
		n, err := c.Conn.Read(p)
		next := c.afterRead(p, n, err)
		switch {
		case next.status != 0:
			return 0, c.refuse(next.status)
		case !next.again:
			return next.n, err
		}
	}
}

// readStep is what a read does next: refuse the request with a status, end the connection, read again, or return n bytes.
type readStep struct {
	status int
	end    bool
	again  bool
	n      int
}

// beforeRead decides whether anything is read into a buffer of so many bytes.
func (c *Conn) beforeRead(size int) readStep {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.mustEnd():
		c.reading, c.readsBody = true, c.phase == serving && size > 1
		return readStep{}
	case c.phase == begun:
		return readStep{status: http.StatusServiceUnavailable}
	default:
		return readStep{end: true}
	}
}

// mustEnd reports whether the connection ends in place of the next read.
func (c *Conn) mustEnd() bool {
	switch c.phase {
	case opened:
		return c.evicted || c.conns.admitted() >= noRequests
	case idle:
		return c.evicted || c.conns.admitted() >= firstRequests
	case begun:
		return c.evicted || c.conns.admitted() >= wholeRequests
	default:
		return false
	}
}

// afterRead notes what a read into p has returned, and decides what follows.
func (c *Conn) afterRead(p []byte, n int, err error) readStep {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	switch {
	case n > 0:
		return c.bytesRead(p, n)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return readStep{}
	case c.woken:
		c.woken = false
		return readStep{again: true}
	case c.phase == begun && c.head.tooManyLines():
		return readStep{status: http.StatusRequestHeaderFieldsTooLarge}
	case c.phase == begun:
		return readStep{status: http.StatusRequestTimeout}
	default:
		return readStep{}
	}
}

// bytesRead notes that a read into p has returned n bytes.
func (c *Conn) bytesRead(p []byte, n int) readStep {
	if c.phase == serving {
		c.bytesServed(p, n)
		return readStep{n: n}
	}
	if c.phase != begun || c.woken {
		c.begin(begun)
		c.woken = false
		_ = c.Conn.SetReadDeadline(c.headDeadline())
	}
	return c.headRead(p, n)
}

// headDeadline returns the deadline of the head that has begun.
func (c *Conn) headDeadline() time.Time {
	if c.headTimeout <= 0 {
		return time.Time{}
	}
	return c.beganAt.Add(c.headTimeout)
}

// headRead handles n bytes of a head that were read into p. Of a head with too many lines nothing is kept; it is refused
// once it is complete, since a caller that is refused at once may come back at once.
func (c *Conn) headRead(p []byte, n int) readStep {
	c.head.scan(p[:n])
	complete := c.head.complete(c.headBytes)
	switch {
	case c.head.tooManyLines() && complete:
		return readStep{status: http.StatusRequestHeaderFieldsTooLarge}
	case c.head.tooManyLines():
		c.held.release()
		return readStep{again: true}
	case complete && len(c.held.text) == 0:
		return readStep{n: n}
	case !c.held.hold(p[:n], c.conns.memory):
		return readStep{status: http.StatusServiceUnavailable}
	case complete:
		return readStep{n: c.handOut(p)}
	default:
		return readStep{again: true}
	}
}

// bytesServed notes that n bytes were handed out in p while a request is served. net/http reads a single byte ahead while
// a handler runs.
func (c *Conn) bytesServed(p []byte, n int) {
	if len(p) == 1 {
		c.readAhead = true
		c.head.scan(p[:n])
	}
}

// takeHeld hands out more of what was kept back until a head was complete. What came after it belongs to the body, or to
// further requests.
func (c *Conn) takeHeld(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handsOut {
		return 0
	}
	n := c.handOut(p)
	switch {
	case c.phase == serving:
		c.bytesServed(p, n)
	case c.unscanned:
		c.head.scan(p[:n])
		c.unscanned = c.handsOut
	}
	return n
}

// handOut moves what is held to p.
func (c *Conn) handOut(p []byte) int {
	n := c.held.take(p)
	c.handsOut = len(c.held.text) > 0
	return n
}

// refuse answers a request of which net/http knows nothing, and ends the connection.
func (c *Conn) refuse(status int) error {
	_, _ = c.Conn.Write(c.conns.refusal(status))
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn) // until the caller closes its side
	_ = c.Close()
	return net.ErrClosed
}

// begin notes that a request has begun.
func (c *Conn) begin(p phase) {
	if c.phase == opened || c.phase == idle {
		c.conns.busy.Add(1)
	}
	c.phase, c.beganAt = p, time.Now()
	if p == serving {
		c.head = head{}
	}
}

// endRead makes a read that waits for something that is not admitted any more return.
func (c *Conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading && c.mustEnd() {
		c.woken = true
		_ = c.Conn.SetReadDeadline(pastTime)
	}
}

// awaitsRequest reports whether a read may still return the beginning of a request.
func (c *Conn) awaitsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading && (c.phase == opened || c.phase == idle)
}

// stateChanged follows the state that net/http gives the connection.
func (c *Conn) stateChanged(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.begin(serving)
	case http.StateIdle:
		c.answered()
	}
}

// answered notes that the response to the current request is complete.
func (c *Conn) answered() {
	c.conns.busy.Add(-1)
	c.phase, c.wait, c.idleSince = idle, idleWait, time.Now()
	c.unscanned = c.handsOut
	if c.readAhead || c.handsOut {
		c.readAhead = false
		c.begin(begun)
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.wait {
	case idleWait:
		c.wait = firstWait
		if c.phase == begun {
			t = c.headDeadline()
		}
	case firstWait:
		c.wait = noWait
		if c.phase == idle {
			c.begin(begun) // net/http had its beginning in a buffer, read with the request before
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending direction, if the connection allows that. Nothing more is served on it.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	c.lingers = true
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	ended := !c.closed && (c.phase == begun || c.phase == serving)
	c.closed = true
	c.held.release()
	c.mu.Unlock()
	if ended {
		c.conns.busy.Add(-1)
	}
	c.conns.remove(c)
	return err
}
