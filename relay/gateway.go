package relay

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/internal/sleep"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/peers"
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
	Retries     limits.WindowConfig
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
}

// Deps holds the dependencies of a gateway.
type Deps struct {
	Protocol  Protocol
	Source    Source
	Endpoints *upstream.Client
	Mesh      *peers.Mesh
	PeerPort  int // TCP port on which other gateways answer
	Log       *eventlog.Log
	Metrics   *metrics.Set
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

	started     time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	inFlight    atomic.Int64
	bodyBytes   atomic.Int64 // total size of the request bodies in memory
	leaving     atomic.Bool
	stopAt      atomic.Pointer[time.Time] // when the stop signal arrived
	peers       *peerClient
	sharing     *sharing
	servers     *callerServers
	crashProbes *crashProbes
	quarantined *quarantineTable
	suspension  *suspensionDetector
	limits      *endpointLimits
	grants      *peerClient
	// askCoordinator requests a grant from another gateway.
	askCoordinator func(ctx context.Context, name string, q grantQuestion) (grantAnswer, error)
	// configurationDocument and endpointsDocument are the documents that peers request.
	configurationDocument, endpointsDocument compressedDocument
	// news requests that a complete message be sent to the peers soon.
	news chan struct{}
	// lastRead is the version of the configuration that this gateway's last own read returned.
	lastRead atomic.Uint64
	// listedGateways is the number of gateways in the store's newest list.
	listedGateways atomic.Int64
}

// New returns a gateway whose background tasks run until Close.
func New(c Config, d Deps) *Gateway {
	g := &Gateway{config: c, deps: d, state: NewState(), meter: newMeter(d.Metrics), news: make(chan struct{}, 1), started: time.Now()}
	g.picker = newPicker(c.Name, c.DataCentre, g.state, c.Policy, c.Retries)
	if d.Mesh != nil {
		g.picker.knowsFleet = g.started.Add(fleetTime)
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.peers = newPeerClient(d.PeerPort)
	g.sharing = newSharing()
	g.servers = newCallerServers(g)
	g.crashProbes = newCrashProbes()
	g.quarantined = newQuarantineTable()
	g.suspension = newSuspensionDetector(d.Suspended)
	g.limits = g.picker.limits
	g.grants = newGrantClient(d.PeerPort)
	g.askCoordinator = g.askPeerGrant
	return g
}

// Start starts the background tasks.
func (g *Gateway) Start() {
	for _, task := range []func(){g.followGateways, g.tell, g.hear, g.keepQuarantined, g.pollSuspensions} {
		g.tasks.Go(task)
	}
	if !g.config.FirstStart {
		g.tasks.Go(g.loadQuarantined)
	}
	g.tasks.Go(func() {
		g.learn()
		g.tasks.Go(g.followEndpoints)
		g.tasks.Go(g.watchEndpoints)
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
// one round trip.
const closeTimeout = orderTimeout

func (g *Gateway) waitForTasks() {
	done := make(chan struct{})
	go func() {
		g.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// Ready reports whether the load balancer may send new connections to this gateway.
func (g *Gateway) Ready() bool { return !g.leaving.Load() && g.state.Table() != nil }

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
