package keepalive

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/standin/pipe"
)

const (
	testHeadTimeout = 3 * time.Second
	testIdleTimeout = 15 * time.Second
)

// server is an http.Server over in-memory connections whose handler answers when the test says so.
type server struct {
	conns   *Conns
	http    *http.Server
	l       *pipe.Listener
	release chan struct{} // one value for each response
}

func newServer() *server { return newServerWith(nil) }

// newServerWith starts a server with a handler of the test, or with its own if that is nil.
func newServerWith(handler http.Handler) *server {
	s := &server{conns: New(Options{RetryAfter: 50 * time.Millisecond}), l: pipe.Listen(), release: make(chan struct{}, 10)}
	if handler == nil {
		handler = s
	}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: testHeadTimeout, IdleTimeout: testIdleTimeout, MaxHeaderBytes: 16 << 10}
	go func() { _ = s.conns.Serve(s.http, s.l) }()
	return s
}

// ServeHTTP answers with the body of the request. The head of the response tells the caller if the connection ends.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.conns.admitted() > allRequests {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-s.release
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func (s *server) close() {
	_ = s.l.Close()
	_ = s.http.Close()
}

// caller is a caller with a single connection. A write returns once the server has read what is written.
type caller struct {
	net.Conn
	responses chan response
	broken    bool
}

// response is a complete response.
type response struct {
	status int
	body   string
	close  bool
}

func (s *server) dial(t *testing.T) *caller {
	c, err := s.l.Dial(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	out := &caller{Conn: c, responses: make(chan response, 10)}
	go out.readResponses()
	return out
}

func (c *caller) readResponses() {
	defer close(c.responses)
	br := bufio.NewReader(c)
	for {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return
		}
		c.responses <- response{res.StatusCode, string(body), res.Close}
	}
}

// send sends a part of a request. It reports whether the server has read any of it.
func (c *caller) send(part string) bool {
	if c.broken {
		return false
	}
	n, err := io.WriteString(c, part)
	c.broken = err != nil
	return n > 0
}

// step is one step of a connection's life: the caller sends a part of a request, or a response is completed.
type step struct {
	part    string
	request int // 1 or 2; the part belongs to it
	release bool
}

// requestForms are the parts in which a caller sends a request. The first is a single byte.
var requestForms = map[string][]string{
	"no body":            {"G", "ET /%d", " HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
	"body with a length": {"P", "OST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n", "\r\nbo", "dy"},
	"body in chunks":     {"P", "OST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", "dy\r\n0\r", "\n\r\n"},
}

// life returns the steps of two requests, one after the other.
func life(parts []string) (out []step) {
	for request := 1; request <= 2; request++ {
		for _, part := range parts {
			if strings.Contains(part, "%d") {
				part = fmt.Sprintf(part, request)
			}
			out = append(out, step{part: part, request: request})
		}
		out = append(out, step{release: true})
	}
	return out
}

// pipelined returns the steps of two requests of which the second begins with the last part of the first.
func pipelined(parts []string) []step {
	steps := life(parts)
	first := len(parts) // the release of the first response
	steps[first-1].part += steps[first+1].part + steps[first+2].part
	return append(steps[:first+1:first+1], steps[first+3:]...)
}

// early returns the steps of two requests of which the second begins before the response to the first is complete.
func early(parts []string) []step {
	steps := life(parts)
	first := len(parts)
	steps[first], steps[first+1] = steps[first+1], steps[first]
	return steps
}

// shutdown is the number of the step before which each part of a shutdown takes place.
type shutdown struct{ idle, seal, refuse int }

func (d shutdown) String() string {
	return fmt.Sprintf("idle %d, seal %d, refuse %d", d.idle, d.seal, d.refuse)
}

// TestNoConnectionEndsUnderRequest guards against a connection that is closed although something of a request was read
// that has no response: whenever a shutdown begins, seals and refuses, in relation to the parts of two requests and to
// their responses.
func TestNoConnectionEndsUnderRequest(t *testing.T) {
	for name, parts := range requestForms {
		for kind, steps := range map[string][]step{"kept": life(parts), "early": early(parts), "pipelined": pipelined(parts)} {
			t.Run(name+" "+kind, func(t *testing.T) {
				for idle := range len(steps) + 1 {
					for seal := idle; seal <= len(steps); seal++ {
						for refuse := seal; refuse <= len(steps); refuse++ {
							playShutdown(t, steps, shutdown{idle, seal, refuse})
						}
					}
				}
			})
		}
	}
}

// playShutdown plays the steps beside a shutdown.
func playShutdown(t *testing.T, steps []step, d shutdown) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		c := s.dial(t)
		var read, refused [3]bool // by request: whether something was read of it, and whether it may be refused
		for i, st := range append(steps[:len(steps):len(steps)], step{release: true}) {
			synctest.Wait()
			if i == d.idle {
				s.conns.EndIdle()
			}
			if i == d.seal {
				s.conns.Seal()
			}
			if i == d.refuse {
				s.conns.RefuseUnfinished()
			}
			synctest.Wait()
			if st.release {
				s.release <- struct{}{}
				continue
			}
			refused[st.request] = refused[st.request] || i >= d.refuse
			if c.send(st.part) {
				read[st.request] = true
				read[2] = read[2] || strings.Contains(st.part, "/2")
			}
		}
		s.release <- struct{}{}
		time.Sleep(time.Minute)
		checkResponses(t, c, read, refused, d)
		if n := s.conns.InFlight(); n != 0 {
			t.Errorf("%v: %d requests in flight at the end", d, n)
		}
		s.close()
		_ = c.Close()
	})
}

// checkResponses checks that each request of which something was read has a response, unless the response before it
// announced the end of the connection, and that no request is refused whose head was complete in time.
func checkResponses(t *testing.T, c *caller, read, refused [3]bool, d shutdown) {
	t.Helper()
	_ = c.SetDeadline(time.Now())
	for request := 1; request <= 2; request++ {
		res, ok := <-c.responses
		switch {
		case read[request] && !ok:
			t.Errorf("%s: request %d was read and has no response", d, request)
			return
		case !ok:
			return
		case refused[request] && res.status == http.StatusServiceUnavailable && res.close:
			if extra, ok := <-c.responses; ok {
				t.Errorf("%s: response %v after the last one", d, extra)
			}
			return
		case res.status != http.StatusOK || !strings.HasPrefix(res.body, fmt.Sprintf("/%d", request)):
			t.Errorf("%s: response %v to request %d", d, res, request)
		case res.close:
			return
		}
	}
}

// TestIdleTimeoutSparesBegunRequest guards against a connection that is closed because it was idle for too long, with
// the first bytes of its next request.
func TestIdleTimeoutSparesBegunRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		pause  time.Duration // between the first bytes and the rest
		status int           // 0: the connection was closed without a response
	}{
		"rest in time":        {2 * time.Second, http.StatusOK},
		"rest too late":       {4 * time.Second, http.StatusRequestTimeout},
		"begun after closing": {-2 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newServer()
				defer s.close()
				c := s.dial(t)
				defer func() { _ = c.Close() }()
				s.release <- struct{}{}
				is.True(c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"))
				<-c.responses
				time.Sleep(testIdleTimeout - min(time.Second, tc.pause))
				sent := c.send("GE")
				is.Equal(sent, tc.pause > 0)
				time.Sleep(max(0, tc.pause))
				s.release <- struct{}{}
				c.send("T /2 HTTP/1.1\r\nHost: h\r\n\r\n")
				res, ok := <-c.responses
				is.Equal(ok, tc.status != 0)
				is.Equal(res.status, tc.status)
				_ = c.Close()
				time.Sleep(time.Second)
				is.Equal(s.conns.InFlight(), int64(0))
			})
		})
	}
}

// TestResponseIsInFlightUntilWritten guards against a process that exits before the last bytes of a response are
// written, which net/http keeps in a buffer until the handler has returned.
func TestResponseIsInFlightUntilWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServerWith(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "response") }))
		defer s.close()
		conn, err := s.l.Dial(t.Context())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		synctest.Wait()
		is.Equal(s.conns.InFlight(), int64(1)) // the caller has read nothing
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		_, err = io.ReadAll(res.Body)
		is.NoErr(err)
		synctest.Wait()
		is.Equal(s.conns.InFlight(), int64(0))
	})
}

// TestIdleConnectionsEnd: connections that have carried a request end when the shutdown begins, and new ones do not.
func TestIdleConnectionsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		defer s.close()
		used, unused := s.dial(t), s.dial(t)
		s.release <- struct{}{}
		is.True(used.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"))
		<-used.responses
		s.conns.EndIdle()
		_, ok := <-used.responses
		is.True(!ok)
		is.True(!used.send("G"))
		s.release <- struct{}{}
		is.True(unused.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"))
		is.Equal((<-unused.responses).status, http.StatusOK)
	})
}

// TestNewConnectionsWhileShuttingDown: a new connection carries one request until the process exits, and none is read
// of any after that.
func TestNewConnectionsWhileShuttingDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		defer s.close()
		s.conns.EndIdle()
		c := s.dial(t)
		s.release <- struct{}{}
		is.True(c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"))
		is.Equal((<-c.responses).status, http.StatusOK)
		s.conns.Seal()
		_, err := s.dial(t).Write([]byte("G"))
		is.True(errors.Is(err, io.ErrClosedPipe))
	})
}

// wholeHead is a complete head.
const wholeHead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// lateConn is a connection whose read returns a head once the read deadline has been set, whatever it is.
type lateConn struct {
	net.Conn
	deadlines chan time.Time
	last      time.Time
}

func (c *lateConn) Read(p []byte) (int, error) {
	c.last = <-c.deadlines
	return copy(p, wholeHead), nil
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	c.last = t
	select {
	case c.deadlines <- t:
	default:
	}
	return nil
}

// TestReadThatCrossesSeal guards against a request that ends with the deadline of a read that was to return without it:
// its first bytes came at the moment at which the connection was sealed.
func TestReadThatCrossesSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conns := New(Options{})
		late := &lateConn{deadlines: make(chan time.Time)}
		c := conns.Wrap(late, &http.Server{ReadHeaderTimeout: testHeadTimeout})
		go func() {
			synctest.Wait()
			conns.Seal()
		}()
		n, err := c.Read(make([]byte, 100))
		is.NoErr(err)
		is.Equal(n, len(wholeHead))
		is.True(late.last.After(time.Now()))
		is.Equal(conns.InFlight(), int64(1))
	})
}
