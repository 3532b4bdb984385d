package relay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/daemon"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/hostclock"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/pushlistener"
	"github.com/micarudder/micarudder/upstream"
)

// Process is a gateway with its listeners.
type Process struct {
	*Gateway
	settings  *Settings
	listeners []net.Listener
}

// Adapter builds the protocol and the source of one platform. The source counts its calls in set.
type Adapter func(s *Settings, log *log.Logger, set *metrics.Set) (Protocol, Source)

// Options holds what a process is built from besides its settings.
type Options struct {
	Adapt Adapter
	// Suspended returns how long the host was suspended, see Deps; nil: the host's clocks are used.
	Suspended func() time.Duration
}

// logCloseTimeout bounds how long shutdown waits for the last log lines.
const logCloseTimeout = 200 * time.Millisecond

// Open builds a gateway from its settings and starts it.
func Open(s *Settings, env daemon.Env, o Options) (*Process, error) {
	events := eventlog.New(os.Stdout, eventlog.Options{
		Prefix: "relay", LinesPerSecond: s.Log.LinesPerSecond, Level: log.InfoLevel, Format: log.LogfmtFormatter,
	})
	protocol, source := o.Adapt(s, events.Logger(), env.Metrics)
	peerAddress, err := netip.ParseAddrPort(string(s.Relay.PeerListen))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	mesh, err := peers.Listen(s.Relay.Name, string(s.Relay.PeerListen))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := s.config()
	c.Seeds = seedAddresses(s, peerAddress)
	mesh.SetMembers(membersWithoutNames(c.Seeds))
	mesh.CountBytes(c.DataCentre, peers.ByteCounters(env.Metrics))
	if s.Load.ForwardMessages {
		mesh.EnableForwarding(c.DataCentre)
		env.Metrics.NewGauge("relay_peer_forwarding_offered", func() float64 {
			if mesh.OffersForwarding(time.Now()) {
				return 1
			}
			return 0
		})
		mesh.CountLate(env.Metrics.NewCounter("relay_peer_forwarded_late_total").Inc)
	}
	c.Policy = balance.Default()
	suspended := o.Suspended
	if suspended == nil {
		suspended = hostSuspensionClock(events.Logger())
	}
	overload := new(pushlistener.Overload)
	responses := heldmemory.NewResponses(s.Process.WithinHost(s.Relay.ResponseMemory, responseMemoryPercent))
	g := New(c, Deps{
		Overload:  overload,
		Responses: responses,
		Suspended: suspended,
		Protocol:  protocol, Source: source, Mesh: mesh, PeerPort: int(peerAddress.Port()), Log: events, Metrics: env.Metrics,
		Endpoints: upstream.New(upstream.Options{
			DialTimeout: s.Endpoints.DialTimeout, MaxIdle: s.Endpoints.MaxIdle, IdlePerHost: s.Endpoints.IdlePerHost,
			SlowReaderTimeout: s.Load.SlowReaderTimeout, Dialed: overload.Dialed, Responses: responses,
		}),
	})
	p := &Process{Gateway: g, settings: s}
	if err := p.listen(env); err != nil {
		return nil, err
	}
	g.Start()
	events.Logger().Info("Started.", "name", s.Relay.Name, "version", daemon.Version, "data_centre", s.Relay.DataCentre)
	return p, nil
}

// hostSuspensionClock returns a function that measures suspensions with the host's clocks, or nil
// if the host lacks one of the two clocks.
func hostSuspensionClock(log *log.Logger) func() time.Duration {
	clock, err := hostclock.New()
	if err != nil {
		log.Warn("Suspensions of this host will not be noticed.", "err", err)
		return nil
	}
	return clock.Suspended
}

// seedAddresses returns the peer addresses of the hosts that the settings name, including this host
// if it is named.
func seedAddresses(s *Settings, self netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range s.Relay.Seeds {
		a, err := netip.ParseAddrPort(string(text))
		if err != nil {
			continue // validated when the settings were read
		}
		out = append(out, netip.AddrPortFrom(a.Addr(), self.Port()))
	}
	return out
}

// membersWithoutNames returns members of which only the addresses are known.
func membersWithoutNames(addresses []netip.AddrPort) []peers.Member {
	out := make([]peers.Member, len(addresses))
	for i, a := range addresses {
		out[i].Address = a
	}
	return out
}

// listen opens the listeners and serves them.
func (p *Process) listen(env daemon.Env) error {
	serve := func(address string, run func(net.Listener) error) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return trace.Wrap(err)
		}
		p.listeners = append(p.listeners, l)
		go func() {
			if err := run(l); err != nil && !p.drain.Begun() {
				env.Fail(err)
			}
		}()
		return nil
	}
	handle := func(h http.Handler) func(net.Listener) error {
		return func(l net.Listener) error { return daemon.Serve(daemon.NewServer(h), l) }
	}
	if err := serve(string(p.settings.Relay.ReadyListen), handle(p.ReadyHandler())); err != nil {
		return err
	}
	if err := serve(string(p.settings.Relay.PeerListen), handle(p.PeerHandler())); err != nil {
		return err
	}
	return serve(string(p.settings.Relay.Listen), p.Serve)
}

// Shutdown implements daemon.Service.
func (p *Process) Shutdown(ctx context.Context) error {
	err := p.Gateway.Shutdown(ctx)
	p.Close()
	for _, l := range p.listeners {
		_ = l.Close()
	}
	p.deps.Log.Logger().Info("Stopped.", "in_flight", p.inFlight.Load())
	p.deps.Log.Close(logCloseTimeout)
	return err
}

// Reload implements daemon.Reloader. No setting changes while the process runs: changes take effect
// at the next start, and no request is cut off.
func (p *Process) Reload(fresh any) error {
	s, ok := fresh.(*Settings)
	if !ok {
		return trace.BadParameter("settings are not those of rudder-relay")
	}
	p.deps.Log.Logger().Info("Settings read again.")
	daemon.WarnRestartRequired(p.deps.Log.Logger(), p.settings, s, func(*Settings) {})
	return nil
}
