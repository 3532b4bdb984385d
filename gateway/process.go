package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/daemon"
	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/settings"
)

// Settings are the INI settings of rudder-gateway.
type Settings struct {
	Gateway struct {
		Name        string             `key:"name" required:"true" help:"name of this gateway, unique in the installation"`
		DataCentre  string             `key:"data_centre" required:"true" help:"data centre that this host stands in"`
		Listen      settings.Address   `key:"listen" required:"true" help:"address for callers"`
		InnerListen settings.Address   `key:"inner_listen" required:"true" help:"address for other gateways and rudderctl"`
		Peers       []settings.Address `key:"peers" help:"inner addresses of other gateways, to learn the configuration from"`
	} `section:"gateway"`
	Callers struct {
		MaxBody         settings.Size `key:"max_body" default:"16MiB" help:"largest request body"`
		BodyMemory      settings.Size `key:"body_memory" default:"112MiB" help:"most memory of request bodies that are held at once, and two fifths of host_memory at most; more are refused with a time to come back; a quarter is for bodies of 256KiB or less"`
		HeaderTime      time.Duration `key:"header_time" default:"5s" min:"100ms" help:"time for a request's headers to arrive"`
		BodyTime        time.Duration `key:"body_time" default:"30s" min:"100ms" help:"time for a request's body to arrive"`
		WriteTime       time.Duration `key:"write_time" default:"30s" min:"100ms" help:"time for a caller to take one part of its answer"`
		DefaultDeadline time.Duration `key:"default_deadline" default:"5m" min:"1s" help:"deadline of a request that names none"`
		MaxDeadline     time.Duration `key:"max_deadline" default:"1h" min:"1s" help:"longest deadline a request may name"`
		DefaultTokens   int           `key:"default_tokens" default:"256" min:"1" help:"answer tokens set aside when a request names none"`
		FirstTokenGoal  time.Duration `key:"first_token_goal" default:"360ms" min:"1ms" help:"first token later than this counts as slow"`
	} `section:"callers"`
	Stop struct {
		LeaveTime time.Duration `key:"leave_time" default:"5s" min:"0s" help:"from not ready to refusing at a planned stop; longer than the balancer takes to notice"`
	} `section:"stop"`
	Tickets struct {
		daemon.Tickets
		Life time.Duration `key:"life" default:"15m" min:"1s" max:"24h" help:"how long a ticket can be presented"`
	} `section:"tickets"`
	Platform struct {
		Addresses []settings.Address `key:"addresses" required:"true" help:"addresses of the platform's key-value service"`
		Timeout   time.Duration      `key:"timeout" default:"2s" min:"10ms" help:"longest wait for one call"`
		ReadRate  float64            `key:"read_rate" default:"20" min:"1" help:"reads a second that this gateway allows itself"`
		WriteRate float64            `key:"write_rate" default:"20" min:"1" help:"writes a second that this gateway allows itself; a bare idempotency key of unrepeatable work costs one"`
	} `section:"platform"`
	Routing struct {
		Policy string `key:"policy" default:"default" allowed:"default|round-robin|least-load|no-lanes" help:"routing policy; all but default are baselines for measurements"`
	} `section:"routing"`
	TLS     daemon.TLS    `section:"tls"`
	Process daemon.Common `section:"process"`
}

// Check implements settings.Checker.
func (s *Settings) Check() []*settings.Mistake {
	out := append(s.TLS.Check(), s.Tickets.Check()...)
	if s.Stop.LeaveTime > 0 && s.Stop.LeaveTime >= s.Process.DrainTime {
		out = append(out, &settings.Mistake{Section: "stop", Key: "leave_time", Problem: "is not shorter than drain_time"})
	}
	if s.Stop.LeaveTime >= s.Process.DrainTime {
		out = append(out, &settings.Mistake{Section: "stop", Key: "leave_time", Problem: "is not shorter than [process] drain_time, of which it is a part"})
	}
	if s.Callers.DefaultDeadline > s.Callers.MaxDeadline {
		out = append(out, &settings.Mistake{Section: "callers", Key: "default_deadline", Problem: "is longer than max_deadline"})
	}
	return out
}

// config returns the part of the settings that the gateway itself uses.
func (s *Settings) config() Config {
	c := Config{
		Name: s.Gateway.Name, DataCentre: s.Gateway.DataCentre,
		MaxBody: int64(s.Callers.MaxBody), BodyMemory: s.Process.WithinHost(s.Callers.BodyMemory, daemon.BodyMemoryPercent), MaxConns: s.Process.CallerConns(), BodyTime: s.Callers.BodyTime, WriteTime: s.Callers.WriteTime,
		DefaultDeadline: s.Callers.DefaultDeadline, MaxDeadline: s.Callers.MaxDeadline, TicketLife: s.Tickets.Life,
		LeaveTime: s.Stop.LeaveTime, DefaultTokens: uint64(s.Callers.DefaultTokens), FirstTokenGoal: s.Callers.FirstTokenGoal,
	}
	for _, p := range s.Gateway.Peers {
		c.Peers = append(c.Peers, string(p))
	}
	return c
}

// policies maps the names in the settings to routing policies.
var policies = map[string]func() routing.Policy{
	"default": routing.Default, "round-robin": routing.RoundRobin, "least-load": routing.LeastLoad, "no-lanes": routing.NoLanes,
}

// Process is a gateway with its listeners.
type Process struct {
	g        *Gateway
	settings *Settings
	callers  *http.Server
	inner    *http.Server
}

// Open creates a gateway from its settings and starts it.
func Open(s *Settings, env daemon.Env) (*Process, error) {
	signer, err := s.Tickets.Signer()
	if err != nil {
		return nil, err
	}
	client, err := inner.NewClient(s.TLS.Files(), nil)
	if err != nil {
		return nil, err
	}
	store, err := openStore(s, env)
	if err != nil {
		return nil, err
	}
	g := New(s.config(), Deps{
		Store: store, Hosts: store, Client: client, Signer: signer, Tracker: generation.NewTracker(),
		Policy: policies[s.Routing.Policy](), Log: env.Log, Metrics: env.Metrics,
	})
	p := &Process{g: g, settings: s}
	if err := p.listen(s, env); err != nil {
		return nil, err
	}
	g.Start()
	return p, nil
}

func openStore(s *Settings, env daemon.Env) (*metastore.Client, error) {
	addrs := make([]string, 0, len(s.Platform.Addresses))
	for _, a := range s.Platform.Addresses {
		addrs = append(addrs, string(a))
	}
	return metastore.NewClient(metastore.Options{Addresses: addrs, Timeout: s.Platform.Timeout, ReadRate: s.Platform.ReadRate, WriteRate: s.Platform.WriteRate, Metrics: env.Metrics})
}

// listen opens both listeners and starts to serve them.
func (p *Process) listen(s *Settings, env daemon.Env) error {
	handler, err := p.g.Handler()
	if err != nil {
		return err
	}
	p.callers = &http.Server{Handler: handler, ReadHeaderTimeout: s.Callers.HeaderTime, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}
	m := http.NewServeMux()
	m.Handle(p.g.InnerHandler())
	if p.inner, err = inner.NewServer(m, s.TLS.Files()); err != nil {
		return err
	}
	if err := serveOn(string(s.Gateway.Listen), p.callers, p.g.ServeCallers, env.Fail); err != nil {
		return err
	}
	return serveOn(string(s.Gateway.InnerListen), p.inner, inner.Serve, env.Fail)
}

func serveOn(addr string, srv *http.Server, serve func(*http.Server, net.Listener) error, fail func(error)) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() {
		if err := serve(srv, l); !errors.Is(err, http.ErrServerClosed) {
			fail(err)
		}
	}()
	return nil
}

// Ready implements daemon.Service.
func (p *Process) Ready() bool { return p.g.Ready() }

// Shutdown implements daemon.Service.
func (p *Process) Shutdown(ctx context.Context) error {
	return p.g.Stop(ctx, p.callers, p.inner)
}
