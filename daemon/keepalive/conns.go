// Package keepalive provides the server's side of callers' HTTP/1.1 connections. While the process shuts down, a
// connection ends only between two requests: none is closed if something of its next request was read.
//
// net/http closes connections that it counts as idle, also those of whose next request it has just read a part, and a
// connection that has been idle for too long together with the first bytes of its next request.
package keepalive

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

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

// Conns are the connections of the callers of one process. Its methods may be called concurrently.
type Conns struct {
	admission atomic.Int32
	busy      atomic.Int64 // connections that carry a request
	refusal   []byte       // response to requests whose head is not complete

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// New returns an empty set. Requests whose head is not complete when the process exits are told to come back after
// retryAfter.
func New(retryAfter time.Duration) *Conns {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: " +
		httpsyntax.Seconds(retryAfter) + "\r\n\r\n"
	return &Conns{refusal: []byte(refusal), open: make(map[*Conn]struct{})}
}

// Attach prepares a server for connections that Wrap has returned. It must be called before the server is started.
func (s *Conns) Attach(srv *http.Server) {
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if wrapped, ok := c.(*Conn); ok {
			wrapped.stateChanged(state)
		}
	}
}

// Wrap adds a connection that was accepted. Once something of a request has arrived, the rest of its head may take up
// to headTimeout, however long the connection was idle before. The connection belongs to the set until it is closed.
func (s *Conns) Wrap(c net.Conn, headTimeout time.Duration) *Conn {
	out := &Conn{Conn: c, conns: s, headTimeout: headTimeout}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[out] = struct{}{}
	return out
}

// Serve serves connections of l with srv until one of them is closed.
func (s *Conns) Serve(srv *http.Server, l net.Listener) error {
	s.Attach(srv)
	return srv.Serve(&listener{l, s, srv.ReadHeaderTimeout})
}

// listener wraps the connections that another listener accepts.
type listener struct {
	net.Listener
	conns       *Conns
	headTimeout time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.Wrap(c, l.headTimeout), nil
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
