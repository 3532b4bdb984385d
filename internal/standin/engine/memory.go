package engine

import (
	"container/list"
	"slices"

	"github.com/micarudder/micarudder/prefix"
)

// block is one block of the prefix cache. A block in use is pinned; the others are in the idle list
// until they are reused or evicted.
type block struct {
	hash uint64
	pins int
	idle *list.Element // nil while pinned
}

// memory accounts for the engine's cache memory in tokens. It is divided among private memory of
// runs, pinned blocks, idle blocks and held spans.
type memory struct {
	total    uint64
	private  uint64
	held     uint64
	blocks   map[uint64]*block
	idle     *list.List // least recently used first
	onChange func(hash uint64, evicted bool)
}

// lease is the memory that one run holds.
type lease struct {
	private uint64
	pinned  []*block
	chain   []uint64 // hashes of the complete blocks of the prompt
}

func newMemory(total uint64, onChange func(hash uint64, evicted bool)) *memory {
	return &memory{total: total, blocks: map[uint64]*block{}, idle: list.New(), onChange: onChange}
}

// free returns the tokens available to a new run, including idle blocks.
func (m *memory) free() uint64 {
	pinned := uint64(len(m.blocks)-m.idle.Len()) * prefix.BlockTokens
	return m.total - m.private - m.held - pinned
}

// cached returns the number of leading blocks of the chain in the cache.
func (m *memory) cached(chain []uint64) int {
	for i, h := range chain {
		if m.blocks[h] == nil {
			return i
		}
	}
	return len(chain)
}

// acquire allocates memory for a run of need tokens, of which the first covered tokens need none.
// It pins the cached blocks of the chain and returns nil if the remainder does not fit.
func (m *memory) acquire(chain []uint64, covered, need uint64) *lease {
	l := &lease{chain: chain}
	hits := m.cached(chain)
	for _, h := range chain[:hits] {
		m.pin(l, m.blocks[h])
	}
	private := need - max(covered, uint64(hits)*prefix.BlockTokens)
	if private > m.free() {
		m.release(l)
		return nil
	}
	l.private = private
	m.private += private
	m.evict()
	return l
}

// cacheComputed converts the run's private memory into cached blocks for the part of the prompt
// that has been computed.
func (m *memory) cacheComputed(l *lease, done uint64) {
	for len(l.pinned) < len(l.chain) && uint64(len(l.pinned)+1)*prefix.BlockTokens <= done {
		h := l.chain[len(l.pinned)]
		b := m.blocks[h]
		if b == nil {
			b = &block{hash: h}
			m.blocks[h] = b
			m.onChange(h, false)
		}
		moved := min(l.private, prefix.BlockTokens)
		l.private -= moved
		m.private -= moved
		m.pin(l, b)
	}
	m.evict()
}

// release returns a run's memory; its blocks stay cached until they are evicted.
func (m *memory) release(l *lease) {
	m.private -= l.private
	l.private = 0
	// The deepest block becomes the least recently used, since a chain is used from its start.
	for _, b := range slices.Backward(l.pinned) {
		b.pins--
		if b.pins == 0 {
			b.idle = m.idle.PushBack(b)
		}
	}
	l.pinned = nil
}

// hold allocates memory for a span; it reports false if there is not enough.
func (m *memory) hold(tokens uint64) bool {
	if tokens > m.free() {
		return false
	}
	m.held += tokens
	m.evict()
	return true
}

func (m *memory) releaseHeld(tokens uint64) { m.held -= tokens }

func (m *memory) pin(l *lease, b *block) {
	if b.idle != nil {
		m.idle.Remove(b.idle)
		b.idle = nil
	}
	b.pins++
	l.pinned = append(l.pinned, b)
}

// evict evicts idle blocks until the memory suffices.
func (m *memory) evict() {
	for m.private+m.held+uint64(len(m.blocks))*prefix.BlockTokens > m.total {
		e := m.idle.Front()
		if e == nil {
			return
		}
		b := e.Value.(*block)
		m.idle.Remove(e)
		delete(m.blocks, b.hash)
		m.onChange(b.hash, true)
	}
}
