package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// silenceableConn is a connection whose reads fail, once silent is set, as they do when
// the kernel times the connection out.
type silenceableConn struct {
	net.Conn
	silent *atomic.Bool
}

func (s silenceableConn) Read(p []byte) (int, error) {
	if s.silent.Load() {
		return 0, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
	}
	return s.Conn.Read(p)
}

// TestSilentConnectionsAreNotTriedInTurn guards against one failure per idle connection:
// when the idle connections to an endpoint go silent together while new ones work, one
// request fails and the next one opens a new connection.
func TestSilentConnectionsAreNotTriedInTurn(t *testing.T) {
	is := is.New(t)
	e := listen(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			_, _ = c.Write([]byte(okResponse))
		}
	})
	var silent *atomic.Bool // shared by the connections opened from here on
	client := New(Options{MaxIdle: time.Minute, IdlePerHost: 4, Dialer: func(_ context.Context, address string) (net.Conn, error) {
		c, err := net.Dial("tcp", address)
		return silenceableConn{c, silent}, err
	}})
	defer client.Close()
	silent = new(atomic.Bool)
	roundTrip := func() error {
		res, err := client.Do(t.Context(), "e", e.Addr().String(), &Request{Method: "GET", Target: "/"})
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	first, err := client.Do(t.Context(), "e", e.Addr().String(), &Request{Method: "GET", Target: "/"})
	is.NoErr(err)
	is.NoErr(roundTrip()) // on a second connection
	_, err = io.Copy(io.Discard, first.Body)
	is.NoErr(err)
	is.Equal(client.Dials(), uint64(2))
	silent.Store(true)
	silent = new(atomic.Bool)
	is.True(roundTrip() != nil)
	is.NoErr(roundTrip())
	is.Equal(client.Dials(), uint64(3))
}
