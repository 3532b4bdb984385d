package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestAwaitEvent guards against taking a stream that only sends comments, or that breaks, for one that has
// begun, and against events that are lost because they were read to find out.
func TestAwaitEvent(t *testing.T) {
	broken := errors.New("broken")
	cases := []struct {
		name, stream string
		end, err     error
	}{
		{"event", ": waiting\n\nid: 3\n\nid: 4\n\n", io.EOF, nil},
		{"event, then broken", "id: 3\n\nid", broken, nil},
		{"nothing is left to send", "", io.EOF, nil},
		{"known event only", "id: 2\n\n", broken, broken},
		{"comments only", ": waiting\n\n: waiting\n\n", broken, broken},
		{"part of an event", "id: 3\nda", io.EOF, io.ErrUnexpectedEOF},
		{"endless event", "id: 3\ndata: " + strings.Repeat("x", 2*awaitReadBytes), io.EOF, ErrTooLarge},
		{"endless comments", strings.Repeat(": waiting\n\n", awaitReadBytes), io.EOF, ErrTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			in := io.MultiReader(iotest.OneByteReader(strings.NewReader(tc.stream)), iotest.ErrReader(tc.end))
			out, err := AwaitEvent(io.NopCloser(in), "2", awaitReadBytes, nil)
			is.Equal(err, tc.err)
			if err != nil {
				return
			}
			all, _ := io.ReadAll(out)
			is.Equal(string(all), tc.stream)
		})
	}
}

// TestAwaitEventReservesMemory guards against the beginning of a stream that occupies memory which does not count,
// and against counting it after it was passed on.
func TestAwaitEventReservesMemory(t *testing.T) {
	const size = 100_000
	is := is.New(t)
	stream := "data: " + strings.Repeat("x", size) + "\nid: 3\n\n"
	reserved, most := 0, 0
	reserve := func(bytes int) error {
		reserved, most = bytes, max(most, bytes)
		return nil
	}
	out, err := AwaitEvent(io.NopCloser(strings.NewReader(stream)), "2", 1<<20, reserve)
	is.NoErr(err)
	is.True(reserved >= len(stream))
	is.True(most > len(stream)) // two buffers while one is copied
	all, err := io.ReadAll(out)
	is.NoErr(err)
	is.Equal(string(all), stream)
	is.Equal(reserved, 0)

	full := errors.New("full")
	_, err = AwaitEvent(io.NopCloser(strings.NewReader(stream)), "2", 1<<20, func(int) error { return full })
	is.Equal(err, full)
}

// BenchmarkAwaitEvent reads a first event of 1 MB.
func BenchmarkAwaitEvent(b *testing.B) {
	stream := "id: 3\n" + strings.Repeat("data: abcdefgh\n", 70_000) + "\n"
	for b.Loop() {
		if _, err := AwaitEvent(io.NopCloser(strings.NewReader(stream)), "2", 2<<20, nil); err != nil {
			b.Fatal(err)
		}
	}
}
