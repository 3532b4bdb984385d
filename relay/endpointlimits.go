package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/ratelimit"
	"github.com/micarudder/micarudder/upstream"
)

// endpointLimits is what this gateway knows of how many requests a second endpoints take. Its methods may
// be called concurrently.
type endpointLimits struct {
	mu    sync.Mutex
	known *ratelimit.Known
}

func newEndpointLimits() *endpointLimits {
	return &endpointLimits{known: ratelimit.NewKnown()}
}

// limit returns the limit that an endpoint has named; ok is false where it has none.
func (l *endpointLimits) limit(endpoint string) (perSecond float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Limit(endpoint)
}

// logged returns an endpoint's limit as it stands in logs: -1 where it has none.
func (l *endpointLimits) logged(endpoint string) float64 {
	if perSecond, ok := l.limit(endpoint); ok {
		return perSecond
	}
	return -1
}

func (l *endpointLimits) version(endpoint string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Version(endpoint)
}

func (l *endpointLimits) answered(e catalog.Endpoint, sent uint64, n ratelimit.Named, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Answered(e.ID, e.Born, sent, n, now)
}

func (l *endpointLimits) forget(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.Forget(endpoint)
}

// sending is what is sent to an endpoint, as far as its limit is concerned.
type sending uint8

const (
	callersRequest sending = iota
	// ownQuestion is a health check, a question or an order. Its answer may name a limit, but one
	// without ends none: the endpoints need not name it there.
	ownQuestion
)

// do sends a request to an endpoint and takes in what the answer says of its limit.
func (g *Gateway) do(ctx context.Context, e catalog.Endpoint, r *upstream.Request, kind sending, request string) (*http.Response, error) {
	sent := g.limits.version(e.ID)
	res, err := g.deps.Endpoints.Do(ctx, e.ID, e.Address, r)
	if err != nil {
		return nil, err
	}
	if g.deps.Protocol.Verdict(res) != WrongEndpoint {
		g.noteLimit(e, sent, res, kind, request)
	}
	return res, nil
}

// noteLimit takes in what an answer says of its endpoint's limit.
func (g *Gateway) noteLimit(e catalog.Endpoint, sent uint64, res *http.Response, kind sending, request string) {
	named, err := g.deps.Protocol.Limit(res)
	if err != nil {
		g.deps.Log.Request("An endpoint's limit cannot be read.", "request", request, "endpoint", e.ID, "err", err)
		if !named.Is {
			return
		}
	}
	if !named.Is && kind == ownQuestion {
		return
	}
	if !g.limits.answered(e, sent, named, time.Now()) {
		return
	}
	g.logLimit(e.ID, named, "answer", request)
}

// logLimit logs what is believed of an endpoint's limit from now on. source is an answer or the name of a gateway.
func (g *Gateway) logLimit(endpoint string, n ratelimit.Named, source, request string) {
	if !n.Is {
		g.meter.limitsEnded.Inc()
		g.deps.Log.Logger().Info("Endpoint limits requests no longer.", "endpoint", endpoint, "from", source, "request", request)
		return
	}
	g.meter.limitsNamed.Inc()
	g.deps.Log.Logger().Info("Endpoint limits requests.", "endpoint", endpoint, "per_second", n.PerSecond, "from", source, "request", request)
}
