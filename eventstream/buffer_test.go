package eventstream

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBufferReturnsEveryEvent: the same events result wherever the stream is split into reads, and what the
// buffer occupies was reserved before.
func TestBufferReturnsEveryEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			stream.WriteString("id: 1\r\ndata: " + strings.Repeat("x", rapid.SampledFrom([]int{0, 9, 5000, 50000}).Draw(t, "size")) + "\n\n")
		}
		reserved := 0
		b := NewBuffer("", 1<<20, func(bytes int) error { reserved = bytes; return nil })
		out := ""
		for left := stream.String(); left != ""; {
			n := rapid.IntRange(1, min(20000, len(left))).Draw(t, "read")
			complete, err := b.Append([]byte(left[:n]))
			if err != nil {
				t.Fatal(err)
			}
			out += string(complete)
			left = left[n:]
			if cap(b.memory.bytes) > reserved {
				t.Fatalf("occupies %d, reserved %d", cap(b.memory.bytes), reserved)
			}
		}
		if out != stream.String() || !b.Empty() || b.LastID != "1" {
			t.Fatalf("got %d of %d bytes, last id %q", len(out), stream.Len(), b.LastID)
		}
	})
}

// TestBufferIsBounded guards against an event without end, and against a buffer that grows though its memory was
// refused, stays large after a large event, or loses the events before an event that is too large.
func TestBufferIsBounded(t *testing.T) {
	const most = 64 << 10
	is := is.New(t)
	reserved, limit := 0, most
	errFull := errors.New("full")
	b := NewBuffer("", most, func(bytes int) error {
		if bytes > limit {
			return errFull
		}
		reserved = bytes
		return nil
	})
	large := strings.Repeat("x", most/2) + "\n\n"
	complete, err := b.Append([]byte(large))
	is.NoErr(err)
	is.Equal(string(complete), large)
	_, err = b.Append([]byte("a"))
	is.NoErr(err)
	is.True(reserved <= keptBufferBytes)

	_, err = b.Append([]byte(large[:most/2]))
	is.NoErr(err)
	_, err = b.Append([]byte(large)) // does not fit beside the buffer that it is copied from
	is.Equal(err, errFull)

	limit = 4 * most
	b = NewBuffer("", most, b.memory.reserve)
	complete, err = b.Append([]byte("id: 7\n\n" + strings.Repeat("x", most+1)))
	is.Equal(err, ErrTooLarge)
	is.Equal(string(complete), "id: 7\n\n")
	is.Equal(b.LastID, "7")
}
