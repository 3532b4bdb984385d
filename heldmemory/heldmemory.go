// Package heldmemory bounds the memory that a process holds for all its requests together: for their
// bodies and unusually large heads (Bodies), for what responses have brought (Responses), and for what each
// request needs besides (Ledger). It reads no clock.
package heldmemory

import (
	"sync"
	"time"
)

// Reader is the receiver of a response.
type Reader interface {
	// WaitingSince returns since when the response has been waiting for its receiver to read, or the
	// zero time.
	WaitingSince() time.Time
}

// Ledger holds the requests that count for their responses. Each counts with the most that it can hold,
// because a request that is admitted while it holds little may hold all of it a moment later. It is safe for
// concurrent use. A nil Ledger admits every request.
type Ledger struct {
	limit, perRequest int64
	minWait           time.Duration

	mu       sync.Mutex
	requests map[*Request]struct{}
}

// Request is a request that counts until it is released.
type Request struct {
	reader Reader // nil if unknown
}

// NewLedger returns a ledger for requests of which each may hold perRequest bytes, and all together
// limit bytes; nil if that is 0. A request may take the place of one that has waited for its reader for at least
// minWait.
func NewLedger(limit, perRequest int64, minWait time.Duration) *Ledger {
	if limit == 0 {
		return nil
	}
	return &Ledger{limit: limit, perRequest: perRequest, minWait: minWait, requests: make(map[*Request]struct{})}
}

// Held returns how many bytes the requests may hold.
func (l *Ledger) Held() int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held()
}

// held is Held for callers that hold the lock.
func (l *Ledger) held() int64 { return int64(len(l.requests)) * l.perRequest }

// Admit counts a request until it is released; ok is false if it does not fit. evicted is the reader whose place it
// takes; the caller must disconnect it. It is the one that has not read for the longest.
func (l *Ledger) Admit(r Reader, now time.Time) (admitted *Request, evicted Reader, ok bool) {
	if l == nil {
		return nil, nil, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held()+l.perRequest > l.limit {
		slowest := l.slowest(now)
		if slowest == nil {
			return nil, nil, false
		}
		delete(l.requests, slowest)
		evicted = slowest.reader
	}
	admitted = &Request{reader: r}
	l.requests[admitted] = struct{}{}
	return admitted, evicted, true
}

// Release ends the count of a request; r may be nil, and may have been evicted.
func (l *Ledger) Release(r *Request) {
	if r == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requests, r)
}

// slowest returns the request that has waited for its reader for the longest, or nil if none has waited
// for long enough. The caller holds the lock.
func (l *Ledger) slowest(now time.Time) *Request {
	var found *Request
	earliest := now.Add(-l.minWait)
	for r := range l.requests {
		if r.reader == nil {
			continue
		}
		if since := r.reader.WaitingSince(); !since.IsZero() && !since.After(earliest) {
			found, earliest = r, since
		}
	}
	return found
}
