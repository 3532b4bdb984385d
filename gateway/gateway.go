// Package gateway is the process on the entry hosts. It terminates callers'
// HTTP, finds the workspace by its key, chooses an endpoint, orders the run
// from that endpoint's agent and keeps the answer whole until the caller has
// it. It keeps nothing that another gateway would need: what must be found
// again is found at the agent through the ticket, or in the platform's service.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/ticket"
)

// Config is what a gateway is told by its settings.
type Config struct {
	Name       string
	DataCentre string
	Peers      []string // inner addresses of other gateways

	MaxBody         int64         // bytes of one request body
	BodyTime        time.Duration // time for a body to arrive
	WriteTime       time.Duration // time for a caller to take one part of its answer
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	TicketLife      time.Duration
	DefaultTokens   uint64 // answer tokens when the caller names none
	FirstTokenGoal  time.Duration
	LeaveTime       time.Duration // from not ready to refusing: the balancer's time to notice
}

// Deps are the parts a gateway works with.
type Deps struct {
	Store   metastore.Store      // nil: no platform, for tests of the callers' face
	Hosts   metastore.HostLister // nil: no list of hosts
	Client  *inner.Client
	Signer  *ticket.Signer
	Keeper  *generation.Tracker
	Policy  routing.Policy
	Log     *log.Logger
	Metrics *metrics.Set
}

// Gateway serves callers and rudder.v1.GatewayService.
type Gateway struct {
	cfg  Config
	deps Deps

	links    *links
	members  *members
	placer   *placer
	explain  *explainer
	auth     *authority
	meter    *meter
	limits   *limiter
	lanes    lanes
	forming  chan struct{} // a token per group that is being formed
	platform platformHealth
	leases   *claimLeases
	peers    *peers

	started  time.Time
	ctx      context.Context
	stop     context.CancelFunc
	loops    sync.WaitGroup
	leaving  atomic.Bool // not ready, but still serving
	draining atomic.Bool // refusing
	inFlight sync.WaitGroup
	active   atomic.Int64
}

// New returns a gateway; Start begins its background work.
func New(cfg Config, deps Deps) *Gateway {
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{cfg: cfg, deps: deps, started: time.Now(), ctx: ctx, stop: stop, leases: newClaimLeases(), forming: make(chan struct{}, maxForming)}
	g.meter = newMeter(deps.Metrics, g)
	g.explain = newExplainer()
	g.auth = new(authority)
	g.members = newMembers()
	g.links = newLinks(g)
	g.gaugeMembers()
	g.placer = newPlacer(g)
	g.limits = newLimiter(g)
	g.peers = newPeers(g)
	g.platform.contact, _ = deps.Store.(metastore.Contact)
	return g
}

// Start begins to follow the configuration and the agents. It returns at once.
func (g *Gateway) Start() {
	if g.deps.Store != nil {
		g.loops.Go(g.followPlatform)
	}
	if g.deps.Hosts != nil {
		g.loops.Go(g.followHosts)
	}
	g.peers.start()
	g.loops.Go(g.links.loop)
	if g.deps.Store != nil {
		g.loops.Go(g.placer.loop)
	}
	g.loops.Go(g.laneLoop)
	g.loops.Go(g.limits.loop)
}

// Ready reports whether the gateway has a configuration, has asked its peers
// for a newer one, is not leaving and is not cut off from everybody.
func (g *Gateway) Ready() bool {
	return g.deps.Keeper.Generation() > 0 && g.peers.asked.Load() && !g.leaving.Load() && !g.members.cutOff()
}

// Close ends the background work and waits for it.
func (g *Gateway) Close() {
	g.stop()
	g.loops.Wait()
	g.deps.Client.CloseIdleConnections()
}

// enter counts a request in; it reports false when the gateway is leaving.
func (g *Gateway) enter() bool {
	g.inFlight.Add(1)
	if g.draining.Load() {
		g.inFlight.Done()
		return false
	}
	g.active.Add(1)
	return true
}

func (g *Gateway) leave() {
	g.active.Add(-1)
	g.inFlight.Done()
}

var _ http.Handler = (*mux)(nil)
