package upstream

import (
	"errors"
	"net"
	"sync"
	"time"
)

// pool holds idle connections by endpoint key; the most recently used one is last.
type pool struct {
	mu        sync.Mutex
	maxPerKey int
	conns     map[string][]*conn
	closed    bool
}

// take removes and returns the most recently used connection that is open, has nothing to
// read and was idle for less than maxIdle. It closes those that do not qualify and returns nil
// when none is left.
func (p *pool) take(key, address string, maxIdle time.Duration) *conn {
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if c.address == address && c.idleWithin(maxIdle, time.Now()) && openAndEmpty(c.Conn) {
			return c
		}
		_ = c.Conn.Close()
	}
}

// pop removes and returns the most recently used connection without checking it.
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

// hasIdle reports whether the most recently used connection was idle for less than maxIdle.
func (p *pool) hasIdle(key string, maxIdle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns[key]
	return len(list) > 0 && list[len(list)-1].idleWithin(maxIdle, time.Now())
}

// idleWithin reports whether the connection was idle for less than maxIdle and less than the
// timeout that its endpoint advertised.
func (c *conn) idleWithin(maxIdle time.Duration, now time.Time) bool {
	if c.idleTimeout > 0 {
		maxIdle = min(maxIdle, c.idleTimeout)
	}
	return now.Sub(c.idleSince) < maxIdle
}

// put adds a connection to the pool, or closes it when the pool is closed or full for its endpoint.
func (p *pool) put(c *conn) {
	c.unwatch()
	c.idleSince = time.Now()
	limit := p.maxPerKey
	if c.maxIdleConns > 0 {
		limit = min(limit, c.maxIdleConns)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.conns[c.key]) >= limit {
		_ = c.Conn.Close()
		return
	}
	p.conns[c.key] = append(p.conns[c.key], c)
}

// closeOnTimeout closes the idle connections to an endpoint when a read from it failed with
// a timeout. Connections may go silent all at once while new ones work, so the idle ones are
// not used after that.
func (p *pool) closeOnTimeout(key string, err error) {
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
