package heldmemory

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestLargestResponseGivesWay guards against responses that use up the memory and leave none to smaller ones, and
// against ending a response for one that occupies more.
func TestLargestResponseGivesWay(t *testing.T) {
	cases := []struct {
		name    string
		sizes   []int64 // of the responses, one after the other, in MiB
		refused []bool  // whether the response has no room
		evicted []bool  // whether it gives way later
	}{
		{"enough room", []int64{1, 1, 2}, []bool{false, false, false}, []bool{false, false, false}},
		{"the newest is the largest", []int64{2, 3, 4}, []bool{false, false, true}, []bool{false, false, false}},
		{"the newest is as large", []int64{2, 2, 2, 2}, []bool{false, false, false, true}, []bool{false, false, false, false}},
		{"the first is the largest", []int64{4, 2, 1}, []bool{false, false, false}, []bool{true, false, false}},
		{"no room until the first is released", []int64{5, 2, 2}, []bool{false, false, true}, []bool{true, false, false}},
		{"larger than the memory", []int64{9}, []bool{true}, []bool{false}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := NewResponses(8 * mib)
			evicted := make([]bool, len(tc.sizes))
			var all []*Response
			for i, size := range tc.sizes {
				r := m.Begin()
				r.SetEvict(func() { evicted[i] = true })
				is.Equal(r.Resize(Event, size*mib) != nil, tc.refused[i])
				all = append(all, r)
			}
			is.Equal(evicted, tc.evicted)
			for i, r := range all {
				if evicted[i] {
					is.Equal(r.Resize(Event, 8*mib), ErrResponsesFull)
				}
				r.Release()
			}
			is.Equal(m.Held(Event), int64(0))
			is.Equal(m.leaving, int64(0))
		})
	}
}

// TestEvictedResponsesAreNotEndedTwice guards against ending more responses than have to give way, because those
// that do are not released yet.
func TestEvictedResponsesAreNotEndedTwice(t *testing.T) {
	is := is.New(t)
	m := NewResponses(8 * mib)
	evictions := 0
	for _, size := range []int64{4, 2, 1, 1} {
		r := m.Begin()
		r.SetEvict(func() { evictions++ })
		is.NoErr(r.Resize(Event, size*mib))
	}
	is.Equal(evictions, 1)
}

// TestResponsesStayBelowTheLimit: whatever responses do, they occupy no more than the limit, and nothing counts
// once all are released.
func TestResponsesStayBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewResponses(4 * mib)
		all := make([]*Response, 6)
		for i := range all {
			all[i] = m.Begin()
			if i > 0 { // the first cannot be ended
				all[i].SetEvict(func() {})
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := rapid.SampledFrom(all).Draw(t, "response")
			if rapid.Bool().Draw(t, "release") {
				r.Release()
				continue
			}
			_ = r.Resize(rapid.SampledFrom(Parts()).Draw(t, "part"), rapid.Int64Range(0, 2*mib).Draw(t, "bytes"))
			if m.total() > 4*mib {
				t.Fatalf("occupy %d bytes", m.total())
			}
		}
		for _, r := range all {
			r.Release()
		}
		if m.total() != 0 || m.leaving != 0 || len(m.counted) != 0 {
			t.Fatalf("%d bytes held, %d leaving, %d counted", m.total(), m.leaving, len(m.counted))
		}
	})
}
