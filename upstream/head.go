package upstream

import (
	"errors"
	"math"
	"net"
)

// maxHeadBytes is the largest head of a response, its interim (1xx) responses included.
const maxHeadBytes = 64 << 10

// errHeadTooLarge ends an exchange whose response head is larger than maxHeadBytes.
var errHeadTooLarge = errors.New("the head of the response is too large")

// headLimiter bounds what is read from a connection for the head of a response. What the buffer of its reader
// holds may exceed the limit, since it may be the beginning of the body.
type headLimiter struct {
	conn net.Conn
	left int // how many bytes may still be read
}

func (l *headLimiter) begin() { l.left = maxHeadBytes }

func (l *headLimiter) end() { l.left = math.MaxInt }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p)
	l.left -= n
	return n, err
}
