package keepalive

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestAbortedResponse guards against a response that was aborted and that looks complete to a caller of HTTP/1.0, who knows
// its end by that of the connection only, and against a complete one that does not.
func TestAbortedResponse(t *testing.T) {
	cases := []struct {
		name, path string
		complete   bool
	}{
		{"complete", "/complete", true},
		{"aborted", "/abort", false},
		{"aborted before its head", "/abort-at-once", false},
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, tc := range cases {
			t.Run(version+"/"+tc.name, func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				read := make(chan struct{})
				srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/abort-at-once" {
						panic(http.ErrAbortHandler)
					}
					_, _ = io.WriteString(w, "part")
					_ = http.NewResponseController(w).Flush()
					if r.URL.Path == "/abort" {
						<-read
						panic(http.ErrAbortHandler)
					}
				})}
				go func() { _ = New(Options{}).Serve(srv, l) }()
				defer srv.Close()
				c, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer c.Close()
				_, err = io.WriteString(c, "GET "+tc.path+" "+version+"\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				body, err := readPart(c)
				close(read)
				if err == nil {
					_, err = io.ReadAll(body)
				}
				is.Equal(err == nil, tc.complete)
			})
		}
	}
}

// readPart reads the head of a response and "part", and returns the rest of the body.
func readPart(c net.Conn) (io.Reader, error) {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadFull(res.Body, make([]byte, len("part")))
	return res.Body, err
}
