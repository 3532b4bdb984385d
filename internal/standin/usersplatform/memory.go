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
	// prefillTime is how long such a worker takes to read a prompt.
	prefillTime = 200 * time.Millisecond
)

// Memory holds the memory reservations of workers of kind engine. All such workers share one
// Memory, since a request uses reservations at several of them.
type Memory struct {
	mu           sync.Mutex
	reservations map[string]*reservation // by the name under which the memory was reserved
	unused       []Unused
	uses         int // how often a request has begun to use a reservation
}

// reservation is memory reserved at one worker.
type reservation struct {
	worker    string
	tokens    int
	expires   time.Time
	idleSince time.Time // since when no request uses it; zero: one does
}

// Unused is a period in which memory was reserved and no request used it.
type Unused struct {
	Name, Worker string
	From, To     time.Time
}

// NewMemory returns a Memory without reservations.
func NewMemory() *Memory { return &Memory{reservations: make(map[string]*reservation)} }

// Unused returns the periods longer than minimum, including those that have not ended.
func (m *Memory) Unused(minimum time.Duration) []Unused {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	all := append([]Unused(nil), m.unused...)
	for name, a := range m.reservations {
		if !a.idleSince.IsZero() {
			all = append(all, Unused{name, a.worker, a.idleSince, time.Now()})
		}
	}
	var out []Unused
	for _, u := range all {
		if u.To.Sub(u.From) > minimum {
			out = append(out, u)
		}
	}
	return out
}

// Uses returns how often a request has begun to use a reservation.
func (m *Memory) Uses() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.uses
}

// Reserve adds a reservation that has been unused since the given time.
func (m *Memory) Reserve(name string, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservations[name] = &reservation{expires: time.Now().Add(time.Hour), idleSince: since}
}

// Release ends a reservation.
func (m *Memory) Release(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remove(name, time.Now())
}

// order is the body of an order about memory.
type order struct {
	Op     string `json:"op"`
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	HoldMs int64  `json:"holdMs"`
}

// handleOrder executes an order to a worker and returns the status of the response.
func (m *Memory) handleOrder(worker string, o order) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	now := time.Now()
	if o.Op == "release" {
		m.remove(o.ID, now)
		return "200 OK"
	}
	a := m.reservations[o.ID]
	if a == nil {
		reserved := 0
		for _, other := range m.reservations {
			if other.worker == worker {
				reserved += other.tokens
			}
		}
		if reserved+o.Tokens > EngineMemory {
			return "409 Conflict"
		}
		a = &reservation{worker: worker, tokens: o.Tokens, idleSince: now}
		m.reservations[o.ID] = a
	}
	a.expires = now.Add(time.Duration(o.HoldMs) * time.Millisecond)
	return "200 OK"
}

// report returns a worker's report on its memory.
func (m *Memory) report(worker string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	tickets := []any{}
	for name, a := range m.reservations {
		if a.worker != worker {
			continue
		}
		state := "used"
		if !a.idleSince.IsZero() {
			state = "held"
		}
		tickets = append(tickets, map[string]any{"id": name, "tokens": a.tokens, "state": state})
	}
	p, err := json.Marshal(map[string]any{"kvTotal": EngineMemory, "tickets": tickets})
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	return string(p)
}

// SetUsed records whether a request uses the named reservations from now on.
func (m *Memory) SetUsed(names []string, used bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	now := time.Now()
	for _, name := range names {
		a := m.reservations[name]
		switch {
		case a == nil:
		case used:
			m.recordUnused(name, a, now)
			a.idleSince = time.Time{}
			m.uses++
		case a.idleSince.IsZero():
			a.idleSince = now
		}
	}
}

// dropWorker ends the reservations of a worker that has ended.
func (m *Memory) dropWorker(worker string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire() // those that have lapsed ended then
	for name, a := range m.reservations {
		if a.worker == worker {
			m.remove(name, time.Now())
		}
	}
}

// expire ends the reservations that were not renewed. The caller holds mu.
func (m *Memory) expire() {
	for name, a := range m.reservations {
		if time.Now().After(a.expires) {
			m.remove(name, a.expires)
		}
	}
}

// remove ends a reservation. The caller holds mu.
func (m *Memory) remove(name string, at time.Time) {
	if a := m.reservations[name]; a != nil {
		m.recordUnused(name, a, at)
		delete(m.reservations, name)
	}
}

// recordUnused records the unused period of a reservation that ends at to, if it is unused. The
// caller holds mu.
func (m *Memory) recordUnused(name string, a *reservation, to time.Time) {
	if !a.idleSince.IsZero() {
		m.unused = append(m.unused, Unused{name, a.worker, a.idleSince, to})
	}
}

// handleMemoryCall answers a memory order or a report request; ok is false for other requests.
func (w *Worker) handleMemoryCall(c net.Conn, r *http.Request, body []byte, statement Statement) (keepOpen, ok bool) {
	switch r.URL.Path {
	case "/report":
		return writeResponse(c, "", "200 OK", statement.headerLines()+"Content-Type: application/json\r\n", w.memory.report(w.ID)), true
	case "/order":
		var o order
		if err := json.Unmarshal(body, &o); err != nil {
			return writeResponse(c, "", "400 Bad Request", statement.headerLines(), ""), true
		}
		return writeResponse(c, "", w.memory.handleOrder(w.ID, o), statement.headerLines(), ""), true
	}
	return false, false
}

// servePrompt reads a prompt, using the reservations that the request names, and answers it.
func (w *Worker) servePrompt(c net.Conn, br *bufio.Reader, r *http.Request, id string, statement Statement, f Faults, chance float64) bool {
	var names []string
	for helper := range strings.SplitSeq(r.Header.Get("Helpers"), ",") {
		if _, name, ok := strings.Cut(helper, "/"); ok {
			names = append(names, name)
		}
	}
	if chance < f.Hang {
		w.markHung(id)
		_, _ = br.ReadByte() // until the gateway closes the connection
		return false
	}
	w.memory.SetUsed(names, true)
	defer w.memory.SetUsed(names, false)
	time.Sleep(prefillTime)
	if chance < f.Hang+f.LoseResponse {
		w.markHung(id)
		w.memory.SetUsed(names, false)
		_, _ = br.ReadByte()
		return false
	}
	return w.stream(c, r, id, statement, false)
}

// markHung records that a request received no response.
func (w *Worker) markHung(id string) {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.ledger.hung[id] = true
}

// Hung reports whether a worker left a request without a response.
func (l *Ledger) Hung(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hung[id]
}

// engineDeclaration returns the operator's declaration for workers of kind engine.
func engineDeclaration() map[string]any {
	return map[string]any{
		"slots": 8, "kvCapacityTokens": EngineMemory, "stride": 1, "step_ms": 1, "per_seq_ms": 0, "context_per_k": 0,
		"read_per_s": 5000, "pairs_per_m": 0, "chunk": 512,
	}
}

// String returns the text of the period for reports.
func (u Unused) String() string {
	return fmt.Sprintf("memory reserved at %s as %s was unused for %v, until %s", u.Worker, u.Name, u.To.Sub(u.From), u.To.Format("15:04:05.000"))
}
