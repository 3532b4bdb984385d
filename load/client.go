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

// reply describes how one presentation or reattachment ended.
type reply struct {
	final        Final // Whole or Damaged, or from the reported outcome; empty when the connection broke
	problem      problem
	ticket       string // the run's ticket, if the gateway returned one
	notConnected bool   // no connection was established; the request was not sent
}

// client implements the callers' protocol against a list of gateways.
type client struct {
	http     *http.Client
	gateways []string // base URLs
	next     atomic.Uint64
}

// gateway returns the base URL for the next request, in round-robin order.
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
		return nil, errors.New("fetch tickets: HTTP status " + strconv.Itoa(resp.StatusCode))
	}
	var out ticketsAnswer
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&out)
	return out.Tickets, err
}

// present sends a request and reads its answer into a. It calls onText before
// each chunk of text is added.
func (c *client) present(req *http.Request, a *assembly, onText func()) reply {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return reply{notConnected: !connected.Load()}
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

// readProblem reads an error response. A response without a problem document
// yields Unknown because it does not tell whether the request ran.
func readProblem(resp *http.Response, kind string) (Final, problem) {
	var p problem
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return "", p
	}
	if kind != typeProblem || json.Unmarshal(body, &p) != nil {
		return Unknown, problem{Detail: "no problem document, HTTP status " + strconv.Itoa(resp.StatusCode)}
	}
	if s, err := strconv.Atoi(resp.Header.Get(headerRetryAfter)); err == nil && p.RetryAfterMS == 0 {
		p.RetryAfterMS = int64(s) * int64(time.Second/time.Millisecond)
	}
	return p.final(), p
}

// readEvents reads an event stream. It returns an empty Final when the stream
// broke off before its end.
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
		a.markDamaged("event data is not valid JSON")
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
