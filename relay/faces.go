package relay

import (
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

const (
	// Bounds that hold until a configuration with limits is known.
	firstHeaderBytes   = 16 << 10
	firstHeaderTimeout = 3 * time.Second
	firstIdleTimeout   = 15 * time.Second
)

// faces serves callers. The limits of the configuration are those of an
// http.Server, which cannot change; a new server takes the connections that
// come after a change, and the old one keeps those that it has.
type faces struct {
	g *Gateway

	mu      sync.Mutex
	limits  catalog.Limits
	current *face
	all     []*face
}

// face is one http.Server and the connections that are handed to it.
type face struct {
	server *http.Server
	conns  *handover
}

func newFaces(g *Gateway) *faces { return &faces{g: g} }

// Serve takes callers' connections from l until it is closed.
func (g *Gateway) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) && g.pause(acceptPause) {
				continue
			}
			return err
		}
		g.faces.hand(c)
	}
}

// acceptPause is the pause after a failed accept, such as one for lack of
// descriptors.
const acceptPause = 10 * time.Millisecond

func (f *faces) hand(c net.Conn) {
	var limits catalog.Limits
	if t := f.g.state.Table(); t != nil {
		limits = t.Limits
	}
	f.mu.Lock()
	if f.current == nil || f.limits != limits {
		f.limits = limits
		f.current = f.open(limits)
		f.all = append(f.all, f.current)
	}
	current := f.current
	f.mu.Unlock()
	current.conns.hand(c)
}

// open starts a server with the limits.
func (f *faces) open(limits catalog.Limits) *face {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = firstHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = firstHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = firstIdleTimeout
	}
	one := &face{conns: newHandover()}
	one.server = &http.Server{
		Handler:           f.g,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          stdlog.New(errorLines{f.g}, "", 0),
	}
	one.server.SetKeepAlivesEnabled(!f.g.leaving.Load())
	go func() { _ = one.server.Serve(one.conns) }()
	return one
}

// closeIdle closes idle connections, and the others after their next answer.
func (f *faces) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, one := range f.all {
		one.server.SetKeepAlivesEnabled(false)
	}
}

// errorLines passes what net/http says on to the log.
type errorLines struct{ g *Gateway }

func (e errorLines) Write(p []byte) (int, error) {
	e.g.deps.Log.Request("Connection problem.", "text", string(p))
	return len(p), nil
}

// handover is a listener that is given its connections.
type handover struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newHandover() *handover {
	return &handover{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (h *handover) hand(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handover) Addr() net.Addr { return &net.TCPAddr{} }
