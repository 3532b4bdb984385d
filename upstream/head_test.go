package upstream

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// newCountingClient returns a client and the number of bytes that it has read.
func newCountingClient() (*Client, *atomic.Int64) {
	read := new(atomic.Int64)
	return New(Options{Dialer: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return countingConn{c, read}, err
	}}), read
}

// TestEndlessResponseHead guards against an endpoint that sends without end in place of a response, and whose
// bytes are kept until the process is killed for its memory.
func TestEndlessResponseHead(t *testing.T) {
	const sent = 4 << 20
	forms := []struct {
		name, begin, repeated string
		heads                 int64 // response heads that are read, one of them without end
	}{
		{"one line", "", "[0.0123,0.4567],", 1},
		{"one header field", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: ", "abcdefgh", 1},
		{"header fields", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n", "X-Field: value\r\n", 1},
		{"continued header field", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: y\r\n", " more\r\n", 1},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 1},
		{"header fields of a response to another request", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", "X-Field: value\r\n", 2},
	}
	for _, tc := range forms {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			e := listen(t, func(_ int, c *net.TCPConn) {
				defer func() { _ = c.Close() }()
				if _, err := readRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = c.Write([]byte(tc.begin + strings.Repeat(tc.repeated, sent/len(tc.repeated))))
			})
			client, read := newCountingClient()
			_, err := exchange(client, e, get("r1"))
			is.True(err != nil)
			is.Equal(stage(err), Sent)
			is.True(read.Load() <= tc.heads*(maxHeadBytes+readBuffer))
		})
	}
}

// TestLargeResponseHead guards against refusing a head that is large but below the limit, after which the body
// is not limited.
func TestLargeResponseHead(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 2*maxHeadBytes)
	e := listen(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: " + strings.Repeat("y", maxHeadBytes-1024) + "\r\nContent-Length: 131072\r\n\r\n" + body))
		}
	})
	client := New(Options{IdlePerHost: 1, MaxIdle: testTimeout})
	for range 2 { // the limit applies to each response of a connection
		got, err := exchange(client, e, get("r1"))
		is.NoErr(err)
		is.Equal(got, body)
	}
	is.Equal(e.accepted.Load(), int32(1))
}
