package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	sse "github.com/tmaxmax/go-sse"
)

const (
	maxEventBytes  = 4 << 20
	maxAnswerBytes = 64 << 20
)

// reply is how one presentation of a request ended.
type reply struct {
	final   Final // Whole and Damaged, or as told; empty when the connection broke
	problem problem
	ticket  string // the run's name, when one was learned
	refused bool   // no gateway took the connection; the request was not sent
}

// client speaks the callers' protocol with a list of gateways.
type client struct {
	http     *http.Client
	gateways []string // base URLs
	next     atomic.Uint64
}

// gateway returns the base URL for the next connection, as a balancer would.
func (c *client) gateway() string {
	return c.gateways[(c.next.Add(1)-1)%uint64(len(c.gateways))]
}

// tickets fetches a batch of tickets.
func (c *client) tickets(ctx context.Context, f Flow, count int) ([]string, error) {
	body, err := json.Marshal(ticketsRequest{Count: count, Model: f.Model, Repeatable: f.Repeatable})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.gateway()+pathTickets, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	c.authorize(req, f)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer drain(resp.Body)
	if resp.StatusCode/100 != 2 {
		return nil, errors.New("tickets: status " + strconv.Itoa(resp.StatusCode))
	}
	var out ticketsAnswer
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&out)
	return out.Tickets, err
}

// present sends a request and reads its answer into a. onText is called
// before each piece of text is added.
func (c *client) present(req *http.Request, a *assembly, onText func()) reply {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return reply{refused: !connected.Load()}
	}
	defer drain(resp.Body)
	r := reply{ticket: resp.Header.Get(headerTicket)}
	switch kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); {
	case resp.StatusCode/100 != 2:
		r.final, r.problem = readProblem(resp, kind)
	case kind == typeEvents:
		r.final, r.problem = readEvents(resp.Body, a, onText)
	default:
		r.final = readBody(resp.Body, a, onText)
	}
	return r
}

func (c *client) authorize(req *http.Request, f Flow) {
	req.Header.Set("Authorization", "Bearer "+f.Key)
	if req.Method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
}

// readProblem reads an error answer. One that is no problem document says
// nothing about execution.
func readProblem(resp *http.Response, kind string) (Final, problem) {
	var p problem
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return "", p
	}
	if kind != typeProblem || json.Unmarshal(body, &p) != nil {
		return Unknown, problem{Detail: "status " + strconv.Itoa(resp.StatusCode)}
	}
	if s, err := strconv.Atoi(resp.Header.Get(headerRetryAfter)); err == nil && p.RetryAfterMS == 0 {
		p.RetryAfterMS = int64(s) * int64(time.Second/time.Millisecond)
	}
	return p.final(), p
}

// readEvents reads a stream. It returns an empty Final when the stream broke
// off before its end.
func readEvents(body io.Reader, a *assembly, onText func()) (Final, problem) {
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return "", problem{}
		}
		switch {
		case ev.Type == eventRestart:
			a.restart()
		case ev.Type == eventError:
			var e errorEvent
			_ = json.Unmarshal([]byte(ev.Data), &e)
			return e.Error.final(), e.Error
		case ev.Data == endOfStream:
			return a.finish(), problem{}
		default:
			addEvent(ev, a, onText)
		}
	}
	return "", problem{}
}

func addEvent(ev sse.Event, a *assembly, onText func()) {
	text, err := parseText([]byte(ev.Data))
	if err != nil {
		a.fault("an event is not JSON")
		return
	}
	if text == "" {
		return
	}
	onText()
	a.add(text, ev.LastEventID)
}

func readBody(body io.Reader, a *assembly, onText func()) Final {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return ""
	}
	text, err := parseText(data)
	if err != nil {
		return ""
	}
	onText()
	a.text = []byte(text)
	return a.finish()
}

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxEventBytes))
	_ = body.Close()
}
