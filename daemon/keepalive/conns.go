// Package keepalive provides the server's side of callers' HTTP/1.1 connections. While the process shuts down, a
// connection ends only between two requests: none is closed if something of its next request was read.
//
// net/http closes connections that it counts as idle, also those of whose next request it has just read a part, and a
// connection that has been idle for too long together with the first bytes of its next request.
package keepalive

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/httpsyntax"
)

// admission says which requests are still read. It only grows.
type admission int32

const (
	allRequests   admission = iota
	firstRequests           // a connection that has carried a request ends instead of beginning another one
	noRequests              // no request begins
	wholeRequests           // and those whose head is not complete are refused
)

// Options are the settings of a set of connections.
type Options struct {
	// RetryAfter is the Retry-After of requests that are refused although their head is not complete.
	RetryAfter time.Duration
	// Memory counts heads that are not complete; nil: they are not bounded together.
	Memory *heldmemory.Bodies
	// MaxConns is the most connections that are open at once; 0: no limit.
	MaxConns int
	// EvictBodies lets connections whose request's body does not arrive make room for new ones, without a response.
	EvictBodies bool
	// RefusalDelay is the pause of Serve after a connection that was one too many: those that are refused at once come
	// back at once.
	RefusalDelay time.Duration
}

// Conns are the connections of the callers of one process. Its methods may be called concurrently.
type Conns struct {
	admission  atomic.Int32
	busy       atomic.Int64 // connections that carry a request
	retryAfter time.Duration
	memory     *heldmemory.Bodies
	maxConns   int
	delay      time.Duration // Options.RefusalDelay
	bodiesEnd  bool          // Options.EvictBodies

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// New returns an empty set.
func New(o Options) *Conns {
	if o.Memory == nil {
		o.Memory = heldmemory.NewBodies(0)
	}
	return &Conns{retryAfter: o.RetryAfter, memory: o.Memory, maxConns: o.MaxConns, delay: o.RefusalDelay, bodiesEnd: o.EvictBodies, open: make(map[*Conn]struct{})}
}

// refusal returns a complete response that ends the connection.
func (s *Conns) refusal(status int) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		head += "Retry-After: " + httpsyntax.Seconds(s.retryAfter) + "\r\n"
	}
	return []byte(head + "\r\n")
}

// Attach prepares a server for connections that Wrap has returned. It must be called before the server is started.
func (s *Conns) Attach(srv *http.Server) {
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if wrapped, ok := c.(*Conn); ok {
			wrapped.stateChanged(state)
		}
	}
	srv.ConnContext = withConn(srv.ConnContext)
	srv.Handler = resetAborted(srv.Handler)
}

// Wrap adds a connection that was accepted for a server, whose limits on heads apply: the timeout counts from the first
// byte of a head, however long the connection was idle before. It closes the connection and returns nil if there are too
// many and none of them is idle. The connection belongs to the set until it is closed.
func (s *Conns) Wrap(c net.Conn, srv *http.Server) *Conn {
	out := &Conn{Conn: c, conns: s, headTimeout: srv.ReadHeaderTimeout, headBytes: srv.MaxHeaderBytes, idleSince: time.Now()}
	if out.headBytes <= 0 {
		out.headBytes = http.DefaultMaxHeaderBytes
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxConns > 0 && len(s.open) >= s.maxConns && !s.makeRoom() {
		reset(c)
		return nil
	}
	s.open[out] = struct{}{}
	return out
}

// Serve serves connections of l with srv until one of them is closed.
func (s *Conns) Serve(srv *http.Server, l net.Listener) error {
	s.Attach(srv)
	return srv.Serve(&listener{l, s, srv})
}

// listener wraps the connections that another listener accepts.
type listener struct {
	net.Listener
	conns *Conns
	srv   *http.Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if wrapped := l.conns.Wrap(c, l.srv); wrapped != nil {
			return wrapped, nil
		}
		time.Sleep(l.conns.delay)
	}
}

// EndIdle ends the connections that are idle, and the others after the response that they carry. New connections
// carry one request. The responses should tell the callers so.
func (s *Conns) EndIdle() { s.admit(firstRequests) }

// Seal ends all connections that carry no request.
func (s *Conns) Seal() { s.admit(noRequests) }

// RefuseUnfinished ends all connections that carry no request, and refuses the requests whose head is not complete.
func (s *Conns) RefuseUnfinished() { s.admit(wholeRequests) }

// admit narrows which requests are read. Reads that wait for others return.
func (s *Conns) admit(a admission) {
	if s.admitted() >= a {
		return
	}
	s.admission.Store(int32(a))
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.endRead()
	}
}

func (s *Conns) admitted() admission { return admission(s.admission.Load()) }

// InFlight returns how many requests have begun to arrive and are not answered. After Seal it also counts reads that
// may still return the beginning of one.
func (s *Conns) InFlight() int64 {
	n := s.busy.Load()
	if s.admitted() < noRequests {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.awaitsRequest() {
			n++
		}
	}
	return n
}

func (s *Conns) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}
