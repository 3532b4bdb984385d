package upstream

import (
	"context"
	"errors"
	"syscall"
)

// Listens is what an attempt to connect to an endpoint showed.
type Listens uint8

// What an attempt can show.
const (
	Unknown    Listens = iota // no answer in time, or a failure on the way
	Listening                 // it takes connections
	NotRunning                // its host answers, and nothing listens at its address
)

// Probe tells whether a process listens at an endpoint's address, by a new connection. One
// that comes about is kept for the next request.
func (c *Client) Probe(ctx context.Context, key, address string) Listens {
	nc, err := c.options.Dialer(ctx, address)
	switch {
	case err == nil:
		c.dials.Add(1)
		c.idle.put(newConn(nc, key, address))
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotRunning
	default:
		return Unknown
	}
}
