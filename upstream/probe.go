package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/micarudder/micarudder/crashprobe"
)

// Probe reports whether a process listens at an address by opening a new connection. The connection is
// closed: it may be that of a process that is ending, where a request would be lost.
func (c *Client) Probe(ctx context.Context, address string) crashprobe.Result {
	nc, err := c.options.Dialer(ctx, address)
	var failure net.Error
	switch {
	case err == nil:
		c.dials.Add(1)
		_ = nc.Close()
		return crashprobe.Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashprobe.Refused
	case errors.As(err, &failure) && failure.Timeout():
		return crashprobe.Silent
	default:
		return crashprobe.Unknown
	}
}
