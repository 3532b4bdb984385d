package e2e

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/micarudder/micarudder/internal/standin/answer"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

const (
	cellPrompt = "position at hour 12"
	cellTokens = 40
	cellBody   = `{"hour":12`
	// cellDeadline leaves enough time to detect that every order was lost.
	cellDeadline = 20 * time.Second
	// retryPause is how long a caller waits before it asks again. By then every
	// gateway has detected the frozen processes.
	retryPause = 8 * time.Second
	// deadlineSlack is how long after its deadline an answer may arrive: the
	// latency of the last message.
	deadlineSlack = 50 * time.Millisecond
	// midAnswer is the time from the endpoint's start of a run to the middle of
	// its answer.
	midAnswer    = 200 * time.Millisecond
	restartDelay = time.Second
	recoveryTime = 10 * time.Second
)

// cellRun is the execution of one cell.
type cellRun struct {
	cell
	b      *cluster
	result cellResult

	mu         sync.Mutex
	pending    bool   // the failure has yet to happen
	target     string // endpoint that received the first order
	order      []byte // body of the first order
	address    string // of the agent that received it
	lateOrders []*bytes.Reader
	restarting sync.Mutex // held while an agent is started again
	ticket     string
}

// cellEndpoints are the endpoints of a cell.
var cellEndpoints = []string{"a", "b"}

// runCell runs one cell to its end and checks the invariants.
func runCell(b *cluster, c cell) *cellResult {
	p := &cellRun{cell: c, b: b, pending: true}
	p.build()
	p.present("gw1")
	for _, gw := range []string{"gw2", "gw2"} {
		if !p.presentsAgain() {
			break
		}
		time.Sleep(retryPause)
		if len(p.result.answers) == 2 {
			p.endFailures()
		}
		p.present(gw)
	}
	p.endFailures()
	p.deliverLate()
	time.Sleep(recoveryTime)
	p.voidUnknown()
	for _, g := range b.gateways {
		g.Close() // saves simulating their heartbeats
	}
	time.Sleep(2 * b.answerKeep)
	p.check()
	return &p.result
}

// deterministicPolicy is the default policy without random choices, so that a
// cell always takes the same course.
type deterministicPolicy struct{ routing.Policy }

// Choose implements routing.Policy.
func (s deterministicPolicy) Choose(req routing.Request, view []routing.Candidate, _ func(int) int, trace bool) routing.Decision {
	return s.Policy.Choose(req, view, func(int) int { return 0 }, trace)
}

func (p *cellRun) build() {
	b := p.b
	b.network, b.wrapHandler, b.serviceTime = newNetwork(), p.intercept, 2*midAnswer
	b.policy = deterministicPolicy{routing.Default()}
	b.answerKeep = 90 * time.Second
	if p.step == atQueued {
		b.maxRunning = 1
	}
	for _, name := range cellEndpoints {
		if p.call {
			b.service(name, "bid-api")
		} else {
			b.engine(name, nil)
		}
	}
	b.gateway("gw1")
	b.gateway("gw2")
	b.publish()
	if p.naming == byTicket {
		p.ticket = b.fetchTicket("gw1", p.ticketRequest())
	}
	if p.step == atQueued {
		p.occupyEndpoints()
	}
}

func (p *cellRun) ticketRequest() string {
	switch {
	case p.call && p.repeatable:
		return `{"service":"bid-api","count":1,"repeatable":true}`
	case p.call:
		return serviceTicket
	case p.repeatable:
		return repeatableTicket
	default:
		return onceTicket
	}
}

// occupyEndpoints keeps both endpoints busy for a while.
func (p *cellRun) occupyEndpoints() {
	for _, name := range cellEndpoints {
		ticket := p.ticketAt(name)
		header := map[string]string{"Rudder-Ticket": ticket}
		done := make(chan reply, 1)
		go func() {
			if p.call {
				done <- p.b.ask("gw2", "POST", checkPath, "blocker", header)
				return
			}
			done <- p.b.ask("gw2", "POST", chatPath, chat("blocker", 2*cellTokens, true), header)
		}()
	}
	time.Sleep(50 * time.Millisecond)
}

// ticketAt fetches tickets until one names the endpoint.
func (p *cellRun) ticketAt(name string) string {
	for {
		ticket := p.b.fetchTicket("gw2", p.ticketRequest())
		claims, err := p.b.signer.Parse(ticket)
		if err == nil && claims.Endpoint == name {
			return ticket
		}
	}
}

// presentsAgain reports whether the caller presents the request again.
func (p *cellRun) presentsAgain() bool {
	last := p.result.last()
	if last.notRun || len(p.result.answers) == 1 && p.step == atDelivered {
		return !last.notRun
	}
	return !last.whole && (p.repeatable || p.naming != withoutName)
}

// present presents the request once through a gateway.
func (p *cellRun) present(gw string) {
	if p.step == atOrdering {
		p.trigger()
	}
	if p.step == atQueued && len(p.result.answers) == 0 {
		time.AfterFunc(50*time.Millisecond, func() { p.trigger() })
	}
	began := time.Now()
	r := p.request(gw)
	took := time.Since(began)
	p.record(r, took, gw == "gw1" && p.gatewayAffected())
	if p.step == atDelivered {
		p.trigger()
	}
}

// gatewayAffected reports whether the failure leaves the first gateway unable
// to answer.
func (p *cellRun) gatewayAffected() bool {
	return p.failure == gatewayDies || p.failure == gatewayFrozen || p.failure == gatewayAndAgentDie
}

func (p *cellRun) request(gw string) reply {
	header := map[string]string{"Rudder-Deadline": cellDeadline.String(), "Rudder-Repeatable": "false"}
	if p.repeatable {
		header["Rudder-Repeatable"] = "true"
	}
	switch p.naming {
	case byTicket:
		header["Rudder-Ticket"] = p.ticket
		if held := p.result.last().text; held != "" && !p.call {
			header["Last-Event-ID"] = lastID(held)
		}
	case byKey:
		header["Idempotency-Key"] = "hour-12"
	}
	if p.call {
		return p.b.askWithin(cellDeadline+2*time.Second, gw, "POST", checkPath, p.body(len(p.result.answers)), header)
	}
	return p.b.askWithin(cellDeadline+2*time.Second, gw, "POST", chatPath, chat(p.prompt(len(p.result.answers)), cellTokens, true), header)
}

// prompt returns the prompt of a presentation. Presentations of an unnamed
// request are separate requests with different prompts, so that their runs can
// be told apart.
func (p *cellRun) prompt(presentation int) string {
	if p.naming == withoutName {
		return cellPrompt + " " + strconv.Itoa(presentation)
	}
	return cellPrompt
}

// body returns the body of a service call, which differs between presentations
// in the same way.
func (p *cellRun) body(presentation int) string {
	if p.naming == withoutName {
		return cellBody + `,"ask":` + strconv.Itoa(presentation) + "}"
	}
	return cellBody + "}"
}

// intercept wraps the handler of every server and passes the messages that
// concern the cell to atAgent and atEndpoint.
func (p *cellRun) intercept(addr string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == rudderv1connect.AgentServiceRunProcedure:
			p.atAgent(addr, w, r, next)
		case strings.HasPrefix(addr, "engine-") && r.Method == "POST" && p.isCellRequest(r):
			p.atEndpoint(w, r, next)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// isCellRequest reports whether a request to an endpoint is the cell's own.
func (p *cellRun) isCellRequest(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return carriesCellRequest(body)
}

// carriesCellRequest reports whether a message body contains the cell's own
// request.
func carriesCellRequest(body []byte) bool {
	return bytes.Contains(body, []byte(cellPrompt)) || bytes.Contains(body, []byte(cellBody))
}

func (p *cellRun) atAgent(addr string, w http.ResponseWriter, r *http.Request, next http.Handler) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !carriesCellRequest(body) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
		return
	}
	p.mu.Lock()
	first := p.order == nil
	if first {
		p.order, p.address = body, addr
		p.target = strings.TrimSuffix(strings.TrimPrefix(addr, "agent-"), ":7100")
	}
	p.mu.Unlock()
	if first && p.step == atOrdered {
		p.trigger()
		if p.failure == agentDies || p.failure == orderLate || p.failure == connectionCut || p.failure == gatewayAndAgentDie {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(10 * latency) // lets every process see the failure
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	next.ServeHTTP(w, r)
}

func (p *cellRun) atEndpoint(w http.ResponseWriter, r *http.Request, next http.Handler) {
	switch p.step {
	case atStarted:
		if p.trigger() && p.failure == endpointDies {
			panic(http.ErrAbortHandler)
		}
	case atAnswering:
		time.AfterFunc(midAnswer, func() { p.trigger() })
	case atEnded:
		defer time.AfterFunc(latency*3/2, func() { p.trigger() })
	}
	next.ServeHTTP(w, r)
}

// trigger makes the failure happen once and reports whether this call did so.
func (p *cellRun) trigger() bool {
	p.mu.Lock()
	pending := p.pending
	p.pending = false
	p.mu.Unlock()
	if pending {
		p.injectFailure()
	}
	return pending
}

// count returns how often the endpoints ran and resumed one presentation's
// request by their own records.
func (p *cellRun) count(presentation int) (runs, resumes int) {
	for _, name := range cellEndpoints {
		if e := p.b.engines[name]; e != nil {
			c, key := e.Counts(), answer.KeyOf(p.prompt(presentation)).String()
			runs += c.ByPrompt[key]
			resumes += c.Resumes[key]
			continue
		}
		runs += p.b.services[name].Counts().ByCall["POST /positions/check "+p.body(presentation)]
	}
	return runs, resumes
}
