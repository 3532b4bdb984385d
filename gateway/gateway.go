// Package gateway implements the process on the entry hosts. It terminates
// callers' HTTP, finds the workspace by its key, selects an endpoint, orders
// the run from that endpoint's agent and makes sure that the caller gets the
// complete response. It has no state that another gateway would need: whatever
// must be found again is found at the agent through the ticket, or in the
// platform's service.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/daemon/keepalive"
	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/ticket"
)

// Config configures a gateway.
type Config struct {
	Name       string
	DataCentre string
	Peers      []string // inner addresses of the other gateways

	MaxBody         int64         // maximum size of a request body in bytes
	BodyMemory      int64         // maximum size of all request bodies in memory; 0: no bound
	MaxConns        int           // most connections of callers; 0: no limit
	BodyTime        time.Duration // time limit for receiving a body
	WriteTime       time.Duration // time limit for a caller to read one part of its response
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	TicketLife      time.Duration
	DefaultTokens   uint64 // maximum response tokens of a request that names no limit
	FirstTokenGoal  time.Duration
	LeaveTime       time.Duration // from not ready to refusing requests: the load balancer's time to notice
}

// Deps are the dependencies of a gateway.
type Deps struct {
	Store   metastore.Store      // nil: no platform, for tests of the callers' API
	Hosts   metastore.HostLister // nil: no list of hosts
	Client  *inner.Client
	Signer  *ticket.Signer
	Tracker *generation.Tracker
	Policy  routing.Policy
	Log     *log.Logger
	Metrics *metrics.Set
}

// Gateway serves callers and rudder.v1.GatewayService.
type Gateway struct {
	cfg  Config
	deps Deps

	links        *links
	members      *members
	placer       *placer
	explain      *explainer
	auth         *authenticator
	meter        *meter
	limits       *limiter
	bodies       *heldmemory.Bodies
	lanes        lanes
	formingSlots chan struct{} // one token per group that is being formed
	platform     platformHealth
	leases       *claimLeases
	peers        *peers

	started    time.Time
	ctx        context.Context
	stop       context.CancelFunc
	background sync.WaitGroup
	drain      *drain.Drain
	active     atomic.Int64 // requests in flight
	callers    *keepalive.Conns
}

// New returns a gateway without background work; Start begins that.
func New(cfg Config, deps Deps) *Gateway {
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{cfg: cfg, deps: deps, started: time.Now(), ctx: ctx, stop: stop, leases: newClaimLeases(), formingSlots: make(chan struct{}, maxForming), drain: drain.New(nil)}
	g.bodies = heldmemory.NewBodies(cfg.BodyMemory)
	g.callers = keepalive.New(keepalive.Options{RetryAfter: defaultRetryAfter, Memory: g.bodies, MaxConns: cfg.MaxConns})
	g.meter = newMeter(deps.Metrics, g)
	g.explain = newExplainer()
	g.auth = new(authenticator)
	g.members = newMembers()
	g.links = newLinks(g)
	g.registerMemberGauges()
	g.placer = newPlacer(g)
	g.limits = newLimiter(g)
	g.peers = newPeers(g)
	g.platform.contact, _ = deps.Store.(metastore.ContactReporter)
	return g
}

// Start starts the background work, which follows the configuration and the
// agents. It does not block.
func (g *Gateway) Start() {
	if g.deps.Store != nil {
		g.background.Go(g.followPlatform)
	}
	if g.deps.Hosts != nil {
		g.background.Go(g.followHosts)
	}
	g.peers.start()
	g.background.Go(g.links.loop)
	if g.deps.Store != nil {
		g.background.Go(g.placer.loop)
	}
	g.background.Go(g.laneLoop)
	g.background.Go(g.limits.loop)
}

// Ready reports whether the gateway has a configuration, has queried its peers
// for a newer one, is not shutting down and is not cut off from all others.
func (g *Gateway) Ready() bool {
	return g.deps.Tracker.Generation() > 0 && g.peers.allQueried.Load() && !g.drain.Begun() && !g.members.cutOff()
}

// Close stops the background work and waits for it to end.
func (g *Gateway) Close() {
	g.stop()
	g.background.Wait()
	g.deps.Client.CloseIdleConnections()
}

// beginRequest counts a request as in flight. It returns false if the gateway
// refuses new requests.
func (g *Gateway) beginRequest() bool {
	g.active.Add(1)
	if g.drain.Phase() >= drain.Refusing {
		g.active.Add(-1)
		return false
	}
	return true
}

func (g *Gateway) endRequest() { g.active.Add(-1) }

var _ http.Handler = (*callerHandler)(nil)
