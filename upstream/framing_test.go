package upstream

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEndlessBodyFraming guards against an endpoint that sends a chunk extension or trailers without end, and
// whose bytes are kept until the process is killed for its memory.
func TestEndlessBodyFraming(t *testing.T) {
	const sent, most = 4 << 20, 128 << 10
	for name, form := range map[string][2]string{
		"chunk extension": {"5;x=", "abcdefgh"},
		"trailers":        {"0\r\n", "X-Field: value\r\n"},
		"one trailer":     {"0\r\nX: ", "abcdefgh"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := listen(t, func(_ int, c *net.TCPConn) {
				defer func() { _ = c.Close() }()
				if _, err := readRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n" + form[0] + strings.Repeat(form[1], sent/len(form[1]))))
			})
			client, read := newCountingClient()
			_, err := exchange(client, e, get("r1"))
			is.True(err != nil)
			is.True(read.Load() <= most)
		})
	}
}
