package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/daemon"
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/service"
	"github.com/micarudder/micarudder/settings"
)

// The kinds of endpoint that an agent can control.
const (
	kindEngine  = "engine"
	kindService = "service"
)

// Settings contains the INI settings of rudder-agent.
type Settings struct {
	Agent struct {
		DataCentre     string           `key:"data_centre" required:"true" help:"data centre that this host stands in"`
		Host           string           `key:"host" required:"true" help:"name of this host"`
		Listen         settings.Address `key:"listen" required:"true" help:"address for gateways; as declared for the endpoint"`
		ReportInterval time.Duration    `key:"report_interval" default:"250ms" min:"10ms" help:"shortest time between two reports to a gateway"`
		Heartbeat      time.Duration    `key:"heartbeat" default:"5s" min:"100ms" max:"10s" help:"longest time between two reports to a gateway"`
	} `section:"agent"`
	Endpoint struct {
		Name         string           `key:"name" required:"true" help:"name of the endpoint, as declared"`
		Kind         string           `key:"kind" required:"true" allowed:"engine|service" help:"what stands beside the agent"`
		Service      string           `key:"service" help:"name of the plain service; only for kind service"`
		Address      settings.Address `key:"address" required:"true" help:"address of the endpoint's HTTP interface"`
		MemoryTokens int              `key:"memory_tokens" default:"0" min:"0" help:"cache memory of the engine in tokens; required for kind engine"`
		MaxRunning   int              `key:"max_running" default:"64" min:"1" help:"runs at the endpoint at once"`
	} `section:"endpoint"`
	Runs struct {
		ReattachWindow time.Duration `key:"reattach_window" default:"10s" min:"0s" help:"how long a repeatable run goes on without a reader"`
		AnswerKeep     time.Duration `key:"answer_keep" default:"2m" min:"0s" help:"how long a finished answer can be read again"`
		BufferBytes    settings.Size `key:"buffer_bytes" default:"64MiB" help:"bytes of all buffered answers together"`
		MaxRecords     int           `key:"max_records" default:"20000" min:"1" help:"run records kept at once, and as many tombstones"`
	} `section:"runs"`
	Tickets daemon.Tickets `section:"tickets"`
	TLS     daemon.TLS     `section:"tls"`
	Process daemon.Common  `section:"process"`
}

// Check implements settings.Checker.
func (s *Settings) Check() []*settings.Mistake {
	out := append(s.TLS.Check(), s.Tickets.Check()...)
	addMistake := func(key, problem string) {
		out = append(out, &settings.Mistake{Section: "endpoint", Key: key, Problem: problem})
	}
	switch s.Endpoint.Kind {
	case kindService:
		if s.Endpoint.Service == "" {
			addMistake("service", "missing for kind service")
		}
	case kindEngine:
		if s.Endpoint.Service != "" {
			addMistake("service", "given for kind engine")
		}
		if s.Endpoint.MemoryTokens == 0 {
			addMistake("memory_tokens", "missing for kind engine")
		}
	}
	return out
}

func (s *Settings) config() Config {
	return Config{
		Endpoint: s.Endpoint.Name, Host: s.Agent.Host, DataCentre: s.Agent.DataCentre, Service: s.Endpoint.Service,
		MemoryTokens: uint64(s.Endpoint.MemoryTokens), MaxRunning: s.Endpoint.MaxRunning,
		ReattachWindow: s.Runs.ReattachWindow, AnswerKeep: s.Runs.AnswerKeep,
		BufferBytes: int64(s.Runs.BufferBytes), MaxRecords: s.Runs.MaxRecords,
		ReportInterval: s.Agent.ReportInterval, Heartbeat: s.Agent.Heartbeat,
	}
}

// Process is an agent with its listener.
type Process struct {
	a        *Agent
	settings *Settings
	srv      *http.Server
}

// Open creates an agent from its settings and starts it. Binding the listener ensures that
// there is only one agent for the endpoint: the address becomes free only when the process
// that bound it has ended.
func Open(s *Settings, env daemon.Env) (*Process, error) {
	l, err := net.Listen("tcp", string(s.Agent.Listen))
	if err != nil {
		return nil, err
	}
	signer, err := s.Tickets.Signer()
	if err != nil {
		return nil, err
	}
	client, err := inner.NewClient(s.TLS.Files(), nil)
	if err != nil {
		return nil, err
	}
	deps := Deps{Signer: signer, Client: client, Queue: admission.New(admission.Config{}), Tracker: generation.NewTracker(), Log: env.Log, Metrics: env.Metrics}
	base := "http://" + string(s.Endpoint.Address)
	if s.Endpoint.Kind == kindEngine {
		deps.Engine = engine.NewClient(engine.Options{BaseURL: base, Name: s.Endpoint.Name})
	} else {
		deps.Service = service.NewClient(service.Options{BaseURL: base})
	}
	if deps.Client, err = inner.NewClient(s.TLS.Files(), nil); err != nil {
		return nil, err
	}
	a := New(s.config(), deps)
	m := http.NewServeMux()
	m.Handle(a.Handler())
	srv, err := inner.NewServer(m, s.TLS.Files())
	if err != nil {
		return nil, err
	}
	go func() {
		if err := inner.Serve(srv, l); !errors.Is(err, http.ErrServerClosed) {
			env.Fail(err)
		}
	}()
	a.Start()
	return &Process{a: a, settings: s, srv: srv}, nil
}

// Ready implements daemon.Service.
func (p *Process) Ready() bool { return p.a.Ready() }

// Shutdown implements daemon.Service.
func (p *Process) Shutdown(ctx context.Context) error { return p.a.Stop(ctx, p.srv) }
