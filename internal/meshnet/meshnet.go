// Package meshnet is a network for tests of peer messages: it connects the sockets of many gateways in
// one process, under the virtual time of testing/synctest.
package meshnet

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// LocalDelay is the time that a datagram takes inside a data centre.
	LocalDelay = 100 * time.Microsecond
	// RemoteDelay is the time that a datagram takes between two data centres.
	RemoteDelay = 900 * time.Microsecond
	// bufferSize is the number of datagrams that a socket holds until they are read; more are lost.
	bufferSize = 1 << 13
)

// Network delivers datagrams between its sockets.
type Network struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*Conn
	drops func(from, to *Conn) bool
	delay func(from, to *Conn) time.Duration
}

// New returns a network without sockets.
func New() *Network { return &Network{conns: make(map[netip.AddrPort]*Conn)} }

// Address returns the address of the nth host.
func Address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7100)
}

type datagram struct {
	content []byte
	from    netip.AddrPort
}

// Conn is the socket of one host; it implements peers.Conn.
type Conn struct {
	Address    netip.AddrPort
	DataCentre string

	network *Network
	arrived chan datagram
	closed  chan struct{}
	// The rest is guarded by the network's lock.
	down    bool
	resumed chan struct{} // closed when the suspension ends; nil if there was none
	written int           // datagrams since the last call of Written
	largest int           // of these, in bytes
}

// Listen adds a host with one socket.
func (n *Network) Listen(address netip.AddrPort, dataCentre string) *Conn {
	c := &Conn{Address: address, DataCentre: dataCentre, network: n, arrived: make(chan datagram, bufferSize), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

// SetDrops sets which datagrams are lost from now on; nil: none.
func (n *Network) SetDrops(drops func(from, to *Conn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drops = drops
}

// SetDelay sets what is added to the time that datagrams take from now on.
func (n *Network) SetDelay(delay func(from, to *Conn) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// ReadFromUDPAddrPort reads the next datagram. It waits while the host is suspended.
func (c *Conn) ReadFromUDPAddrPort(p []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-c.arrived:
		c.WaitWhileSuspended()
		return copy(p, d.content), d.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort sends a datagram.
func (c *Conn) WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c.written++
	c.largest = max(c.largest, len(p))
	other := n.conns[to]
	if other == nil || c.down || other.down || n.drops != nil && n.drops(c, other) {
		return len(p), nil
	}
	delay := LocalDelay
	if other.DataCentre != c.DataCentre {
		delay = RemoteDelay
	}
	if n.delay != nil {
		delay += n.delay(c, other)
	}
	d := datagram{slices.Clone(p), c.Address}
	time.AfterFunc(delay, func() {
		select {
		case other.arrived <- d:
		default: // the buffer is full
		}
	})
	return len(p), nil
}

// LocalAddr returns the address of the host.
func (c *Conn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.Address) }

// Close ends reading.
func (c *Conn) Close() error {
	close(c.closed)
	return nil
}

// Written returns the number of datagrams that were sent since the last call, and the size of the
// largest one in bytes.
func (c *Conn) Written() (datagrams, largest int) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	datagrams, largest = c.written, c.largest
	c.written, c.largest = 0, 0
	return datagrams, largest
}

// Suspend suspends the host until the returned function is called. Datagrams that arrive meanwhile
// are read then.
func (c *Conn) Suspend() (resume func()) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	resumed := make(chan struct{})
	c.resumed = resumed
	return sync.OnceFunc(func() { close(resumed) })
}

// WaitWhileSuspended returns when the host is not suspended.
func (c *Conn) WaitWhileSuspended() {
	c.network.mu.Lock()
	resumed := c.resumed
	c.network.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// Kill makes the host send and receive nothing.
func (c *Conn) Kill() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.down = true
}

// Killed reports whether Kill was called.
func (c *Conn) Killed() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.down
}
