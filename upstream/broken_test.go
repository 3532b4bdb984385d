package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/httpresponse"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"
	// longBody is more than the kernel holds for an endpoint that does not read.
	longBody = 16 << 20
)

// writeNotifier closes failed once a write to the connection has failed.
type writeNotifier struct {
	net.Conn
	failed chan struct{}
}

func (c *writeNotifier) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
	}
	return n, err
}

func (c *writeNotifier) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// dialNotifier returns a dialer of one connection, and a channel that is closed once a write to it has failed.
func dialNotifier() (func(context.Context, string) (net.Conn, error), <-chan struct{}) {
	failed := make(chan struct{})
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &writeNotifier{c, failed}, nil
	}, failed
}

func post(body []byte) *Request {
	r := get("r1")
	r.Method, r.Body = http.MethodPost, body
	return r
}

// TestResetDuringUpload guards against a response without a length that passes for complete although its connection was
// reset. The kernel reports a reset only once: if a write gets that error, a read gets the end of the connection.
func TestResetDuringUpload(t *testing.T) {
	for _, bounded := range []bool{false, true} {
		for _, part := range []string{"", "part", strings.Repeat("part", 4<<10)} {
			t.Run(strconv.FormatBool(bounded)+"/"+strconv.Itoa(len(part)), func(t *testing.T) {
				is := is.New(t)
				answered := make(chan struct{})
				e := listen(t, func(_ int, c *net.TCPConn) {
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, unframedHead+part)
					<-answered
					_ = c.SetLinger(0)
					_ = c.Close()
				})
				dial, writeFailed := dialNotifier()
				o := Options{Dialer: dial}
				if bounded {
					o.SlowReaderTimeout = testTimeout
				}
				client := New(o)
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				res, err := client.Do(ctx, "e", e.Addr().String(), post(make([]byte, longBody)))
				is.NoErr(err)
				defer res.Body.Close()
				got := make([]byte, len(part))
				_, err = io.ReadFull(res.Body, got)
				is.NoErr(err)
				close(answered)
				<-writeFailed
				_, err = io.ReadAll(res.Body)
				is.True(err != nil) // not the end of a complete response
			})
		}
	}
}

// TestResponseBeforeUploadIsRead guards against a complete response that is lost, because the endpoint has sent it before it
// has read the request, and reads the rest, does not, or resets the connection afterwards.
func TestResponseBeforeUploadIsRead(t *testing.T) {
	heads := map[string]string{
		"with a length":            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\npart",
		"in chunks":                "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
		"without a length":         unframedHead + "part",
		"HTTP/1.0":                 "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\npart",
		"HTTP/1.0, without length": "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\n\r\npart",
	}
	ends := map[string]func(c *net.TCPConn, upload io.Reader, received <-chan struct{}){
		"reads all and closes": func(c *net.TCPConn, upload io.Reader, _ <-chan struct{}) {
			_, _ = io.Copy(io.Discard, upload)
			_ = c.Close()
		},
		"closes half and reads": func(c *net.TCPConn, upload io.Reader, _ <-chan struct{}) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, upload)
		},
		"closes half and never reads": func(c *net.TCPConn, _ io.Reader, received <-chan struct{}) {
			_ = c.CloseWrite()
			<-received
			_ = c.Close()
		},
		"closes half, then resets": func(c *net.TCPConn, upload io.Reader, _ <-chan struct{}) {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, upload, longBody/2) // the client has received the end by then
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	}
	for form, response := range heads {
		for end, finish := range ends {
			t.Run(form+"/"+end, func(t *testing.T) {
				is := is.New(t)
				received := make(chan struct{})
				defer close(received)
				e := listen(t, func(_ int, c *net.TCPConn) {
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, response)
					finish(c, r.Body, received)
				})
				got, err := exchange(newClient(), e, post(make([]byte, longBody)))
				is.NoErr(err)
				is.Equal(got, "part")
			})
		}
	}
}

const okFields = "Request-Id: r1\r\nContent-Length: 2\r\n"

// checkMalformed checks that a response with this head, to the request or interim, fails its exchange, and that its
// connection is not used again.
func checkMalformed(t *testing.T, heads map[string]string) {
	t.Helper()
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := listen(t, func(_ int, c *net.TCPConn) {
				br := bufio.NewReader(c)
				for response := head + "\r\nhi"; ; response = okResponse {
					if _, err := readRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(c, response)
				}
			})
			client := newClient()
			defer client.Close()
			_, err := exchange(client, e, get("r1"))
			var malformed *httpresponse.MalformedError
			is.True(errors.As(err, &malformed))
			is.Equal(stage(err), Sent) // the endpoint may have run the request
			is.True(!client.HasIdle("e", 0))
		})
	}
}

// TestMalformedStatus guards against a status that is none and passes for that of a response.
func TestMalformedStatus(t *testing.T) {
	checkMalformed(t, map[string]string{
		"000":                "HTTP/1.1 000 Unknown\r\n" + okFields,
		"below the smallest": "HTTP/1.1 099 Unknown\r\n" + okFields,
		"above the largest":  "HTTP/1.1 600 Unknown\r\n" + okFields,
		"999":                "HTTP/1.1 999 Unknown\r\n" + okFields,
		"positive sign":      "HTTP/1.1 +20 OK\r\n" + okFields,
		"negative sign":      "HTTP/1.1 -00 OK\r\n" + okFields,
		"switch of protocols that was not asked for": "HTTP/1.1 101 Switching Protocols\r\n" + okFields,
	})
}

// TestMalformedFieldName guards against a header field whose name holds a blank, which is left out of the header or of the
// framing of the body, so that the rest passes for a response.
func TestMalformedFieldName(t *testing.T) {
	checkMalformed(t, map[string]string{
		"blank before the colon":              "HTTP/1.1 200 OK\r\n" + okFields + "Name : x\r\n",
		"blank within the name":               "HTTP/1.1 200 OK\r\n" + okFields + "Bad Name: x\r\n",
		"of the length":                       "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length : 2\r\n",
		"of the request's id":                 "HTTP/1.1 200 OK\r\nRequest-Id : r1\r\nContent-Length: 2\r\n",
		"in an interim response":              "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\nHTTP/1.1 200 OK\r\n" + okFields,
		"in a response to some other request": "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nName : x\r\nContent-Length: 0\r\n\r\n" + "HTTP/1.1 200 OK\r\n" + okFields,
	})
}

// TestMalformedStatusLine guards against a status line of another protocol, or with control bytes, that passes for one of
// HTTP/1.
func TestMalformedStatusLine(t *testing.T) {
	checkMalformed(t, map[string]string{
		"HTTP/2.0":                   "HTTP/2.0 200 OK\r\n" + okFields,
		"HTTP/0.9":                   "HTTP/0.9 200 OK\r\n" + okFields,
		"control byte in the reason": "HTTP/1.1 200 O\x01K\r\n" + okFields,
		"zero byte in the reason":    "HTTP/1.1 200 OK\x00\r\n" + okFields,
		"carriage return":            "HTTP/1.1 200 O\rK\r\n" + okFields,
	})
}

// TestCodingInHTTP10 guards against a transfer coding in an HTTP/1.0 response, of which the framing passes for the body.
func TestCodingInHTTP10(t *testing.T) {
	const chunked = "\r\n2\r\nhi\r\n0\r\n\r\n"
	checkMalformed(t, map[string]string{
		"chunked":             "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n" + chunked,
		"chunked, other case": "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nTRANSFER-encoding:chunked\r\n" + chunked,
		"chunked, line feeds": "HTTP/1.0 200 OK\nRequest-Id: r1\nTransfer-Encoding: chunked\n" + chunked,
		"beside a length":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + okFields,
		"after a long field":  "HTTP/1.0 200 OK\r\nX: " + strings.Repeat("x", 2*readBuffer) + "\r\nTransfer-Encoding: chunked\r\n" + okFields,
		"after a longer line": "HTTP/1.0 200 " + strings.Repeat("x", 100) + "\r\nTransfer-Encoding: chunked\r\n" + okFields,
	})
}

// TestBodyOfHTTP10 guards against a sound HTTP/1.0 response that is refused for what its body holds.
func TestBodyOfHTTP10(t *testing.T) {
	is := is.New(t)
	const body = "\r\nTransfer-Encoding: chunked\r\n\r\n"
	e := listen(t, func(_ int, c *net.TCPConn) {
		if _, err := readRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nX-Transfer-Encoding: x\r\n\r\n"+body)
		}
		_ = c.Close()
	})
	got, err := exchange(newClient(), e, get("r1"))
	is.NoErr(err)
	is.Equal(got, body)
}

// checkCut sends responses of which all from a byte on is missing, each beginning from the first one, and checks the error of
// the exchange. The endpoint closes the connection or resets it.
func checkCut(t *testing.T, response string, first int, check func(is *is.I, err error)) {
	t.Helper()
	for _, end := range []string{"closed", "reset"} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			var cut atomic.Int32
			e := listen(t, func(_ int, c *net.TCPConn) {
				if _, err := readRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, response[:cut.Load()])
				if end == "reset" {
					_ = c.SetLinger(0)
				}
				_ = c.Close()
			})
			client := newClient()
			for n := first; n < len(response); n++ {
				cut.Store(int32(n))
				_, err := exchange(client, e, get("r1"))
				check(is, err)
			}
		})
	}
}

// TestCutHead guards against a head of which only the beginning has arrived and that passes for a response, with no body or
// with one that ends with its connection.
func TestCutHead(t *testing.T) {
	for name, head := range map[string]string{
		"length":          "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"chunks":          "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length":       unframedHead,
		"no body":         "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n\r\n",
		"line feeds":      "HTTP/1.1 200 OK\nRequest-Id: r1\nContent-Length: 0\n\n",
		"HTTP/1.0":        "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\n\r\n",
		"interim":         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"continued field": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: y\r\n z\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			checkCut(t, head, 0, func(is *is.I, err error) { is.Equal(stage(err), Sent) })
		})
	}
}

// TestCutBody guards against a body that ends before its length or its last chunk and passes for complete.
func TestCutBody(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, parts := range map[string][2]string{
		"length":         {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\n", "part"},
		"chunks":         {chunked, "2\r\npa\r\n2\r\nrt\r\n0\r\n\r\n"},
		"trailer fields": {chunked, "4\r\npart\r\n0\r\nX: y\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			checkCut(t, parts[0]+parts[1], len(parts[0]), func(is *is.I, err error) { is.True(err != nil) })
		})
	}
}
