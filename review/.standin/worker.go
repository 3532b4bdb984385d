package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one execution of a request at a worker.
type run struct {
	worker string
	sound  bool // whether the worker never spoils an answer
	at     time.Time
}

// ledger records what workers ran, by request id.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (l *ledger) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// text returns the runs of a request for the record.
func (l *ledger) text(id string) string {
	var out []string
	for _, r := range l.of(id) {
		out = append(out, r.worker)
	}
	if out == nil {
		return "no worker"
	}
	return strings.Join(out, ", ")
}

// worker is a stand-in for one incarnation of a worker.
type worker struct {
	id, service, zone, address string
	stream                     bool
	slots                      chan struct{}
	work                       time.Duration
	ledger                     *ledger
	record                     *record
	// spoil decides whether an answer is spoiled; nil: the worker is sound.
	spoil func() bool
	// spoilRate is how many bytes a second a spoiled answer has.
	spoilRate int
	reads     readings
}

// readings are the times in which an engine reads a long prompt, and its other requests wait.
type readings struct {
	began                 time.Time
	every, length, offset time.Duration // zero: there are none
}

// wait waits until no long prompt is read.
func (r readings) wait() {
	if r.every == 0 {
		return
	}
	if in := (time.Since(r.began) + r.offset) % r.every; in < r.length {
		time.Sleep(r.length - in)
	}
}

const (
	streamEvents  = 32
	eventInterval = 80 * time.Millisecond
	queueLength   = 24
)

func (w *worker) start(ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return nil
}

func (w *worker) announce(p *platform, slots int) {
	p.store.Put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1,
	})
}

func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.answer(c, r) {
			return
		}
	}
}

func writeAnswer(c net.Conn, id, status, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
	return err == nil
}

// answer answers one request; it reports whether the channel stays open.
func (w *worker) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	switch {
	case r.Header.Get("Expect-Instance") != w.id:
		return writeAnswer(c, id, "421 Misdirected Request", "Not-Executed: 1\r\n", "")
	case r.URL.Path == "/health":
		return writeAnswer(c, id, "200 OK", "Served-By: "+w.id+"\r\n", "")
	case r.URL.Path == "/report":
		return writeAnswer(c, id, "200 OK", "Content-Type: application/json\r\n",
			fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":%d,"kvUsed":0,"kvTotal":232000,"handles":0,"pace":1}`, len(w.slots)))
	case r.URL.Path == "/order":
		return writeAnswer(c, id, "409 Conflict", "", "")
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-time.After(500 * time.Millisecond):
		return writeAnswer(c, id, "503 Service Unavailable", "Not-Executed: 1\r\n", "")
	}
	w.ledger.add(id, run{w.id, w.spoil == nil, time.Now()})
	time.Sleep(w.work + w.prefill(r))
	if w.spoil != nil && w.spoil() {
		w.sendNoAnswer(c, id)
		return false
	}
	if w.stream {
		return w.sendStream(c, r)
	}
	return writeAnswer(c, id, "200 OK", "Response-Seal: "+seal(id)+"\r\n", body(id))
}

// prefill returns how long an engine reads the prompt of a request, with its helpers, at the speed on the sheet.
func (w *worker) prefill(r *http.Request) time.Duration {
	if !w.stream {
		return 0
	}
	const tokensPerMs, msPerMillionPairs = 206, 0.138
	text, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.ParseFloat(text, 64)
	ms := tokens/tokensPerMs + msPerMillionPairs*tokens*tokens/2e6
	if helpers := r.Header.Get("Helpers"); helpers != "" {
		ms /= float64(2 + strings.Count(helpers, ","))
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (w *worker) sendStream(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, seal(id)); err != nil {
		return false
	}
	for n := after + 1; n <= streamEvents; n++ {
		w.reads.wait()
		e := event(id, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		time.Sleep(eventInterval)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// sendNoAnswer sends bytes that are not an answer until the channel is closed: the text of one long line.
func (w *worker) sendNoAnswer(c net.Conn, id string) {
	const interval = 5 * time.Millisecond
	part := []byte(strings.Repeat("[0.0123,0.4567],", w.spoilRate/int(time.Second/interval)/16))
	began, sent := time.Now(), 0
	for {
		n, err := c.Write(part)
		sent += n
		if err != nil || time.Since(began) > 15*time.Second {
			w.record.event("%s: spoiled the answer to %s with %d MB in %d ms", w.id, id, sent>>20, time.Since(began).Milliseconds())
			return
		}
		time.Sleep(max(0, time.Duration(float64(sent)/float64(w.spoilRate)*float64(time.Second))-time.Since(began)))
	}
}

func seal(id string) string         { return "seal-" + id }
func body(id string) string         { return strings.Repeat(id+".", 40) }
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }
