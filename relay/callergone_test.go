package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHalfClosedCaller guards against a caller that has closed only its sending side, is taken for gone, and
// gets what was passed on so far as if that were complete, or an empty success.
func TestHalfClosedCaller(t *testing.T) {
	cases := []struct{ name, path, begun string }{
		{"nothing was passed on", "/safe/x", ""},
		{"a stream has begun", "/stream/x", chunkedStream + "f\r\n" + soundEvents + "\r\n"},
		{"a response without events has begun", "/story/x", chunkedStream + "f\r\n" + soundEvents + "\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			stop := make(chan struct{})
			defer close(stop)
			b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
				_, _ = w.WriteString(tc.begun)
				_ = w.Flush()
				<-stop
			})
			b.readSource()
			c := b.sendHead("GET "+tc.path, "")
			for b.requestCount() == 0 {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(c.CloseWrite())
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.ReadAll(res.Body)
			}
			is.Equal(err, io.ErrUnexpectedEOF)
		})
	}
}
