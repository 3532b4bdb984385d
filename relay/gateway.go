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

// Config holds the gateway's own bounds.
type Config struct {
	Name       string
	DataCentre string
	// RevokeAfter is how long after a key was withdrawn the last request for it
	// may be sent; a gateway without a younger proof of its configuration
	// refuses requests with keys. Zero: no proof is needed.
	RevokeAfter time.Duration
	Retries     limits.WindowConfig
	// UnusedMemory is the longest that memory may stay set aside at an endpoint without use.
	UnusedMemory time.Duration
	// DrainTime is the time from the stop signal to the end of the process.
	DrainTime time.Duration
	Policy    balance.Policy
	// Seeds are the peer addresses of some gateways, which a starting one asks first.
	Seeds []netip.AddrPort
	// FirstStart is set when the whole installation starts for the first time.
	FirstStart bool
	// BodyMemory bounds the bytes of all request bodies that are held at once;
	// zero: no bound.
	BodyMemory int64
}

// Deps are what a gateway works with.
type Deps struct {
	Protocol  Protocol
	Source    Source
	Endpoints *upstream.Client
	Mesh      *peers.Mesh
	PeerPort  int // TCP port at which other gateways answer
	Log       *eventlog.Log
	Metrics   *metrics.Set
	// Suspended returns how long the host was suspended in all. Its monotonic clock, which
	// time.Now carries, does not count that time. Nil: it never is.
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
	bodies      atomic.Int64 // bytes of the bodies that are held
	leaving     atomic.Bool
	stopAt      atomic.Pointer[time.Time] // when the stop signal came
	peers       *peerClient
	sharing     *sharing
	faces       *faces
	crashProbes *crashProbes
	quarantined *quarantined
	suspension  *suspension
	limits      *endpointLimits
	grants      *peerClient
	// askCoordinator asks another gateway for a grant.
	askCoordinator func(ctx context.Context, name string, q grantQuestion) (grantAnswer, error)
	// configurationDocument and endpointsDocument are what peers ask for.
	configurationDocument, endpointsDocument document
	// news asks for a whole word to the peers soon.
	news chan struct{}
	// lastRead is the version that the last own read of the configuration brought.
	lastRead atomic.Uint64
	// listedGateways is how many the store's newest list named.
	listedGateways atomic.Int64
}

// New returns a gateway whose background work runs until Close.
func New(c Config, d Deps) *Gateway {
	g := &Gateway{config: c, deps: d, state: NewState(), meter: newMeter(d.Metrics), news: make(chan struct{}, 1), started: time.Now()}
	g.picker = newPicker(c.Name, c.DataCentre, g.state, c.Policy, c.Retries)
	if d.Mesh != nil {
		g.picker.knowsFleet = g.started.Add(fleetTime)
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.peers = newPeerClient(d.PeerPort)
	g.sharing = newSharing()
	g.faces = newFaces(g)
	g.crashProbes = newCrashProbes()
	g.quarantined = newQuarantined()
	g.suspension = newSuspension(d.Suspended)
	g.limits = g.picker.limits
	g.grants = newGrantClient(d.PeerPort)
	g.askCoordinator = g.askPeerGrant
	return g
}

// Start begins the background work.
func (g *Gateway) Start() {
	for _, task := range []func(){g.followGateways, g.tell, g.hear, g.keepQuarantined, g.noticeSuspensions} {
		g.tasks.Go(task)
	}
	if !g.config.FirstStart {
		g.tasks.Go(g.recallQuarantined)
	}
	g.tasks.Go(func() {
		g.learn()
		g.tasks.Go(g.followEndpoints)
		g.tasks.Go(g.watchEndpoints)
		g.followConfiguration()
	})
}

// Close ends the background work.
func (g *Gateway) Close() {
	g.cancel()
	if g.deps.Mesh != nil {
		_ = g.deps.Mesh.Close()
	}
	g.waitForTasks()
	g.deps.Endpoints.Close()
}

// closeTime bounds the wait for background work at the end: orders to release
// memory that are under way are worth a round trip, not more.
const closeTime = orderTime

func (g *Gateway) waitForTasks() {
	done := make(chan struct{})
	go func() {
		g.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTime):
	}
}

// Ready reports whether the balancer may send new connections here.
func (g *Gateway) Ready() bool { return !g.leaving.Load() && g.state.Table() != nil }

// ReadyHandler answers the balancer.
func (g *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// pause waits for d; it reports false when the gateway was closed first.
func (g *Gateway) pause(d time.Duration) bool { return sleep.For(g.ctx, d) }
