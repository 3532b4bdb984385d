// Package soak runs real gateways as separate processes on loopback addresses, injects external
// faults, one after another and overlapping, and checks from what clients and back ends observed
// that the guarantees held. The seed determines the clients, the faults and their times; the
// scheduling of the machine is not reproduced with it.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/micarudder/micarudder/internal/procs"
	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// Config describes one run.
type Config struct {
	Seed         uint64
	Binary       string // rudder-relay, or the program in suspendable, which the host suspension fault needs
	Dir          string // for settings and logs
	Network      byte   // second number of the loopback addresses 127.N.x.y
	Gateways     int
	Workers      int // of each of the two services
	Clients      int
	Length       time.Duration // how long faults are injected
	Engines      int           // workers with memory; 0: no long prompts are sent
	RestoreStore bool          // whether the store is restored from an older snapshot once
	// ForwardMessages enables the forwarding of peer messages, which needs more than three gateways
	// in each of the two data centres.
	ForwardMessages bool
	// CrashPart makes all requests with one part of their prompts end workers, instead of all copies of one
	// request, and makes most new connections go to one gateway for a while.
	CrashPart bool
	// Progress replaces all other faults by streams that stall and callers that stop reading, and
	// enables the settings against both.
	Progress bool
	// Flood replaces all other faults by workers that send without end and clients that upload large bodies in
	// chunks, and checks the memory of the gateways.
	Flood bool
	// HostileCallers replaces all other faults by callers that keep HostileConns connections to each gateway busy
	// in this form, and checks the memory of the gateways and the requests of sound callers; empty: there are none.
	// HostileServicePorts makes them connect to the ports that are not for callers.
	HostileCallers      HostileForm
	HostileConns        int
	HostileServicePorts bool
}

// replacesFaults reports whether the run has none of the usual faults.
func (c *Config) replacesFaults() bool { return c.Progress || c.Flood || c.HostileCallers != "" }

// Report is the outcome of a run.
type Report struct {
	Requests, Succeeded, Refused, Interrupted int
	Crashes                                   int      // of workers, caused by the crashing request
	LimitedWorkers                            int      // workers that advertised a limit for long enough to be checked
	Backoffs                                  int      // backoff requests that were checked
	DrainedWorkers                            int      // workers whose drain notice was forwarded by some gateway
	DuringEvacuations                         int      // requests that reached workers elsewhere while an evacuation had to be in force
	LongPrompts, MemoryUses                   int      // long prompts, and how often they used reserved memory
	Stalls, Endless                           int      // streams that stalled, and endless ones whose callers did not read
	Floods                                    int      // requests that got a response without end
	Unread                                    int      // requests whose connection was refused or did not come about beside hostile callers
	MostMemory                                int64    // of any gateway, in bytes; 0: not measured
	Faults                                    []string // in the order of their times
	Violations                                []string

	requests []request
	ledger   *usersplatform.Ledger
}

const (
	servicePort = 20801
	readyPort   = 20802
	peerPort    = 20803
	adminPort   = 20804
	drainTime   = 4 * time.Second
	// recoveryTime is how long a fault that is not graceful may still have effects after its end:
	// the timeout of a request and the kernel's probes of silent connections.
	recoveryTime = 2 * time.Second
	startTime    = 20 * time.Second
)

// run is a soak in progress.
type run struct {
	c           Config
	store       *usersplatform.Store
	ledger      *usersplatform.Ledger
	group       *procs.Group
	storeProxy  *proxy // in front of the store
	storeServer *http.Server

	mu             sync.Mutex
	version        uint64
	keys           []string
	facts          facts
	requests       []request
	readyGateways  []string
	workers        []*proxiedWorker
	workersStarted int
	engines        []*proxiedWorker
	memory         *usersplatform.Memory // of the engines
	// enginesStarted counts the engines that were started.
	enginesStarted int
	faults         []string

	preferred bool // whether most new connections go to the first gateway that is ready

	suspended map[int]time.Duration // by gateway: total time for which its host was suspended
}

// proxiedWorker is a worker that is announced at the address of its proxy.
type proxiedWorker struct {
	worker *usersplatform.Worker
	proxy  *proxy
}

// Run runs one seed. An error is a failure of the soak itself, not of the gateways.
func Run(ctx context.Context, c Config) (*Report, error) {
	r, err := startRun(ctx, c)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.runWorkload(ctx)
	r.killGateways()
	return r.report(), nil
}

// startRun starts the simulated platform and the gateways, and waits until the gateways are ready.
// The caller closes the run.
func startRun(ctx context.Context, c Config) (*run, error) {
	r := &run{c: c, store: usersplatform.NewStore(), ledger: usersplatform.NewLedger(), memory: usersplatform.NewMemory(), group: procs.NewGroup(c.Dir), suspended: make(map[int]time.Duration)}
	r.facts = facts{crashLimit: c.crashLimit(), ledger: r.ledger, revoked: make(map[string]time.Time), owners: make(map[string]string), disrupted: make(map[string][]interval), lossy: make(map[string][]interval), held: make(map[string][]interval), dataCentres: make(map[string]string), memory: make(map[string]int64), ended: make(map[string]bool)}
	if err := r.startPlatform(); err != nil {
		return nil, err
	}
	for i := range c.Gateways {
		if _, err := r.group.Start(r.gatewaySpec(i)); err != nil {
			r.close()
			return nil, err
		}
	}
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := r.group.WaitReady(starting); err != nil {
		r.killGateways()
		r.close()
		return nil, err
	}
	return r, nil
}

// killGateways kills the gateways. Graceful stops are checked earlier, while clients send requests.
func (r *run) killGateways() {
	for _, p := range r.group.All() {
		if err := p.Kill(); err != nil {
			r.faults = append(r.faults, "gateway not killed at the end of the run: "+err.Error())
		}
	}
}

// startPlatform starts the simulated platform.
func (r *run) startPlatform() error {
	l, err := net.Listen("tcp", r.host(250)+":0")
	if err != nil {
		return err
	}
	r.storeServer = &http.Server{Handler: r.store}
	go func() { _ = r.storeServer.Serve(l) }()
	if r.storeProxy, err = newProxy(r.host(251), l.Addr().String()); err != nil {
		return err
	}
	for i := range 6 {
		key := fmt.Sprintf("key-%d", i)
		r.keys = append(r.keys, key)
		r.facts.owners[key] = fmt.Sprintf("workspace-%d", i%3)
	}
	r.store.RecordSettledEra() // the gateways' settings do not call it the first start
	r.configure()
	for range r.c.Workers {
		for _, kind := range []string{"plain", "stream"} {
			if err := r.startWorker(kind); err != nil {
				return err
			}
		}
	}
	for range r.c.Engines {
		if err := r.startEngine(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) close() {
	_ = r.storeServer.Close()
	r.storeProxy.close()
	for _, w := range append(r.workers, r.engines...) {
		w.worker.Crash()
		w.proxy.close()
	}
}

func (r *run) host(n int) string { return fmt.Sprintf("127.%d.0.%d", r.c.Network, n+1) }

func (r *run) serviceAddress(gateway int) string {
	return netip.AddrPortFrom(netip.MustParseAddr(r.host(gateway)), servicePort).String()
}

// gatewaySpec describes the process of a gateway.
func (r *run) gatewaySpec(i int) procs.Spec {
	host := r.host(i)
	ini := fmt.Sprintf(`[relay]
name = gateway-%d
data_centre = %s
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
[load]
forward_messages = %t
[process]
admin_listen = %s:%d
drain_time = %s
`, i, dataCentreOf(i), host, servicePort, host, readyPort, host, peerPort, r.host(0), r.storeProxy.address(), revokeAfter, maxUnusedTime, r.c.ForwardMessages, host, adminPort, drainTime)
	if r.c.Progress {
		ini += progressSettings
	}
	if r.c.Flood {
		ini += floodSettings
	}
	if r.c.HostileCallers != "" {
		ini += callerHostSettings
	}
	return procs.Spec{
		Name: fmt.Sprintf("gateway-%d", i), Binary: r.c.Binary, Args: []string{"--config", procs.DirVar + "/relay.ini"},
		Env:   []string{"SUSPENDED_FILE=" + r.suspendedFile(i)},
		Files: map[string]string{"relay.ini": ini}, Ready: fmt.Sprintf("http://%s:%d/ready", host, readyPort),
	}
}

// configure writes a new version of the configuration with the keys that are still valid.
func (r *run) configure() {
	r.version += 1 + r.version%3
	route := func(name, kind, service string, resumable bool) usersplatform.Route {
		return usersplatform.Route{Name: name, Kind: kind, Service: service, Resumable: resumable,
			Timeout: requestTimeout, Objective: objective, Attempts: maxAttempts}
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
	if r.c.Progress {
		c.Routes[2].Gap, c.Routes[3].Gap = progressGap, progressGap
	}
	if r.c.Engines > 0 {
		long := route("long", "streaming", engineService, true)
		long.Timeout, long.Objective = promptTimeout, promptObjective
		c.EngineService, c.Routes = engineService, append(c.Routes, long)
	}
	r.store.Configure(c)
}

const (
	// soakHost is the host that the clients request.
	soakHost = "soak.example"
	// objective is the latency objective of the routes; no check depends on it.
	objective = 500 * time.Millisecond
	// promptObjective is the latency objective of the long-prompt route; requests wait for workers
	// for at most a third of it.
	promptObjective = 3 * time.Second
)

// startWorker starts a worker behind a proxy and announces it.
func (r *run) startWorker(kind string) error {
	r.workersStarted++
	id := fmt.Sprintf("i-%d", r.workersStarted)
	dataCentre := dataCentreOf(r.workersStarted / 2) // both services have workers in both
	r.facts.dataCentres[id] = dataCentre
	w, err := usersplatform.NewWorker(id, kind, kind, dataCentre, r.host(100)+":0", r.ledger, r.c.Seed+uint64(r.workersStarted))
	if err != nil {
		return err
	}
	p, err := newProxy(r.host(101), w.Address())
	if err != nil {
		return err
	}
	started := &proxiedWorker{w, p}
	w.CrashOn(r.crashTrigger(), func() { r.replaceCrashed(started) })
	r.workers = append(r.workers, started)
	r.store.Announce(w, p.address(), usersplatform.Ready)
	return nil
}

// runWorkload runs the clients and the faults.
func (r *run) runWorkload(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { r.pollReadiness(ctx) })
	for i := range r.c.Clients {
		c := &client{run: r, number: i, random: rand.New(rand.NewPCG(r.c.Seed, uint64(i))), transports: make(map[string]*http.Transport)}
		tasks.Go(func() { c.loop(ctx) })
	}
	if r.c.replacesFaults() {
		r.injectOnly(ctx, &tasks)
		time.Sleep(recoveryTime)
		stop()
		tasks.Wait()
		return
	}
	tasks.Go(func() { r.sendCrashRequests(ctx) })
	if r.c.CrashPart {
		tasks.Go(func() { r.preferGateways(ctx) })
	}
	if r.c.Engines > 0 {
		for i := range promptClients {
			tasks.Go(func() { r.sendLongPrompts(ctx, i) })
		}
		tasks.Go(func() { r.inject(ctx, engineFaults, 0xe9fa) })
	}
	tasks.Go(func() { r.inject(ctx, limitFaults, 0x11417) })
	tasks.Go(func() { r.inject(ctx, statementFaults, 0x5a1d) })
	tasks.Go(func() { r.evacuate(ctx) })
	if r.c.RestoreStore {
		tasks.Go(func() { r.restoreStore(ctx) })
	}
	r.inject(ctx, faults, 0xfa017)
	time.Sleep(recoveryTime)
	stop()
	tasks.Wait()
}

// injectOnly injects the faults of runs that have no others.
func (r *run) injectOnly(ctx context.Context, tasks *sync.WaitGroup) {
	if r.c.Progress {
		tasks.Go(func() { r.stopReading(ctx) })
		r.inject(ctx, progressFaults, 0x57a11)
		return
	}
	tasks.Go(func() { r.measureMemory(ctx) })
	if r.c.HostileCallers != "" {
		r.runHostileCallers(ctx, tasks)
		time.Sleep(r.c.Length)
		return
	}
	for i := range uploadClients {
		tasks.Go(func() { r.upload(ctx, i) })
	}
	r.inject(ctx, floodFaults, 0xf100d)
}

// readinessInterval is how often the balancer checks whether gateways are ready.
const readinessInterval = 250 * time.Millisecond

// pollReadiness maintains the list of ready gateways as the platform's balancer does. It probes all
// gateways concurrently: probed one after the other, 200 gateways of which some are busy were not
// all probed once in a whole run, and no client found a ready one.
func (r *run) pollReadiness(ctx context.Context) {
	probe := &http.Client{Timeout: readinessInterval}
	for ctx.Err() == nil {
		readiness := make([]bool, r.c.Gateways)
		var probes sync.WaitGroup
		for i := range readiness {
			probes.Go(func() { readiness[i] = isReady(probe, r.gatewaySpec(i).Ready) })
		}
		probes.Wait()
		var ready []string
		for i, ok := range readiness {
			if ok {
				ready = append(ready, r.serviceAddress(i))
			}
		}
		r.mu.Lock()
		r.readyGateways = ready
		r.mu.Unlock()
		time.Sleep(readinessInterval)
	}
}

// isReady reports whether a gateway reports that it is ready.
func isReady(probe *http.Client, url string) bool {
	res, err := probe.Get(url)
	if err != nil {
		return false // it may just have been killed
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (r *run) pickReadyGateway(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.readyGateways) == 0 {
		return ""
	}
	if r.preferred && random.IntN(10) < preferredTenths {
		return r.readyGateways[0] // the next one, once this one is not ready
	}
	return r.readyGateways[random.IntN(len(r.readyGateways))]
}

// pickKey returns a random key, which may have been withdrawn.
func (r *run) pickKey(random *rand.Rand) string {
	return fmt.Sprintf("key-%d", random.IntN(6))
}

func (r *run) record(a request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, a)
}

func (r *run) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{requests: slices.Clone(r.requests), ledger: r.ledger, Requests: len(r.requests), Crashes: len(r.facts.crashes), Faults: r.faults, Violations: violations(r.requests, &r.facts), MemoryUses: r.memory.Uses()}
	out.Violations = append(out.Violations, checkHarmless(r.requests, &r.facts)...)
	out.Violations = append(out.Violations, checkPreferred(r.requests, &r.facts)...)
	out.Violations = append(out.Violations, checkMemory(r.memory)...)
	out.Violations = append(out.Violations, checkLimits(r.requests, &r.facts)...)
	out.Violations = append(out.Violations, checkDraining(r.requests, &r.facts)...)
	out.Violations = append(out.Violations, checkBackoffs(r.requests, &r.facts)...)
	if r.c.Flood {
		out.Violations = append(out.Violations, checkFlood(r.requests, &r.facts)...)
	}
	if r.c.HostileCallers != "" {
		violations, unread := checkHostile(r.c.HostileCallers, r.requests, &r.facts)
		out.Violations, out.Unread = append(out.Violations, violations...), unread
	}
	out.Floods = r.ledger.Floods()
	for _, used := range r.facts.memory {
		out.MostMemory = max(out.MostMemory, used)
	}
	progress := checkProgress(r.requests, &r.facts)
	out.Violations = append(out.Violations, progress.violations...)
	out.Stalls, out.Endless = progress.stalls, progress.endless
	evacuations := checkEvacuations(r.requests, &r.facts)
	out.Violations = append(out.Violations, evacuations.violations...)
	out.DuringEvacuations = evacuations.elsewhere
	out.Backoffs = len(backoffUses(r.requests, &r.facts))
	out.DrainedWorkers = len(drainNotices(r.requests, &r.facts))
	out.LimitedWorkers = len(limitUses(r.requests, &r.facts))
	for _, a := range r.requests {
		if a.kind == "long" {
			out.LongPrompts++
		}
		switch {
		case a.err != nil:
			out.Interrupted++
		case a.status/100 == 2:
			out.Succeeded++
		default:
			out.Refused++
		}
	}
	return out
}
