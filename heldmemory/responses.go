package heldmemory

import (
	"errors"
	"sync"
)

// UncountedBytes is what each part of a response may occupy without counting. Responses of sound endpoints
// stay below it, so that they neither depend on the account nor take its lock.
const UncountedBytes = 16 << 10

// evictionShare is the part of the memory, as a divisor, that is free when responses begin to give way. Until they
// are released, it is used by others.
const evictionShare = 4

// ErrResponsesFull is returned for a response for which there is not enough memory.
var ErrResponsesFull = errors.New("the memory for responses is used up")

// Part is a part of a response that is held in memory.
type Part uint8

// The parts of a response.
const (
	Head    Part = iota // status and header fields
	Event               // an event that is not complete
	Resumed             // the beginning of the rest of a stream, until its first event
	parts
)

// Parts returns all parts.
func Parts() []Part { return []Part{Head, Event, Resumed} }

// String returns the part as it is written in logs and metrics.
func (p Part) String() string { return [...]string{"head", "event", "resumed"}[p] }

// Responses bounds the memory that a process holds of all responses together. Each response counts with the
// memory that it occupies. If another one has no room, the response that occupies most gives way. A nil
// Responses has no bound. It is safe for concurrent use.
type Responses struct {
	limit int64 // bytes; 0: no bound

	mu       sync.Mutex
	held     [parts]int64
	leaving  int64 // bytes of evicted responses that are not released yet
	counted  map[*Response]struct{}
	refusals uint64
}

// Response is the memory of one response. It counts until it is released. A nil Response does not count. Only
// one goroutine may use it at a time.
type Response struct {
	memory *Responses
	held   [parts]int64

	// Guarded by memory.mu.
	evict   func() // ends the response; nil: it cannot be ended
	evicted bool
}

// NewResponses returns an empty account of so many bytes; 0: no bound.
func NewResponses(limit int64) *Responses {
	return &Responses{limit: limit, counted: make(map[*Response]struct{})}
}

// Begin returns the memory of a response of which nothing is held yet.
func (m *Responses) Begin() *Response {
	if m == nil {
		return nil
	}
	return &Response{memory: m}
}

// Held returns how many bytes this part of all responses occupies, as far as it counts.
func (m *Responses) Held(p Part) int64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[p]
}

// Refusals returns how many responses were ended for lack of memory.
func (m *Responses) Refusals() uint64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refusals
}

// SetEvict sets the function that ends the response when it has to give way to another one; nil: it does not
// give way. evict must not block, and is not called any more once SetEvict has returned.
func (r *Response) SetEvict(evict func()) {
	if r == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.evict = evict
}

// Resize records that a part is about to occupy so many bytes. It fails with ErrResponsesFull if the part grows
// and there is no room for it, or the response has to give way to another one.
func (r *Response) Resize(p Part, bytes int64) error {
	if r == nil {
		return nil
	}
	if bytes <= UncountedBytes {
		bytes = 0
	}
	if bytes == r.held[p] {
		return nil
	}
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if growth := bytes - r.held[p]; growth > 0 && !m.admit(r, growth) {
		m.refusals++
		return ErrResponsesFull
	}
	r.set(p, bytes)
	return nil
}

// Release ends the count of the response.
func (r *Response) Release() {
	if r == nil || r.held == [parts]int64{} {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	for _, p := range Parts() {
		r.set(p, 0)
	}
}

// set changes the size with which a part counts. The caller holds the lock.
func (r *Response) set(p Part, bytes int64) {
	m := r.memory
	m.held[p] += bytes - r.held[p]
	if r.evicted {
		m.leaving += bytes - r.held[p]
	}
	r.held[p] = bytes
	if r.total() == 0 {
		delete(m.counted, r)
	} else {
		m.counted[r] = struct{}{}
	}
}

func (r *Response) total() (bytes int64) {
	for _, held := range r.held {
		bytes += held
	}
	return bytes
}

// admit reports whether a response may grow by so many bytes. To make room it evicts responses that occupy
// more than this one will. The caller holds the lock.
func (m *Responses) admit(r *Response, growth int64) bool {
	if r.evicted {
		return false
	}
	if m.limit == 0 {
		return true
	}
	if m.total()+growth > m.limit {
		return false
	}
	for m.total()-m.leaving+growth > m.limit-m.limit/evictionShare {
		largest := m.largest()
		if largest == nil || largest == r || largest.total() <= r.total()+growth {
			return false
		}
		largest.evicted = true
		largest.evict()
		m.leaving += largest.total()
		m.refusals++
	}
	return true
}

// total returns how many bytes all responses occupy. The caller holds the lock.
func (m *Responses) total() (bytes int64) {
	for _, held := range m.held {
		bytes += held
	}
	return bytes
}

// largest returns the response that occupies most of those that can be ended. The caller holds the lock.
func (m *Responses) largest() (found *Response) {
	for r := range m.counted {
		if r.evict != nil && !r.evicted && (found == nil || r.total() > found.total()) {
			found = r
		}
	}
	return found
}
