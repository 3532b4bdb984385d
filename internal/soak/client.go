package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// request is one request as its client observed it.
type request struct {
	id            string
	kind          string // safe, once, stream, story or long
	key           string
	gateway       string
	sent          time.Time
	headerAt      time.Time // when the response header arrived; zero: it did not
	ended         time.Time
	status        int // 0: no header arrived
	seal          string
	statement     usersplatform.Statement // of the worker, from the response
	body          string
	err           error         // why the response did not end properly; nil for a complete one
	abandoned     bool          // the client disconnects before the end
	crashesWorker bool          // it ends each worker that begins it
	timeout       time.Duration // how long the client waits; 0: requestTimeout
	tokens        int           // of a long prompt
	parts         []string      // that its prompt shares with others
}

// client sends requests one after the other over connections that it keeps open until the process
// at the other end has ended.
type client struct {
	run        *run
	number     int
	random     *rand.Rand
	transports map[string]*http.Transport // by gateway
	// gateway is the only gateway that it uses; empty: any that is ready.
	gateway  string
	maxPause time.Duration // longest pause between two requests; zero: maxClientPause
}

// kinds holds the kinds of request; those that are listed more often are sent more often.
var kinds = []string{"safe", "safe", "once", "once", "stream", "stream", "stream", "story"}

// maxClientPause is the longest pause between two requests of a client.
const maxClientPause = 40 * time.Millisecond

func (c *client) loop(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		gateway := c.gateway
		if gateway == "" {
			gateway = c.run.pickReadyGateway(c.random)
		}
		if gateway == "" {
			time.Sleep(maxClientPause)
			continue
		}
		c.run.record(c.sendRandom(ctx, gateway, n))
		time.Sleep(time.Duration(c.random.Int64N(int64(cmp.Or(c.maxPause, maxClientPause)))))
	}
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// sendRandom sends one request of a random kind. One in 25 is abandoned by the client.
func (c *client) sendRandom(ctx context.Context, gateway string, n int) request {
	a := request{
		id: fmt.Sprintf("c%d-%d", c.number, n), kind: kinds[c.random.IntN(len(kinds))],
		key: c.run.pickKey(c.random), gateway: gateway,
	}
	if c.run.c.CrashPart && (a.kind == "stream" || a.kind == "story") {
		a.parts = harmlessParts(c.random)
	}
	if c.random.IntN(25) == 0 {
		a.abandoned = true
		var abandon context.CancelFunc
		ctx, abandon = context.WithTimeout(ctx, time.Duration(c.random.Int64N(int64(100*time.Millisecond))))
		defer abandon()
	}
	out := c.send(ctx, a, a.id)
	if c.run.prefersGateway() {
		c.transport(gateway).CloseIdleConnections()
	}
	return out
}

// send sends a request and reads the response.
func (c *client) send(ctx context.Context, a request, body string) request {
	if a.timeout == 0 {
		a.timeout = requestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.gateway+"/"+a.kind+"/x", strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = soakHost
	r.GetBody = nil // the transport must not resend requests on its own
	usersplatform.RequestHeader{ID: a.id, Key: a.key, Deadline: a.timeout, Tokens: a.tokens, Parts: a.parts}.Write(r.Header)
	a.sent = time.Now()
	res, err := c.transport(a.gateway).RoundTrip(r)
	if err == nil {
		a.headerAt, a.statement = time.Now(), usersplatform.StatementIn(res.Header)
		a.status, a.seal = res.StatusCode, usersplatform.SealIn(res.Header)
		var p []byte
		p, err = io.ReadAll(res.Body)
		a.body = string(p)
		_ = res.Body.Close()
	}
	a.err, a.ended = err, time.Now()
	return a
}

// requestTimeout is how long a client waits for a response.
const requestTimeout = 3 * time.Second

func (c *client) transport(gateway string) *http.Transport {
	t := c.transports[gateway]
	if t == nil {
		d := &net.Dialer{Timeout: time.Second}
		t = &http.Transport{DialContext: d.DialContext, DisableCompression: true}
		c.transports[gateway] = t
	}
	return t
}

// expectedBody returns the complete response body for a kind of request.
func expectedBody(kind, id string) string {
	if kind == "safe" || kind == "once" {
		return usersplatform.Body(id)
	}
	var b strings.Builder
	for n := 1; n <= usersplatform.StreamEvents; n++ {
		b.WriteString(usersplatform.Event(id, n))
	}
	return b.String()
}
