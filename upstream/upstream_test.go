package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	okResponse  = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
	testTimeout = 10 * time.Second
)

// scriptedEndpoint is a TCP listener that counts its connections; see listen.
type scriptedEndpoint struct {
	net.Listener
	accepted atomic.Int32
}

// listen starts an endpoint that calls serve for each connection with its number, counted
// from 1.
func listen(t *testing.T, serve func(n int, c *net.TCPConn)) *scriptedEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &scriptedEndpoint{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(int(e.accepted.Add(1)), c.(*net.TCPConn))
		}
	}()
	return e
}

// readRequest reads one request including its body.
func readRequest(br *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r, err
}

func newClient() *Client {
	return New(Options{DialTimeout: testTimeout, MaxIdle: testTimeout, IdlePerHost: 4})
}

func get(id string) *Request {
	return &Request{Method: "GET", Target: "/a/b?c=%2f", Host: "h.example", Header: http.Header{"Request-Id": {id}}, EchoHeader: "Request-Id"}
}

// exchange sends r to e and returns the complete response body.
func exchange(c *Client, e *scriptedEndpoint, r *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	res, err := c.Do(ctx, "e", e.Addr().String(), r)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	p, err := io.ReadAll(res.Body)
	return string(p), err
}

// stage returns the stage of an *Error, and 255 for any other error.
func stage(err error) Stage {
	var failure *Error
	if !errors.As(err, &failure) {
		return 255
	}
	return failure.Stage
}

func TestRequestIsUnchanged(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	e := listen(t, func(_ int, c *net.TCPConn) {
		r, err := readRequest(bufio.NewReader(c))
		if err == nil {
			got <- r
		}
		_, _ = io.WriteString(c, okResponse)
	})
	r := get("r1")
	r.Method, r.Body = "POST", []byte("body")
	r.Header["X-Twice"] = []string{"1", "2"}
	response, err := exchange(newClient(), e, r)
	is.NoErr(err)
	is.Equal(response, "hi")
	sent := <-got
	is.Equal(sent.RequestURI, "/a/b?c=%2f")
	is.Equal(sent.Host, "h.example")
	is.Equal(sent.Header["X-Twice"], []string{"1", "2"})
	is.Equal(sent.ContentLength, int64(4))
}

func TestReusedConnection(t *testing.T) {
	cases := []struct {
		name     string
		response string
		close    bool // the endpoint closes after its response
		conns    int32
	}{
		{"reused", okResponse, false, 1},
		{"closed while idle", okResponse, true, 2},
		{"close announced", strings.Replace(okResponse, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), false, 2},
		{"idle timeout of zero advertised", strings.Replace(okResponse, "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1), false, 2},
		{"bytes after the response", okResponse + "HTTP/1.1 200 OK\r\n", false, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			e := listen(t, func(n int, c *net.TCPConn) {
				br := bufio.NewReader(c)
				for {
					if _, err := readRequest(br); err != nil {
						return
					}
					if n > 1 {
						_, _ = io.WriteString(c, okResponse)
						continue
					}
					_, _ = io.WriteString(c, tc.response)
					if tc.close {
						_ = c.Close()
						close(closed)
						return
					}
				}
			})
			client := newClient()
			_, err := exchange(client, e, get("r1"))
			is.NoErr(err)
			if tc.close {
				<-closed
				waitClosed(t, client)
			}
			response, err := exchange(client, e, get("r1"))
			is.NoErr(err)
			is.Equal(response, "hi")
			is.Equal(e.accepted.Load(), tc.conns)
		})
	}
}

// waitClosed waits until the close of the idle connection has arrived.
func waitClosed(t *testing.T, c *Client) {
	t.Helper()
	c.idle.mu.Lock()
	idle := c.idle.conns["e"][0].Conn
	c.idle.mu.Unlock()
	_ = idle.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("idle connection was not closed: %v", err)
	}
	_ = idle.SetReadDeadline(time.Time{})
}

// TestResetIsNotRetried: a request whose connection is reset before a response arrives
// fails with Sent; the client never retries it by itself.
func TestResetIsNotRetried(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	e := listen(t, func(n int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			if requests.Add(1) == 2 {
				_ = c.SetLinger(0)
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	client := newClient()
	_, err := exchange(client, e, get("r1"))
	is.NoErr(err)
	_, err = exchange(client, e, get("r1"))
	is.Equal(stage(err), Sent)
	is.Equal(requests.Load(), int32(2))
	is.Equal(e.accepted.Load(), int32(1))
}

func TestNotSent(t *testing.T) {
	is := is.New(t)
	e := listen(t, func(int, *net.TCPConn) {})
	_ = e.Close()
	_, err := exchange(newClient(), e, get("r1"))
	is.Equal(stage(err), NotSent)
}

func TestMismatchedResponses(t *testing.T) {
	other := strings.Replace(okResponse, "r1", "other", 1)
	cases := []struct {
		name     string
		response string
		want     string
		fails    bool
	}{
		{"before the response", other + okResponse, "hi", false},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, "hi", false},
		{"unframed response to another request", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\nhi", "", true},
		{"no response at all", "garbage\r\n\r\n", "", true},
		{"too many", strings.Repeat(other, maxMismatched+1) + okResponse, "", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			e := listen(t, func(_ int, c *net.TCPConn) {
				if _, err := readRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, tc.response)
				_ = c.Close()
			})
			response, err := exchange(newClient(), e, get("r1"))
			if tc.fails {
				is.Equal(stage(err), Sent)
				return
			}
			is.NoErr(err)
			is.Equal(response, tc.want)
		})
	}
}

func TestTruncatedResponses(t *testing.T) {
	cases := []struct {
		name     string
		response string
		reset    bool
		complete bool
	}{
		{"shorter than its length", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nhi", false, false},
		{"chunked without end", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false, false},
		{"unframed, closed", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhi", false, true},
		{"unframed, reset", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhi", true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			seen := make(chan struct{})
			e := listen(t, func(_ int, c *net.TCPConn) {
				if _, err := readRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, tc.response)
				<-seen // a reset discards bytes that the client has not read yet
				if tc.reset {
					_ = c.SetLinger(0)
				}
				_ = c.Close()
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			res, err := newClient().Do(ctx, "e", e.Addr().String(), get("r1"))
			is.NoErr(err)
			received := make([]byte, 2)
			_, err = io.ReadFull(res.Body, received)
			is.NoErr(err)
			close(seen)
			_, err = res.Body.Read(make([]byte, 1))
			is.Equal(err == io.EOF, tc.complete)
		})
	}
}

// TestEarlyResponse: a response that arrives before the endpoint has read the complete request
// body is returned, and its connection is not reused.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	e := listen(t, func(n int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		if n > 1 {
			if _, err := readRequest(br); err == nil {
				_, _ = io.WriteString(c, okResponse)
			}
			return
		}
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse)
		<-release
	})
	defer close(release)
	client := newClient()
	r := get("r1")
	r.Method, r.Body = "POST", make([]byte, 64<<20) // more than all buffers between client and endpoint hold
	response, err := exchange(client, e, r)
	is.NoErr(err)
	is.Equal(response, "hi")
	_, err = exchange(client, e, get("r1"))
	is.NoErr(err)
	is.Equal(e.accepted.Load(), int32(2))
}

// TestCancelReachesEndpoint: canceling the caller's context closes the connection, both
// before and after the response head.
func TestCancelReachesEndpoint(t *testing.T) {
	for _, response := range []string{"", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nhi"} {
		is := is.New(t)
		arrived, closed := make(chan struct{}), make(chan struct{})
		e := listen(t, func(_ int, c *net.TCPConn) {
			br := bufio.NewReader(c)
			_, _ = readRequest(br)
			_, _ = io.WriteString(c, response)
			close(arrived)
			_, _ = br.ReadByte()
			close(closed)
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			res, err := newClient().Do(ctx, "e", e.Addr().String(), get("r1"))
			if err == nil {
				_, err = io.ReadAll(res.Body)
			}
			done <- err
		}()
		<-arrived
		cancel()
		<-closed
		is.True(<-done != nil)
	}
}

// TestMaxIdle: a request with MaxIdle, as sent when it may run only once, reuses no
// connection that was idle for longer.
func TestMaxIdle(t *testing.T) {
	is := is.New(t)
	e := listen(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	client := newClient()
	_, err := exchange(client, e, get("r1"))
	is.NoErr(err)
	r := get("r1")
	r.MaxIdle = time.Nanosecond
	_, err = exchange(client, e, r)
	is.NoErr(err)
	is.Equal(e.accepted.Load(), int32(2))
}

// TestMaxIdleConns: of connections whose exchanges end together, only as many stay idle as the
// requests allow.
func TestMaxIdleConns(t *testing.T) {
	is := is.New(t)
	e := listen(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			if _, err := io.WriteString(c, okResponse); err != nil {
				return
			}
		}
	})
	for keep, want := range map[int]int{0: 3, 1: 1, 2: 2, 9: 3} {
		client := newClient()
		var bodies []io.ReadCloser
		for range 3 {
			r := get("r1")
			r.MaxIdleConns = keep
			res, err := client.Do(t.Context(), "e", e.Addr().String(), r)
			is.NoErr(err)
			bodies = append(bodies, res.Body)
		}
		for _, b := range bodies {
			_, err := io.ReadAll(b)
			is.NoErr(err)
		}
		is.Equal(len(client.idle.conns["e"]), want)
		client.Close()
	}
}
