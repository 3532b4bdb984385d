package heldmemory

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const mib = 1 << 20

// chunked returns a body that arrives in several reads.
func chunked(size int) io.Reader { return iotest.HalfReader(bytes.NewReader(make([]byte, size))) }

// TestBodies guards against bodies of unknown length that outgrow the memory because they count as small, against
// large bodies that leave no room for small ones, and against memory that is not given back.
func TestBodies(t *testing.T) {
	cases := []struct {
		name   string
		limit  int64
		sizes  []int // of the bodies, one after the other
		known  bool  // whether their length is
		refuse int   // how many do not fit
		held   int64 // at most, after all were read
	}{
		{"small, unknown length", mib, []int{100, 100, 100}, false, 0, 3 * 128},
		{"no bound", 0, []int{4 * mib, 4 * mib}, false, 0, 8 * mib},
		{"large, unknown length", 16 * mib, []int{4 * mib, 4 * mib, 4 * mib, 4 * mib}, false, 1, 12 * mib},
		{"large, known length", 16 * mib, []int{4 * mib, 4 * mib, 4 * mib, 4 * mib}, true, 1, 12 * mib},
		{"small beside large", 16 * mib, []int{4 * mib, 4 * mib, 4 * mib, 200 << 10, 200 << 10}, true, 0, 12*mib + 400<<10},
		{"small beyond their share", mib, []int{250 << 10, 250 << 10, 250 << 10, 250 << 10, 250 << 10}, true, 1, 1000 << 10},
		{"a single one that needs more than the share", 4 * mib, []int{4 * mib, 100}, false, 1, 4 * mib},
		{"larger than the memory", 2 * mib, []int{4 * mib}, true, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := NewBodies(tc.limit)
			var all []*Body
			refused := 0
			for _, size := range tc.sizes {
				length := int64(-1)
				if tc.known {
					length = int64(size)
				}
				b, err := m.Read(chunked(size), length, 4*mib)
				if errors.Is(err, ErrFull) {
					refused++
					b.Release()
					continue
				}
				is.NoErr(err)
				is.Equal(len(b.Bytes), size)
				all = append(all, b)
			}
			is.Equal(refused, tc.refuse)
			is.True(m.Held() <= tc.held)
			for _, b := range all {
				is.True(b.held >= int64(len(b.Bytes)))
				b.Release()
			}
			is.Equal(m.Held(), int64(0))
		})
	}
}

// TestTruncatedBody guards against a body that breaks off and is taken for a complete one, wherever it breaks.
func TestTruncatedBody(t *testing.T) {
	for _, size := range []int{0, 100, SmallBodyBytes, SmallBodyBytes + 1, mib} {
		is := is.New(t)
		m := NewBodies(0)
		b, err := m.Read(io.MultiReader(chunked(size), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 4*mib)
		is.Equal(err, io.ErrUnexpectedEOF)
		b.Release()
		is.Equal(m.Held(), int64(0))
	}
}

// TestBodyIsUnchanged: a body is read as it was sent, whatever its size and the sizes of its parts.
func TestBodyIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := bytes.Repeat([]byte{1, 2, 3}, rapid.IntRange(0, SmallBodyBytes).Draw(t, "size"))
		m := NewBodies(0)
		b, err := m.Read(iotest.HalfReader(bytes.NewReader(sent)), -1, rapid.SampledFrom([]int64{0, mib}).Draw(t, "most"))
		if err != nil || !bytes.Equal(b.Bytes, sent) || m.Held() < int64(len(sent)) {
			t.Fatalf("%d bytes of %d, held %d, %v", len(b.Bytes), len(sent), m.Held(), err)
		}
	})
}
