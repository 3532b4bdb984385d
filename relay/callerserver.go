package relay

import (
	"net"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/daemon/callerserver"
	"github.com/micarudder/micarudder/daemon/keepalive"
)

// callerServer serves the callers' connections.
type callerServer struct {
	*callerserver.Server
	g *Gateway
}

func newCallerServer(g *Gateway) *callerServer {
	return &callerServer{g: g, Server: callerserver.New(callerserver.Options{
		Handler: g, Limits: g.callerLimits, Accept: g.acceptCaller, Wrap: g.boundCallerConn, Pause: g.pause,
		Connections: keepalive.Options{RetryAfter: retryAfterShutdown, Memory: g.bodies, MaxConns: g.config.MaxConns},
		LogError:    func(text string) { g.deps.Log.Request("HTTP server error.", "text", text) },
	})}
}

// InFlight implements drain.Requests.
func (s *callerServer) InFlight() int64 { return max(s.g.inFlight.Load(), s.Server.InFlight()) }

// Serve accepts callers' connections from l until l is closed.
func (g *Gateway) Serve(l net.Listener) error { return g.callers.Serve(l) }

// callerLimits returns the limits of the configuration in force.
func (g *Gateway) callerLimits() catalog.Limits {
	if t := g.state.Table(); t != nil {
		return t.Limits
	}
	return catalog.Limits{}
}

// acceptCaller reports whether to serve a new connection; one that is not served was reset.
func (g *Gateway) acceptCaller(c net.Conn) bool {
	accepted := g.deps.Overload.Accept(c, time.Now())
	if !accepted {
		g.meter.connectionsRefused.Inc()
	}
	return accepted
}
