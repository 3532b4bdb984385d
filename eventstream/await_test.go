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
			out, err := AwaitEvent(io.NopCloser(in), "2", awaitReadBytes)
			is.Equal(err, tc.err)
			if err != nil {
				return
			}
			all, _ := io.ReadAll(out)
			is.Equal(string(all), tc.stream)
		})
	}
}
