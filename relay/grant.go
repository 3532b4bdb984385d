package relay

import (
	"bytes"
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
	// grantHold is how long a coordinator keeps a question that it can neither grant nor refuse yet. Its asker
	// looks at the other endpoints then, and asks again without losing its place.
	grantHold = 200 * time.Millisecond
	// grantTime bounds the way to the coordinator and back, beside grantHold.
	grantTime = 150 * time.Millisecond
	// limitProbeTime is the same for a request that others would take at once: while the coordinator is silent, it must not
	// be late for that.
	limitProbeTime = 50 * time.Millisecond
	// grantTick is the longest pause between two looks at a question that is kept.
	grantTick = 100 * time.Millisecond
	// maxGrantQuestion bounds the bytes of a question.
	maxGrantQuestion = 64 << 10
	// maxGrantEndpoints bounds the endpoints that a question names.
	maxGrantEndpoints = 64
)

// grantQuestion asks the coordinator for a send to one of several endpoints with limits.
type grantQuestion struct {
	Service   string
	Endpoints []string // the best first
	Urgency   int
	SinceMs   int64 // how long ago the request's caller came
	WaitMs    int64 // how long it is worth waiting from now on
	Probe     bool
}

// patience returns how long the asker waits for the answer.
func (q grantQuestion) patience() time.Duration {
	if q.Probe {
		return limitProbeTime
	}
	return grantTime + min(grantHold, time.Duration(q.WaitMs)*time.Millisecond)
}

// grantAnswer is what becomes of it.
type grantAnswer struct {
	Endpoint     string // granted; empty: none
	Refused      bool
	RetryAfterMs int64
	Unlimited    bool  // the coordinator knows of no limit of the endpoints
	KeptMs       int64 // how long the coordinator kept the question before it granted
}

// grant is the right to send one request to an endpoint with a limit.
type grant struct {
	endpoint string
	// until is when it lapses: the sends of a gateway that stood still would come together.
	until time.Time
	// suspended is how long the host had been suspended in all when it was asked for.
	suspended time.Duration
}

// holds reports whether the grant allows a send now; g may be nil.
func (g *grant) holds(now time.Time, suspended time.Duration) bool {
	return g != nil && now.Before(g.until) && suspended == g.suspended
}

// errNotCoordinator is the answer of a gateway that does not grant.
var errNotCoordinator = trace.Errorf("the gateway does not coordinate limits")

// askGrant asks the coordinator, which may be this gateway. A nil grant with no error means that the request was
// refused, or is to ask again.
func (g *Gateway) askGrant(ctx context.Context, q grantQuestion) (*grant, grantAnswer, error) {
	asked, suspended := time.Now(), g.suspendedTime()
	if g.chooseCoordinator(asked) {
		g.picker.callPeers()
	}
	name := g.limits.coordinatorName()
	ctx, cancel := context.WithTimeout(ctx, q.patience())
	defer cancel()
	var a grantAnswer
	var err error
	if name == g.config.Name {
		a, err = g.keepQuestion(ctx, q)
	} else {
		a, err = g.askCoordinator(ctx, name, q)
	}
	if err != nil || a.Endpoint == "" {
		return nil, a, err
	}
	until := asked.Add(time.Duration(a.KeptMs)*time.Millisecond + grantTime)
	return &grant{a.Endpoint, until, suspended}, a, nil
}

// keepQuestion decides about a question as soon as that is possible, or returns after grantHold.
func (g *Gateway) keepQuestion(ctx context.Context, q grantQuestion) (grantAnswer, error) {
	came := time.Now()
	ask := &ratelimit.Ask{
		Service: q.Service, Endpoints: q.Endpoints, Urgency: q.Urgency, Probe: q.Probe,
		Since: came.Add(-time.Duration(q.SinceMs) * time.Millisecond), Until: came.Add(time.Duration(q.WaitMs) * time.Millisecond),
	}
	defer g.limits.leave(ask)
	for {
		now := time.Now()
		g.suspendedTime() // votes of before a suspension do not count
		answer, ok := g.limits.try(ask, now)
		switch {
		case !ok:
			return grantAnswer{}, errNotCoordinator
		case answer.Unlimited:
			return grantAnswer{Unlimited: true}, nil
		case answer.Refused:
			return grantAnswer{Refused: true, RetryAfterMs: answer.RetryAfter.Milliseconds()}, nil
		case answer.Endpoint != "":
			g.meter.grants.Inc()
			return grantAnswer{Endpoint: answer.Endpoint, KeptMs: now.Sub(came).Milliseconds()}, nil
		case now.Sub(came) >= grantHold:
			return grantAnswer{}, nil
		}
		timer := time.NewTimer(min(grantTick, max(time.Millisecond, answer.Expected.Sub(now))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return grantAnswer{}, ctx.Err()
		}
	}
}

// askPeerGrant asks another gateway.
func (g *Gateway) askPeerGrant(ctx context.Context, name string, q grantQuestion) (a grantAnswer, err error) {
	for _, m := range g.deps.Mesh.Members(time.Now()) {
		if m.Name == name {
			err = g.grants.post(ctx, g.peerURL(m.Address, pathGrant), q, &a)
			return a, err
		}
	}
	return a, trace.NotFound("the address of gateway %q is not known", name)
}

// serveGrant answers another gateway.
func (g *Gateway) serveGrant(w http.ResponseWriter, r *http.Request) {
	var q grantQuestion
	if err := json.NewDecoder(io.LimitReader(r.Body, maxGrantQuestion)).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a, err := g.keepQuestion(r.Context(), q)
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.answerPeer(w, a)
}

// grantConnections is how many connections to the coordinator are kept: as many requests may wait there at once.
const grantConnections = 16

// newGrantClient returns the client that asks coordinators; a question's context bounds it.
func newGrantClient(port int) *peerClient {
	return &peerClient{port: port, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: grantConnections, IdleConnTimeout: 5 * time.Second},
	}}
}

// post asks with a body.
func (c *peerClient) post(ctx context.Context, url string, body, into any) error {
	p, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p))
	if err != nil {
		return trace.Wrap(err)
	}
	return c.do(req, into)
}
