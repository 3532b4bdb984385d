package upstream

import (
	"bytes"
	"errors"
	"math"
	"net"

	"github.com/micarudder/micarudder/heldmemory"
)

// maxHeadBytes is the largest head of a response, its interim (1xx) responses included.
const maxHeadBytes = 64 << 10

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
	l.refused = l.memory.Resize(heldmemory.Head, heldmemory.HeadBytes(maxHeadBytes-l.left, l.lines))
	if l.refused != nil {
		return 0, l.refused
	}
	return n, err
}
