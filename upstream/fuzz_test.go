package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/internal/httpresponse"
)

// FuzzResponse checks that whatever an endpoint sends is read to its end or fails, that neither a malformed response nor one
// to another request is taken for the one that is awaited, and that nothing counts as held afterwards.
func FuzzResponse(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
	for _, text := range []string{
		okResponse, "", head + "Content-Length: 9\r\n\r\nhi", head + "\r\nid: 1\n\n",
		head + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nhi\r\n0\r\nTrailer: x\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse,
		strings.Replace(okResponse, "r1", "r0", 1) + okResponse,
		strings.Replace(okResponse, "200", "000", 1), strings.Replace(okResponse, "Content-Length", "Content-Length ", 1),
		"HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		strings.Repeat("[0.0123,0.4567],", 5000), head + strings.Repeat("a:\n", 9000), head + "X: " + strings.Repeat("y", 70000),
		head + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("e", 9000), head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("T: x\r\n", 2000),
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		responses := heldmemory.NewResponses(1 << 20)
		client := New(Options{Responses: responses, MaxIdle: time.Minute, IdlePerHost: 1, Dialer: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := readRequest(bufio.NewReader(far)); err == nil {
					_, _ = io.WriteString(far, text)
				}
			}()
			return near, nil
		}})
		defer client.Close()
		request := get("r1")
		request.Stream = NewStream
		if res, err := client.Do(t.Context(), "e", "", request); err == nil {
			if got := res.Header.Get("Request-Id"); got != "r1" {
				t.Fatalf("response to request %q", got)
			}
			if res.StatusCode/100 == 1 {
				t.Fatalf("interim response %q", res.Status)
			}
			if err := httpresponse.CheckHead(res); err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, res.Body)
			if err == nil && n > int64(len(text)) {
				t.Fatalf("%d bytes of %d", n, len(text))
			}
			_ = res.Body.Close()
		}
		if held := responses.Held(heldmemory.Head); held != 0 {
			t.Fatalf("%d bytes are held", held)
		}
	})
}
