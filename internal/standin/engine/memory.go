package engine

import (
	"container/list"
	"slices"

	"github.com/micarudder/micarudder/prefix"
)

// block is one block of the prefix cache. A block in use is pinned; the
// others wait in the list to be used again or evicted.
type block struct {
	hash uint64
	pins int
	idle *list.Element // nil while pinned
}

// memory accounts for the engine's cache memory in tokens. Four things share
// it: what runs hold of their own, pinned blocks, idle blocks, held spans.
type memory struct {
	total  uint64
	own    uint64
	held   uint64
	blocks map[uint64]*block
	idle   *list.List // least recently used first
	onEdge func(hash uint64, evicted bool)
}

// lease is the part of memory that one run holds.
type lease struct {
	own    uint64
	pinned []*block
	chain  []uint64 // hashes of the prompt's whole blocks
}

func newMemory(total uint64, onEdge func(hash uint64, evicted bool)) *memory {
	return &memory{total: total, blocks: map[uint64]*block{}, idle: list.New(), onEdge: onEdge}
}

// free returns the tokens that a new run could get, idle blocks included.
func (m *memory) free() uint64 {
	pinned := uint64(len(m.blocks)-m.idle.Len()) * prefix.BlockTokens
	return m.total - m.own - m.held - pinned
}

// cached returns how many leading blocks of the chain are present.
func (m *memory) cached(chain []uint64) int {
	for i, h := range chain {
		if m.blocks[h] == nil {
			return i
		}
	}
	return len(chain)
}

// acquire takes memory for a run of need tokens in all, of which the first
// covered tokens need none. It pins the cached blocks of the chain and
// returns nil when the rest does not fit.
func (m *memory) acquire(chain []uint64, covered, need uint64) *lease {
	l := &lease{chain: chain}
	hits := m.cached(chain)
	for _, h := range chain[:hits] {
		m.pin(l, m.blocks[h])
	}
	own := need - max(covered, uint64(hits)*prefix.BlockTokens)
	if own > m.free() {
		m.release(l)
		return nil
	}
	l.own = own
	m.own += own
	m.shrink()
	return l
}

// settle turns the run's own memory into cached blocks as far as the prompt
// has been computed.
func (m *memory) settle(l *lease, done uint64) {
	for len(l.pinned) < len(l.chain) && uint64(len(l.pinned)+1)*prefix.BlockTokens <= done {
		h := l.chain[len(l.pinned)]
		b := m.blocks[h]
		if b == nil {
			b = &block{hash: h}
			m.blocks[h] = b
			m.onEdge(h, false)
		}
		part := min(l.own, prefix.BlockTokens)
		l.own -= part
		m.own -= part
		m.pin(l, b)
	}
	m.shrink()
}

// release gives a run's memory back; its blocks stay until they are evicted.
func (m *memory) release(l *lease) {
	m.own -= l.own
	l.own = 0
	// The deepest block becomes the oldest: a chain is used from its start.
	for _, b := range slices.Backward(l.pinned) {
		b.pins--
		if b.pins == 0 {
			b.idle = m.idle.PushBack(b)
		}
	}
	l.pinned = nil
}

// hold takes memory for a span; it reports false when there is not enough.
func (m *memory) hold(tokens uint64) bool {
	if tokens > m.free() {
		return false
	}
	m.held += tokens
	m.shrink()
	return true
}

func (m *memory) unhold(tokens uint64) { m.held -= tokens }

func (m *memory) pin(l *lease, b *block) {
	if b.idle != nil {
		m.idle.Remove(b.idle)
		b.idle = nil
	}
	b.pins++
	l.pinned = append(l.pinned, b)
}

// shrink evicts idle blocks until everything fits.
func (m *memory) shrink() {
	for m.own+m.held+uint64(len(m.blocks))*prefix.BlockTokens > m.total {
		e := m.idle.Front()
		if e == nil {
			return
		}
		b := e.Value.(*block)
		m.idle.Remove(e)
		delete(m.blocks, b.hash)
		m.onEdge(b.hash, true)
	}
}
