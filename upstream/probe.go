package upstream

import (
	"context"
	"errors"
	"syscall"

	"github.com/micarudder/micarudder/crashprobe"
)

// Probe reports whether a process listens at an address by opening a new connection. The connection is
// closed: it may be that of a process that is ending, where a request would be lost.
func (c *Client) Probe(ctx context.Context, address string) crashprobe.Result {
	nc, err := c.options.Dialer(ctx, address)
	switch {
	case err == nil:
		c.dials.Add(1)
		_ = nc.Close()
		return crashprobe.Listening
	case errors.Is(err, syscall.ECONNRESET):
		// The listener closed while the connection was being opened. The next probe is refused, unless
		// another process listens there by then.
		return crashprobe.Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashprobe.Refused
	default:
		return crashprobe.Unknown
	}
}
