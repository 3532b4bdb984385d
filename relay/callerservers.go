package relay

import (
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

// callerServers serves the callers' connections. The limits of the configuration are settings of an
// http.Server, which cannot change while it runs. After a change, a new server takes the new
// connections, and the old one keeps its own.
type callerServers struct {
	*keepalive.Conns
	g *Gateway

	mu      sync.Mutex
	limits  catalog.Limits
	current *callerServer
}

// callerServer is one http.Server with the listener that passes connections to it.
type callerServer struct {
	server   *http.Server
	listener *pushlistener.Listener
}

// InFlight implements drain.Requests.
func (cs *callerServers) InFlight() int64 { return max(cs.g.inFlight.Load(), cs.Conns.InFlight()) }

// Serve accepts callers' connections from l until l is closed.
func (g *Gateway) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) && g.pause(acceptRetryDelay) {
				continue
			}
			return err
		}
		if !g.deps.Overload.Accept(c, time.Now()) {
			g.meter.connectionsRefused.Inc()
			continue
		}
		g.servers.assign(c)
	}
}

// acceptRetryDelay is the pause after a failed accept, for example for lack of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

func (cs *callerServers) assign(c net.Conn) {
	var limits catalog.Limits
	if t := cs.g.state.Table(); t != nil {
		limits = t.Limits
	}
	cs.mu.Lock()
	if cs.current == nil || cs.limits != limits {
		cs.limits = limits
		cs.current = cs.startServer(limits)
	}
	current := cs.current
	cs.mu.Unlock()
	current.listener.Push(cs.Wrap(cs.g.boundCallerConn(c), current.server.ReadHeaderTimeout))
}

// startServer starts a server with the limits.
func (cs *callerServers) startServer(limits catalog.Limits) *callerServer {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	s := &callerServer{listener: pushlistener.New()}
	s.server = &http.Server{
		Handler:           cs.g,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnContext:       withCallerConn,
		ErrorLog:          stdlog.New(errorLogWriter{cs.g}, "", 0),
	}
	cs.Attach(s.server)
	go func() { _ = s.server.Serve(s.listener) }()
	return s
}

// errorLogWriter writes the error log of net/http to the gateway's log.
type errorLogWriter struct{ g *Gateway }

func (e errorLogWriter) Write(p []byte) (int, error) {
	e.g.deps.Log.Request("HTTP server error.", "text", string(p))
	return len(p), nil
}
