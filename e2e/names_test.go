package e2e

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	standservice "github.com/micarudder/micarudder/internal/standin/service"
	"github.com/micarudder/micarudder/metastore"
)

// problemDoc is what a caller reads of a problem.
type problemDoc struct {
	Code       int
	Outcome    string
	Ticket     string
	RetryAfter int64 `json:"retry_after_ms"`
}

// fault reads the problem of a reply, from its body or its error event.
func (r reply) fault() problemDoc {
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

// buy fetches one ticket in advance.
func (b *bubble) buy(gw, request string) string {
	b.t.Helper()
	var out struct{ Tickets []string }
	r := b.ask(gw, "POST", "/v1/tickets", request, nil)
	if r.status != 200 || json.Unmarshal([]byte(r.body), &out) != nil || len(out.Tickets) == 0 {
		b.t.Fatalf("tickets: %d %s %v", r.status, r.body, r.err)
	}
	return out.Tickets[0]
}

const (
	onceTicket  = `{"model":"rudder-llm","count":1}`
	freeTicket  = `{"model":"rudder-llm","count":1,"repeatable":true}`
	checkTicket = `{"service":"bid-api","count":1}`
	checkPath   = "/services/bid-api/positions/check"
)

// TestNamedRefusal: a refusal of a request whose name may be in use elsewhere
// never says "not run" without the agent's seal.
func TestNamedRefusal(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.gateway("gw2")
		b.publish()
		ticket := b.buy("gw1", onceTicket)
		header := map[string]string{"Rudder-Ticket": ticket}
		is.Equal(b.ask("gw1", "POST", chatPath, chat("x", 3, false), header).status, 200)
		bad := b.ask("gw2", "POST", chatPath, "{", header).fault()
		is.Equal(bad.Code, 2001)
		is.Equal(bad.Outcome, "may have run")
		is.NoErr(b.gateways["gw2"].Drain(b.t.Context()))
		left := b.ask("gw2", "POST", chatPath, chat("x", 3, false), header).fault()
		is.Equal(left.Code, 3005)
		is.Equal(left.Outcome, "may have run")
		unnamed := b.ask("gw2", "POST", chatPath, chat("x", 3, false), nil).fault()
		is.Equal(unnamed.Outcome, "not run")
	})
}

// TestUnusedTicket: looking for a run that has not arrived yet proves nothing;
// voiding it does.
func TestUnusedTicket(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		ticket := b.buy("gw1", onceTicket)
		look := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", nil).fault()
		is.Equal(look.Code, 2011)
		is.Equal(look.Outcome, "may have run")
		is.Equal(b.ask("gw1", "DELETE", "/v1/runs/"+ticket, "", nil).fault().Outcome, "not run")
		late := b.ask("gw1", "POST", chatPath, chat("x", 3, false), map[string]string{"Rudder-Ticket": ticket}).fault()
		is.Equal(late.Code, 2010)
		is.Equal(late.Outcome, "not run")
		is.Equal(b.engines["a"].Counts().Total, 0)
		free := b.buy("gw1", freeTicket)
		is.Equal(b.ask("gw1", "DELETE", "/v1/runs/"+free, "", nil).fault().Outcome, "may have run")
	})
}

// TestRefusedAfterNamed: an unrepeatable run whose ticket the caller has stays
// with its agent, for the caller may ask there at the same time.
func TestRefusedAfterNamed(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.engine("b", nil)
		b.gateway("gw1")
		b.publish()
		b.engines["a"].SetFaults(standengine.Faults{Refuse: true})
		b.engines["b"].SetFaults(standengine.Faults{Refuse: true})
		once := map[string]string{"Rudder-Repeatable": "false"}
		r := b.ask("gw1", "POST", chatPath, chat("x", 3, true), once)
		is.Equal(r.fault().Code, 3011)
		is.Equal(r.fault().Outcome, "not run")
		is.True(r.fault().RetryAfter > 0)
		b.engines["a"].SetFaults(standengine.Faults{})
		b.engines["b"].SetFaults(standengine.Faults{})
		again := b.ask("gw1", "POST", chatPath, chat("x", 3, true), map[string]string{"Rudder-Ticket": r.header.Get("Rudder-Ticket")})
		is.Equal(again.fault().Outcome, "not run")
		is.Equal(b.engines["a"].Counts().Total+b.engines["b"].Counts().Total, 0)
	})
}

// TestKeyReused: a key with another request is refused, and runs nothing.
func TestKeyReused(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		key := map[string]string{"Idempotency-Key": "hour-12"}
		is.Equal(b.ask("gw1", "POST", checkPath, `{"mw":5}`, key).status, 200)
		is.Equal(b.ask("gw1", "POST", checkPath, `{"mw":5}`, key).status, 200)
		other := b.ask("gw1", "POST", checkPath, `{"mw":6}`, key)
		is.Equal(other.status, 422)
		is.Equal(other.fault().Code, 2016)
		ticket := b.buy("gw1", checkTicket)
		named := map[string]string{"Rudder-Ticket": ticket}
		is.Equal(b.ask("gw1", "POST", checkPath, `{"mw":5}`, named).status, 200)
		is.Equal(b.ask("gw1", "POST", checkPath, `{"mw":6}`, named).fault().Code, 2016)
		is.Equal(b.services["s"].Counts().Total, 2)
	})
}

// TestClaimsLapse: claims stand under a lease of their own and go after their
// time; within it the key leads to the run.
func TestClaimsLapse(t *testing.T) {
	run(t, func(b *bubble) {
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
		time.Sleep(11 * time.Minute) // the ticket's life
		is.Equal(b.ask("gw1", "POST", checkPath, "", key).fault().Outcome, "may have run")
		is.Equal(b.services["s"].Counts().Total, 1)
		b.gateways["gw1"].Close() // spares a day of heartbeats
		b.agents["s"].Close()
		time.Sleep(24 * time.Hour)
		is.Equal(claims(), 1)
		time.Sleep(2 * time.Hour)
		is.Equal(claims(), 0)
	})
}

// TestRestartAfterBothDied: a caller that comes back with bytes of a run that
// is gone is told that the answer begins again.
func TestRestartAfterBothDied(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.gateway("gw2")
		b.publish()
		ticket := b.buy("gw1", freeTicket)
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

// TestOffsets: Last-Event-ID cuts only an event stream of this product.
func TestOffsets(t *testing.T) {
	run(t, func(b *bubble) {
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
		ticket := b.buy("gw1", onceTicket)
		is.Equal(b.ask("gw1", "POST", chatPath, chat("x", 10, true), map[string]string{"Rudder-Ticket": ticket}).text, answerTo("x", 10))
		rest := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", last)
		is.Equal(rest.text, answerTo("x", 10)[8:])
		past := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", map[string]string{"Last-Event-ID": "41"})
		is.Equal(past.fault().Code, 2015)
	})
}

// TestAttachService: a plain service's answer is read again as it was.
func TestAttachService(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		ticket := b.buy("gw1", checkTicket)
		first := b.ask("gw1", "POST", checkPath, "{}", map[string]string{"Rudder-Ticket": ticket})
		again := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", nil)
		is.Equal(first.status, 200)
		is.Equal(again.body, first.body)
		is.Equal(again.header.Get("Content-Type"), first.header.Get("Content-Type"))
		is.Equal(b.services["s"].Counts().Total, 1)
	})
}

// TestAttachDeadline: a caller that only reads is answered by its deadline too.
func TestAttachDeadline(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		b.services["s"].SetFaults(standservice.Faults{Hang: true})
		ticket := b.buy("gw1", checkTicket)
		long := map[string]string{"Rudder-Ticket": ticket, "Rudder-Deadline": "20s"}
		got := make(chan reply, 1)
		go func() { got <- b.ask("gw1", "POST", checkPath, "{}", long) }()
		time.Sleep(time.Second)
		began := time.Now()
		look := b.ask("gw1", "GET", "/v1/runs/"+ticket, "", map[string]string{"Rudder-Deadline": "1s"})
		is.Equal(look.fault().Code, 4004)
		is.Equal(look.fault().Outcome, "may have run")
		is.True(time.Since(began) <= 1100*time.Millisecond)
		is.Equal((<-got).fault().Code, 4004)
		is.Equal(time.Since(began), 19*time.Second)
		b.services["s"].SetFaults(standservice.Faults{})
	})
}

// TestVoidBeforeOrder: a gateway that froze with an order on its way is thawed
// after its caller was told "not run" through another one.
func TestVoidBeforeOrder(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.net = newNetwork()
		b.engine("a", nil)
		b.gateway("gw1")
		b.gateway("gw2")
		b.publish()
		ticket := b.buy("gw1", onceTicket)
		b.net.hold(outgoing("gw1"))
		got := make(chan reply, 1)
		header := map[string]string{"Rudder-Ticket": ticket, "Rudder-Deadline": "1m"}
		go func() { got <- b.ask("gw1", "POST", chatPath, chat("x", 40, true), header) }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(b.ask("gw2", "DELETE", "/v1/runs/"+ticket, "", nil).fault().Outcome, "not run")
		b.net.release()
		is.Equal((<-got).fault().Outcome, "not run")
		time.Sleep(time.Minute)
		is.Equal(b.engines["a"].Counts().Total, 0)
	})
}

// TestFrozenAgentDeadline: the gateway's own clock ends a request, before the
// connection to a frozen agent is found lost.
func TestFrozenAgentDeadline(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.net = newNetwork()
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		b.net.hold(agentAddr("a"))
		began := time.Now()
		r := b.ask("gw1", "POST", chatPath, chat("x", 4, false), map[string]string{"Rudder-Deadline": "500ms"})
		is.True(time.Since(began) < 550*time.Millisecond)
		is.Equal(r.fault().Code, 4004)
		is.Equal(r.fault().Outcome, "may have run")
		is.True(r.fault().Ticket != "") // it can be asked what became of it
		b.net.release()
	})
}

// TestCutStreamFreesEngine: a run whose stream broke is cancelled at its engine.
func TestCutStreamFreesEngine(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		b.engines["a"].SetFaults(standengine.Faults{CutAfterTokens: 5})
		r := b.ask("gw1", "POST", chatPath, chat("x", 1000, true), map[string]string{"Rudder-Repeatable": "false"})
		is.Equal(r.fault().Code, 4001)
		time.Sleep(time.Second) // the answer would take ten
		is.Equal(len(b.engines["a"].State().Running), 0)
	})
}
