package keepalive

import (
	"net"
	"time"
)

const (
	// roomCandidates is how many connections are looked at for one that makes room.
	roomCandidates = 32
	// minOpenTime is how long a new connection is left alone. A caller that has a request sends it together with the last
	// packet of the handshake.
	minOpenTime = 10 * time.Millisecond
	// minHeadTime is how long a request that is not complete is left alone; those of sound callers arrive at once.
	minHeadTime = 250 * time.Millisecond
	// excessDivisor is the part of the limit, as a divisor, by which connections that are about to end may exceed it.
	excessDivisor = 16
)

// worth says which connections are kept rather than others when there are too many.
type worth uint8

const (
	worthLeast  worth = iota // nothing was ever sent on it, or all is done
	worthLittle              // its request does not arrive
	worthMore                // it waits for a further request
	worthMost                // it carries a request, is new or is about to end
)

// makeRoom ends a connection of those of the least worth, if there is one that carries no complete request. Of some that
// it looks at, it takes the one that has waited for the longest. The caller holds the lock.
func (s *Conns) makeRoom() bool {
	if len(s.open) > s.maxConns+s.maxConns/excessDivisor {
		return false
	}
	now := time.Now()
	var chosen *Conn
	least, longest := worthMost, time.Duration(0)
	looked := 0
	for c := range s.open { // in random order
		if looked++; looked > roomCandidates {
			break
		}
		worth, waited := c.worth(now)
		if worth < least || worth == least && worth < worthMost && waited > longest {
			chosen, least, longest = c, worth, waited
		}
	}
	if chosen == nil {
		return false
	}
	if chosen.evict() {
		delete(s.open, chosen)
	}
	return true
}

// worth returns what the connection is worth, and for how long it has waited.
func (c *Conn) worth(now time.Time) (worth, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.idleSince)
	switch {
	case c.lingers:
		return worthLeast, waited
	case !c.reading || c.evicted:
		return worthMost, waited
	case c.phase == opened && waited >= minOpenTime:
		return worthLeast, waited
	case c.phase == begun && now.Sub(c.beganAt) >= minHeadTime:
		return worthLittle, now.Sub(c.beganAt)
	case c.bodyIsSlow(now):
		return worthLittle, now.Sub(c.beganAt)
	case c.phase == idle:
		return worthMore, waited
	default:
		return worthMost, waited
	}
}

// bodyIsSlow reports whether the connection may end since a body does not arrive.
func (c *Conn) bodyIsSlow(now time.Time) bool {
	return c.conns.bodiesEnd && c.phase == serving && c.reading && c.readsBody && now.Sub(c.beganAt) >= minHeadTime
}

// evict ends the connection unless it carries a complete request by then. It reports whether the connection has ended.
func (c *Conn) evict() (ended bool) {
	c.mu.Lock()
	c.evicted = true
	ended = c.lingers || c.bodyIsSlow(time.Now())
	c.mu.Unlock()
	if ended {
		_ = c.Conn.Close()
		return true
	}
	c.endRead()
	return false
}

// reset closes a connection so that its caller knows that nothing was read, or that its response is not complete.
func reset(c net.Conn) {
	inner := c
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		inner = wrapper.NetConn()
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
