package service_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/standin/rawhttp"
	"github.com/micarudder/micarudder/service"
)

const (
	// upload is more than the kernel holds for a service that does not read.
	upload       = 16 << 20
	unframedHead = "HTTP/1.1 200 OK\r\n\r\n"
	answer       = "answer"
)

// serve calls f for the first request to a new listener, of which the head was read, and returns a client of it.
func serve(t *testing.T, f func(c *net.TCPConn, r *http.Request)) *service.Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			f(c.(*net.TCPConn), r)
		}
	}()
	return service.NewClient(service.Options{BaseURL: "http://" + l.Addr().String()})
}

// call makes a call and returns the complete body of the response.
func call(t *testing.T, c *service.Client, method string, body []byte) (string, error) {
	t.Helper()
	res, err := c.Do(t.Context(), service.Call{ID: "1", Method: method, Path: "/", Body: body})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	p, err := io.ReadAll(res.Body)
	return string(p), err
}

// TestResetDuringUpload guards against a response without a length that passes for complete, although the service has reset
// the connection while the request was sent.
func TestResetDuringUpload(t *testing.T) {
	for range 20 { // it depends on which side of the client learns of the reset
		is := is.New(t)
		c := serve(t, func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, unframedHead+answer)
			_, _ = io.CopyN(io.Discard, c, upload/2)
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		_, err := call(t, c, http.MethodPost, make([]byte, upload))
		is.True(errors.Is(err, service.ErrLost))
	}
}

// TestResponseBeforeUploadIsRead guards against a complete response that is lost, because the service has sent it before it
// has read the request.
func TestResponseBeforeUploadIsRead(t *testing.T) {
	for name, head := range map[string]string{"HTTP/1.1": unframedHead, "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := serve(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, head+answer)
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, r.Body)
			})
			got, err := call(t, c, http.MethodPost, make([]byte, upload))
			is.NoErr(err)
			is.Equal(got, answer)
		})
	}
}

// TestMalformedResponse guards against a response that is none and passes for one of the service.
func TestMalformedResponse(t *testing.T) {
	const (
		chunks = "\r\n6\r\nanswer\r\n0\r\n\r\n"
		sound  = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n"
	)
	for name, response := range map[string]string{
		"status 000":                    "HTTP/1.1 000 Unknown\r\nContent-Length: 6\r\n\r\nanswer",
		"status 600":                    "HTTP/1.1 600 Unknown\r\nContent-Length: 6\r\n\r\nanswer",
		"status 000 without a body":     "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n",
		"switch of protocols":           "HTTP/1.1 101 Switching Protocols\r\n\r\nanswer",
		"HTTP/2.0":                      "HTTP/2.0 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
		"coding with a blank":           "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + chunks,
		"name with a blank":             sound + "Bad Name: x\r\n\r\nanswer",
		"name with a control byte":      sound + "Bad\x01Name: x\r\n\r\nanswer",
		"coding in HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"coding in HTTP/1.0, long head": "HTTP/1.0 200 OK\r\nX: " + strings.Repeat("x", 10_000) + "\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"cut head":                      sound,
		"cut body":                      sound + "\r\nans",
		"cut chunk":                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nans",
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				is := is.New(t)
				server := httptest.NewServer(rawhttp.Handler(response))
				defer server.Close()
				c := service.NewClient(service.Options{BaseURL: server.URL})
				_, err := call(t, c, method, nil)
				is.True(errors.Is(err, service.ErrLost)) // it may have run
			})
		}
	}
}
