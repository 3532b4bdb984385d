package bench

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/agent"
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/gateway"
	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/internal/fleet"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/pipe"
	standplatform "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/load"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/ticket"
)

var (
	allPolicies = flag.Bool("policies", false, "compare all policies at full size and write the table")
	commitName  = flag.String("commit", "unknown", "commit that is measured, for the table")
	tableFile   = flag.String("table", "", "file for the table of -policies")
)

const platformAddress = "10.0.0.1:2379"

// bubble is the benchmark's fleet in one process inside a synctest bubble, under
// virtual time.
type bubble struct {
	t       *testing.T
	mu      sync.Mutex
	hosts   map[string]*pipe.Listener
	servers []*http.Server
	close   []func()
	signer  *ticket.Signer
	doc     *rudderv1.Document
}

func (b *bubble) dial(ctx context.Context, network, address string) (net.Conn, error) {
	b.mu.Lock()
	l, ok := b.hosts[address]
	b.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("connection refused")}
	}
	return l.Dial(ctx)
}

func (b *bubble) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: b.dial, DisableCompression: true, IdleConnTimeout: time.Minute, MaxIdleConnsPerHost: 256,
	}}
}

func (b *bubble) serve(address string, srv *http.Server) {
	l := pipe.Listen()
	b.mu.Lock()
	b.hosts[address] = l
	b.servers = append(b.servers, srv)
	b.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
}

func (b *bubble) servePlain(address string, h http.Handler) {
	b.serve(address, &http.Server{Handler: h, IdleTimeout: time.Minute})
}

func (b *bubble) serveInner(address, path string, h http.Handler) {
	m := http.NewServeMux()
	m.Handle(path, h)
	srv, err := inner.NewServer(m, inner.KeyFiles{})
	b.must(err)
	b.serve(address, srv)
}

func (b *bubble) must(err error) {
	if err != nil {
		b.t.Error(err)
		panic(err)
	}
}

func (b *bubble) startEndpoint(i, memory int) string {
	name, address := fleet.EngineName(i), fleet.EngineName(i)+":8000"
	cfg := standengine.Default()
	cfg.Name, cfg.Models, cfg.MemoryTokens, cfg.MaxRunning, cfg.Speed = name, []string{"rudder-llm@1"}, uint64(memory), maxRunning, engineSpeed
	e := standengine.NewServer(cfg)
	b.servePlain(address, e.Handler())
	client, err := inner.NewClient(inner.KeyFiles{}, b.dial)
	b.must(err)
	a := agent.New(agent.Config{
		Endpoint: name, Host: name, DataCentre: dataCentre, MemoryTokens: uint64(memory), MaxRunning: maxRunning,
		ReattachWindow: 10 * time.Second, AnswerKeep: 2 * time.Minute, BufferBytes: 64 << 20, MaxRecords: 20_000,
		ReportInterval: 250 * time.Millisecond, Heartbeat: 5 * time.Second,
	}, agent.Deps{
		Client: client, Signer: b.signer, Queue: admission.New(admission.Config{}), Tracker: generation.NewTracker(), Log: log.New(io.Discard),
		Engine: engine.NewClient(engine.Options{BaseURL: "http://" + address, HTTPClient: b.client(), Name: name}),
	})
	path, h := a.Handler()
	b.serveInner(fleet.AgentName(i)+":7100", path, h)
	a.Start()
	b.close = append(b.close, a.Close, e.Close)
	b.doc.Endpoints = append(b.doc.Endpoints, &rudderv1.Endpoint{
		Name: name, Host: name, DataCentre: dataCentre, AgentAddress: fleet.AgentName(i) + ":7100", MemoryTokens: uint64(memory),
	})
	return "http://" + address
}

func (b *bubble) startGateway(i int, policy routing.Policy) string {
	name := fleet.GatewayName(i)
	client, err := inner.NewClient(inner.KeyFiles{}, b.dial)
	b.must(err)
	store := b.store()
	g := gateway.New(gateway.Config{
		Name: name, DataCentre: dataCentre, MaxBody: 16 << 20, BodyTime: 30 * time.Second, WriteTime: 30 * time.Second,
		DefaultDeadline: 5 * time.Minute, MaxDeadline: time.Hour, TicketLife: 15 * time.Minute, DefaultTokens: 256, FirstTokenGoal: time.Second,
	}, gateway.Deps{Store: store, Hosts: store, Client: client, Signer: b.signer, Tracker: generation.NewTracker(), Policy: policy, Log: log.New(io.Discard)})
	callerHandler, err := g.Handler()
	b.must(err)
	b.servePlain(name+":80", callerHandler)
	path, h := g.InnerHandler()
	b.serveInner(name+":7000", path, h)
	g.Start()
	b.close = append(b.close, g.Close)
	return "http://" + name
}

func (b *bubble) store() *metastore.Client {
	c, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddress}, HTTPClient: b.client(), Timeout: time.Second})
	b.must(err)
	return c
}

var policies = map[string]func() routing.Policy{
	PolicyDefault: routing.Default, PolicyRoundRobin: routing.RoundRobin, PolicyLeastLoad: routing.LeastLoad, PolicyNoLanes: routing.NoLanes,
}

// virtualCell runs one load experiment with n engines under virtual time.
func virtualCell(t *testing.T, mix *load.Mix, n int, c Cell, alone bool) Cell {
	signer, err := ticket.NewSigner(ticket.Key{ID: 1, Secret: []byte("0123456789abcdef")})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		b := &bubble{t: t, hosts: make(map[string]*pipe.Listener), signer: signer}
		defer b.stop()
		b.doc = Options{Mix: mix}.fleet("", "").Document()
		b.doc.Endpoints = nil
		b.servePlain(platformAddress, standplatform.NewServer(standplatform.Config{}).Handler())
		e := load.Experiment{MixName: "bench", Alone: alone}
		for i := range n {
			e.Engines = append(e.Engines, b.startEndpoint(i, memoryTokens))
		}
		value, err := generation.Encode(b.doc)
		b.must(err)
		_, err = b.store().CompareAndSwap(t.Context(), metastore.KeyDocument, 0, value, 0)
		b.must(err)
		for i := range gateways {
			e.Gateways = append(e.Gateways, b.startGateway(i, policies[c.Policy]()))
		}
		time.Sleep(3 * time.Second)
		e.Mix, e.Seed, e.Load, e.Name, e.Transport = mix, c.Seed, c.Load, "bench", b.client().Transport
		c.Report, err = load.Run(t.Context(), e)
		b.must(err)
	})
	return c
}

func (b *bubble) stop() {
	for i := len(b.close) - 1; i >= 0; i-- {
		b.close[i]()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	time.Sleep(time.Hour) // lets all timers of the bubble expire
}

// TestVirtual runs the benchmark's mix through real gateway and agent code under
// virtual time and checks that every answer is complete and no breach is found.
// With -policies it compares all policies at full size and writes the table.
func TestVirtual(t *testing.T) {
	mix, err := DefaultMix()
	if err != nil {
		t.Fatal(err)
	}
	if *allPolicies {
		compareVirtual(t, mix)
		return
	}
	is := is.New(t)
	mix.Run.Duration, mix.Run.Warmup = 4*time.Second, time.Second
	c := virtualCell(t, mix, 4, Cell{Policy: PolicyDefault, Seed: 1, Load: 0.1}, true)
	is.Equal(c.Report.Summary.Finals[load.Whole], c.Report.Summary.Requests)
	is.Equal(c.Report.Summary.Breaches, map[load.Breach]int{})
	is.True(c.Report.Summary.Joined)
}

func compareVirtual(t *testing.T, mix *load.Mix) {
	var mu sync.Mutex
	res := new(Result)
	cell := func(t *testing.T, mix *load.Mix, c Cell, into *[]Cell) {
		t.Run(fmt.Sprintf("%s at %g seed %d", c.Policy, c.Load, c.Seed), func(t *testing.T) {
			t.Parallel()
			c = virtualCell(t, mix, engines, c, into == &res.Compared)
			mu.Lock()
			defer mu.Unlock()
			t.Log(summaryLine(c.Report))
			*into = append(*into, c)
		})
	}
	t.Run("cells", func(t *testing.T) {
		for seed := uint64(1); seed <= 3; seed++ {
			for _, p := range Policies {
				cell(t, mix, Cell{Policy: p, Seed: seed, Load: compareLoad}, &res.Compared)
			}
			for _, at := range Sweep {
				cell(t, Options{Mix: mix}.forSweep().Mix, Cell{Policy: PolicyDefault, Seed: seed, Load: at}, &res.Overload)
			}
		}
	})
	slices.SortFunc(res.Overload, func(a, b Cell) int { return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Seed, b.Seed)) })
	var out bytes.Buffer
	if err := WriteTable(&out, res, *commitName+", virtual time"); err != nil {
		t.Fatal(err)
	}
	t.Log(out.String())
	if *tableFile != "" {
		if err := os.WriteFile(*tableFile, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
