// Package affinity tracks which prefix-cache blocks an endpoint is expected to hold.
// Cache events arrive late and with gaps, so the set is only a hint: it is fed by
// events, by requests that were sent and by reports of finished runs, is bounded in
// size, and is discounted by its past error rate.
package affinity

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"

	"github.com/micarudder/micarudder/prefix"
)

const (
	// ways is the number of slots in a bucket. A block may be stored in any of them.
	ways = 4
	// slotBits is the width of a slot.
	slotBits = 16
	// lowBits and highBits have the lowest and the highest bit of each slot set.
	lowBits  = 0x0001_0001_0001_0001
	highBits = 0x8000_8000_8000_8000
	// confidenceWeight is the weight of a new report in the confidence.
	confidenceWeight = 0.1
	// fullConfidence is full confidence in fixed point.
	fullConfidence = 1 << 16
	// minBuckets is the smallest number of buckets.
	minBuckets = 16
)

// Set is the set of blocks that one endpoint is expected to hold. Lookups take no lock
// and do not allocate; all methods are safe for concurrent use.
//
// A block is stored as a 15-bit fingerprint in one of the four slots of the 64-bit
// bucket that its hash selects, so that a lookup is a single load and the sets of a
// whole data centre fit into the processor's cache. About one lookup in eight thousand
// is a false positive, which is acceptable for a hint.
type Set struct {
	buckets    []atomic.Uint64
	confidence atomic.Uint32 // fixed point, see fullConfidence

	mu       sync.Mutex
	lastUsed [][ways]uint32 // tick of the last write to a slot
	tick     uint32
	count    int
}

// New returns an empty set for an endpoint whose cache holds the given number of
// tokens. It has two to four times as many slots as this takes in blocks, at six bytes
// per slot.
func New(memoryTokens uint64) *Set {
	wantBuckets := min(2*memoryTokens/prefix.BlockTokens/ways, math.MaxInt32)
	n := max(minBuckets, 1<<bits.Len64(wantBuckets))
	s := &Set{buckets: make([]atomic.Uint64, n), lastUsed: make([][ways]uint32, n)}
	s.confidence.Store(fullConfidence)
	return s
}

// Cached returns how many leading blocks of the chain the endpoint is expected to hold,
// discounted by the confidence.
func (s *Set) Cached(chain []uint64) int {
	held := s.heldBlocks(chain)
	return int(uint64(held) * uint64(s.confidence.Load()) / fullConfidence)
}

// heldBlocks finds the end of the held prefix by exponential search: a block of a chain
// is only cached together with those before it.
func (s *Set) heldBlocks(chain []uint64) int {
	low, high := 0, 1 // the first low blocks are held; high is checked next
	for high <= len(chain) && s.holdsPrefix(chain, high) {
		low, high = high, 2*high
	}
	high = min(high, len(chain)+1)
	for high-low > 1 {
		mid := (low + high) / 2
		if s.holdsPrefix(chain, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// holdsPrefix reports whether the first n blocks are expected to be held: the last of
// them is in the set, or the block after it, which shows that an event was lost.
func (s *Set) holdsPrefix(chain []uint64, n int) bool {
	return s.contains(chain[n-1]) || n < len(chain) && s.contains(chain[n])
}

// Apply applies cache events: blocks that were added to the cache and removed from it.
// A reset first drops all previous contents.
func (s *Set) Apply(reset bool, added, removed []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reset {
		s.clear()
	}
	for _, block := range added {
		s.insert(block)
	}
	for _, block := range removed {
		s.remove(block)
	}
}

// RecordSent records that a prompt with this chain has been sent to the endpoint, which will
// soon hold it.
func (s *Set) RecordSent(chain []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.insertChain(chain)
}

// RecordRun records the report of a finished run: expectedBlocks is what Cached returned when
// the run was sent, cached the number of prompt tokens that the endpoint found in its
// cache. The endpoint now holds the complete chain.
func (s *Set) RecordRun(chain []uint64, expectedBlocks int, cached uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateConfidence(expectedBlocks, cached)
	s.insertChain(chain)
}

// Confidence returns the share of the expected blocks that recent runs found.
func (s *Set) Confidence() float64 { return float64(s.confidence.Load()) / fullConfidence }

// Len returns the number of blocks in the set.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// updateConfidence moves the confidence towards the hit rate of a run, relative to the
// undiscounted expectation. If no blocks were expected, only a hit counts. The caller
// holds mu.
func (s *Set) updateConfidence(expectedBlocks int, cached uint64) {
	if expectedBlocks <= 0 && cached == 0 {
		return
	}
	hitRate := 1.0
	if expected := uint64(max(0, expectedBlocks)) * prefix.BlockTokens; cached < expected {
		hitRate = s.Confidence() * float64(cached) / float64(expected) // expected is already discounted by the confidence
	}
	confidence := s.Confidence() + confidenceWeight*(hitRate-s.Confidence())
	s.confidence.Store(uint32(confidence * fullConfidence))
}

// bucket returns the index of a block's bucket.
func (s *Set) bucket(block uint64) int { return int(block & uint64(len(s.buckets)-1)) }

// fingerprint returns the part of a block's hash that is stored, which is never zero.
func fingerprint(block uint64) uint64 { return block>>(64-slotBits) | 1 }

// contains reports whether any slot of the block's bucket equals its fingerprint, which
// is the case if a slot of their difference is zero.
func (s *Set) contains(block uint64) bool {
	diff := s.buckets[s.bucket(block)].Load() ^ fingerprint(block)*lowBits
	return (diff-lowBits)&^diff&highBits != 0
}

// slot returns a slot of a bucket.
func slot(word uint64, i int) uint64 { return word >> (i * slotBits) & (1<<slotBits - 1) }

// withSlot returns the bucket with one slot replaced.
func withSlot(word uint64, i int, fp uint64) uint64 {
	return word&^((1<<slotBits-1)<<(i*slotBits)) | fp<<(i*slotBits)
}

// insertChain inserts a chain in reverse order, so that its beginning, which more
// prompts share, is evicted last.
func (s *Set) insertChain(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		s.insert(chain[i])
	}
}

// insert inserts a block into an empty slot of its bucket, or replaces the least
// recently used one.
func (s *Set) insert(block uint64) {
	s.tick++
	b := s.bucket(block)
	word := s.buckets[b].Load()
	i := s.slotFor(b, word, fingerprint(block))
	if slot(word, i) == 0 {
		s.count++
	}
	s.buckets[b].Store(withSlot(word, i, fingerprint(block)))
	s.lastUsed[b][i] = s.tick
}

// slotFor returns the slot of a bucket that holds the fingerprint or is to take it.
func (s *Set) slotFor(b int, word, fp uint64) int {
	best, oldest := 0, uint32(math.MaxUint32)
	for i := range ways {
		switch l := slot(word, i); {
		case l == fp:
			return i
		case l == 0:
			best, oldest = i, 0
		case s.lastUsed[b][i] < oldest:
			best, oldest = i, s.lastUsed[b][i]
		}
	}
	return best
}

func (s *Set) remove(block uint64) {
	b := s.bucket(block)
	word := s.buckets[b].Load()
	for i := range ways {
		if slot(word, i) == fingerprint(block) {
			s.buckets[b].Store(withSlot(word, i, 0))
			s.count--
			return
		}
	}
}

func (s *Set) clear() {
	for i := range s.buckets {
		s.buckets[i].Store(0)
	}
	s.count = 0
	s.confidence.Store(fullConfidence)
}
