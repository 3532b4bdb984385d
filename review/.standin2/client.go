package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one request of a client.
type request struct {
	id, method, path, key string
	deadline              time.Duration
	header                map[string]string
}

// answer is what the client observed.
type answer struct {
	id          string
	sent, ended time.Time
	status      int // 0: no head arrived
	seal, body  string
	retryAfter  string
	err         error // why the answer did not end properly; nil: it is complete
}

func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, retry-after %q, seal %q, %d bytes, error %v, after %v", a.id, a.status, a.retryAfter, a.seal, len(a.body), a.err, a.ended.Sub(a.sent).Round(time.Millisecond))
}

// caseHost is the host of all routes.
const caseHost = "case.example"

// send sends a request to an address on a channel of its own and reads the answer.
func send(address string, q request) answer {
	a := answer{id: q.id, sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, DisableKeepAlives: false}
	defer t.CloseIdleConnections()
	r, err := http.NewRequest(q.method, "http://"+address+q.path, nil)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = caseHost
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	timer := time.AfterFunc(q.deadline, t.CloseIdleConnections)
	defer timer.Stop()
	client := &http.Client{Transport: t, Timeout: q.deadline}
	res, err := client.Do(r)
	if err != nil {
		a.err = err
		a.ended = time.Now()
		return a
	}
	defer func() { _ = res.Body.Close() }()
	p, err := io.ReadAll(res.Body)
	a.status, a.seal, a.retryAfter, a.body, a.err = res.StatusCode, res.Header.Get("Response-Seal"), res.Header.Get("Retry-After"), string(p), err
	a.ended = time.Now()
	return a
}
