package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/crashprobe"
	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/heldmemory/report"
	"github.com/micarudder/micarudder/internal/sleep"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/limitstate"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/pushlistener"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/residual"
	"github.com/micarudder/micarudder/stall/monitor"
	"github.com/micarudder/micarudder/suspension"
	"github.com/micarudder/micarudder/upstream"
)

// Config holds the gateway's own settings.
type Config struct {
	Name       string
	DataCentre string
	// RevokeAfter is how long after a key was revoked the last request with it may be sent. A
	// gateway without a proof of its configuration that is newer than this refuses requests with
	// keys. Zero: no proof is needed.
	RevokeAfter time.Duration
	Retries     limits.RetryWindowConfig
	// UnusedMemory is the longest that memory may stay reserved at an endpoint without use.
	UnusedMemory time.Duration
	// DrainTime is the time from the stop signal to the end of the process.
	DrainTime time.Duration
	Policy    balance.Policy
	// Seeds are the peer addresses of some gateways, which a starting gateway contacts first.
	Seeds []netip.AddrPort
	// FirstStart is set when the whole installation starts for the first time.
	FirstStart bool
	// BodyMemory bounds the total size of all request bodies in memory; zero: no bound.
	BodyMemory int64
	// ResidualLoad is set if requests of gateway processes that are gone count as load.
	ResidualLoad bool
	// StallResume cuts streams that make no progress and resumes them at another endpoint.
	StallResume bool
	// SlowReaderTimeout is the time after which a caller that reads nothing is disconnected; zero: only
	// the request's deadline applies.
	SlowReaderTimeout time.Duration
	// HeldMemory bounds the memory of all requests that are served at once, without their bodies;
	// zero: no bound.
	HeldMemory int64
	// MaxConns is the most connections of callers; zero: no limit.
	MaxConns int
}

// Deps holds the dependencies of a gateway.
type Deps struct {
	Protocol  Protocol
	Source    Source
	Endpoints *upstream.Client
	// Responses counts what responses hold; nil: they are not bounded together.
	Responses *heldmemory.Responses
	Mesh      *peers.Mesh
	PeerPort  int // TCP port on which other gateways answer
	// Overload decides which new connections are refused; nil: a new one, which learns nothing of the link.
	Overload *pushlistener.Overload
	Log      *eventlog.Log
	Metrics  *metrics.Set
	// Suspended returns how long the host was suspended in total. The monotonic clock, which
	// time.Now uses, does not count that time. Nil: the host is never suspended.
	Suspended func() time.Duration
}

// Gateway relays requests.
type Gateway struct {
	config Config
	deps   Deps
	state  *State
	picker *picker
	meter  *meter

	started        time.Time
	ctx            context.Context
	cancel         context.CancelFunc
	background     sync.WaitGroup
	inFlight       atomic.Int64
	bodies         *heldmemory.Bodies
	memoryReport   *report.Report
	drain          *drain.Drain
	peerClient     *peers.Client
	storeReads     *storeReads
	callers        *callerServer
	crashProbes    *crashprobe.Probes[quarantine.Incarnation, brokenExchange]
	deliveries     *monitor.Deliveries
	held           *heldmemory.Ledger
	quarantine     *quarantineTable
	suspensions    *suspension.Detector
	endpointLimits *limitstate.State
	grantClient    *peers.Client
	// askCoordinator requests a grant from another gateway.
	askCoordinator func(ctx context.Context, name string, q grantQuestion) (grantAnswer, error)
	// configurationDocument and endpointsDocument are the documents that peers request.
	configurationDocument, endpointsDocument, gatewaysDocument document.Compressed
	// fullMessageDue requests that a complete message be sent to the peers soon.
	fullMessageDue chan struct{}
	// lastReadVersion is the version of the configuration that this gateway's last own read returned.
	lastReadVersion atomic.Uint64
	// unsettledSeen is the era of the store that was last found not to be settled when this gateway started.
	unsettledSeen atomic.Uint64
	// configProblem is why the operators' entry cannot be used; nil or empty if it can be.
	configProblem atomic.Pointer[string]
	// firstReadAt is when this gateway may read the store if it has no data; set by bootstrap.
	firstReadAt time.Time
	// gatewaysListed is closed once the store's list of gateways was read.
	gatewaysListed chan struct{}
	listedOnce     sync.Once
	// listedGatewayCount is the number of gateways in the store's newest list.
	listedGatewayCount atomic.Int64
}

// New returns a gateway whose background tasks run until Close.
func New(c Config, d Deps) *Gateway {
	g := &Gateway{config: c, deps: d, state: NewState(c.FirstStart), meter: newMeter(d.Metrics), fullMessageDue: make(chan struct{}, 1), gatewaysListed: make(chan struct{}), started: time.Now()}
	g.picker = newPicker(c.Name, c.DataCentre, g.state, c.Policy, c.Retries)
	if c.ResidualLoad {
		g.picker.loads.CountResidual(residual.NewTable(rand.Uint64()))
	}
	if d.Overload == nil {
		g.deps.Overload = new(pushlistener.Overload)
	}
	if d.Mesh != nil {
		g.picker.fleetKnownAt = g.started.Add(fleetDiscoveryTime)
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.peerClient = peers.NewClient(d.PeerPort, peerQueryTimeout, 1)
	g.storeReads = newStoreReads()
	g.crashProbes = crashprobe.NewProbes[quarantine.Incarnation, brokenExchange]()
	g.held, g.bodies = heldmemory.NewLedger(c.HeldMemory, requestHeldBytes, c.SlowReaderTimeout/evictionDivisor), heldmemory.NewBodies(c.BodyMemory)
	g.callers = newCallerServer(g)
	g.memoryReport = report.New(g.bodies, d.Responses, d.Metrics, d.Log.Logger())
	g.deliveries = monitor.NewDeliveries()
	g.quarantine = newQuarantineTable(c.Name)
	g.suspensions = suspension.New(d.Suspended)
	g.drain = drain.New(g.checkSuspension)
	g.endpointLimits = g.picker.limits
	g.grantClient = peers.NewClient(d.PeerPort, 0, maxIdleGrantConns)
	g.askCoordinator = g.requestPeerGrant
	return g
}

// Start starts the background tasks.
func (g *Gateway) Start() {
	for _, task := range []func(){g.followGateways, g.broadcastLoop, g.receivePeers, g.storeQuarantined, g.pollHost, g.followResidual} {
		g.background.Go(task)
	}
	if !g.config.FirstStart {
		g.background.Go(g.loadQuarantined)
	}
	g.background.Go(func() {
		g.bootstrap()
		g.background.Go(g.followEndpoints)
		g.background.Go(g.watchEndpoints)
		g.followConfiguration()
	})
}

// Close stops the background tasks.
func (g *Gateway) Close() {
	g.cancel()
	if g.deps.Mesh != nil {
		_ = g.deps.Mesh.Close()
	}
	g.waitForTasks()
	g.deps.Endpoints.Close()
}

// closeTimeout bounds the wait for background tasks at shutdown: pending release orders are given
// one round trip, after one for the renewals that they follow.
const closeTimeout = 2 * orderTimeout

func (g *Gateway) waitForTasks() {
	done := make(chan struct{})
	go func() {
		g.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// Ready reports whether the load balancer may send new connections to this gateway.
func (g *Gateway) Ready() bool { return !g.drain.Begun() && g.state.Table() != nil }

// ReadyHandler answers the load balancer's readiness checks.
func (g *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// pause waits for d. It reports false if the gateway was closed first.
func (g *Gateway) pause(d time.Duration) bool { return sleep.For(g.ctx, d) }
