package e2e

import (
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	standservice "github.com/micarudder/micarudder/internal/standin/service"
	"github.com/micarudder/micarudder/metastore"
)

// problemDoc is the part of a problem document that callers evaluate.
type problemDoc struct {
	Code       int
	Outcome    string
	Ticket     string
	RetryAfter int64 `json:"retry_after_ms"`
}

// parsedProblem parses the problem document of a reply from its body or its
// error event.
func (r reply) parsedProblem() problemDoc {
	var p problemDoc
	var wrapped struct{ Error *problemDoc }
	switch {
	case r.problem != "" && json.Unmarshal([]byte(r.problem), &wrapped) == nil && wrapped.Error != nil:
		return *wrapped.Error
	case r.problem == "":
		_ = json.Unmarshal([]byte(r.body), &p)
	}
	return p
}

// fetchTicket fetches one ticket in advance.
func (b *cluster) fetchTicket(gw, request string) string {
	b.t.Helper()
	var out struct{ Tickets []string }
	r := b.ask(gw, "POST", "/v1/tickets", request, nil)
	if r.status != 200 || json.Unmarshal([]byte(r.body), &out) != nil || len(out.Tickets) == 0 {
		b.t.Fatalf("cannot fetch a ticket: status %d, %s %v", r.status, r.body, r.err)
	}
	return out.Tickets[0]
}

const (
	onceTicket       = `{"model":"rudder-llm","count":1}`
	repeatableTicket = `{"model":"rudder-llm","count":1,"repeatable":true}`
	serviceTicket    = `{"service":"bid-api","count":1}`
	checkPath        = "/services/bid-api/positions/check"
)

// TestNamedRefusal: if a request with a ticket is refused and the ticket may be
// in use elsewhere, the answer never says "not run" without the agent's seal.
func TestNamedRefusal(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.gateway("gw2")
		b.publish()
		ticket := b.fetchTicket("gw1", onceTicket)
		header := map[string]string{"Rudder-Ticket": ticket}
		is.Equal(b.ask("gw1", "POST", chatPath, chat("x", 3, false), header).status, 200)
		bad := b.ask("gw2", "POST", chatPath, "{", header).parsedProblem()
		is.Equal(bad.Code, 2001)
		is.Equal(bad.Outcome, "may have run")
		body, writer := io.Pipe() // keeps the gateway from exiting
		var upload, drain sync.WaitGroup
		upload.Go(func() { b.upload(time.Minute, "gw2", "POST", chatPath, body, nil) })
		time.Sleep(time.Second)
		drain.Go(func() { is.NoErr(b.gateways["gw2"].Drain(b.t.Context())) })
		time.Sleep(time.Second)
		draining := b.ask("gw2", "POST", chatPath, chat("x", 3, false), header).parsedProblem()
		is.Equal(draining.Code, 3005)
		is.Equal(draining.Outcome, "may have run")
		unnamed := b.ask("gw2", "POST", chatPath, chat("x", 3, false), nil).parsedProblem()
		is.Equal(unnamed.Outcome, "not run")
		_ = writer.Close()
		upload.Wait()
		drain.Wait()
	})
}

// TestUnusedTicket: querying a run that has not arrived yet proves nothing
// about it; voiding its ticket does.
func TestUnusedTicket(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		ticket := b.fetchTicket("gw1", onceTicket)
		query := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", nil).parsedProblem()
		is.Equal(query.Code, 2011)
		is.Equal(query.Outcome, "may have run")
		is.Equal(b.ask("gw1", "DELETE", "/v1/runs/"+ticket, "", nil).parsedProblem().Outcome, "not run")
		late := b.ask("gw1", "POST", chatPath, chat("x", 3, false), map[string]string{"Rudder-Ticket": ticket}).parsedProblem()
		is.Equal(late.Code, 2010)
		is.Equal(late.Outcome, "not run")
		is.Equal(b.engines["a"].Counts().Total, 0)
		repeatable := b.fetchTicket("gw1", repeatableTicket)
		is.Equal(b.ask("gw1", "DELETE", "/v1/runs/"+repeatable, "", nil).parsedProblem().Outcome, "may have run")
	})
}

// TestRefusedRequestStaysWithAgent: an unrepeatable request whose ticket the
// caller has is not moved to another agent, because the caller may present the
// ticket to the first one at the same time.
func TestRefusedRequestStaysWithAgent(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.engine("b", nil)
		b.gateway("gw1")
		b.publish()
		b.engines["a"].SetFaults(standengine.Faults{Refuse: true})
		b.engines["b"].SetFaults(standengine.Faults{Refuse: true})
		once := map[string]string{"Rudder-Repeatable": "false"}
		r := b.ask("gw1", "POST", chatPath, chat("x", 3, true), once)
		is.Equal(r.parsedProblem().Code, 3011)
		is.Equal(r.parsedProblem().Outcome, "not run")
		is.True(r.parsedProblem().RetryAfter > 0)
		b.engines["a"].SetFaults(standengine.Faults{})
		b.engines["b"].SetFaults(standengine.Faults{})
		again := b.ask("gw1", "POST", chatPath, chat("x", 3, true), map[string]string{"Rudder-Ticket": r.header.Get("Rudder-Ticket")})
		is.Equal(again.parsedProblem().Outcome, "not run")
		is.Equal(b.engines["a"].Counts().Total+b.engines["b"].Counts().Total, 0)
	})
}

// TestKeyReused: a key or ticket reused for a different request is refused, and
// nothing runs.
func TestKeyReused(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		key := map[string]string{"Idempotency-Key": "hour-12"}
		is.Equal(b.ask("gw1", "POST", checkPath, `{"mw":5}`, key).status, 200)
		is.Equal(b.ask("gw1", "POST", checkPath, `{"mw":5}`, key).status, 200)
		other := b.ask("gw1", "POST", checkPath, `{"mw":6}`, key)
		is.Equal(other.status, 422)
		is.Equal(other.parsedProblem().Code, 2016)
		ticket := b.fetchTicket("gw1", serviceTicket)
		named := map[string]string{"Rudder-Ticket": ticket}
		is.Equal(b.ask("gw1", "POST", checkPath, `{"mw":5}`, named).status, 200)
		is.Equal(b.ask("gw1", "POST", checkPath, `{"mw":6}`, named).parsedProblem().Code, 2016)
		is.Equal(b.services["s"].Counts().Total, 2)
	})
}

// TestClaimsExpire: claims of idempotency keys have a lease of their own and
// are removed when it expires; until then the key leads to its run.
func TestClaimsExpire(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		key := map[string]string{"Idempotency-Key": "hour-12"}
		is.Equal(b.ask("gw1", "POST", checkPath, "", key).status, 200)
		store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClient()})
		is.NoErr(err)
		claims := func() int {
			list, err := store.List(b.t.Context(), metastore.PrefixClaims)
			is.NoErr(err)
			return len(list)
		}
		is.Equal(claims(), 1)
		time.Sleep(11 * time.Minute) // the lifetime of the ticket
		is.Equal(b.ask("gw1", "POST", checkPath, "", key).parsedProblem().Outcome, "may have run")
		is.Equal(b.services["s"].Counts().Total, 1)
		b.gateways["gw1"].Close() // saves simulating a day of heartbeats
		b.agents["s"].Close()
		time.Sleep(24 * time.Hour)
		is.Equal(claims(), 1)
		time.Sleep(2 * time.Hour)
		is.Equal(claims(), 0)
	})
}

// TestRestartAfterBothDied: a caller that resumes an answer whose run is lost
// is told that the answer begins again.
func TestRestartAfterBothDied(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.gateway("gw2")
		b.publish()
		ticket := b.fetchTicket("gw1", repeatableTicket)
		b.kill("gw1")
		b.kill(agentAddr("a"))
		b.agents["a"].Close()
		b.agent("a", "", 450_000)
		time.Sleep(5 * time.Second)
		r := b.ask("gw2", "POST", chatPath, chat("x", 20, true), map[string]string{"Rudder-Ticket": ticket, "Last-Event-ID": "40"})
		is.True(r.restart)
		is.True(r.done)
		is.Equal(r.text, answerTo("x", 20))
	})
}

// TestOffsets: Last-Event-ID applies only to event streams that the gateway
// produces itself.
func TestOffsets(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		last := map[string]string{"Last-Event-ID": "8"}
		call := b.ask("gw1", "POST", checkPath, "", last)
		is.True(strings.HasPrefix(call.body, `{"service"`))
		whole := b.ask("gw1", "POST", chatPath, chat("x", 10, false), last)
		is.True(strings.Contains(whole.body, answerTo("x", 10)))
		ticket := b.fetchTicket("gw1", onceTicket)
		is.Equal(b.ask("gw1", "POST", chatPath, chat("x", 10, true), map[string]string{"Rudder-Ticket": ticket}).text, answerTo("x", 10))
		rest := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", last)
		is.Equal(rest.text, answerTo("x", 10)[8:])
		past := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", map[string]string{"Last-Event-ID": "41"})
		is.Equal(past.parsedProblem().Code, 2015)
	})
}

// TestAttachService: the answer of a plain service can be read again unchanged.
func TestAttachService(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		ticket := b.fetchTicket("gw1", serviceTicket)
		first := b.ask("gw1", "POST", checkPath, "{}", map[string]string{"Rudder-Ticket": ticket})
		again := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", nil)
		is.Equal(first.status, 200)
		is.Equal(again.body, first.body)
		is.Equal(again.header.Get("Content-Type"), first.header.Get("Content-Type"))
		is.Equal(b.services["s"].Counts().Total, 1)
	})
}

// TestAttachDeadline: a caller that only reads a run is also answered by its
// deadline.
func TestAttachDeadline(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		b.services["s"].SetFaults(standservice.Faults{Hang: true})
		ticket := b.fetchTicket("gw1", serviceTicket)
		header := map[string]string{"Rudder-Ticket": ticket, "Rudder-Deadline": "20s"}
		got := make(chan reply, 1)
		go func() { got <- b.ask("gw1", "POST", checkPath, "{}", header) }()
		time.Sleep(time.Second)
		began := time.Now()
		query := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", map[string]string{"Rudder-Deadline": "1s"})
		is.Equal(query.parsedProblem().Code, 4004)
		is.Equal(query.parsedProblem().Outcome, "may have run")
		is.True(time.Since(began) <= 1100*time.Millisecond)
		is.Equal((<-got).parsedProblem().Code, 4004)
		is.Equal(time.Since(began), 19*time.Second)
		b.services["s"].SetFaults(standservice.Faults{})
	})
}

// TestVoidBeforeOrder: a gateway that froze with an order in flight is thawed
// after the caller was told "not run" through another gateway. The order must
// not run.
func TestVoidBeforeOrder(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.network = newNetwork()
		b.engine("a", nil)
		b.gateway("gw1")
		b.gateway("gw2")
		b.publish()
		ticket := b.fetchTicket("gw1", onceTicket)
		b.network.hold(outgoing("gw1"))
		got := make(chan reply, 1)
		header := map[string]string{"Rudder-Ticket": ticket, "Rudder-Deadline": "1m"}
		go func() { got <- b.ask("gw1", "POST", chatPath, chat("x", 40, true), header) }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(b.ask("gw2", "DELETE", "/v1/runs/"+ticket, "", nil).parsedProblem().Outcome, "not run")
		b.network.release()
		is.Equal((<-got).parsedProblem().Outcome, "not run")
		time.Sleep(time.Minute)
		is.Equal(b.engines["a"].Counts().Total, 0)
	})
}

// TestFrozenAgentDeadline: the gateway ends a request at its deadline by its
// own clock, before it detects that the connection to a frozen agent is lost.
func TestFrozenAgentDeadline(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.network = newNetwork()
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		b.network.hold(agentAddr("a"))
		began := time.Now()
		r := b.ask("gw1", "POST", chatPath, chat("x", 4, false), map[string]string{"Rudder-Deadline": "500ms"})
		is.True(time.Since(began) < 550*time.Millisecond)
		is.Equal(r.parsedProblem().Code, 4004)
		is.Equal(r.parsedProblem().Outcome, "may have run")
		is.True(r.parsedProblem().Ticket != "") // the outcome can be queried later
		b.network.release()
	})
}

// TestCutStreamFreesEngine: a run whose stream broke is cancelled at its
// engine.
func TestCutStreamFreesEngine(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		b.engines["a"].SetFaults(standengine.Faults{CutAfterTokens: 5})
		r := b.ask("gw1", "POST", chatPath, chat("x", 1000, true), map[string]string{"Rudder-Repeatable": "false"})
		is.Equal(r.parsedProblem().Code, 4001)
		time.Sleep(time.Second) // the whole answer would take ten seconds
		is.Equal(len(b.engines["a"].State().Running), 0)
	})
}
