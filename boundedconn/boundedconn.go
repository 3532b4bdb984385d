// Package boundedconn bounds what a connection holds for a peer that does not read, and for how long:
// the kernel's buffers have a fixed size, and a peer that has read nothing for a time is disconnected.
package boundedconn

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// BufferBytes is the most that the kernel holds in each direction of a connection. Without a
	// bound it grows to several MB. On a round trip of 2.8 ms, 64 KB still carry 23 MB/s.
	BufferBytes = 64 << 10
	// Linux doubles the requested size of a buffer, to allow for its own structures. A write may
	// exceed the size by one segment, which is up to 32 KB.
	requestedReadBytes  = BufferBytes / 2
	requestedWriteBytes = (BufferBytes - 32<<10) / 2
	// checksPerTimeout is how often a write that waits checks whether the peer has read anything.
	checksPerTimeout = 4
)

// NotReadingError is the error of a connection whose peer was disconnected because it did not read.
type NotReadingError struct {
	For time.Duration // how long the peer had read nothing
}

// Error implements error.
func (e *NotReadingError) Error() string {
	return fmt.Sprintf("the peer has read nothing for %v", e.For)
}

// Timeout implements net.Error.
func (e *NotReadingError) Timeout() bool { return true }

// Temporary implements net.Error.
func (e *NotReadingError) Temporary() bool { return false }

// Conn is a connection whose writes fail once its peer has read nothing for a time. Its methods are
// safe for concurrent use, but only one Write may run at a time.
type Conn struct {
	net.Conn
	timeout      time.Duration
	onDisconnect func()
	queued       func() int // bytes that the kernel holds for the peer

	mu            sync.Mutex
	writeDeadline time.Time // as set by the user of the connection
	waitingSince  time.Time // since when a write makes no progress; zero: no write waits
	checked       bool      // whether a check has found that the write made no progress since then
	cause         *NotReadingError
}

// New returns a connection over c that disconnects a peer which has read nothing for timeout, and calls
// onDisconnect then unless it is nil.
func New(c net.Conn, timeout time.Duration, onDisconnect func()) *Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		// A connection that has already failed cannot be configured; its next use reports that.
		_ = tcp.SetWriteBuffer(requestedWriteBytes)
		_ = tcp.SetReadBuffer(requestedReadBytes)
	}
	return &Conn{Conn: c, timeout: timeout, onDisconnect: onDisconnect, queued: func() int { return queuedBytes(c) }}
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// WaitingSince returns since when a write has been waiting for the peer to read, or the zero time while
// no check has found that it reads nothing. A process that was frozen has writes that began long ago,
// although their peers read.
func (c *Conn) WaitingSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checked {
		return time.Time{}
	}
	return c.waitingSince
}

// Write implements net.Conn. It fails with a NotReadingError if the peer reads nothing for the timeout.
// A peer that reads slowly is not disconnected: the deadline is extended while the kernel's queue
// shrinks, although the kernel accepts no further bytes before a third of its buffer is free.
func (c *Conn) Write(p []byte) (int, error) {
	c.setWaiting(time.Now())
	defer c.setWaiting(time.Time{})
	written, queued, idleChecks := 0, -1, 0
	for {
		if err := c.armWrite(); err != nil {
			return written, c.failure(err)
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil {
			return written, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.deadlinePassed() {
			return written, c.failure(err)
		}
		now := c.queued()
		if queued < 0 || n > 0 || now < queued {
			idleChecks = 0
			c.setWaiting(time.Now())
		} else if idleChecks++; idleChecks == checksPerTimeout {
			c.Disconnect()
			return written, c.failure(err)
		} else {
			c.setChecked()
		}
		queued = now
	}
}

// armWrite sets the deadline of the next check.
func (c *Conn) armWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.armWriteLocked()
}

func (c *Conn) armWriteLocked() error {
	check := time.Now().Add(c.timeout / checksPerTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(check) {
		check = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(check)
}

func (c *Conn) deadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline)
}

func (c *Conn) setWaiting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince, c.checked = since, false
}

func (c *Conn) setChecked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = true
}

// failure returns the NotReadingError if the peer was disconnected for that reason, otherwise err.
func (c *Conn) failure(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
	}
	return err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		err = c.failure(err)
	}
	return n, err
}

// Disconnect closes the connection at once and drops the bytes that the peer has not read.
func (c *Conn) Disconnect() {
	c.mu.Lock()
	if c.cause != nil {
		c.mu.Unlock()
		return
	}
	c.cause = &NotReadingError{}
	if !c.waitingSince.IsZero() {
		c.cause.For = time.Since(c.waitingSince).Truncate(time.Millisecond)
	}
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	if c.onDisconnect != nil {
		c.onDisconnect()
	}
}

// Close implements net.Conn. The kernel drops what the peer does not read within the timeout, instead
// of keeping it for minutes.
func (c *Conn) Close() error {
	_ = control(c.Conn, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.timeout.Milliseconds()))
	})
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, if the connection allows that.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetWriteDeadline implements net.Conn. It applies in addition to the timeout.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	if !c.waitingSince.IsZero() {
		return c.armWriteLocked() // the write that waits must still be checked
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetReadDeadline(t)
}

// queuedBytes returns how many bytes the kernel holds for the peer, or 0 if c is not a socket.
func queuedBytes(c net.Conn) int {
	queued := 0
	_ = control(c, func(fd int) (err error) {
		queued, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return queued
}

// control calls f with the descriptor of a socket.
func control(c net.Conn, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = f(int(fd)) }); err != nil {
		return err
	}
	return failure
}
