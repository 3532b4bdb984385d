package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/micarudder/micarudder/boundedconn"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive, by which
	// the kernel probes a silent endpoint. A host that lost power is detected after about
	// keepAliveIdle + keepAliveCount*keepAliveInterval. One second is the smallest value that
	// the kernel accepts.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is how long sent bytes may stay unacknowledged. It tolerates three
	// consecutive lost packets and is well below the two seconds after which callers give up
	// a short stream, so that the request can still be sent to another endpoint.
	tcpUserTimeout = 1200 * time.Millisecond
)

// dialTCP returns a dialer whose connections fail when their peer goes silent.
func dialTCP(timeout time.Duration) func(context.Context, string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if e := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			}); e != nil {
				return e
			}
			return err
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// boundConns returns a dialer whose connections are bounded, see boundedconn.
func boundConns(dial func(context.Context, string) (net.Conn, error), timeout time.Duration) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return boundedconn.New(c, timeout, nil), nil
	}
}

// openAndEmpty reports whether an idle connection is open and has no bytes to read. A
// connection with unread bytes is unusable, since they belong to no request.
func openAndEmpty(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return true // not a socket: a connection supplied by a test
	}
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}
