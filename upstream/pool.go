package upstream

import (
	"errors"
	"net"
	"sync"
	"time"
)

// pool keeps idle connections by endpoint, the one used last on top.
type pool struct {
	mu     sync.Mutex
	perKey int
	conns  map[string][]*conn
	closed bool
}

// take returns a sound connection that was idle for at most maxIdle, or nil.
func (p *pool) take(key, address string, maxIdle time.Duration) *conn {
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if c.address == address && c.fresh(maxIdle, time.Now()) && quiet(c.Conn) {
			return c
		}
		_ = c.Conn.Close()
	}
}

func (p *pool) pop(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.conns[key] = list[:len(list)-1]
	return c
}

// has reports whether there is a connection that was idle for at most maxIdle.
func (p *pool) has(key string, maxIdle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns[key]
	return len(list) > 0 && list[len(list)-1].fresh(maxIdle, time.Now())
}

// fresh reports whether the connection was used lately enough.
func (c *conn) fresh(maxIdle time.Duration, now time.Time) bool {
	if c.idleLimit > 0 {
		maxIdle = min(maxIdle, c.idleLimit)
	}
	return now.Sub(c.idleSince) < maxIdle
}

func (p *pool) put(c *conn) {
	c.unwatch()
	c.idleSince = time.Now()
	most := p.perKey
	if c.keepIdle > 0 {
		most = min(most, c.keepIdle)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.conns[c.key]) >= most {
		_ = c.Conn.Close()
		return
	}
	p.conns[c.key] = append(p.conns[c.key], c)
}

// suspect takes in a failed read from an endpoint. Connections may go silent all
// at once while new ones work, so after a timeout the idle ones are not used.
func (p *pool) suspect(key string, err error) {
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() {
		p.closeKey(key)
	}
}

func (p *pool) closeKey(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns[key] {
		_ = c.Conn.Close()
	}
	delete(p.conns, key)
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.conns {
		for _, c := range list {
			_ = c.Conn.Close()
		}
	}
	clear(p.conns)
}

func (p *pool) closeAll() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}
