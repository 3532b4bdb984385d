package usersplatform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// EngineMemory is the memory of one worker of kind engine, in tokens.
	EngineMemory = 1000
	// readTime is how long such a worker reads a prompt.
	readTime = 200 * time.Millisecond
)

// Memory is what workers of kind engine have set aside. One serves all of them, since a request
// uses what is set aside at several.
type Memory struct {
	mu     sync.Mutex
	aside  map[string]*aside // by the name that it was set aside under
	unused []Unused
	used   int // how often a request has used some
}

// aside is memory set aside at one worker.
type aside struct {
	worker string
	tokens int
	until  time.Time
	idle   time.Time // since when no request uses it; zero: one does
}

// Unused is a stretch in which memory was set aside and no request used it.
type Unused struct {
	Name, Worker string
	From, To     time.Time
}

// NewMemory returns the memory of workers that are still to come.
func NewMemory() *Memory { return &Memory{aside: make(map[string]*aside)} }

// Unused returns the stretches that were longer than most, those that go on among them.
func (m *Memory) Unused(most time.Duration) []Unused {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	all := append([]Unused(nil), m.unused...)
	for name, a := range m.aside {
		if !a.idle.IsZero() {
			all = append(all, Unused{name, a.worker, a.idle, time.Now()})
		}
	}
	var out []Unused
	for _, u := range all {
		if u.To.Sub(u.From) > most {
			out = append(out, u)
		}
	}
	return out
}

// Used returns how often a request has used memory that was set aside.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// SetAside sets memory aside that has not been used since then.
func (m *Memory) SetAside(name string, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.aside[name] = &aside{until: time.Now().Add(time.Hour), idle: since}
}

// Release gives memory back.
func (m *Memory) Release(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end(name, time.Now())
}

// order is the body of an order about memory.
type order struct {
	Op     string `json:"op"`
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	HoldMs int64  `json:"holdMs"`
}

// take carries an order to a worker out and returns the status of its answer.
func (m *Memory) take(worker string, o order) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	now := time.Now()
	if o.Op == "release" {
		m.end(o.ID, now)
		return "200 OK"
	}
	a := m.aside[o.ID]
	if a == nil {
		taken := 0
		for _, other := range m.aside {
			if other.worker == worker {
				taken += other.tokens
			}
		}
		if taken+o.Tokens > EngineMemory {
			return "409 Conflict"
		}
		a = &aside{worker: worker, tokens: o.Tokens, idle: now}
		m.aside[o.ID] = a
	}
	a.until = now.Add(time.Duration(o.HoldMs) * time.Millisecond)
	return "200 OK"
}

// report returns what a worker tells of its memory.
func (m *Memory) report(worker string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	tickets := []any{}
	for name, a := range m.aside {
		if a.worker != worker {
			continue
		}
		state := "used"
		if !a.idle.IsZero() {
			state = "held"
		}
		tickets = append(tickets, map[string]any{"id": name, "tokens": a.tokens, "state": state})
	}
	p, err := json.Marshal(map[string]any{"kvTotal": EngineMemory, "tickets": tickets})
	if err != nil {
		panic(err) // maps of texts and numbers always encode
	}
	return string(p)
}

// Use says whether a request uses the memory of these names from now on.
func (m *Memory) Use(names []string, used bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	now := time.Now()
	for _, name := range names {
		a := m.aside[name]
		switch {
		case a == nil:
		case used:
			m.stretch(name, a, now)
			a.idle = time.Time{}
			m.used++
		case a.idle.IsZero():
			a.idle = now
		}
	}
}

// drop forgets what a worker that has ended had set aside.
func (m *Memory) drop(worker string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, a := range m.aside {
		if a.worker == worker {
			m.end(name, time.Now())
		}
	}
}

// lapse ends what was not renewed; the caller holds mu.
func (m *Memory) lapse() {
	for name, a := range m.aside {
		if time.Now().After(a.until) {
			m.end(name, a.until)
		}
	}
}

// end gives memory back; the caller holds mu.
func (m *Memory) end(name string, at time.Time) {
	if a := m.aside[name]; a != nil {
		m.stretch(name, a, at)
		delete(m.aside, name)
	}
}

// stretch writes down that memory was unused until then; the caller holds mu.
func (m *Memory) stretch(name string, a *aside, to time.Time) {
	if !a.idle.IsZero() {
		m.unused = append(m.unused, Unused{name, a.worker, a.idle, to})
	}
}

// aboutMemory answers an order or a question about memory; ok is false for other requests.
func (w *Worker) aboutMemory(c net.Conn, r *http.Request, body []byte, said Said) (goOn, ok bool) {
	switch r.URL.Path {
	case "/report":
		return whole(c, "", "200 OK", said.lines()+"Content-Type: application/json\r\n", w.memory.report(w.ID)), true
	case "/order":
		var o order
		if err := json.Unmarshal(body, &o); err != nil {
			return whole(c, "", "400 Bad Request", said.lines(), ""), true
		}
		return whole(c, "", w.memory.take(w.ID, o), said.lines(), ""), true
	}
	return false, false
}

// prompt reads a prompt with the memory that the request names, and answers it.
func (w *Worker) prompt(c net.Conn, br *bufio.Reader, r *http.Request, id string, said Said, f Faults, chance float64) bool {
	var names []string
	for helper := range strings.SplitSeq(r.Header.Get("Helpers"), ",") {
		if _, name, ok := strings.Cut(helper, "/"); ok {
			names = append(names, name)
		}
	}
	if chance < f.Hang {
		w.hung(id)
		_, _ = br.ReadByte() // until the gateway closes the connection
		return false
	}
	w.memory.Use(names, true)
	defer w.memory.Use(names, false)
	time.Sleep(readTime)
	if chance < f.Hang+f.LoseAnswer {
		w.hung(id)
		w.memory.Use(names, false)
		_, _ = br.ReadByte()
		return false
	}
	return w.stream(c, r, id, said, false)
}

// hung notes that a request got no answer.
func (w *Worker) hung(id string) {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.ledger.hung[id] = true
}

// Hung reports whether a worker left a request without an answer.
func (l *Ledger) Hung(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hung[id]
}

// engineOf is what the operator declares of workers of kind engine.
func engineOf() map[string]any {
	return map[string]any{
		"slots": 8, "kvCapacityTokens": EngineMemory, "stride": 1, "step_ms": 1, "per_seq_ms": 0, "context_per_k": 0,
		"read_per_s": 5000, "pairs_per_m": 0, "chunk": 512,
	}
}

// String returns a stretch as it stands in reports.
func (u Unused) String() string {
	return fmt.Sprintf("memory set aside at %s as %s was not used for %v, until %s", u.Worker, u.Name, u.To.Sub(u.From), u.To.Format("15:04:05.000"))
}
