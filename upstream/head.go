package upstream

import (
	"bytes"
	"errors"
	"math"
	"net"
	"net/http"

	"github.com/micarudder/micarudder/heldmemory"
)

const (
	// maxHeadBytes is the largest head of a response, its interim (1xx) responses included.
	maxHeadBytes = 64 << 10
	// fieldOverheadBytes is the most that a header field occupies besides its text: its entries in the maps of
	// the response and of the one to the caller, and net/http's copy of the latter.
	fieldOverheadBytes = 320
)

// errHeadTooLarge ends an exchange whose response head is larger than maxHeadBytes.
var errHeadTooLarge = errors.New("the head of the response is too large")

// headLimiter bounds what is read from a connection for the head of a response, and counts what the head will
// occupy before it is parsed. What the buffer of its reader holds may exceed the limit, since it may be the
// beginning of the body; it counts as head until end is called.
type headLimiter struct {
	conn   net.Conn
	memory *heldmemory.Response
	left   int // how many bytes may still be read
	lines  int // read so far
	// refused is why the rest of a head was not read; nil: it was. Its reader may report it as a malformed line.
	refused error
}

func (l *headLimiter) begin() { l.left, l.lines, l.refused = maxHeadBytes, 0, nil }

func (l *headLimiter) end() { l.left = math.MaxInt }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		l.refused = errHeadTooLarge
		return 0, l.refused
	}
	n, err := l.conn.Read(p)
	if l.left > maxHeadBytes { // the body
		return n, err
	}
	l.left -= n
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	l.refused = l.memory.Resize(heldmemory.Head, headBytes(maxHeadBytes-l.left, l.lines))
	if l.refused != nil {
		return 0, l.refused
	}
	return n, err
}

// headBytes returns the most that a head of this size occupies once it is parsed.
func headBytes(size, lines int) int64 { return int64(size + lines*fieldOverheadBytes) }

// parsedHeadBytes returns the most that the header fields of a response occupy.
func parsedHeadBytes(h http.Header) int64 {
	size, fields := 0, 0
	for name, values := range h {
		size += len(name)
		fields += len(values)
		for _, v := range values {
			size += len(v)
		}
	}
	return headBytes(size, fields)
}
