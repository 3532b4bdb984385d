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
	// cellDeadline leaves time to find every order lost.
	cellDeadline = 20 * time.Second
	// pause is how long a caller waits before it asks again: by then every
	// gateway has noticed who is frozen.
	pause = 8 * time.Second
	// slack is what an answer may come after its deadline: the way of the last
	// message.
	slack = 50 * time.Millisecond
	// midAnswer is the time from an endpoint's start to the middle of its answer.
	midAnswer = 200 * time.Millisecond
	restartIn = time.Second
	recovery  = 10 * time.Second
)

// play is one cell being played.
type play struct {
	cell
	b *bubble
	v verdict

	mu      sync.Mutex
	due     bool   // the mishap has yet to happen
	target  string // endpoint that got the order
	order   []byte // body of the order
	address string // of the agent that got it
	late    []*bytes.Reader
	ticket  string
}

// the endpoints of a cell.
var pair = []string{"a", "b"}

// playCell plays one cell to its end and checks the invariants.
func playCell(b *bubble, c cell) *verdict {
	p := &play{cell: c, b: b, due: true}
	p.build()
	p.present("gw1")
	for _, gw := range []string{"gw2", "gw2"} {
		if !p.comesBack() {
			break
		}
		time.Sleep(pause)
		if len(p.v.answers) == 2 {
			p.mend()
		}
		p.present(gw)
	}
	p.mend()
	p.deliverLate()
	time.Sleep(recovery)
	p.settle()
	for _, g := range b.gateways {
		g.Close() // spares their heartbeats
	}
	time.Sleep(2 * b.answerKeep)
	p.check()
	return &p.v
}

// settled is the default policy without its dice, so that a cell has one course.
type settled struct{ routing.Policy }

// Choose implements routing.Policy.
func (s settled) Choose(req routing.Request, view []routing.Candidate, _ func(int) int, trace bool) routing.Decision {
	return s.Policy.Choose(req, view, func(int) int { return 0 }, trace)
}

func (p *play) build() {
	b := p.b
	b.net, b.wrap, b.work = newNetwork(), p.watch, 2*midAnswer
	b.policy = settled{routing.Default()}
	b.answerKeep = 90 * time.Second
	if p.step == atQueued {
		b.maxRunning = 1
	}
	for _, name := range pair {
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
		p.ticket = b.buy("gw1", p.ticketRequest())
	}
	if p.step == atQueued {
		p.occupy()
	}
}

func (p *play) ticketRequest() string {
	switch {
	case p.call && p.repeatable:
		return `{"service":"bid-api","count":1,"repeatable":true}`
	case p.call:
		return checkTicket
	case p.repeatable:
		return freeTicket
	default:
		return onceTicket
	}
}

// occupy keeps pair endpoints busy for a while.
func (p *play) occupy() {
	for _, name := range pair {
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

// ticketAt fetches tickets until one is for the endpoint.
func (p *play) ticketAt(name string) string {
	for {
		ticket := p.b.buy("gw2", p.ticketRequest())
		claims, err := p.b.signer.Parse(ticket)
		if err == nil && claims.Endpoint == name {
			return ticket
		}
	}
}

// comesBack reports whether the caller asks once more.
func (p *play) comesBack() bool {
	last := p.v.last()
	if last.notRun || len(p.v.answers) == 1 && p.step == atDelivered {
		return !last.notRun
	}
	return !last.whole && (p.repeatable || p.naming != byNothing)
}

// present asks once.
func (p *play) present(gw string) {
	if p.step == atOrdering {
		p.strike()
	}
	if p.step == atQueued && len(p.v.answers) == 0 {
		time.AfterFunc(50*time.Millisecond, func() { p.strike() })
	}
	began := time.Now()
	r := p.request(gw)
	took := time.Since(began)
	p.judge(r, took, gw == "gw1" && p.gatewayHit())
	if p.step == atDelivered {
		p.strike()
	}
}

// gatewayHit reports whether the mishap leaves the first gateway unable to answer.
func (p *play) gatewayHit() bool {
	return p.mishap == gatewayDies || p.mishap == gatewayHeld || p.mishap == everythingOff
}

func (p *play) request(gw string) reply {
	header := map[string]string{"Rudder-Deadline": cellDeadline.String(), "Rudder-Repeatable": "false"}
	if p.repeatable {
		header["Rudder-Repeatable"] = "true"
	}
	switch p.naming {
	case byTicket:
		header["Rudder-Ticket"] = p.ticket
		if held := p.v.last().text; held != "" && !p.call {
			header["Last-Event-ID"] = lastID(held)
		}
	case byKey:
		header["Idempotency-Key"] = "hour-12"
	}
	if p.call {
		return p.b.askFor(cellDeadline+2*time.Second, gw, "POST", checkPath, p.body(len(p.v.answers)), header)
	}
	return p.b.askFor(cellDeadline+2*time.Second, gw, "POST", chatPath, chat(p.prompt(len(p.v.answers)), cellTokens, true), header)
}

// prompt is what a presentation asks. Without a name each is a request of its
// own and can be told from the others.
func (p *play) prompt(presentation int) string {
	if p.naming == byNothing {
		return cellPrompt + " " + strconv.Itoa(presentation)
	}
	return cellPrompt
}

// body is the same of a call.
func (p *play) body(presentation int) string {
	if p.naming == byNothing {
		return cellBody + `,"ask":` + strconv.Itoa(presentation) + "}"
	}
	return cellBody + "}"
}

// watch sees every message at the processes' doors.
func (p *play) watch(addr string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == rudderv1connect.AgentServiceRunProcedure:
			p.atAgent(addr, w, r, next)
		case strings.HasPrefix(addr, "engine-") && r.Method == "POST" && p.isWork(r):
			p.atEndpoint(w, r, next)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// isWork reports whether a message to an endpoint is the cell's own request.
func (p *play) isWork(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return concerns(body)
}

// concerns reports whether a message carries the cell's own request.
func concerns(body []byte) bool {
	return bytes.Contains(body, []byte(cellPrompt)) || bytes.Contains(body, []byte(cellBody))
}

func (p *play) atAgent(addr string, w http.ResponseWriter, r *http.Request, next http.Handler) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !concerns(body) {
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
		p.strike()
		if p.mishap == agentDies || p.mishap == orderLate || p.mishap == messageLost || p.mishap == everythingOff {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(10 * latency) // what happened is seen by all
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	next.ServeHTTP(w, r)
}

func (p *play) atEndpoint(w http.ResponseWriter, r *http.Request, next http.Handler) {
	switch p.step {
	case atStarted:
		if p.strike() && p.mishap == endpointDies {
			panic(http.ErrAbortHandler)
		}
	case atAnswering:
		time.AfterFunc(midAnswer, func() { p.strike() })
	case atEnded:
		defer time.AfterFunc(latency*3/2, func() { p.strike() })
	}
	next.ServeHTTP(w, r)
}

// strike makes the mishap happen, once; it reports whether it did.
func (p *play) strike() bool {
	p.mu.Lock()
	due := p.due
	p.due = false
	p.mu.Unlock()
	if due {
		p.happen()
	}
	return due
}

// count reads the endpoints' own records of one presentation's request.
func (p *play) count(presentation int) (runs, resumes int) {
	for _, name := range pair {
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
