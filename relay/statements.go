package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/upstream"
)

// sending is what is sent to an endpoint, as far as its limit is concerned.
type sending uint8

const (
	callersRequest sending = iota
	// ownQuestion is a health check, a question or an order. Its answer may name a limit, but one
	// without ends none: the endpoints need not name it there.
	ownQuestion
)

// do sends a request to an endpoint and takes in what the answer says of that endpoint.
func (g *Gateway) do(ctx context.Context, e catalog.Endpoint, r *upstream.Request, kind sending, request string) (*http.Response, error) {
	sent := g.limits.version(e.ID)
	res, err := g.deps.Endpoints.Do(ctx, e.ID, e.Address, r)
	if err != nil {
		return nil, err
	}
	if g.deps.Protocol.Verdict(res) != WrongEndpoint { // that one says it of another endpoint
		g.noteAnswer(e, sent, res, kind, request)
	}
	return res, nil
}

// noteAnswer takes in what an answer says of the endpoint that gave it. sent is the version of its limit when the request was sent.
func (g *Gateway) noteAnswer(e catalog.Endpoint, sent uint64, res *http.Response, kind sending, request string) {
	said, err := g.deps.Protocol.Statement(res)
	if err != nil {
		g.deps.Log.Request("What an endpoint says of itself cannot be read.", "request", request, "endpoint", e.ID, "err", err)
	}
	if !said.LimitUnreadable && (said.Limit.Is || kind == callersRequest) {
		g.noteLimit(e, sent, said.Limit, request)
	}
	g.noteStatement(e, said, request)
}

// noteStatement takes in whether an endpoint takes requests.
func (g *Gateway) noteStatement(e catalog.Endpoint, said availability.Statement, request string) {
	if said.Leaving {
		g.meter.leavesTold.Inc()
		g.left(e, availability.FromAnswer, request)
	}
	if said.Rest > 0 {
		g.meter.restsAsked.Inc()
		if g.state.Rest(e.ID, said.Rest, time.Now()) {
			g.deps.Log.Request("Endpoint asks for rest.", "endpoint", e.ID, "born", e.Born, "rest_ms", said.Rest.Milliseconds(), "request", request)
		}
	}
}

// left takes in that an endpoint leaves, and tells the other gateways at once where that is news.
func (g *Gateway) left(e catalog.Endpoint, source, request string) {
	news, changes := g.state.Left(e, source, time.Now())
	if !news {
		return
	}
	g.deps.Log.Logger().Info("Endpoint says that it leaves.", "endpoint", e.ID, "born", e.Born, "from", source, "request", request)
	for _, c := range changes {
		g.memberChanged(c)
	}
	g.picker.callPeers()
}

// heardLeaves takes in which endpoints a peer knows to leave.
func (g *Gateway) heardLeaves(w peers.Word) {
	for id, born := range w.Leaves {
		g.left(catalog.Endpoint{ID: id, Born: born}, w.From, "")
	}
}

// settleLeaveEvery is the time between two questions to an endpoint whose leave is doubted.
const settleLeaveEvery = time.Second

// settleLeave asks an endpoint that has started again whether it leaves: what said so may have been its earlier life. One that cannot be asked
// counts as leaving until it says something of itself.
func (g *Gateway) settleLeave(e catalog.Endpoint) {
	question := g.question(&watched{Endpoint: e, service: g.serviceOf(e)})
	for question != nil && g.state.LeaveDoubted(e) {
		if !g.state.Resting(e.ID, time.Now()) && g.answersWithoutLeave(e, question) && g.state.TakeLeaveBack(e) {
			g.deps.Log.Logger().Info("Endpoint does not leave.", "endpoint", e.ID, "born", e.Born)
		}
		if !g.pause(settleLeaveEvery) {
			return
		}
	}
}

// answersWithoutLeave asks an endpoint about itself; it reports whether it has answered and did not say that it leaves.
func (g *Gateway) answersWithoutLeave(e catalog.Endpoint, question *upstream.Request) bool {
	ctx, cancel := context.WithTimeout(g.ctx, reportTime)
	defer cancel()
	g.meter.reports.Inc()
	res, err := g.do(ctx, e, question, ownQuestion, "")
	if err != nil {
		g.deps.Log.Logger().Info("It is not known whether an endpoint leaves.", "endpoint", e.ID, "born", e.Born, "err", err)
		return false
	}
	defer res.Body.Close()
	return g.deps.Protocol.Verdict(res) != WrongEndpoint && g.state.LeaveDoubted(e)
}

// serviceOf returns an endpoint's service as it is configured, one without a name where it is not.
func (g *Gateway) serviceOf(e catalog.Endpoint) catalog.Service {
	for _, s := range g.state.Services() {
		if s.Name == e.Service {
			return s
		}
	}
	return catalog.Service{}
}
