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

// asked is one request as its client saw it.
type asked struct {
	id        string
	kind      string // safe, once, stream, story
	key       string
	gateway   string
	sent      time.Time
	headAt    time.Time // when the head of the answer came; zero: it did not
	ended     time.Time
	status    int // 0: no head came
	seal      string
	said      usersplatform.Said // of the worker, by the answer
	body      string
	broken    error         // why the answer did not end well; nil for a whole one
	abandoned bool          // the client left before the end
	crashing  bool          // it ends each worker that begins it
	patience  time.Duration // how long the client waits; 0: requestTime
	tokens    int           // of a long prompt
}

// client sends requests one after the other over connections that it keeps
// until the process at the other end is gone.
type client struct {
	run    *run
	number int
	random *rand.Rand
	http   map[string]*http.Transport // by gateway
	// gateway is the only one that it asks; empty: any that is ready.
	gateway string
	pause   time.Duration // longest between two requests; zero: clientPause
}

// kinds are the kinds of request and how often they are sent.
var kinds = []string{"safe", "safe", "once", "once", "stream", "stream", "stream", "story"}

// clientPause is the longest pause between two requests of a client.
const clientPause = 40 * time.Millisecond

func (c *client) loop(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		gateway := c.gateway
		if gateway == "" {
			gateway = c.run.pickGateway(c.random)
		}
		if gateway == "" {
			time.Sleep(clientPause)
			continue
		}
		c.run.record(c.ask(ctx, gateway, n))
		time.Sleep(time.Duration(c.random.Int64N(int64(cmp.Or(c.pause, clientPause)))))
	}
	for _, t := range c.http {
		t.CloseIdleConnections()
	}
}

// ask sends one request and reads the whole answer.
func (c *client) ask(ctx context.Context, gateway string, n int) asked {
	a := asked{
		id: fmt.Sprintf("c%d-%d", c.number, n), kind: kinds[c.random.IntN(len(kinds))],
		key: c.run.pickKey(c.random), gateway: gateway,
	}
	if c.random.IntN(25) == 0 {
		a.abandoned = true
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, time.Duration(c.random.Int64N(int64(100*time.Millisecond))))
		defer leave()
	}
	return c.send(ctx, a, a.id)
}

// send sends the request and reads the answer.
func (c *client) send(ctx context.Context, a asked, body string) asked {
	if a.patience == 0 {
		a.patience = requestTime
	}
	ctx, cancel := context.WithTimeout(ctx, a.patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.gateway+"/"+a.kind+"/x", strings.NewReader(body))
	if err != nil {
		a.broken = err
		return a
	}
	r.Host = soakHost
	r.GetBody = nil // nothing is sent twice behind the soak's back
	usersplatform.Ask{ID: a.id, Key: a.key, Deadline: a.patience, Tokens: a.tokens}.Write(r.Header)
	a.sent = time.Now()
	res, err := c.transport(a.gateway).RoundTrip(r)
	if err == nil {
		a.headAt, a.said = time.Now(), usersplatform.Saying(res.Header)
		a.status, a.seal = res.StatusCode, usersplatform.SealIn(res.Header)
		var p []byte
		p, err = io.ReadAll(res.Body)
		a.body = string(p)
		_ = res.Body.Close()
	}
	a.broken, a.ended = err, time.Now()
	return a
}

// requestTime is how long a client waits for an answer.
const requestTime = 3 * time.Second

func (c *client) transport(gateway string) *http.Transport {
	t := c.http[gateway]
	if t == nil {
		d := &net.Dialer{Timeout: time.Second}
		t = &http.Transport{DialContext: d.DialContext, DisableCompression: true}
		c.http[gateway] = t
	}
	return t
}

// want returns the whole answer to a request of the kind.
func want(kind, id string) string {
	if kind == "safe" || kind == "once" {
		return usersplatform.Body(id)
	}
	var b strings.Builder
	for n := 1; n <= usersplatform.StreamEvents; n++ {
		b.WriteString(usersplatform.Event(id, n))
	}
	return b.String()
}
