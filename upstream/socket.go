package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeAfter and probeEvery make the kernel ask an endpoint that says
	// nothing whether it is there; a host that lost power is found after about
	// probeAfter + probeCount*probeEvery. One second is the least that the
	// kernel takes.
	probeAfter = time.Second
	probeEvery = time.Second
	probeCount = 2
	// unacknowledged is how long sent bytes may stay without acknowledgement: three
	// lost packets in a row, and well below the two seconds after which callers
	// give a short stream up, so that it can still be sent elsewhere.
	unacknowledged = 1200 * time.Millisecond
)

// dialTCP opens connections that notice a silent peer.
func dialTCP(timeout time.Duration) func(context.Context, string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if e := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
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

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes that arrive while no request is under way belong to no request.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true // an in-memory connection of a test
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peek error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peek = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peek, unix.EAGAIN)
}
