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

// pastTime is a deadline that makes a read return at once.
var pastTime = time.Unix(1, 0)

// Conn is a caller's connection. Its methods are as safe for concurrent use as those of the connection below it.
type Conn struct {
	net.Conn
	conns       *Conns
	headTimeout time.Duration

	mu        sync.Mutex
	phase     phase
	wait      wait
	beganAt   time.Time // when the phase begun began
	readAhead bool      // whether a byte of the next request was read while the current one is served
	reading   bool      // whether a read is under way
	woken     bool      // whether its deadline was moved to the past
	closed    bool
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It returns io.EOF in place of waiting for a request that may not begin any more. If the
// rest of a request is not awaited any more, it refuses the request.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		switch ended, refused := c.beforeRead(); {
		case refused:
			_, _ = c.Conn.Write(c.conns.refusal)
			_ = c.Close() // net/http would respond as well
			return 0, net.ErrClosed
		case ended:
			return 0, io.EOF
		}
		n, err := c.Conn.Read(p)
		if c.afterRead(n, len(p), err) {
			return n, err
		}
	}
}

// beforeRead reports whether the connection ends in place of a read, and whether the request that has begun is refused.
func (c *Conn) beforeRead() (ended, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended = c.mustEnd()
	c.reading = !ended
	return ended, ended && c.phase == begun
}

// mustEnd reports whether the connection ends in place of the next read.
func (c *Conn) mustEnd() bool {
	switch c.phase {
	case opened:
		return c.conns.admitted() >= noRequests
	case idle:
		return c.conns.admitted() >= firstRequests
	case begun:
		return c.conns.admitted() >= wholeRequests
	default:
		return false
	}
}

// afterRead notes what a read into a buffer of so many bytes has returned. It reports false if the read has to be
// repeated.
func (c *Conn) afterRead(n, size int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	switch {
	case n > 0:
		c.bytesRead(size)
		return true
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return true
	case c.woken:
		c.woken = false
		return false
	case c.phase == begun && c.wait == firstWait && time.Since(c.beganAt) < c.headTimeout:
		// The connection was idle for too long, but the next request has begun.
		_ = c.Conn.SetReadDeadline(c.beganAt.Add(c.headTimeout))
		return false
	default:
		return true
	}
}

// bytesRead notes that a read has returned bytes. net/http reads a single byte ahead while a handler runs.
func (c *Conn) bytesRead(size int) {
	switch c.phase {
	case opened, idle:
		c.begin(begun)
	case serving:
		c.readAhead = c.readAhead || size == 1
	}
	if c.woken {
		c.woken = false
		_ = c.Conn.SetReadDeadline(c.beganAt.Add(c.headTimeout))
	}
}

// begin notes that a request has begun.
func (c *Conn) begin(p phase) {
	if c.phase == opened || c.phase == idle {
		c.conns.busy.Add(1)
	}
	c.phase, c.beganAt = p, time.Now()
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
	c.phase, c.wait = idle, idleWait
	if c.readAhead {
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
	case firstWait:
		c.wait = noWait
		if c.phase == idle {
			c.begin(begun) // net/http had its beginning in a buffer, read with the request before
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending direction, if the connection allows that.
func (c *Conn) CloseWrite() error {
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
	c.mu.Unlock()
	if ended {
		c.conns.busy.Add(-1)
	}
	c.conns.remove(c)
	return err
}
