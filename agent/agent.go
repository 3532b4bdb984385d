// Package agent is the process beside each endpoint and the single authority
// over it: it admits and queues work, keeps the record of every run of its
// incarnation, buffers answers so that any gateway can read them again, and
// gives the endpoint its orders. The decisions are made by packages admission
// and lifecycle; this package holds the goroutines, timers and sockets.
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

// Config is what an agent is told by its settings.
type Config struct {
	Endpoint   string
	Host       string
	DataCentre string
	Service    string // name of the plain service beside it; empty beside a model engine

	MemoryTokens   uint64        // cache memory of the endpoint, in tokens
	MaxRunning     int           // runs at the endpoint at once
	ReattachWindow time.Duration // how long a repeatable run goes on without a reader
	AnswerKeep     time.Duration // how long a finished answer can be read again
	BufferBytes    int64         // bytes of all buffered answers together
	MaxRecords     int           // run records kept at once; as many tombstones again
	ReportInterval time.Duration // shortest time between two reports
	Heartbeat      time.Duration // longest time between two reports
}

// Deps are the parts an agent works with. Exactly one of Engine and Service is set.
type Deps struct {
	Engine  engine.Engine
	Service service.Service
	Signer  *ticket.Signer
	Queue   admission.Queue
	Keeper  *generation.Tracker
	Client  *inner.Client // reaches other agents; nil: no spans can be imported and no records handed over
	Log     *log.Logger
	Metrics *metrics.Set
}

// Agent serves rudder.v1.AgentService for one endpoint.
type Agent struct {
	cfg  Config
	deps Deps

	incarnation string
	started     time.Time

	mu       sync.Mutex
	restsTo  time.Time           // the engine wants no new work before
	state    rudderv1.AgentState // of the endpoint; current adds leaving
	leave    departure
	records  *records
	queue    admission.Queue
	waiting  map[string]*run // admitted, by run key
	running  int
	used     uint64         // tokens of running runs
	desk     *desk          // memory reservations
	sweeping chan struct{}  // a token while the endpoint's held memory is compared with the leases
	models   []engine.Model // as the endpoint last said
	stated   time.Time      // when it was asked for that; what it said earlier does not count
	cache    *affinity.Set  // blocks that the endpoint is believed to hold
	role     string
	book     *orders.Tracker
	blocking map[*run]struct{} // runs that the order in progress waits for
	withdraw time.Time         // when new runs are refused what it takes away
	version  uint64            // counts changes worth reporting
	changed  chan struct{}     // closed at each change worth reporting

	inherited     map[string]*inheritance // records of stopped incarnations, by incarnation
	successor     string                  // address of the agent that took this one's records
	subscriptions map[*subscription]struct{}
	readers       int // streams of answers to gateways

	wake      chan struct{}
	orderWake chan struct{}
	stop      context.CancelFunc
	ctx       context.Context
	workers   sync.WaitGroup
	meter     *meter

	cut         chan struct{} // closed when a drain ends
	subscribers subscribers
}

// New returns an agent with a fresh incarnation. Start begins its work.
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
		desk:        newDesk(cfg.MemoryTokens),
		changed:     make(chan struct{}),
		cut:         make(chan struct{}),
		inherited:   make(map[string]*inheritance),
		cache:       affinity.New(cfg.MemoryTokens),
		sweeping:    make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
		orderWake:   make(chan struct{}, 1),
		book:        orders.NewTracker(),
		ctx:         ctx,
		stop:        stop,
		meter:       newMeter(deps.Metrics),

		subscriptions: make(map[*subscription]struct{}),
	}
	a.meter.watch(a)
	return a
}

// Incarnation names this life of the agent; tickets are bound to it.
func (a *Agent) Incarnation() string { return a.incarnation }

// Start begins to serve: it learns what the endpoint holds and starts the
// loops. It returns at once.
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
	return a.current() == rudderv1.AgentState_AGENT_STATE_SERVING
}

// Close ends all work and waits for the loops.
func (a *Agent) Close() {
	a.stop()
	a.workers.Wait()
}

// clockMS is the agent's clock: milliseconds since this incarnation began.
func (a *Agent) clockMS() int64 { return time.Since(a.started).Milliseconds() }

// setState changes the state; the caller holds mu.
func (a *Agent) setState(s rudderv1.AgentState) {
	if a.state == s {
		return
	}
	a.state = s
	a.notify()
}

// notify marks a change worth reporting; the caller holds mu.
func (a *Agent) notify() {
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// poke wakes the dispatch loop.
func (a *Agent) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
