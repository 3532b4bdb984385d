package upstream

import (
	"context"
	"errors"
	"syscall"
)

// ProbeResult is the result of a probe: whether a process listens at an endpoint's address.
type ProbeResult uint8

// The results of a probe.
const (
	ProbeUnknown   ProbeResult = iota // no response in time, or a network failure
	ProbeListening                    // it accepts connections
	ProbeRefused                      // its host refuses the connection: nothing listens at the address
)

// Probe reports whether a process listens at an endpoint's address by opening a new
// connection. An established connection is kept idle for the next request.
func (c *Client) Probe(ctx context.Context, key, address string) ProbeResult {
	nc, err := c.options.Dialer(ctx, address)
	switch {
	case err == nil:
		c.dials.Add(1)
		c.idle.put(newConn(nc, key, address))
		return ProbeListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProbeRefused
	default:
		return ProbeUnknown
	}
}
