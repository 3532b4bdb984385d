package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlowBody guards against a caller whose body does not arrive in time and who is told that its request
// succeeded.
func TestSlowBody(t *testing.T) {
	for _, framing := range []string{"Content-Length: 10", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			is := is.New(t)
			b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { writeResponse(w, "200 OK", "", "a") })
			b.readSource()
			c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
			is.NoErr(err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: k\r\nWait-Ms: 300\r\n%s\r\n\r\n", framing)
			is.NoErr(err)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusRequestTimeout)
			is.True(res.Close)
			is.Equal(b.requestCount(), 0)
		})
	}
}
