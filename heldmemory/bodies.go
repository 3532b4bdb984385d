package heldmemory

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
)

const (
	// SmallBodyBytes is the largest body that counts as small.
	SmallBodyBytes = 256 << 10
	// smallShareDivisor is the part of the memory, as a divisor, that only small bodies may use: callers
	// with small requests are not refused because of large ones.
	smallShareDivisor = 4
	// headShareDivisor is the part of the memory, as a divisor, that heads which are not complete may use.
	headShareDivisor = 4
)

// ErrFull is returned for a body for which there is not enough memory.
var ErrFull = errors.New("the memory for request bodies is used up")

// Bodies bounds the memory of the request bodies that a process holds at once, of heads that are not complete and of
// unusually large ones. A body counts with the memory that it occupies, from before it is read. It is safe for
// concurrent use.
type Bodies struct {
	limit int64 // bytes; 0: no bound

	mu          sync.Mutex
	held, large int64 // bytes of all bodies and heads, and of the bodies that are not small
	heads       int64 // bytes of the heads that are not complete
}

// Body is the body of one request, or its head. It counts until it is released.
type Body struct {
	Bytes  []byte
	memory *Bodies
	held   int64
	head   bool // whether it is a head that is not complete
}

// NewBodies returns an empty account of so many bytes; 0: no bound.
func NewBodies(limit int64) *Bodies { return &Bodies{limit: limit} }

// Held returns how many bytes the bodies occupy.
func (m *Bodies) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// HoldHead counts the head of a request. It fails with ErrFull if there is not enough memory; a head of up to
// UncountedBytes does not count. What it returns must be released in any case, and may be nil.
func (m *Bodies) HoldHead(h http.Header) (*Body, error) {
	size := ParsedHeadBytes(h)
	if size <= UncountedBytes {
		return nil, nil
	}
	b := &Body{memory: m}
	if !b.resize(size) {
		return b, ErrFull
	}
	return b, nil
}

// HeldHeads returns how many bytes the heads occupy that are not complete.
func (m *Bodies) HeldHeads() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heads
}

// NewHead returns the memory of a head that is not complete, of which nothing is held yet.
func (m *Bodies) NewHead() *Body { return &Body{memory: m, head: true} }

// Resize changes the size with which the body counts. It reports false, and changes nothing, if it would grow to more
// than there is room for.
func (b *Body) Resize(size int64) bool { return b.resize(size) }

// Read reads the body of a request that has the given length, or up to most bytes if the length is negative;
// with most = 0 it may have any number. It fails with ErrFull, at once or when a body of unknown length turns
// out to be large, if there is not enough memory. The body must be released in any case.
func (m *Bodies) Read(r io.Reader, length, most int64) (*Body, error) {
	b := &Body{memory: m}
	if length < 0 {
		return b, b.readUnknown(r, most)
	}
	if !b.resize(length) {
		return b, ErrFull
	}
	b.Bytes = make([]byte, length)
	_, err := io.ReadFull(r, b.Bytes)
	return b, err
}

// readUnknown reads a body of unknown length. One that is not small counts with the most that it may have, so
// that it is refused before the rest of it arrives. Each step reads one byte more than counts, to learn whether
// the body goes on.
func (b *Body) readUnknown(r io.Reader, most int64) error {
	if !b.resize(SmallBodyBytes) {
		return ErrFull
	}
	var err error
	b.Bytes, err = io.ReadAll(io.LimitReader(r, SmallBodyBytes+1))
	for err == nil && len(b.Bytes) > int(b.held) {
		next := max(most, 2*b.held)
		if !b.resize(next) {
			return ErrFull
		}
		err = b.fill(r, int(next)+1)
	}
	if err != nil && err != io.EOF {
		return err
	}
	if wasted := cap(b.Bytes) - len(b.Bytes); wasted > len(b.Bytes)/4 {
		b.Bytes = slices.Clone(b.Bytes)
	}
	b.resize(min(b.held, int64(cap(b.Bytes))))
	return nil
}

// fill reads until there are so many bytes, or the body ends with io.EOF.
func (b *Body) fill(r io.Reader, size int) error {
	buf := make([]byte, size)
	n := copy(buf, b.Bytes)
	var err error
	for err == nil && n < size {
		var read int
		read, err = r.Read(buf[n:])
		n += read
	}
	b.Bytes = buf[:n]
	return err
}

// Content returns the bytes of the body; none if b is nil.
func (b *Body) Content() []byte {
	if b == nil {
		return nil
	}
	return b.Bytes
}

// Release ends the count of the body; b may be nil.
func (b *Body) Release() {
	if b != nil {
		b.resize(0)
	}
}

// resize changes the size with which the body counts. It reports false, and changes nothing, if the body
// would grow to more than there is room for.
func (b *Body) resize(size int64) bool {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	held, large, heads := m.held+size-b.held, m.large+largeBytes(size)-largeBytes(b.held), m.heads
	if b.head {
		heads += size - b.held
	}
	if size > b.held && m.limit > 0 && (!m.fits(held, large, size) || b.head && heads > m.limit/headShareDivisor) {
		return false
	}
	m.held, m.large, m.heads, b.held = held, large, heads, size
	return true
}

// fits reports whether the bodies fit after one of them has grown to this size. A single large body may use
// all of the memory.
func (m *Bodies) fits(held, large, size int64) bool {
	return held <= m.limit && (size <= SmallBodyBytes || large <= m.limit-m.limit/smallShareDivisor || large == size)
}

// largeBytes returns what a body of this size counts among the large ones.
func largeBytes(size int64) int64 {
	if size <= SmallBodyBytes {
		return 0
	}
	return size
}
