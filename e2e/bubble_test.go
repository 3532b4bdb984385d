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

// cluster is one installation inside a synctest bubble. Its processes reach
// each other by address, as in a real installation.
type cluster struct {
	t           *testing.T
	mu          sync.Mutex
	listeners   map[string]*pipe.Listener
	conns       map[string][]net.Conn
	unreachable map[string]bool // addresses that refuse connections
	partitioned map[route]bool  // routes on which no connection can be made
	routeConns  map[route][]net.Conn
	frozen      map[string]chan struct{} // by process name or address; closed when the process is thawed
	crashed     map[string]bool          // names of crashed processes, whose connections are refused
	signer      *ticket.Signer
	doc         *rudderv1.Document

	platform         *standplatform.Server
	engines          map[string]*standengine.Server
	services         map[string]*standservice.Server
	agents           map[string]*agent.Agent
	gateways         map[string]*gateway.Gateway
	servers          map[string]*http.Server // by address
	orderLog         []recordedOrder
	stateDelay       map[string]time.Duration // added before an agent receives its engine's state, by name
	cleanup          []func()
	documentRevision int64 // of the accepted document at the platform
	policy           routing.Policy
	placeHook        func(next http.Handler, w http.ResponseWriter, r *http.Request) // intercepts placement requests to agents; may be nil
	trackers         map[string]*generation.Tracker
	gatewayMetrics   map[string]*metrics.Set // of gateways
	signers          map[string]*ticket.Signer
	configureGateway func(*gateway.Config)   // applied to gateways started from now on; may be nil
	maxRunning       int                     // concurrent runs of agents started from now on
	agentMetrics     map[string]*metrics.Set // of agents, by endpoint
	serviceTime      time.Duration           // time that a plain service takes for a call
	answerKeep       time.Duration           // how long agents keep finished answers

	network     *network                                          // adds latency and can hold connections back; nil: direct connections
	wrapHandler func(addr string, next http.Handler) http.Handler // wraps the handler of every server; may be nil
}

// runSession runs a session in a synctest bubble and stops every process at its
// end.
func runSession(t *testing.T, session func(b *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		signer, err := ticket.NewSigner(oldKey)
		if err != nil {
			t.Fatal(err)
		}
		b := &cluster{
			t: t, policy: routing.Default(), maxRunning: 64, listeners: make(map[string]*pipe.Listener), conns: make(map[string][]net.Conn), unreachable: make(map[string]bool), signer: signer,
			engines: make(map[string]*standengine.Server), services: make(map[string]*standservice.Server), stateDelay: make(map[string]time.Duration),
			agentMetrics: make(map[string]*metrics.Set), serviceTime: 5 * time.Millisecond, answerKeep: 2 * time.Minute,
			agents: make(map[string]*agent.Agent), gateways: make(map[string]*gateway.Gateway), servers: make(map[string]*http.Server),
			frozen: make(map[string]chan struct{}), crashed: make(map[string]bool),
			partitioned: make(map[route]bool), routeConns: make(map[route][]net.Conn),
			trackers: make(map[string]*generation.Tracker), gatewayMetrics: make(map[string]*metrics.Set), signers: make(map[string]*ticket.Signer),
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

func (b *cluster) close() {
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
	time.Sleep(time.Hour) // lets every timer in the bubble expire
}

// dial connects to a process by its address.
func (b *cluster) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	addr = strings.TrimSuffix(addr, ":80")
	b.mu.Lock()
	l, ok := b.listeners[addr]
	ok = ok && !b.unreachable[addr]
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

// httpClient returns a client that reaches every process of the cluster.
func (b *cluster) httpClient() *http.Client { return b.httpClientFrom("") }

// httpClientFrom returns the HTTP client of one process, subject to that
// process's partitions and crashes.
func (b *cluster) httpClientFrom(from string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: b.dialFrom(from), DisableCompression: true, IdleConnTimeout: time.Minute}}
}

func (b *cluster) serve(addr string, h http.Handler) {
	b.serveServer(addr, &http.Server{Handler: h, IdleTimeout: time.Minute}, (*http.Server).Serve)
}

func (b *cluster) serveServer(addr string, srv *http.Server, serve func(*http.Server, net.Listener) error) {
	l := pipe.Listen()
	if b.wrapHandler != nil {
		srv.Handler = b.wrapHandler(addr, srv.Handler)
	}
	b.mu.Lock()
	b.listeners[addr], b.servers[addr] = l, srv
	b.mu.Unlock()
	go func() { _ = serve(srv, l) }()
}

// kill ends the process at an address as a crash does: its connections break
// and new ones are refused.
func (b *cluster) kill(addr string) {
	b.mu.Lock()
	srv, conns := b.servers[addr], b.conns[addr]
	delete(b.listeners, addr)
	b.conns[addr] = nil
	b.mu.Unlock()
	_ = srv.Close()
	for _, c := range conns {
		_ = c.Close()
	}
}

// engine adds a model engine and its agent, both under the given name.
func (b *cluster) engine(name string, change func(*standengine.Config)) {
	cfg := standengine.Default()
	cfg.Name, cfg.Models = name, []string{model + "@1"}
	if change != nil {
		change(&cfg)
	}
	e := standengine.NewServer(cfg)
	b.engines[name] = e
	b.serve(engineAddr(name), b.recordOrders(name, e.Handler()))
	b.declareEndpoint(name, "", cfg.MemoryTokens)
	b.agent(name, "", cfg.MemoryTokens)
}

// service adds a plain service and its agent.
func (b *cluster) service(name, serviceName string) {
	s := standservice.NewServer(standservice.Config{Name: name, Work: b.serviceTime})
	b.services[name] = s
	b.serve(engineAddr(name), s.Handler())
	b.declareEndpoint(name, serviceName, 0)
	b.agent(name, serviceName, 0)
}

func (b *cluster) declareEndpoint(name, serviceName string, memory uint64) {
	b.doc.Endpoints = append(b.doc.Endpoints, &rudderv1.Endpoint{
		Name: name, Host: "host-" + name, DataCentre: dataCentre, AgentAddress: agentAddr(name), Service: serviceName, MemoryTokens: memory,
	})
}

// agent starts the agent of an endpoint; it can be called again after a kill.
func (b *cluster) agent(name, serviceName string, memory uint64) *agent.Agent {
	b.trackers[name] = generation.NewTracker()
	deps := agent.Deps{
		Client: b.innerClientFrom(name), Signer: b.signerOf(name), Queue: admission.New(admission.Config{}), Tracker: b.trackers[name], Log: discardLogger(),
		Metrics: metrics.NewSet(),
	}
	b.agentMetrics[name] = deps.Metrics
	if serviceName == "" {
		deps.Engine = &delayedState{engine.NewClient(engine.Options{BaseURL: "http://" + engineAddr(name), HTTPClient: b.httpClientFrom(name), Name: name}), b, name}
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
	m.Handle(path, b.interceptPlace(h))
	srv, err := inner.NewServer(m, inner.KeyFiles{})
	if err != nil {
		b.t.Fatal(err)
	}
	b.serveServer(agentAddr(name), srv, (*http.Server).Serve)
	a.Start()
	return a
}

// signerOf returns the ticket signer of one process; each process has its own,
// so that keys can be rotated process by process.
func (b *cluster) signerOf(name string) *ticket.Signer {
	if b.signers[name] == nil {
		s, err := ticket.NewSigner(oldKey)
		if err != nil {
			b.t.Fatal(err)
		}
		b.signers[name] = s
	}
	return b.signers[name]
}

// innerClient returns a client for the inner protocol that no partition or
// crash affects.
func (b *cluster) innerClient() *inner.Client { return b.innerClientFrom("") }

// innerClientFrom returns the client of one process for the inner protocol.
func (b *cluster) innerClientFrom(name string) *inner.Client {
	client, err := inner.NewClient(inner.KeyFiles{}, b.dialFrom(name))
	if err != nil {
		b.t.Fatal(err)
	}
	return client
}

// gateway starts a gateway; peers are the names of other gateways.
func (b *cluster) gateway(name string, peers ...string) *gateway.Gateway {
	client := b.innerClientFrom(name)
	set := metrics.NewSet()
	b.trackers[name], b.gatewayMetrics[name] = generation.NewTracker(), set
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
	if b.configureGateway != nil {
		b.configureGateway(&cfg)
	}
	g := gateway.New(cfg, gateway.Deps{
		Store: store, Hosts: store, Client: client, Signer: b.signerOf(name), Tracker: b.trackers[name], Policy: b.policy, Log: discardLogger(), Metrics: set,
	})
	b.gateways[name] = g
	handler, err := g.Handler()
	if err != nil {
		b.t.Fatal(err)
	}
	b.serveServer(name, &http.Server{Handler: handler, IdleTimeout: time.Minute}, g.ServeCallers)
	m := http.NewServeMux()
	m.Handle(g.InnerHandler())
	srv, err := inner.NewServer(m, inner.KeyFiles{})
	if err != nil {
		b.t.Fatal(err)
	}
	b.serveServer(innerAddr(name), srv, (*http.Server).Serve)
	g.Start()
	return g
}

// publish writes the document to the platform and waits until the cluster is
// idle.
func (b *cluster) publish() {
	b.t.Helper()
	b.writeDocument()
	time.Sleep(time.Second)
	synctest.Wait()
}

// writeDocument writes the document to the platform as the accepted one.
func (b *cluster) writeDocument() {
	b.t.Helper()
	store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClient(), Timeout: time.Second})
	if err != nil {
		b.t.Fatal(err)
	}
	value, err := generation.Encode(b.doc)
	if err != nil {
		b.t.Fatal(err)
	}
	e, err := store.CompareAndSwap(b.t.Context(), metastore.KeyDocument, b.documentRevision, value, 0)
	if err != nil {
		b.t.Fatal(err)
	}
	b.documentRevision = e.Revision
}

func engineAddr(name string) string { return "engine-" + name + ":8000" }
func agentAddr(name string) string  { return "agent-" + name + ":7100" }
func innerAddr(name string) string  { return "inner-" + name + ":7000" }

func discardLogger() *log.Logger { return log.New(io.Discard) }

func cloneDocument(d *rudderv1.Document) *rudderv1.Document {
	return proto.Clone(d).(*rudderv1.Document)
}

// stopAgent stops an agent as SIGTERM does.
func (b *cluster) stopAgent(name string, drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	defer b.kill(agentAddr(name))
	return b.agents[name].Stop(ctx, b.server(agentAddr(name)))
}

// stopGateway stops a gateway as SIGTERM does.
func (b *cluster) stopGateway(name string, drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	defer b.kill(name)
	defer b.kill(innerAddr(name))
	return b.gateways[name].Stop(ctx, b.server(name), b.server(innerAddr(name)))
}

func (b *cluster) server(addr string) *http.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers[addr]
}
