package inner

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNoHTTP1 guards against request heads in HTTP/1 at the port for other processes of the product, which net/http
// parses while they arrive, so that many without an end use up the memory.
func TestNoHTTP1(t *testing.T) {
	is := is.New(t)
	srv, err := NewServer(http.NotFoundHandler(), KeyFiles{})
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = Serve(srv, l) }()
	defer func() { _ = srv.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(readHeaderTimeout / 2)))
	n, err := conn.Read(make([]byte, 1))
	is.Equal(n, 0)
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // the connection was closed
}
