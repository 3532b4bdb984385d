package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client, with what the client saw of it.
type request struct {
	id, route, key, front string
	kept                  bool // whether the channel had carried a request before
	sentAt, endedAt       time.Time
	status                int    // 0: no head of an answer arrived
	received              int    // bytes of the body
	complete              bool   // whether the answer ended as HTTP says
	problem               string // what is wrong with a complete answer; empty: nothing
	err                   error
}

// route is one kind of request.
type route struct {
	name, method, key string
	stream            bool
	deadline          time.Duration
	tokens            int
	body              func() (data []byte, chunked bool)
}

// client sends requests one after the other on one kept channel, which it opens again when it ends.
type client struct {
	p       *platform
	number  int
	random  *rand.Rand
	channel net.Conn
	br      *bufio.Reader
	front   *front
	used    int
	tries   int
}

// log collects the requests of all clients.
type log struct {
	mu       sync.Mutex
	requests []request
}

func (l *log) add(q request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, q)
}

func (c *client) close() {
	if c.channel != nil {
		_ = c.channel.Close()
		c.channel = nil
	}
}

// connect opens a channel if none is open.
func (c *client) connect() error {
	if c.channel != nil {
		return nil
	}
	c.front = c.p.entry(c.number, c.tries)
	channel, err := net.DialTimeout("tcp", c.front.address(), time.Second)
	if err != nil {
		c.tries++
		return err
	}
	c.channel, c.br, c.used = channel, bufio.NewReader(channel), 0
	return nil
}

// send sends one request and reads its answer.
func (c *client) send(r route, id string) (request, bool) {
	if err := c.connect(); err != nil {
		return request{}, false
	}
	q := request{id: id, route: r.name, key: r.key, front: c.front.name, kept: c.used > 0, sentAt: time.Now()}
	c.used++
	_ = c.channel.SetDeadline(q.sentAt.Add(r.deadline + time.Second))
	c.exchange(r, &q)
	q.endedAt = time.Now()
	if q.err != nil {
		c.tries++
		c.close()
	}
	return q, true
}

func (c *client) exchange(r route, q *request) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.name, hostName, q.id, r.deadline.Milliseconds(), r.key)
	if r.tokens > 0 {
		fmt.Fprintf(&head, "Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: 5c1e07a2:40,%x:%d\r\n", r.tokens, 32*43, q.id, r.tokens-40)
	}
	var data []byte
	chunked := false
	if r.body != nil {
		data, chunked = r.body()
	}
	switch {
	case chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case r.method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(data))
	default:
		head.WriteString("\r\n")
	}
	if _, q.err = io.WriteString(c.channel, head.String()); q.err != nil {
		return
	}
	written := make(chan error, 1)
	channel := c.channel
	go func() { written <- writeBody(channel, data, chunked) }()
	res, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		q.err = err
		c.close()
		<-written
		return
	}
	q.status = res.StatusCode
	answer, err := io.ReadAll(res.Body)
	q.received, q.err, q.complete = len(answer), err, err == nil
	if q.complete {
		q.problem = check(r, q, res, string(answer))
	}
	if res.Close || !q.complete {
		c.close()
	}
	if err := <-written; err != nil {
		c.close()
	}
}

func writeBody(w io.Writer, data []byte, chunked bool) error {
	const chunk = 64 << 10
	if !chunked {
		_, err := w.Write(data)
		return err
	}
	for len(data) > 0 {
		n := min(chunk, len(data))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// check returns what is wrong with a complete answer.
func check(r route, q *request, res *http.Response, answer string) string {
	if res.StatusCode/100 != 2 {
		return ""
	}
	want := body(q.id)
	if r.stream {
		want = ""
		for n := 1; n <= streamEvents; n++ {
			want += event(q.id, n)
		}
	}
	switch {
	case res.Header.Get("Request-Id") != q.id:
		return "the answer belongs to another request"
	case res.Header.Get("Response-Seal") != seal(q.id):
		return "the success lacks the seal of its worker"
	case answer != want:
		return "the success has another body than the worker's"
	}
	return ""
}

// pauseAfterFailure is the least time between a request that failed and the next one of the same client.
const pauseAfterFailure = time.Second

// loop sends requests with pauses until ctx ends.
func (c *client) loop(ctx context.Context, l *log, pick func(*rand.Rand) route, pause func(*rand.Rand) time.Duration) {
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		r := pick(c.random)
		q, sent := c.send(r, fmt.Sprintf("%04x%04x%08x", c.number, n, c.random.Uint32()))
		if sent {
			l.add(q)
		}
		wait := pause(c.random)
		if !sent || q.err != nil {
			wait = max(wait, pauseAfterFailure)
		}
		if q.err != nil || q.status/100 != 2 {
			c.p.record.event("client %d: %s %s at %s, kept channel %v: status %d, %d bytes, %v", c.number, q.route, q.id, q.front, q.kept, q.status, q.received, q.err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}
