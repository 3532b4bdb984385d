// Package agent implements the process that runs beside each endpoint and is its only
// controller: it admits and queues work, keeps a record of every run of its incarnation,
// buffers responses so that any gateway can read them again, and sends orders to the endpoint.
// Packages admission and lifecycle make the decisions; this package contains the goroutines,
// timers and sockets.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"github.com/micarudder/micarudder/admission"
	"github.com/micarudder/micarudder/affinity"
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/orders"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/service"
	"github.com/micarudder/micarudder/ticket"
)

// Config contains the configuration of an agent.
type Config struct {
	Endpoint   string
	Host       string
	DataCentre string
	Service    string // name of the plain service; empty for a model engine

	MemoryTokens   uint64        // cache memory of the endpoint, in tokens
	MaxRunning     int           // maximum number of concurrent runs at the endpoint
	ReattachWindow time.Duration // how long a repeatable run continues without a reader
	AnswerKeep     time.Duration // how long a finished response stays readable
	BufferBytes    int64         // maximum size of all buffered responses together
	MaxRecords     int           // maximum number of run records, and of tombstones
	ReportInterval time.Duration // minimum time between two reports
	Heartbeat      time.Duration // maximum time between two reports
}

// Deps contains the dependencies of an agent. Exactly one of Engine and Service is set.
type Deps struct {
	Engine  engine.Engine
	Service service.Service
	Signer  *ticket.Signer
	Queue   admission.Queue
	Tracker *generation.Tracker
	Client  *inner.Client // connects to other agents; if nil, spans cannot be imported and records cannot be handed over
	Log     *log.Logger
	Metrics *metrics.Set
}

// Agent serves rudder.v1.AgentService for one endpoint.
type Agent struct {
	cfg  Config
	deps Deps

	incarnation string
	started     time.Time

	mu                  sync.Mutex
	backoffUntil        time.Time           // the engine accepts no new work before this time
	state               rudderv1.AgentState // state of the endpoint; effectiveState adds draining
	draining            drainState
	records             *records
	queue               admission.Queue
	waiting             map[string]*run // admitted and not started, by run key
	running             int
	usedTokens          uint64         // tokens of the running runs
	mem                 *memoryState   // reservations of the endpoint's memory
	sweeping            chan struct{}  // semaphore of one sweep
	models              []engine.Model // as last reported by the endpoint
	modelsAsOf          time.Time      // when the query for models was sent; older responses are ignored
	cache               *affinity.Set  // blocks that the endpoint is assumed to hold
	role                string
	orders              *orders.Tracker
	blocking            map[*run]struct{} // runs that the order in progress waits for
	refuseUnloadingFrom time.Time         // from then on new runs of what the order unloads are refused
	version             uint64            // number of changes to report
	changed             chan struct{}     // closed at each change to report

	inherited     map[string]*inheritedRecords // records of stopped agents, by incarnation
	successor     string                       // address of the agent that took over the records of this one
	subscriptions map[*subscription]struct{}
	readers       int // number of response streams to gateways

	wake      chan struct{}
	orderWake chan struct{}
	stop      context.CancelFunc
	ctx       context.Context
	workers   sync.WaitGroup
	meter     *meter

	drainEnded  chan struct{} // closed after the drain, to break the streams that are left
	subscribers subscribers
}

// New returns an agent with a new incarnation. Call Start to begin serving.
func New(cfg Config, deps Deps) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{
		cfg:         cfg,
		deps:        deps,
		incarnation: uuid.NewString(),
		started:     time.Now(),
		state:       rudderv1.AgentState_AGENT_STATE_STARTING,
		records:     newRecords(cfg.MaxRecords, cfg.BufferBytes),
		queue:       deps.Queue,
		waiting:     make(map[string]*run),
		mem:         newMemoryState(cfg.MemoryTokens),
		changed:     make(chan struct{}),
		drainEnded:  make(chan struct{}),
		inherited:   make(map[string]*inheritedRecords),
		cache:       affinity.New(cfg.MemoryTokens),
		sweeping:    make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
		orderWake:   make(chan struct{}, 1),
		orders:      orders.NewTracker(),
		ctx:         ctx,
		stop:        stop,
		meter:       newMeter(deps.Metrics),

		subscriptions: make(map[*subscription]struct{}),
	}
	a.meter.registerGauges(a)
	return a
}

// Incarnation returns the ID of this incarnation of the agent; tickets are bound to it.
func (a *Agent) Incarnation() string { return a.incarnation }

// Start starts the background loops, which first query what the endpoint holds. It does not
// block.
func (a *Agent) Start() {
	a.workers.Go(a.dispatchLoop)
	a.workers.Go(a.watchEndpoint)
	if a.deps.Engine != nil {
		a.workers.Go(a.followCache)
		a.workers.Go(a.memoryLoop)
		a.workers.Go(a.orderLoop)
	}
	a.workers.Go(a.watchDocument)
}

// Ready reports whether the agent accepts work.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.effectiveState() == rudderv1.AgentState_AGENT_STATE_SERVING
}

// Close ends all work and waits until the background loops have returned.
func (a *Agent) Close() {
	a.stop()
	a.workers.Wait()
}

// clockMS returns the agent's clock: milliseconds since the start of this incarnation.
func (a *Agent) clockMS() int64 { return time.Since(a.started).Milliseconds() }

// setState sets the state of the endpoint; the caller holds mu.
func (a *Agent) setState(s rudderv1.AgentState) {
	if a.state == s {
		return
	}
	a.state = s
	a.notify()
}

// notify records a change to report and wakes all who wait for one; the caller holds mu.
func (a *Agent) notify() {
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// wakeDispatch wakes the dispatch loop.
func (a *Agent) wakeDispatch() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
