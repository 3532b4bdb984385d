// Package callerserver serves the connections of callers. The limits of the configuration are settings of an
// http.Server, which cannot change while it runs. After a change, a new server takes the new connections, and the old
// one keeps its own.
package callerserver

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/daemon/keepalive"
	"github.com/micarudder/micarudder/pushlistener"
)

const (
	// Limits that apply until a configuration with limits is known.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// acceptRetryDelay is the pause after a failed accept, for example for lack of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Options are the dependencies of a server.
type Options struct {
	Handler http.Handler
	// Limits returns the limits of the configuration in force.
	Limits func() catalog.Limits
	// Accept reports whether a new connection is served; one that is not has been closed.
	Accept func(net.Conn) bool
	// Wrap returns the connection to serve in place of one that was accepted.
	Wrap func(net.Conn) net.Conn
	// Pause waits. It reports false if the process ends first.
	Pause func(time.Duration) bool
	// LogError writes a line of net/http's error log.
	LogError func(text string)
	// Connections are the settings of all connections together.
	Connections keepalive.Options
}

// Server serves callers' connections.
type Server struct {
	*keepalive.Conns
	options Options

	mu      sync.Mutex
	limits  catalog.Limits
	current *limitedServer
	all     []*limitedServer
}

// limitedServer is one http.Server with the listener that passes connections to it.
type limitedServer struct {
	http     *http.Server
	listener *pushlistener.Listener
}

// New returns a server.
func New(o Options) *Server { return &Server{Conns: keepalive.New(o.Connections), options: o} }

// Serve accepts connections from l until l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) && s.options.Pause(acceptRetryDelay) {
				continue
			}
			return err
		}
		if s.options.Accept(c) {
			s.Add(c)
		}
	}
}

// Add serves a connection.
func (s *Server) Add(c net.Conn) {
	limits := s.options.Limits()
	s.mu.Lock()
	if s.current == nil || s.limits != limits {
		s.limits = limits
		s.current = s.start(limits)
		s.all = append(s.all, s.current)
	}
	current := s.current
	s.mu.Unlock()
	if wrapped := s.Wrap(s.options.Wrap(c), current.http); wrapped != nil {
		current.listener.Push(wrapped)
	}
}

// start starts a server with the limits.
func (s *Server) start(limits catalog.Limits) *limitedServer {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	out := &limitedServer{listener: pushlistener.New()}
	out.http = &http.Server{
		Handler:           s.options.Handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnContext:       withConn,
		ErrorLog:          stdlog.New(errorLogWriter(s.options.LogError), "", 0),
	}
	s.Attach(out.http)
	go func() { _ = out.http.Serve(out.listener) }()
	return out
}

// Close closes all connections, whatever they carry.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.all {
		_ = server.listener.Close()
		_ = server.http.Close()
	}
}

// errorLogWriter passes on the lines of net/http's error log.
type errorLogWriter func(text string)

func (e errorLogWriter) Write(p []byte) (int, error) {
	e(string(p))
	return len(p), nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c.(*keepalive.Conn).NetConn())
}

// Conn returns the connection of a request, as Options.Wrap has returned it; nil if the request came otherwise.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}
