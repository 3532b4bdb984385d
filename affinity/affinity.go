// Package affinity keeps, for one endpoint, the prefix-cache blocks that it is
// believed to hold. Cache events come late and with gaps, so the set is a hint:
// it is filled by events, by what was sent there and by what runs report, is
// bounded in size, and discounts itself by how often it was wrong.
package affinity

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"

	"github.com/micarudder/micarudder/prefix"
)

const (
	// ways is the number of places that a block can have: the lanes of one word.
	ways = 4
	// laneBits is the width of a block's mark in its word.
	laneBits = 16
	// lowBits and highBits are the lowest and the highest bit of each lane.
	lowBits  = 0x0001_0001_0001_0001
	highBits = 0x8000_8000_8000_8000
	// trustGain is the weight of a new report in the trust.
	trustGain = 0.1
	// oneTrust is full trust as kept, in fixed point.
	oneTrust = 1 << 16
	// minGroups is the smallest number of words.
	minGroups = 16
)

// Set is one endpoint's believed blocks. Lookups take no lock and allocate
// nothing; all methods are safe for concurrent use.
//
// A block is kept as a mark of fifteen bits in one of the four lanes of the
// word that its hash selects, so that a lookup is one load and the sets of a
// whole data centre stay in the processor's cache. One lookup in some eight
// thousand is wrong by chance, which a hint can bear.
type Set struct {
	groups []atomic.Uint64
	trust  atomic.Uint32 // fixed point, of oneTrust

	mu     sync.Mutex
	used   [][ways]uint32 // tick at which a place was last written
	tick   uint32
	length int
}

// New returns an empty set for an endpoint whose cache memory holds the given
// number of tokens. It has two to four times the places that this takes in
// blocks, each of six bytes.
func New(memoryTokens uint64) *Set {
	want := min(2*memoryTokens/prefix.BlockTokens/ways, math.MaxInt32)
	n := max(minGroups, 1<<bits.Len64(want))
	s := &Set{groups: make([]atomic.Uint64, n), used: make([][ways]uint32, n)}
	s.trust.Store(oneTrust)
	return s
}

// Cached returns how many leading blocks of the chain the endpoint is believed
// to hold, discounted by the trust in that.
func (s *Set) Cached(chain []uint64) int {
	held := s.believed(chain)
	return int(uint64(held) * uint64(s.trust.Load()) / oneTrust)
}

// believed searches for the end of what is held: a block of a chain is only
// ever cached with those before it.
func (s *Set) believed(chain []uint64) int {
	low, high := 0, 1 // blocks before low are held, high is the next to look at
	for high <= len(chain) && s.reaches(chain, high) {
		low, high = high, 2*high
	}
	high = min(high, len(chain)+1)
	for high-low > 1 {
		mid := (low + high) / 2
		if s.reaches(chain, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// reaches reports whether n leading blocks are believed to be held: the last
// of them is, or the one after it, which shows that an event was lost.
func (s *Set) reaches(chain []uint64, n int) bool {
	return s.holds(chain[n-1]) || n < len(chain) && s.holds(chain[n])
}

// Apply takes in cache events: blocks that entered and blocks that left. A
// reset drops everything believed before.
func (s *Set) Apply(reset bool, added, removed []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reset {
		s.clear()
	}
	for _, block := range added {
		s.put(block)
	}
	for _, block := range removed {
		s.drop(block)
	}
}

// Sent notes that a prompt with this chain is on its way to the endpoint,
// which will hold it soon.
func (s *Set) Sent(chain []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putAll(chain)
}

// Ran takes in a finished run's report: believed is what Cached returned when
// the run was sent, cached how many prompt tokens the endpoint found. It now
// holds the whole chain.
func (s *Set) Ran(chain []uint64, believed int, cached uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn(believed, cached)
	s.putAll(chain)
}

// Trust returns the share of the believed blocks that runs lately found.
func (s *Set) Trust() float64 { return float64(s.trust.Load()) / oneTrust }

// Len returns the number of blocks believed to be held.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.length
}

// learn moves the trust towards what a run found of the undiscounted belief.
// Without a belief only a find teaches. The caller holds mu.
func (s *Set) learn(believed int, cached uint64) {
	if believed <= 0 && cached == 0 {
		return
	}
	found := 1.0
	if expected := uint64(max(0, believed)) * prefix.BlockTokens; cached < expected {
		found = s.Trust() * float64(cached) / float64(expected) // believed was discounted
	}
	trust := s.Trust() + trustGain*(found-s.Trust())
	s.trust.Store(uint32(trust * oneTrust))
}

// group returns the index of a block's word.
func (s *Set) group(block uint64) int { return int(block & uint64(len(s.groups)-1)) }

// mark is the part of a block's hash that is kept; it is never zero.
func mark(block uint64) uint64 { return block>>(64-laneBits) | 1 }

// holds reports whether any lane of the block's word equals its mark: whether
// a lane of their difference is zero.
func (s *Set) holds(block uint64) bool {
	diff := s.groups[s.group(block)].Load() ^ mark(block)*lowBits
	return (diff-lowBits)&^diff&highBits != 0
}

// lane returns a lane of a word.
func lane(word uint64, i int) uint64 { return word >> (i * laneBits) & (1<<laneBits - 1) }

// with returns the word with one lane replaced.
func with(word uint64, i int, m uint64) uint64 {
	return word&^((1<<laneBits-1)<<(i*laneBits)) | m<<(i*laneBits)
}

// putAll puts a chain in, its beginning last, so that the beginning, which
// more prompts share, stays longest.
func (s *Set) putAll(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		s.put(chain[i])
	}
}

// put adds a block in place of its word's empty or least lately used one.
func (s *Set) put(block uint64) {
	s.tick++
	g := s.group(block)
	word := s.groups[g].Load()
	i := s.placeFor(g, word, mark(block))
	if lane(word, i) == 0 {
		s.length++
	}
	s.groups[g].Store(with(word, i, mark(block)))
	s.used[g][i] = s.tick
}

// placeFor returns the lane of a word that holds the mark or has to take it.
func (s *Set) placeFor(g int, word, m uint64) int {
	best, rank := 0, uint32(math.MaxUint32)
	for i := range ways {
		switch l := lane(word, i); {
		case l == m:
			return i
		case l == 0:
			best, rank = i, 0
		case s.used[g][i] < rank:
			best, rank = i, s.used[g][i]
		}
	}
	return best
}

func (s *Set) drop(block uint64) {
	g := s.group(block)
	word := s.groups[g].Load()
	for i := range ways {
		if lane(word, i) == mark(block) {
			s.groups[g].Store(with(word, i, 0))
			s.length--
			return
		}
	}
}

func (s *Set) clear() {
	for i := range s.groups {
		s.groups[i].Store(0)
	}
	s.length = 0
	s.trust.Store(oneTrust)
}
