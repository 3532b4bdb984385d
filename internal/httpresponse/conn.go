// Package httpresponse decides whether what a server sent is an HTTP/1 response, and whether one that ends with its
// connection has ended or broken off. Both are stricter than net/http, which reads the responses.
package httpresponse

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrBroken is the error of a read from a connection that ended although its peer had not closed it.
var ErrBroken = errors.New("the connection broke")

// Conn is a connection to a server that tells a close by the server from a failure of the connection. The kernel reports a
// failure to one call only: if that is a write, a read gets io.EOF. Only one Read may run at a time.
type Conn struct {
	net.Conn
	received uint64 // bytes that were read

	mu      sync.Mutex
	coding  codingScanner // of the response that is read
	atClose *unix.TCPInfo // state at the first call of Close; nil: not called, or no TCP socket
}

// NewConn returns a connection over c, from which nothing has been read.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It fails with ErrBroken where the underlying connection returns io.EOF after a failure.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += uint64(n)
	c.scan(p[:n])
	if err == io.EOF && c.broken() {
		err = ErrBroken
	}
	return n, err
}

// BeginResponse is called before a request is sent: what is read next is the head of the response.
func (c *Conn) BeginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coding.begin()
}

func (c *Conn) scan(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coding.scan(p)
}

// CheckHead is the function CheckHead for a response of which at least the head was read from the connection.
func (c *Conn) CheckHead(res *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coding.found {
		return &MalformedError{"a transfer coding in HTTP/1.0"}
	}
	return CheckHead(res)
}

// Close implements net.Conn. A user that writes may call it after a failed write, while a read that has ended asks whether
// the connection broke.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.atClose == nil {
		c.atClose = c.tcpInfo()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// broken reports whether a connection of which everything was read has ended without a FIN of its peer. A FIN occupies a
// byte of the sequence of those received, so that the kernel counts one more than were read.
func (c *Conn) broken() bool {
	c.mu.Lock()
	info := c.tcpInfo()
	if info == nil {
		info = c.atClose
	}
	c.mu.Unlock()
	return info != nil && info.State == unix.BPF_TCP_CLOSE && info.Bytes_received <= c.received
}

// tcpInfo returns what the kernel knows of the connection; nil if it is closed here, or no TCP socket.
func (c *Conn) tcpInfo() *unix.TCPInfo {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failure != nil {
		return nil
	}
	return info
}

// SyscallConn implements syscall.Conn. It fails with errors.ErrUnsupported if the connection is not a socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner := c.Conn
	for {
		if socket, ok := inner.(syscall.Conn); ok {
			return socket.SyscallConn()
		}
		wrapper, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, errors.ErrUnsupported
		}
		inner = wrapper.NetConn()
	}
}
