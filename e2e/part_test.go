package e2e

import (
	"context"
	"errors"
	"net"
	"strings"

	"github.com/micarudder/micarudder/inner"
)

// route is a connection path from a process to an address.
type route struct{ from, to string }

// dialFrom returns the dialer of one process.
func (b *cluster) dialFrom(from string) inner.Dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		r := route{from, strings.TrimSuffix(addr, ":80")}
		b.mu.Lock()
		partitioned := b.partitioned[r] || b.crashed[from] || b.network.isDisconnected(from)
		b.mu.Unlock()
		if partitioned {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("no route")}
		}
		c, err := b.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		c.(*conn).from = from
		b.routeConns[r] = append(b.routeConns[r], c)
		b.conns[from] = append(b.conns[from], c)
		return b.network.connect(from, r.to, c), nil
	}
}

// partition cuts a process off from addresses: its connections break and no new
// ones can be made until heal.
func (b *cluster) partition(from string, to ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, addr := range to {
		r := route{from, addr}
		b.partitioned[r] = true
		for _, c := range b.routeConns[r] {
			_ = c.Close()
		}
		b.routeConns[r] = nil
	}
}

// heal ends a partition.
func (b *cluster) heal(from string, to ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, addr := range to {
		delete(b.partitioned, route{from, addr})
	}
}
