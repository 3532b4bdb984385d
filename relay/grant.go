package relay

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/ratelimit"
)

const (
	pathGrant = "/peer/grant"
	// grantHoldTime is how long a coordinator holds a grant request that it can neither grant nor
	// refuse yet. The requester then looks at the other endpoints, and asks again without losing
	// its place.
	grantHoldTime = 200 * time.Millisecond
	// grantRoundTrip bounds the round trip to the coordinator, in addition to grantHoldTime.
	grantRoundTrip = 150 * time.Millisecond
	// probeGrantTimeout is the timeout of a grant request for a request that other endpoints would
	// take at once: it must not be late for them because the coordinator does not answer.
	probeGrantTimeout = 50 * time.Millisecond
	// grantPollInterval is the longest pause between two evaluations of a held grant request.
	grantPollInterval = 100 * time.Millisecond
	// maxGrantRequestBytes bounds the size of a grant request.
	maxGrantRequestBytes = 64 << 10
	// maxGrantEndpoints bounds the number of endpoints that a grant request names.
	maxGrantEndpoints = 64
)

// grantQuestion asks the coordinator for a grant for one of several endpoints with rate limits.
type grantQuestion struct {
	Service   string
	Endpoints []string // the best first
	Urgency   int
	SinceMs   int64 // time since the caller's request arrived
	WaitMs    int64 // how long the request may wait from now on
	Probe     bool
}

// timeout returns how long the requester waits for the response.
func (q grantQuestion) timeout() time.Duration {
	if q.Probe {
		return probeGrantTimeout
	}
	return grantRoundTrip + min(grantHoldTime, time.Duration(q.WaitMs)*time.Millisecond)
}

// grantAnswer is the coordinator's response to a grantQuestion.
type grantAnswer struct {
	Endpoint     string // the granted endpoint; empty if none
	Refused      bool
	RetryAfterMs int64
	Unlimited    bool  // the coordinator knows of no limit of the endpoints
	KeptMs       int64 // how long the coordinator held the request before it granted
}

// grant is the permission to send one request to an endpoint with a rate limit.
type grant struct {
	endpoint string
	// expires is when the grant becomes invalid. Without an expiry, a gateway that was stalled
	// would send all its granted requests at once.
	expires time.Time
	// suspended is the total time that the host had been suspended when the grant was requested.
	suspended time.Duration
}

// valid reports whether the grant permits an attempt now; g may be nil.
func (g *grant) valid(now time.Time, suspended time.Duration) bool {
	return g != nil && now.Before(g.expires) && suspended == g.suspended
}

// errNotCoordinator is returned by a gateway that is not the coordinator.
var errNotCoordinator = trace.Errorf("this gateway is not the coordinator of endpoint limits")

// requestGrant asks the coordinator, which may be this gateway, for a grant. A nil grant without an
// error means that the request was refused or has to ask again.
func (g *Gateway) requestGrant(ctx context.Context, q grantQuestion) (*grant, grantAnswer, error) {
	requestedAt, suspended := time.Now(), g.checkSuspension()
	if g.updateCoordinator(requestedAt) {
		g.picker.notifyPeers()
	}
	name := g.endpointLimits.CoordinatorName()
	ctx, cancel := context.WithTimeout(ctx, q.timeout())
	defer cancel()
	var a grantAnswer
	var err error
	if name == g.config.Name {
		a, err = g.decideGrant(ctx, q)
	} else {
		a, err = g.askCoordinator(ctx, name, q)
	}
	if err != nil || a.Endpoint == "" {
		return nil, a, err
	}
	expires := requestedAt.Add(time.Duration(a.KeptMs)*time.Millisecond + grantRoundTrip)
	return &grant{a.Endpoint, expires, suspended}, a, nil
}

// decideGrant decides about a grant request as soon as possible, or returns without a decision
// after grantHoldTime.
func (g *Gateway) decideGrant(ctx context.Context, q grantQuestion) (grantAnswer, error) {
	received := time.Now()
	req := &ratelimit.GrantRequest{
		Service: q.Service, Endpoints: q.Endpoints, Urgency: q.Urgency, Probe: q.Probe,
		Since: received.Add(-time.Duration(q.SinceMs) * time.Millisecond), Until: received.Add(time.Duration(q.WaitMs) * time.Millisecond),
	}
	defer g.endpointLimits.RemoveRequest(req)
	for {
		now := time.Now()
		g.checkSuspension() // votes from before a suspension do not count
		decision, ok := g.endpointLimits.TryGrant(req, now)
		switch {
		case !ok:
			return grantAnswer{}, errNotCoordinator
		case decision.Unlimited:
			return grantAnswer{Unlimited: true}, nil
		case decision.Refused:
			return grantAnswer{Refused: true, RetryAfterMs: decision.RetryAfter.Milliseconds()}, nil
		case decision.Endpoint != "":
			g.meter.grants.Inc()
			return grantAnswer{Endpoint: decision.Endpoint, KeptMs: now.Sub(received).Milliseconds()}, nil
		case now.Sub(received) >= grantHoldTime:
			return grantAnswer{}, nil
		}
		timer := time.NewTimer(min(grantPollInterval, max(time.Millisecond, decision.Expected.Sub(now))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return grantAnswer{}, ctx.Err()
		}
	}
}

// requestPeerGrant requests a grant from another gateway.
func (g *Gateway) requestPeerGrant(ctx context.Context, name string, q grantQuestion) (a grantAnswer, err error) {
	for _, m := range g.deps.Mesh.Members(time.Now()) {
		if m.Name == name {
			err = g.grantClient.Post(ctx, g.grantClient.URL(m.Address, pathGrant), q, &a)
			return a, err
		}
	}
	return a, trace.NotFound("the address of gateway %q is not known", name)
}

// serveGrant answers the grant request of another gateway.
func (g *Gateway) serveGrant(w http.ResponseWriter, r *http.Request) {
	var q grantQuestion
	if err := json.NewDecoder(io.LimitReader(r.Body, maxGrantRequestBytes)).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a, err := g.decideGrant(r.Context(), q)
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.writePeerResponse(w, a)
}

// maxIdleGrantConns is the number of idle connections to the coordinator that are kept: as many
// requests may wait there at once.
const maxIdleGrantConns = 16
