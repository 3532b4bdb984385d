package e2e

import (
	"net"
	"sync"
)

// conn is one connection of the bubble, from a process by its name to an
// address. Nothing passes it while one of its ends is frozen.
type conn struct {
	net.Conn
	b      *bubble
	from   string
	to     string
	once   sync.Once
	closed chan struct{}

	mu      sync.Mutex
	kept    []byte
	keeping bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.await()
	n, err := c.Conn.Read(p)
	c.await()
	return n, err
}

// Write implements net.Conn. While frozen, it keeps what is written, as the
// kernel would, and sends it at the thaw.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.keeping && !c.isFrozen() {
		c.mu.Unlock()
		return c.Conn.Write(p)
	}
	defer c.mu.Unlock()
	c.kept = append(c.kept, p...)
	if !c.keeping {
		c.keeping = true
		go c.flush()
	}
	return len(p), nil
}

// flush sends what was kept, once thawed.
func (c *conn) flush() {
	for {
		c.await()
		c.mu.Lock()
		kept := c.kept
		c.kept = nil
		c.keeping = len(kept) > 0
		c.mu.Unlock()
		if len(kept) == 0 {
			return
		}
		if _, err := c.Conn.Write(kept); err != nil {
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

// await returns when neither end is frozen, or the connection is closed.
func (c *conn) await() {
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

// freeze stops what goes to and from a process, given by its name and
// addresses, until thaw.
func (b *bubble) freeze(ends ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range ends {
		if b.frozen[e] == nil {
			b.frozen[e] = make(chan struct{})
		}
	}
}

func (b *bubble) thaw(ends ...string) {
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
func (b *bubble) breakConns(ends ...string) {
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

// crash ends a process so that nothing it does afterwards reaches any other.
func (b *bubble) crash(name, addr string) {
	b.mu.Lock()
	b.dead[name] = true
	b.mu.Unlock()
	b.breakConns(name)
	b.kill(addr)
}

// revive lets a process be started in place of a crashed one.
func (b *bubble) revive(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.dead, name)
}
