package usersplatform

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// EndlessBody is the body of requests that workers of kind stream answer with events until the
// connection is closed.
const EndlessBody = "endless"

// Stall is a stream of which a worker sent one event and then nothing.
type Stall struct {
	Worker    string
	LastEvent int // number of the event
	At        time.Time
}

// EndlessRun is a response that went on until the connection was closed.
type EndlessRun struct {
	ID       string
	From, To time.Time
}

// FirstStall returns the first stall of a request.
func (l *Ledger) FirstStall(id string) (Stall, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.stalls[id]
	return s, ok
}

// EndlessRuns returns the endless responses that have ended.
func (l *Ledger) EndlessRuns() []EndlessRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]EndlessRun(nil), l.endless...)
}

// AddStall records a stall; only the first one of a request counts.
func (l *Ledger) AddStall(id string, s Stall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.stalls[id]; !ok {
		l.stalls[id] = s
	}
}

// AddEndlessRun records an endless response that has ended.
func (l *Ledger) AddEndlessRun(e EndlessRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endless = append(l.endless, e)
}

// stall sends one event and then nothing until the gateway closes the connection.
func (w *Worker) stall(c net.Conn, br *bufio.Reader, r *http.Request, id string, statement Statement) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if after+1 >= StreamEvents {
		return w.stream(c, r, id, statement, false)
	}
	event := Event(id, after+1)
	if !writeStreamHead(c, id, statement, false) {
		return false
	}
	if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
		return false
	}
	w.ledger.AddStall(id, Stall{w.ID, after + 1, time.Now()})
	_, _ = br.ReadByte()
	return false
}

// streamEndlessly sends events until the gateway closes the connection.
func (w *Worker) streamEndlessly(c net.Conn, id string, statement Statement) bool {
	run := EndlessRun{ID: id, From: time.Now()}
	if !writeStreamHead(c, id, statement, false) {
		return false
	}
	event := "data: " + strings.Repeat("x", 8<<10) + "\n\n"
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			run.To = time.Now()
			w.ledger.AddEndlessRun(run)
			return false
		}
	}
}
