package relay

import (
	"bufio"
	"net"
	"net/http"
	"testing"

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
			c := b.sendHead("POST /safe/x", "Wait-Ms: 300\r\n"+framing+"\r\n")
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusRequestTimeout)
			is.True(res.Close)
			is.Equal(b.requestCount(), 0)
		})
	}
}
