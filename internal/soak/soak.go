// Package soak runs real gateways as separate processes on loopback, injects
// faults from outside them, in series and overlapping, and checks from what
// clients and back ends saw that the promises held. A seed decides clients,
// faults and their times; the machine's scheduling is not repeated with it.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/micarudder/micarudder/internal/procs"
	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// Config is one run.
type Config struct {
	Seed     uint64
	Binary   string // rudder-relay, or the program in suspendable, which the fault of that name needs
	Dir      string // for settings and logs
	Network  byte   // second number of the loopback addresses 127.N.x.y
	Gateways int
	Workers  int // of each of the two services
	Clients  int
	Length   time.Duration // of the faults
	Engines  int           // workers with memory; 0: no long prompts are sent
	Restores bool          // whether the store comes back from an older copy once
}

// Report is what a run showed.
type Report struct {
	Asked, Answered, Refused, Broken int
	Crashes                          int      // of workers, under the request that ends them
	Limited                          int      // workers that named a limit for long enough to be judged
	Rests                            int      // asks for rest that were judged
	Left                             int      // workers whose leave some gateway passed on
	Prompts, Used                    int      // long ones, and how often they used memory set aside
	Faults                           []string // in the order of their times
	Violations                       []string
}

const (
	frontPort = 20801
	readyPort = 20802
	peerPort  = 20803
	adminPort = 20804
	drainTime = 4 * time.Second
	// effectTime is how long an unplanned fault may still show after its end:
	// a request's time, and the kernel's probes of silent connections.
	effectTime = 2 * time.Second
	startTime  = 20 * time.Second
)

// run is a running soak.
type run struct {
	c      Config
	store  *usersplatform.Store
	ledger *usersplatform.Ledger
	group  *procs.Group
	proxy  *proxy // before the store
	server *http.Server

	mu      sync.Mutex
	version uint64
	keys    []string
	facts   facts
	all     []asked
	ready   []string
	workers []*pooled
	born    int
	engines []*pooled
	memory  *usersplatform.Memory // of the engines
	// bornEngines counts the engines that were started.
	bornEngines int
	faults      []string

	suspended map[int]time.Duration // by gateway: how long its host was suspended in all
}

// pooled is a worker that is announced behind its proxy.
type pooled struct {
	worker *usersplatform.Worker
	proxy  *proxy
}

// Play runs one seed. The error is a failure of the soak itself.
func Play(ctx context.Context, c Config) (*Report, error) {
	r, err := begin(ctx, c)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.play(ctx)
	r.end()
	return r.report(), nil
}

// begin starts the platform's stand-ins and the gateways, and waits until these are ready. The caller closes the run.
func begin(ctx context.Context, c Config) (*run, error) {
	r := &run{c: c, store: usersplatform.NewStore(), ledger: usersplatform.NewLedger(), memory: usersplatform.NewMemory(), group: procs.NewGroup(c.Dir), suspended: make(map[int]time.Duration)}
	r.facts = facts{ledger: r.ledger, revoked: make(map[string]time.Time), owners: make(map[string]string), troubled: make(map[string][]span), harmed: make(map[string][]span)}
	if err := r.open(); err != nil {
		return nil, err
	}
	for i := range c.Gateways {
		if _, err := r.group.Start(r.spec(i)); err != nil {
			r.close()
			return nil, err
		}
	}
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := r.group.WaitReady(starting); err != nil {
		r.end()
		r.close()
		return nil, err
	}
	return r, nil
}

// end kills the gateways; what a stop does is checked while clients ask.
func (r *run) end() {
	for _, p := range r.group.All() {
		if err := p.Kill(); err != nil {
			r.faults = append(r.faults, "not killed at the end: "+err.Error())
		}
	}
}

// open starts the platform's stand-ins.
func (r *run) open() error {
	l, err := net.Listen("tcp", r.host(250)+":0")
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r.store}
	go func() { _ = r.server.Serve(l) }()
	if r.proxy, err = newProxy(r.host(251), l.Addr().String()); err != nil {
		return err
	}
	for i := range 6 {
		key := fmt.Sprintf("key-%d", i)
		r.keys = append(r.keys, key)
		r.facts.owners[key] = fmt.Sprintf("workspace-%d", i%3)
	}
	r.configure()
	for range r.c.Workers {
		for _, kind := range []string{"plain", "stream"} {
			if err := r.bear(kind); err != nil {
				return err
			}
		}
	}
	for range r.c.Engines {
		if err := r.bearEngine(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) close() {
	_ = r.server.Close()
	r.proxy.close()
	for _, w := range append(r.workers, r.engines...) {
		w.worker.Crash()
		w.proxy.close()
	}
}

func (r *run) host(n int) string { return fmt.Sprintf("127.%d.0.%d", r.c.Network, n+1) }

func (r *run) front(gateway int) string {
	return netip.AddrPortFrom(netip.MustParseAddr(r.host(gateway)), frontPort).String()
}

// spec describes a gateway's process.
func (r *run) spec(i int) procs.Spec {
	host := r.host(i)
	ini := fmt.Sprintf(`[relay]
name = gateway-%d
data_centre = a
listen = %s:%d
ready_listen = %s:%d
peer_listen = %s:%d
seeds = %s:1
[store]
address = %s
[bounds]
revoke_after = %s
retry_slack = 1000
unused_memory = %s
[process]
admin_listen = %s:%d
drain_time = %s
`, i, host, frontPort, host, readyPort, host, peerPort, r.host(0), r.proxy.address(), revokeAfter, unusedAllowed, host, adminPort, drainTime)
	return procs.Spec{
		Name: fmt.Sprintf("gateway-%d", i), Binary: r.c.Binary, Args: []string{"--config", procs.DirVar + "/relay.ini"},
		Env:   []string{"SUSPENDED_FILE=" + r.suspendedFile(i)},
		Files: map[string]string{"relay.ini": ini}, Ready: fmt.Sprintf("http://%s:%d/ready", host, readyPort),
	}
}

// configure writes a new version of the configuration, with the keys in force.
func (r *run) configure() {
	r.version += 1 + r.version%3
	route := func(name, kind, service string, resumable bool) usersplatform.Route {
		return usersplatform.Route{Name: name, Kind: kind, Service: service, Resumable: resumable,
			Timeout: requestTime, Objective: objective, Attempts: maxAttempts}
	}
	workspaces := make(map[string][]string)
	for _, key := range r.keys {
		owner := r.facts.owners[key]
		workspaces[owner] = append(workspaces[owner], key)
	}
	c := usersplatform.Configuration{
		Version: r.version, Host: soakHost, Services: []string{"plain", "stream"}, Workspaces: workspaces,
		Routes: []usersplatform.Route{route("safe", "safe", "plain", false), route("once", "unsafe", "plain", false),
			route("stream", "streaming", "stream", true), route("story", "streaming", "stream", false)},
	}
	if r.c.Engines > 0 {
		long := route("long", "streaming", engineService, true)
		long.Timeout, long.Objective = promptTime, promptObjective
		c.Engines, c.Routes = engineService, append(c.Routes, long)
	}
	r.store.Configure(c)
}

const (
	// soakHost is the host that the clients ask for.
	soakHost = "soak.example"
	// objective is the latency objective of the routes; nothing is judged by it.
	objective = 500 * time.Millisecond
	// promptObjective is that of long prompts, a third of which they wait for workers at most.
	promptObjective = 3 * time.Second
)

// bear starts a worker behind a proxy and announces it.
func (r *run) bear(kind string) error {
	r.born++
	id := fmt.Sprintf("i-%d", r.born)
	w, err := usersplatform.NewWorker(id, kind, kind, r.host(100)+":0", r.ledger, r.c.Seed+uint64(r.born))
	if err != nil {
		return err
	}
	p, err := newProxy(r.host(101), w.Address())
	if err != nil {
		return err
	}
	one := &pooled{w, p}
	w.CrashOn(crashBody, func() { r.crashed(one) })
	r.workers = append(r.workers, one)
	r.store.Announce(w, p.address(), usersplatform.Ready)
	return nil
}

// play lets clients and faults run.
func (r *run) play(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { r.balance(ctx) })
	for i := range r.c.Clients {
		c := &client{run: r, number: i, random: rand.New(rand.NewPCG(r.c.Seed, uint64(i))), http: make(map[string]*http.Transport)}
		tasks.Go(func() { c.loop(ctx) })
	}
	tasks.Go(func() { r.crashWorkers(ctx) })
	if r.c.Engines > 0 {
		for i := range promptClients {
			tasks.Go(func() { r.prompts(ctx, i) })
		}
		tasks.Go(func() { r.inject(ctx, engineFaults, 0xe9fa) })
	}
	tasks.Go(func() { r.inject(ctx, limitFaults, 0x11417) })
	tasks.Go(func() { r.inject(ctx, saidFaults, 0x5a1d) })
	if r.c.Restores {
		tasks.Go(func() { r.restoreStore(ctx) })
	}
	r.inject(ctx, faults, 0xfa017)
	time.Sleep(effectTime)
	stop()
	tasks.Wait()
}

// balanceEvery is how often the balancer asks whether gateways are ready.
const balanceEvery = 250 * time.Millisecond

// balance keeps the list of ready gateways as the platform's balancer does. All are asked at once:
// one after the other, 200 gateways of which some are busy were not asked once in a whole run, and no
// client found any.
func (r *run) balance(ctx context.Context) {
	probe := &http.Client{Timeout: balanceEvery}
	for ctx.Err() == nil {
		answers := make([]bool, r.c.Gateways)
		var asking sync.WaitGroup
		for i := range answers {
			asking.Go(func() { answers[i] = isReady(probe, r.spec(i).Ready) })
		}
		asking.Wait()
		var ready []string
		for i, ok := range answers {
			if ok {
				ready = append(ready, r.front(i))
			}
		}
		r.mu.Lock()
		r.ready = ready
		r.mu.Unlock()
		time.Sleep(balanceEvery)
	}
}

// isReady reports whether a gateway says that it is.
func isReady(probe *http.Client, url string) bool {
	res, err := probe.Get(url)
	if err != nil {
		return false // it may just have been killed
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (r *run) pickGateway(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ready) == 0 {
		return ""
	}
	return r.ready[random.IntN(len(r.ready))]
}

// pickKey returns a key, now and then one that was withdrawn.
func (r *run) pickKey(random *rand.Rand) string {
	return fmt.Sprintf("key-%d", random.IntN(6))
}

func (r *run) record(a asked) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, a)
}

func (r *run) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Asked: len(r.all), Crashes: len(r.facts.crashes), Faults: r.faults, Violations: violations(r.all, &r.facts), Used: r.memory.Used()}
	out.Violations = append(out.Violations, checkMemory(r.memory)...)
	out.Violations = append(out.Violations, checkLimits(r.all, &r.facts)...)
	out.Violations = append(out.Violations, checkLeaving(r.all, &r.facts)...)
	out.Violations = append(out.Violations, checkRests(r.all, &r.facts)...)
	out.Rests = len(restUses(r.all, &r.facts))
	out.Left = len(toldLeaves(r.all, &r.facts))
	out.Limited = len(limitUses(r.all, &r.facts))
	for _, a := range r.all {
		if a.kind == "long" {
			out.Prompts++
		}
		switch {
		case a.broken != nil:
			out.Broken++
		case a.status/100 == 2:
			out.Answered++
		default:
			out.Refused++
		}
	}
	return out
}

// KeepLogs copies the gateways' logs beside what a failed seed showed.
func KeepLogs(dir, to string) error {
	return filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Base(path) != "log" {
			return err
		}
		p, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, filepath.Base(filepath.Dir(path))+".log"), p, 0o600)
	})
}
