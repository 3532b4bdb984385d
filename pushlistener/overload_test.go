package pushlistener

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unreadConn is a connection that records what is done with it.
type unreadConn struct {
	net.Conn
	read, closed bool
}

func (c *unreadConn) Read([]byte) (int, error) {
	c.read = true
	return 0, net.ErrClosed
}

func (c *unreadConn) Close() error {
	c.closed = true
	return nil
}

// TestRefusedConnectionIsNotRead guards against a connection that is refused after something of its request was read,
// so that its caller does not know whether the request runs.
func TestRefusedConnectionIsNotRead(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	overload := &Overload{shedder: Shedder{refused: 1 - minShare, acceptedAt: now}}
	c := new(unreadConn)
	is.True(!overload.Accept(c, now))
	is.True(c.closed)
	is.True(!c.read)
}
