// Package memtest helps tests to tell what peers can make a process read and hold.
package memtest

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"sync/atomic"
)

// HeapBytes returns the size of the live heap.
func HeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// CountingDialer returns a TCP dialer that counts the bytes that are read from its connections.
func CountingDialer(read *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{c, read}, err
	}
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Zeros is a body without end.
type Zeros struct{}

// Read implements io.Reader.
func (Zeros) Read(p []byte) (int, error) { return len(p), nil }

// SendEndlessly writes begin and then part again and again, until a write fails.
func SendEndlessly(w io.Writer, begin, part string) {
	parts := bytes.Repeat([]byte(part), endlessWriteBytes/len(part))
	_, err := io.WriteString(w, begin)
	for err == nil {
		_, err = w.Write(parts)
	}
}

// endlessWriteBytes is about what SendEndlessly writes at once.
const endlessWriteBytes = 32 << 10
