package engine_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
)

// TestMalformedResponse guards against a response that is none and passes for one of the engine: for a proof that a request
// did not start, or for the whole of an export.
func TestMalformedResponse(t *testing.T) {
	const (
		refusal = `{"error":{"code":"refused"}}`
		chunks  = "\r\n6\r\nexport\r\n0\r\n\r\n"
	)
	length := "Content-Length: " + strconv.Itoa(len(refusal)) + "\r\n"
	for name, response := range map[string]string{
		"status 000":          "HTTP/1.1 000 Unknown\r\n" + length + "\r\n" + refusal,
		"name with a blank":   "HTTP/1.1 400 Bad Request\r\nBad Name: x\r\n" + length + "\r\n" + refusal,
		"coding with a blank": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + chunks,
		"coding in HTTP/1.0":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"cut head":            "HTTP/1.1 400 Bad Request\r\nContent-Len",
		"cut body":            "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nexp",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, response)
					}
					_ = c.Close()
				}
			}()
			c := engine.NewClient(engine.Options{BaseURL: "http://" + l.Addr().String()})
			_, err = c.Export(t.Context(), "id")
			is.True(errors.Is(err, engine.ErrLost))
			stream, err := c.Start(t.Context(), engine.Request{ID: "r1", Path: "/v1/completions"})
			if err == nil {
				_, err = stream.Recv()
			}
			is.True(errors.Is(err, engine.ErrLost))
			is.True(!engine.NotStarted(err))
		})
	}
}
