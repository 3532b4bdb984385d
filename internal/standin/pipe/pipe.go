// Package pipe serves HTTP over in-memory connections, so that clients and servers run under
// virtual time without sockets.
package pipe

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// ErrRefused is returned by Dial on a closed listener.
var ErrRefused = errors.New("pipe: connection refused")

// Listener is a net.Listener whose connections are made by Dial.
type Listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial connects to the listener; it fails once the listener is closed.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return addr{} }

type addr struct{}

func (addr) Network() string { return "pipe" }
func (addr) String() string  { return "pipe" }

// Server is an HTTP server on a Listener, with a client that reaches it under any host name.
type Server struct {
	Listener *Listener
	Client   *http.Client
	srv      *http.Server
}

// Serve serves h until Close.
func Serve(h http.Handler) *Server {
	ln := Listen()
	s := &Server{Listener: ln, srv: &http.Server{Handler: h}}
	s.Client = &http.Client{Transport: &http.Transport{
		DialContext:        func(ctx context.Context, _, _ string) (net.Conn, error) { return ln.Dial(ctx) },
		DisableCompression: true,
		IdleConnTimeout:    time.Minute,
	}}
	go func() { _ = s.srv.Serve(ln) }()
	return s
}

// Close breaks all connections and refuses new ones.
func (s *Server) Close() {
	_ = s.srv.Close()
	s.Client.CloseIdleConnections()
}
