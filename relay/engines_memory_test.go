package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// testEngines are endpoints with memory, in one process under virtual time. They execute reserve
// and release orders, let reservations expire, and report the reservations and whether they are
// used. A script determines what happens to the requests.
type testEngines struct {
	script engineScript

	mu                 sync.Mutex
	alwaysUsed         bool          // reservations are reported as used, whatever the script does
	reserveDelay       time.Duration // how late a reservation is executed
	renewalDelay       time.Duration // how late a renewal is executed, even if its connection was closed
	noReports          bool          // queries get no response
	waiting            int           // queue length in the reports
	reserved, released int           // numbers of orders
	reports            int           // number of reports
	sent               []string
	reservations       map[string]*testReservation
	maxUnusedTime      time.Duration // longest time that any memory was reserved without use
}

// testReservation is memory reserved at one endpoint.
type testReservation struct {
	expiresAt   time.Time
	unusedSince time.Time // since when it is not used; zero: it is used
}

// engineScript handles the nth request to any of the endpoints, counted from 1.
type engineScript func(n int, r *engineRun)

// engineRun is one request at an endpoint.
type engineRun struct {
	engines      *testEngines
	reservations []string
	after        int // the event after which the stream resumes
	w            *bufio.Writer
	conn         net.Conn
	br           *bufio.Reader
}

func newTestEngines(script engineScript) *testEngines {
	return &testEngines{script: script, reservations: make(map[string]*testReservation)}
}

// dial connects to the endpoint at an address.
func (e *testEngines) dial(_ context.Context, address string) (net.Conn, error) {
	client, server := net.Pipe()
	go e.serve(address, server)
	return client, nil
}

func (e *testEngines) serve(address string, c net.Conn) {
	defer func() { _ = c.Close() }()
	br, bw := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		parts := strings.Split(r.RequestURI, "/")
		switch parts[1] {
		case "reserve", "release", "report":
			time.Sleep(e.orderDelay(parts))
			header, ok := e.handleOrder(parts)
			if !ok {
				return
			}
			_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", header)
		default:
			e.mu.Lock()
			e.sent = append(e.sent, address)
			n := len(e.sent)
			e.mu.Unlock()
			after, _ := strconv.Atoi(r.Header.Get("After")) // 0 if it is empty
			run := &engineRun{engines: e, reservations: r.Header["Reservation"], after: after, w: bw, conn: c, br: br}
			e.script(n, run)
			run.setUsed(false)
		}
		if bw.Flush() != nil {
			return
		}
	}
}

// orderDelay returns how late an order is executed.
func (e *testEngines) orderDelay(parts []string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case parts[1] != "reserve":
		return 0
	case e.reservations[parts[2]] == nil:
		return e.reserveDelay
	default:
		return e.renewalDelay
	}
}

// handleOrder executes an order, or returns the header of a report; ok is false if there is no
// response.
func (e *testEngines) handleOrder(parts []string) (header string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired()
	now := time.Now()
	switch parts[1] {
	case "reserve":
		e.reserved++
		hold, err := strconv.Atoi(parts[4])
		if err != nil {
			panic(err)
		}
		rv := e.reservations[parts[2]]
		if rv == nil {
			rv = &testReservation{unusedSince: now}
			e.reservations[parts[2]] = rv
		}
		rv.expiresAt = now.Add(time.Duration(hold) * time.Millisecond)
	case "release":
		e.released++
		e.endReservation(parts[2], now)
	case "report":
		e.reports++
		if e.noReports {
			return "", false
		}
		return fmt.Sprintf("Pace: 1\r\nWaiting: %d\r\n", e.waiting) + e.reservationHeader(), true
	}
	return "", true
}

// reservationHeader returns the header fields of a report that list the reservations. The caller
// holds mu.
func (e *testEngines) reservationHeader() (header string) {
	for id, rv := range e.reservations {
		if e.alwaysUsed || rv.unusedSince.IsZero() {
			header += "Used: " + id + "\r\n"
		} else {
			header += "Idle: " + id + "\r\n"
		}
	}
	return header
}

// removeExpired ends the reservations that were not renewed. The caller holds mu.
func (e *testEngines) removeExpired() {
	for id, rv := range e.reservations {
		if time.Now().After(rv.expiresAt) {
			e.endReservation(id, rv.expiresAt)
		}
	}
}

// endReservation releases memory at the given time. The caller holds mu.
func (e *testEngines) endReservation(id string, at time.Time) {
	rv := e.reservations[id]
	if rv == nil {
		return
	}
	if !rv.unusedSince.IsZero() {
		e.maxUnusedTime = max(e.maxUnusedTime, at.Sub(rv.unusedSince))
	}
	delete(e.reservations, id)
}

// orders returns the number of orders of each kind.
func (e *testEngines) orders() (reserved, released int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reserved, e.released
}

// longestUnused returns the longest time that any memory was reserved without use.
func (e *testEngines) longestUnused() time.Duration {
	longest, _ := e.memoryState()
	return longest
}

// memoryState returns the longest time that any memory was reserved without use, and the number of
// current reservations.
func (e *testEngines) memoryState() (maxUnusedTime time.Duration, reserved int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired()
	return e.maxUnusedTime, len(e.reservations)
}

func (e *testEngines) attempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sent)
}

// setUsed sets whether the request uses its memory from now on.
func (r *engineRun) setUsed(used bool) {
	e := r.engines
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired()
	for _, id := range r.reservations {
		rv := e.reservations[id]
		switch {
		case rv == nil:
		case used:
			if !rv.unusedSince.IsZero() {
				e.maxUnusedTime = max(e.maxUnusedTime, time.Since(rv.unusedSince))
			}
			rv.unusedSince = time.Time{}
		case rv.unusedSince.IsZero():
			rv.unusedSince = time.Now()
		}
	}
}

// waitInQueue waits in the endpoint's queue.
func (r *engineRun) waitInQueue(d time.Duration) {
	set := func(n int) {
		r.engines.mu.Lock()
		defer r.engines.mu.Unlock()
		r.engines.waiting = n
	}
	set(1)
	time.Sleep(d)
	set(0)
}

// hang sends nothing until the gateway closes the connection.
func (r *engineRun) hang() {
	_, _ = r.br.ReadByte()
}

// writeHead starts a stream.
func (r *engineRun) writeHead() {
	_, _ = r.w.WriteString("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	_ = r.w.Flush()
}

// writeEvent writes one event of a stream, unless the caller already has it.
func (r *engineRun) writeEvent(id int) {
	if id <= r.after {
		return
	}
	text := fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id)
	_, _ = fmt.Fprintf(r.w, "%x\r\n%s\r\n", len(text), text)
	_ = r.w.Flush()
}

// endStream ends a stream.
func (r *engineRun) endStream() {
	_, _ = r.w.WriteString("0\r\n\r\n")
	_ = r.w.Flush()
}
