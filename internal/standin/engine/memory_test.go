package engine

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/prefix"
)

// TestMemoryNeverOverflowsOrLeaks: for any sequence of runs and spans, the memory in use never
// exceeds the total, and all of it is free in the end.
func TestMemoryNeverOverflowsOrLeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 40 * prefix.BlockTokens
		m := newMemory(total, func(uint64, bool) {})
		type item struct {
			lease *lease
			need  uint64
			done  uint64
		}
		var items []*item
		var spans []uint64
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				family := rapid.Uint64Range(0, 3).Draw(t, "family")
				blocks := rapid.Uint64Range(0, 30).Draw(t, "blocks")
				need := blocks*prefix.BlockTokens + rapid.Uint64Range(1, 2000).Draw(t, "rest")
				var chain []uint64
				for i := range blocks {
					chain = append(chain, family<<32|i)
				}
				if l := m.acquire(chain, 0, need); l != nil {
					items = append(items, &item{l, need, uint64(len(l.pinned)) * prefix.BlockTokens})
				}
			},
			"advance": func(t *rapid.T) {
				for _, it := range items {
					it.done = min(it.need, it.done+rapid.Uint64Range(0, 5000).Draw(t, "tokens"))
					m.cacheComputed(it.lease, it.done)
				}
			},
			"end": func(t *rapid.T) {
				if len(items) == 0 {
					return
				}
				i := rapid.IntRange(0, len(items)-1).Draw(t, "which")
				m.release(items[i].lease)
				items = append(items[:i], items[i+1:]...)
			},
			"hold": func(t *rapid.T) {
				n := rapid.Uint64Range(1, 20_000).Draw(t, "tokens")
				if m.hold(n) {
					spans = append(spans, n)
				}
			},
			"unhold": func(*rapid.T) {
				if len(spans) > 0 {
					m.releaseHeld(spans[0])
					spans = spans[1:]
				}
			},
			"": func(t *rapid.T) {
				used := m.private + m.held + uint64(len(m.blocks))*prefix.BlockTokens
				if used > total || m.free() > total {
					t.Fatalf("used %d, free %d of %d", used, m.free(), total)
				}
			},
		})
		for _, it := range items {
			m.release(it.lease)
		}
		for _, n := range spans {
			m.releaseHeld(n)
		}
		if m.free() != total {
			t.Fatalf("leak: %d of %d free", m.free(), total)
		}
	})
}
