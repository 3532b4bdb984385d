package usersplatform

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// flood is a form of response that fills the memory of a receiver which does not bound it.
type flood struct {
	begin    func(id string) string
	repeated string // sent again and again; empty: nothing follows
}

// heldBytes is how much of a response is sent before its end is held back.
const heldBytes = 1_000_000

// floods are the forms of the responses to requests of kind stream; those of kind plain get the first ones that
// are not streams.
var floods = []flood{
	{func(string) string { return "" }, "[0.0123,0.4567],"},
	{func(id string) string { return statusLine(id) + "X: " }, "abcdefgh"},
	{statusLine, "X-Field: value\r\n"},
	{func(string) string { return "" }, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{func(id string) string { return statusLine(id) + manyFields(62<<10) + "Content-Length: 100\r\n\r\n" }, ""},
	{func(id string) string {
		return statusLine(id) + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 65000)
	}, ""},
	// Of streams only:
	{func(id string) string { return chunkedHead(id) + "1;" }, "extension="},
	{func(id string) string { return chunkedHead(id) + "0\r\n" }, "Trailer: value\r\n"},
	{func(id string) string { return chunkedHead(id) + chunkOf(heldBytes) + "data: " }, "x"},
	{func(id string) string {
		return chunkedHead(id) + chunkOf(heldBytes) + "data: " + strings.Repeat("x", heldBytes-100)
	}, ""},
	{func(id string) string {
		return statusLine(id) + manyFields(62<<10) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	}, ""},
}

// plainFloods is the number of forms that are not streams.
const plainFloods = 6

const (
	// floodRate is how many bytes a second a flood has.
	floodRate = 60 << 20
	floodPart = 64 << 10
	// maxFloodTime is how long a worker goes on if the gateway does not close the connection.
	maxFloodTime = 10 * time.Second
)

func statusLine(id string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: " + Seal(id) + "\r\n"
}

func chunkedHead(id string) string {
	return statusLine(id) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunkOf(size int) string { return fmt.Sprintf("%x\r\n", size) }

// manyFields returns header fields with short names, which occupy many times their text once they are parsed.
func manyFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// drawFlood returns the form of the response if the request gets one that fills memory.
func (w *Worker) drawFlood(share float64) (f flood, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if share == 0 || w.flooding.Float64() >= share {
		return flood{}, false
	}
	if w.Kind == "plain" {
		return floods[w.flooding.IntN(plainFloods)], true
	}
	return floods[w.flooding.IntN(len(floods))], true
}

// flood sends a response that fills memory until the gateway closes the connection.
func (w *Worker) flood(c net.Conn, id string, f flood) bool {
	w.ledger.AddFlood(id)
	_ = c.SetDeadline(time.Now().Add(maxFloodTime))
	if _, err := io.WriteString(c, f.begin(id)); err != nil {
		return false
	}
	if f.repeated == "" {
		_, _ = c.Read(make([]byte, 1)) // until the connection is closed
		return false
	}
	part := strings.Repeat(f.repeated, floodPart/len(f.repeated))
	for {
		if _, err := io.WriteString(c, part); err != nil {
			return false
		}
		time.Sleep(time.Second * floodPart / floodRate)
	}
}

// AddFlood records that a request got a response that fills memory.
func (l *Ledger) AddFlood(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floods[id] = true
}

// Floods returns how many requests got a response that fills memory.
func (l *Ledger) Floods() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.floods)
}

// Flooded reports whether a request got a response that fills memory.
func (l *Ledger) Flooded(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.floods[id]
}
