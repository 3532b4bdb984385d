package e2e

import (
	"context"
	"errors"
	"net"
	"strings"

	"github.com/micarudder/micarudder/inner"
)

// route is the way from a process to an address.
type route struct{ from, to string }

// dialFrom returns the dialer of one process.
func (b *bubble) dialFrom(from string) inner.Dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		r := route{from, strings.TrimSuffix(addr, ":80")}
		b.mu.Lock()
		parted := b.parted[r] || b.dead[from] || b.net.isDead(from)
		b.mu.Unlock()
		if parted {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("no route")}
		}
		c, err := b.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		c.(*conn).from = from
		b.joined[r] = append(b.joined[r], c)
		b.conns[from] = append(b.conns[from], c)
		return b.net.join(from, r.to, c), nil
	}
}

// part cuts a process off from addresses: its connections break and no new
// ones can be made until join.
func (b *bubble) part(from string, to ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, addr := range to {
		r := route{from, addr}
		b.parted[r] = true
		for _, c := range b.joined[r] {
			_ = c.Close()
		}
		b.joined[r] = nil
	}
}

// join ends part.
func (b *bubble) join(from string, to ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, addr := range to {
		delete(b.parted, route{from, addr})
	}
}
