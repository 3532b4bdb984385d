package e2e

import (
	"net"
	"sync"
)

// conn is one connection of the cluster, from a process, given by its name, to
// an address. No bytes pass while either end is frozen.
type conn struct {
	net.Conn
	b      *cluster
	from   string
	to     string
	once   sync.Once
	closed chan struct{}

	mu        sync.Mutex
	buffered  []byte
	buffering bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.awaitThaw()
	n, err := c.Conn.Read(p)
	c.awaitThaw()
	return n, err
}

// Write implements net.Conn. While an end is frozen, it buffers what is
// written, as the kernel would, and sends it after the thaw.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.buffering && !c.isFrozen() {
		c.mu.Unlock()
		return c.Conn.Write(p)
	}
	defer c.mu.Unlock()
	c.buffered = append(c.buffered, p...)
	if !c.buffering {
		c.buffering = true
		go c.flush()
	}
	return len(p), nil
}

// flush sends the buffered bytes once both ends are thawed.
func (c *conn) flush() {
	for {
		c.awaitThaw()
		c.mu.Lock()
		pending := c.buffered
		c.buffered = nil
		c.buffering = len(pending) > 0
		c.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		if _, err := c.Conn.Write(pending); err != nil {
			return
		}
	}
}

func (c *conn) isFrozen() bool {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.b.frozen[c.from] != nil || c.b.frozen[c.to] != nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// awaitThaw waits until neither end is frozen or the connection is closed.
func (c *conn) awaitThaw() {
	for _, name := range [...]string{c.from, c.to} {
		c.b.mu.Lock()
		thaw := c.b.frozen[name]
		c.b.mu.Unlock()
		if thaw == nil {
			continue
		}
		select {
		case <-thaw:
		case <-c.closed:
		}
	}
}

// freeze stops all traffic to and from a process, given by its name and
// addresses, until thaw.
func (b *cluster) freeze(ends ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range ends {
		if b.frozen[e] == nil {
			b.frozen[e] = make(chan struct{})
		}
	}
}

func (b *cluster) thaw(ends ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range ends {
		if thaw := b.frozen[e]; thaw != nil {
			delete(b.frozen, e)
			close(thaw)
		}
	}
}

// breakConns breaks the connections of a process; new ones can be made.
func (b *cluster) breakConns(ends ...string) {
	for _, e := range ends {
		b.mu.Lock()
		conns := b.conns[e]
		b.conns[e] = nil
		b.mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// crash ends a process so that nothing it still does reaches any other process.
func (b *cluster) crash(name, addr string) {
	b.mu.Lock()
	b.crashed[name] = true
	b.mu.Unlock()
	b.breakConns(name)
	b.kill(addr)
}

// revive allows a process to be started in place of a crashed one.
func (b *cluster) revive(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.crashed, name)
}
