package engine_test

import (
	"errors"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/standin/rawhttp"
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
			server := httptest.NewServer(rawhttp.Handler(response))
			defer server.Close()
			c := engine.NewClient(engine.Options{BaseURL: server.URL})
			_, err := c.Export(t.Context(), "id")
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
