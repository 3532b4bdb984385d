// Package pushlistener provides a listener whose connections are accepted elsewhere and pushed to it.
package pushlistener

import (
	"net"
	"sync"
)

// Listener is a net.Listener whose connections are pushed.
type Listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// New returns an open listener.
func New() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Push passes a connection to Accept, or closes it if the listener is closed.
func (l *Listener) Push(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.done:
		_ = c.Close()
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
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
