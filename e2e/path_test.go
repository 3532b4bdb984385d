package e2e

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const chatPath = "/v1/chat/completions"

func TestCompletionStreamed(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		r := b.ask("gw1", "POST", chatPath, chat("price for hour 12", 40, true), nil)
		is.NoErr(r.err)
		is.Equal(r.status, 200)
		is.Equal(r.text, answerTo("price for hour 12", 40))
		is.True(r.done)
		is.True(r.header.Get("Rudder-Ticket") != "")
		is.Equal(r.lastID, "160")
	})
}

func TestCompletionWhole(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		r := b.ask("gw1", "POST", chatPath, chat("a summary", 10, false), nil)
		is.Equal(r.status, 200)
		is.True(strings.Contains(r.body, answerTo("a summary", 10)))
		is.True(strings.Contains(r.body, `"object":"chat.completion"`))
	})
}

func TestServiceCall(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		r := b.ask("gw1", "POST", "/services/bid-api/positions/check?hour=12", `{"mw":5}`, nil)
		is.Equal(r.status, 200)
		is.True(strings.Contains(r.body, "positions/check"))
		is.Equal(b.services["s"].Counts().Total, 1)
	})
}

func TestBadInput(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		code                     float64
	}{
		{"malformed", "POST", chatPath, "{", nil, 400, 2001},
		{"no model", "POST", chatPath, `{"messages":[]}`, nil, 400, 2001},
		{"no prompt", "POST", chatPath, `{"model":"rudder-llm"}`, nil, 400, 2001},
		{"unknown model", "POST", chatPath, `{"model":"x","prompt":"y"}`, nil, 404, 2004},
		{"too long", "POST", chatPath, `{"model":"rudder-llm","prompt":"y","max_tokens":2000000}`, nil, 400, 2007},
		{"wrong key", "POST", chatPath, chat("x", 1, false), map[string]string{"Authorization": "Bearer no"}, 401, 2003},
		{"deadline", "POST", chatPath, chat("x", 1, false), map[string]string{"Rudder-Deadline": "soon"}, 400, 2012},
		{"repeatable", "POST", chatPath, chat("x", 1, false), map[string]string{"Rudder-Repeatable": "maybe"}, 400, 2012},
		{"ticket", "POST", chatPath, chat("x", 1, false), map[string]string{"Rudder-Ticket": "abc"}, 400, 2008},
		{"offset", "POST", chatPath, chat("x", 1, false), map[string]string{"Last-Event-ID": "-1"}, 400, 2012},
		{"unknown service", "GET", "/services/none/x", "", nil, 404, 2005},
		{"unknown path", "GET", "/v2/x", "", nil, 405, 2014},
		{"ticket count", "POST", "/v1/tickets", `{"model":"rudder-llm","count":0}`, nil, 400, 2001},
		{"too large", "POST", chatPath, chat(strings.Repeat("x", 17<<20), 1, false), nil, 413, 2002},
	}
	runSession(t, func(b *cluster) {
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		for _, c := range cases {
			is := is.New(b.t)
			r := b.ask("gw1", c.method, c.path, c.body, c.header)
			var p map[string]any
			if err := json.Unmarshal([]byte(r.body), &p); err != nil {
				b.t.Fatalf("%s: status %d %q %v %v", c.name, r.status, r.body, err, r.err)
			}
			b.t.Log(c.name, r.body)
			is.Equal(r.status, c.status)
			is.Equal(p["code"], c.code)
			is.Equal(p["outcome"], "not run")
		}
		is := is.New(b.t)
		is.Equal(b.ask("gw1", "POST", chatPath, chat("after", 3, false), nil).status, 200)
	})
}

func TestSlowSender(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		c, err := b.dial(b.t.Context(), "tcp", "gw1")
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		began := time.Now()
		_, err = c.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + bearer + "\r\nContent-Length: 100\r\n\r\n{"))
		is.NoErr(err)
		buf := make([]byte, 4096)
		n, err := c.Read(buf)
		is.NoErr(err)
		is.True(strings.Contains(string(buf[:n]), "2013"))
		is.Equal(time.Since(began), 10*time.Second)
	})
}
