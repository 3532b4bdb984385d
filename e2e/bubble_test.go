package e2e

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/agent"
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/gateway"
	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/inner"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/pipe"
	standplatform "github.com/micarudder/micarudder/internal/standin/platform"
	standservice "github.com/micarudder/micarudder/internal/standin/service"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/service"
	"github.com/micarudder/micarudder/ticket"
)

const (
	dataCentre   = "hall-petrzalka"
	model        = "rudder-llm"
	bearer       = "key-of-the-bid-desk"
	platformAddr = "10.0.0.1:2379"
)

// oldKey signs tickets unless a test rotates the keys.
var oldKey = ticket.Key{ID: 1, Secret: []byte("0123456789abcdef")}

// bubble is one installation inside a synctest bubble. Its processes are
// reached by address, as in the real one.
type bubble struct {
	t      *testing.T
	mu     sync.Mutex
	hosts  map[string]*pipe.Listener
	conns  map[string][]net.Conn
	cut    map[string]bool // addresses that no connection can be made to
	parted map[route]bool  // routes that no connection can be made on
	joined map[route][]net.Conn
	frozen map[string]chan struct{} // by name or address of a process; closed at the thaw
	dead   map[string]bool          // processes that reach nobody any more
	signer *ticket.Signer
	doc    *rudderv1.Document

	platform   *standplatform.Server
	engines    map[string]*standengine.Server
	services   map[string]*standservice.Server
	agents     map[string]*agent.Agent
	gateways   map[string]*gateway.Gateway
	servers    map[string]*http.Server // by address
	orders     []orderSeen
	delay      map[string]time.Duration // of an engine's word about its state
	cleanup    []func()
	revision   int64 // of the accepted document
	policy     routing.Policy
	place      func(next http.Handler, w http.ResponseWriter, r *http.Request) // stands between placers and agents
	keepers    map[string]*generation.Tracker
	metrics    map[string]*metrics.Set // of gateways
	signers    map[string]*ticket.Signer
	change     func(*gateway.Config)   // of gateways started from now on; may be nil
	maxRunning int                     // runs at once of agents started from now on
	gauges     map[string]*metrics.Set // of agents, by endpoint
	work       time.Duration           // of plain services
	answerKeep time.Duration           // of agents

	net  *network                                          // connections that take time and can be held; nil: plain ones
	wrap func(addr string, next http.Handler) http.Handler // around every server; nil: none
}

// run runs a session in a bubble and stops every process at its end.
func run(t *testing.T, session func(b *bubble)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		signer, err := ticket.NewSigner(oldKey)
		if err != nil {
			t.Fatal(err)
		}
		b := &bubble{
			t: t, policy: routing.Default(), maxRunning: 64, hosts: make(map[string]*pipe.Listener), conns: make(map[string][]net.Conn), cut: make(map[string]bool), signer: signer,
			engines: make(map[string]*standengine.Server), services: make(map[string]*standservice.Server), delay: make(map[string]time.Duration),
			gauges: make(map[string]*metrics.Set), work: 5 * time.Millisecond, answerKeep: 2 * time.Minute,
			agents: make(map[string]*agent.Agent), gateways: make(map[string]*gateway.Gateway), servers: make(map[string]*http.Server),
			frozen: make(map[string]chan struct{}), dead: make(map[string]bool),
			parted: make(map[route]bool), joined: make(map[route][]net.Conn),
			keepers: make(map[string]*generation.Tracker), metrics: make(map[string]*metrics.Set), signers: make(map[string]*ticket.Signer),
			doc: &rudderv1.Document{
				Generation: 1, PlanId: "plan-1",
				Models: []*rudderv1.Model{{Name: model, Version: "1", MaxTokens: 1_100_000, Replicas: map[string]uint32{dataCentre: 100}}},
				Workspaces: []*rudderv1.Workspace{{
					Name: "bid-desk", KeyDigests: []string{digestOf(bearer)}, Weight: 1, Models: []string{model}, Services: []string{"bid-api"},
				}},
			},
		}
		b.platform = standplatform.NewServer(standplatform.Config{})
		b.serve(platformAddr, b.platform.Handler())
		defer b.close()
		session(b)
	})
}

func (b *bubble) close() {
	for _, f := range b.cleanup {
		f()
	}
	for _, g := range b.gateways {
		g.Close()
	}
	for _, a := range b.agents {
		a.Close()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	for _, e := range b.engines {
		e.Close()
	}
	time.Sleep(time.Hour) // lets every timer of the bubble end
}

// dial connects to a process by its address.
func (b *bubble) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	addr = strings.TrimSuffix(addr, ":80")
	b.mu.Lock()
	l, ok := b.hosts[addr]
	ok = ok && !b.cut[addr]
	b.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("connection refused")}
	}
	near, err := l.Dial(ctx)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	c := &conn{Conn: near, b: b, to: addr, closed: make(chan struct{})}
	b.mu.Lock()
	b.conns[addr] = append(b.conns[addr], c)
	b.mu.Unlock()
	return c, nil
}

// httpClient returns a client that reaches every process of the bubble.
func (b *bubble) httpClient() *http.Client { return b.httpClientFrom("") }

// httpClientFrom returns the HTTP client of one process.
func (b *bubble) httpClientFrom(from string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: b.dialFrom(from), DisableCompression: true, IdleConnTimeout: time.Minute}}
}

func (b *bubble) serve(addr string, h http.Handler) {
	b.serveOn(addr, &http.Server{Handler: h, IdleTimeout: time.Minute})
}

func (b *bubble) serveOn(addr string, srv *http.Server) {
	l := pipe.Listen()
	if b.wrap != nil {
		srv.Handler = b.wrap(addr, srv.Handler)
	}
	b.mu.Lock()
	b.hosts[addr], b.servers[addr] = l, srv
	b.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
}

// kill ends the process at an address as a crash would: connections break and
// new ones are refused.
func (b *bubble) kill(addr string) {
	b.mu.Lock()
	srv, conns := b.servers[addr], b.conns[addr]
	delete(b.hosts, addr)
	b.conns[addr] = nil
	b.mu.Unlock()
	_ = srv.Close()
	for _, c := range conns {
		_ = c.Close()
	}
}

// engine adds a model engine with its agent; the name of both is given.
func (b *bubble) engine(name string, change func(*standengine.Config)) {
	cfg := standengine.Default()
	cfg.Name, cfg.Models = name, []string{model + "@1"}
	if change != nil {
		change(&cfg)
	}
	e := standengine.NewServer(cfg)
	b.engines[name] = e
	b.serve(engineAddr(name), b.logged(name, e.Handler()))
	b.declare(name, "", cfg.MemoryTokens)
	b.agent(name, "", cfg.MemoryTokens)
}

// service adds a plain service with its agent.
func (b *bubble) service(name, serviceName string) {
	s := standservice.NewServer(standservice.Config{Name: name, Work: b.work})
	b.services[name] = s
	b.serve(engineAddr(name), s.Handler())
	b.declare(name, serviceName, 0)
	b.agent(name, serviceName, 0)
}

func (b *bubble) declare(name, serviceName string, memory uint64) {
	b.doc.Endpoints = append(b.doc.Endpoints, &rudderv1.Endpoint{
		Name: name, Host: "host-" + name, DataCentre: dataCentre, AgentAddress: agentAddr(name), Service: serviceName, MemoryTokens: memory,
	})
}

// agent starts the agent beside an endpoint; it can be called again after a kill.
func (b *bubble) agent(name, serviceName string, memory uint64) *agent.Agent {
	b.keepers[name] = generation.NewTracker()
	deps := agent.Deps{
		Client: b.innerClientFrom(name), Signer: b.signerOf(name), Queue: admission.New(admission.Config{}), Tracker: b.keepers[name], Log: quiet(),
		Metrics: metrics.NewSet(),
	}
	b.gauges[name] = deps.Metrics
	if serviceName == "" {
		deps.Engine = &slowState{engine.NewClient(engine.Options{BaseURL: "http://" + engineAddr(name), HTTPClient: b.httpClientFrom(name), Name: name}), b, name}
	} else {
		deps.Service = service.NewClient(service.Options{BaseURL: "http://" + engineAddr(name), HTTPClient: b.httpClientFrom(name)})
	}
	a := agent.New(agent.Config{
		Endpoint: name, Host: "host-" + name, DataCentre: dataCentre, Service: serviceName, MemoryTokens: memory, MaxRunning: b.maxRunning,
		ReattachWindow: 10 * time.Second, AnswerKeep: b.answerKeep, BufferBytes: 64 << 20, MaxRecords: 1000,
		ReportInterval: 50 * time.Millisecond, Heartbeat: 5 * time.Second,
	}, deps)
	b.agents[name] = a
	m := http.NewServeMux()
	path, h := a.Handler()
	m.Handle(path, b.onPlace(h))
	srv, err := inner.NewServer(m, inner.KeyFiles{})
	if err != nil {
		b.t.Fatal(err)
	}
	b.serveOn(agentAddr(name), srv)
	a.Start()
	return a
}

// signerOf returns the signer of one process, with keys of its own.
func (b *bubble) signerOf(name string) *ticket.Signer {
	if b.signers[name] == nil {
		s, err := ticket.NewSigner(oldKey)
		if err != nil {
			b.t.Fatal(err)
		}
		b.signers[name] = s
	}
	return b.signers[name]
}

// innerClient returns a client for the inner protocol that nothing cuts off.
func (b *bubble) innerClient() *inner.Client { return b.innerClientFrom("") }

// innerClientFrom returns a process's client for the inner protocol.
func (b *bubble) innerClientFrom(name string) *inner.Client {
	client, err := inner.NewClient(inner.KeyFiles{}, b.dialFrom(name))
	if err != nil {
		b.t.Fatal(err)
	}
	return client
}

// gateway starts a gateway; peers are names of other gateways.
func (b *bubble) gateway(name string, peers ...string) *gateway.Gateway {
	client := b.innerClientFrom(name)
	set := metrics.NewSet()
	b.keepers[name], b.metrics[name] = generation.NewTracker(), set
	store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClientFrom(name), Timeout: time.Second, Metrics: set})
	if err != nil {
		b.t.Fatal(err)
	}
	cfg := gateway.Config{
		Name: name, DataCentre: dataCentre, MaxBody: 16 << 20, BodyTime: 10 * time.Second, WriteTime: 10 * time.Second,
		DefaultDeadline: 30 * time.Second, MaxDeadline: time.Hour, TicketLife: 10 * time.Minute, DefaultTokens: 64,
		FirstTokenGoal: 360 * time.Millisecond,
	}
	for _, p := range peers {
		cfg.Peers = append(cfg.Peers, innerAddr(p))
	}
	if b.change != nil {
		b.change(&cfg)
	}
	g := gateway.New(cfg, gateway.Deps{
		Store: store, Hosts: store, Client: client, Signer: b.signerOf(name), Tracker: b.keepers[name], Policy: b.policy, Log: quiet(), Metrics: set,
	})
	b.gateways[name] = g
	face, err := g.Handler()
	if err != nil {
		b.t.Fatal(err)
	}
	b.serve(name, face)
	m := http.NewServeMux()
	m.Handle(g.InnerHandler())
	srv, err := inner.NewServer(m, inner.KeyFiles{})
	if err != nil {
		b.t.Fatal(err)
	}
	b.serveOn(innerAddr(name), srv)
	g.Start()
	return g
}

// publish accepts the document at the platform and waits until all is quiet.
func (b *bubble) publish() {
	b.t.Helper()
	b.accept()
	time.Sleep(time.Second)
	synctest.Wait()
}

// accept writes the document to the platform.
func (b *bubble) accept() {
	b.t.Helper()
	store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClient(), Timeout: time.Second})
	if err != nil {
		b.t.Fatal(err)
	}
	value, err := generation.Encode(b.doc)
	if err != nil {
		b.t.Fatal(err)
	}
	e, err := store.CompareAndSwap(b.t.Context(), metastore.KeyDocument, b.revision, value, 0)
	if err != nil {
		b.t.Fatal(err)
	}
	b.revision = e.Revision
}

func engineAddr(name string) string { return "engine-" + name + ":8000" }
func agentAddr(name string) string  { return "agent-" + name + ":7100" }
func innerAddr(name string) string  { return "inner-" + name + ":7000" }

func quiet() *log.Logger { return log.New(io.Discard) }

func cloneDocument(d *rudderv1.Document) *rudderv1.Document {
	return proto.Clone(d).(*rudderv1.Document)
}

// stopAgent stops an agent as SIGTERM does.
func (b *bubble) stopAgent(name string, drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	defer b.kill(agentAddr(name))
	return b.agents[name].Stop(ctx, b.server(agentAddr(name)))
}

// stopGateway stops a gateway as SIGTERM does.
func (b *bubble) stopGateway(name string, drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	defer b.kill(name)
	defer b.kill(innerAddr(name))
	return b.gateways[name].Stop(ctx, b.server(name), b.server(innerAddr(name)))
}

func (b *bubble) server(addr string) *http.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers[addr]
}
