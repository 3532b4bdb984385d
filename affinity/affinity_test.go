package affinity

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/prefix"
)

// chain returns n block hashes that are unique to the seed.
func chain(seed uint64, n int) []uint64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	c := make([]uint64, n)
	for i := range c {
		c[i] = rnd.Uint64() | 1
	}
	return c
}

func TestEvents(t *testing.T) {
	c := chain(1, 10)
	cases := []struct {
		name   string
		events func(s *Set)
		want   int
	}{
		{"nothing known", func(s *Set) {}, 0},
		{"added", func(s *Set) { s.Apply(false, c[:6], nil) }, 6},
		{"one event missing", func(s *Set) { s.Apply(false, c[:3], nil); s.Apply(false, c[4:8], nil) }, 8},
		{"first event missing", func(s *Set) { s.Apply(false, c[1:8], nil) }, 8},
		{"many events missing", func(s *Set) { s.Apply(false, c[:2], nil); s.Apply(false, c[7:8], nil) }, 2},
		{"end evicted", func(s *Set) { s.Apply(false, c[:6], c[4:6]) }, 4},
		{"eviction of what was never added", func(s *Set) { s.Apply(false, c[:2], c[5:9]) }, 2},
		{"added twice", func(s *Set) { s.Apply(false, c[:4], nil); s.Apply(false, c[:4], nil) }, 4},
		{"reset", func(s *Set) { s.Apply(false, c, nil); s.Apply(true, c[:1], nil) }, 1},
		{"sent", func(s *Set) { s.RecordSent(c) }, 10},
		{"ran", func(s *Set) { s.RecordRun(c, 0, 0) }, 10},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := New(100_000)
			tc.events(s)
			is.Equal(s.Cached(c), tc.want)
			is.Equal(s.Cached(chain(2, 10)), 0)
		})
	}
}

// TestConfidence loses all eviction events: runs hit less than expected, so the set expects
// less. When runs hit again, the confidence recovers.
func TestConfidence(t *testing.T) {
	is := is.New(t)
	s := New(100_000)
	c := chain(1, 20)
	s.RecordSent(c)
	for range 60 {
		s.RecordRun(c, s.Cached(c), 0)
	}
	is.Equal(s.Cached(c), 0)
	for range 60 {
		s.RecordRun(c, s.Cached(c), 20*prefix.BlockTokens)
	}
	is.True(s.Cached(c) >= 19)
}

// TestBounds checks that the set stays within its size and never reports more blocks
// than the chain has, for any sequence of operations.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := New(20_000)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c := chain(rapid.Uint64Range(0, 9).Draw(t, "chain"), rapid.IntRange(0, 40).Draw(t, "length"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.RecordSent(c)
			case 1:
				s.Apply(false, c, nil)
			case 2:
				s.Apply(false, nil, c)
			case 3:
				s.RecordRun(c, s.Cached(c), rapid.Uint64Range(0, 50_000).Draw(t, "cached"))
			}
			is.True(s.Len() >= 0 && s.Len() <= ways*len(s.buckets))
			is.True(s.Cached(c) <= len(c))
			is.True(s.Confidence() >= 0 && s.Confidence() <= 1)
		}
	})
}

func BenchmarkCached(b *testing.B) {
	s := New(450_000)
	held, other := chain(1, prefix.MaxBlocks), chain(2, prefix.MaxBlocks)
	s.RecordSent(held)
	for name, c := range map[string][]uint64{"hit": held, "miss": other} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Cached(c)
			}
		})
	}
}
