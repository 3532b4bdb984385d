package keepalive

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/internal/standin/pipe"
)

// fields returns so many header fields of this size.
func fields(count, size int) string {
	var b strings.Builder
	for i := range count {
		name := fmt.Sprintf("F%d: ", i)
		b.WriteString(name + strings.Repeat("x", max(0, size-len(name)-2)) + "\r\n")
	}
	return b.String()
}

// partsConn is a connection whose reads return the given parts, and then nothing.
type partsConn struct {
	net.Conn
	parts []string
}

func (c *partsConn) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	if c.parts[0] = c.parts[0][n:]; c.parts[0] == "" {
		c.parts = c.parts[1:]
	}
	return n, nil
}

func (c *partsConn) SetReadDeadline(time.Time) error { return nil }
func (c *partsConn) Close() error                    { return nil }

// TestHeadsAreUnchanged: whatever a caller sends, and in whatever parts, it is handed out as it was sent up to the end of
// the last complete head, and a complete head is handed out at once.
func TestHeadsAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"GET / HTTP/1.1", "Host: h", "", "a:", "\r", strings.Repeat("x", 900), "x\ry"}), 1, 40).Draw(t, "lines")
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		sent := strings.Join(lines, end) + end
		var parts []string
		for rest := sent; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		conns := New(Options{})
		c := conns.Wrap(&partsConn{parts: parts}, &http.Server{ReadHeaderTimeout: testHeadTimeout, MaxHeaderBytes: 64 << 10})
		var got strings.Builder
		p := make([]byte, rapid.IntRange(2, 5000).Draw(t, "buffer"))
		var err error
		for err == nil {
			var n int
			n, err = c.Read(p)
			got.Write(p[:n])
		}
		if !strings.HasPrefix(sent, got.String()) {
			t.Fatalf("%q was sent, and %q handed out", sent, got.String())
		}
		if end := lastEmptyLine(sent); got.Len() < end {
			t.Fatalf("%d bytes of %d handed out, and a head ends at %d: %q", got.Len(), len(sent), end, sent)
		}
	})
}

// lastEmptyLine returns where the last empty line ends, 0 if there is none. A line that is empty but for one carriage
// return counts.
func lastEmptyLine(text string) (end int) {
	at := 0
	for line := range strings.Lines(text) {
		at += len(line)
		if line == "\n" || line == "\r\n" {
			end = at
		}
	}
	return end
}

// TestUnusualHeads guards against requests with unusual heads that are not served as net/http serves them, and against
// heads of more lines than sound callers send.
func TestUnusualHeads(t *testing.T) {
	for name, tc := range map[string]struct {
		head   string
		status int
	}{
		"line feeds alone":         {"GET /1 HTTP/1.1\nHost: h\n\n", http.StatusOK},
		"as many lines as allowed": {"GET /1 HTTP/1.1\r\nHost: h\r\n" + fields(maxHeadLines-2, 20) + "\r\n", http.StatusOK},
		"too many lines":           {"GET /1 HTTP/1.1\r\nHost: h\r\n" + fields(maxHeadLines-1, 20) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"short fields, no end":     {"GET /1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000), http.StatusRequestHeaderFieldsTooLarge},
		"as large as allowed":      {"GET /1 HTTP/1.1\r\nHost: h\r\n" + fields(15, 1000) + "\r\n", http.StatusOK},
		"too large":                {"GET /1 HTTP/1.1\r\nHost: h\r\n" + fields(30, 1000) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"too large, no end":        {"GET /1 HTTP/1.1\r\nHost: " + strings.Repeat("h", 30_000), http.StatusRequestHeaderFieldsTooLarge},
		"no end":                   {"GET /1 HTTP/1.1\r\nHost: h\r\n", http.StatusRequestTimeout},
		"no request":               {"x\r\n\r\n", http.StatusBadRequest},
	} {
		for _, size := range []int{1, 100, 1 << 20} { // of the parts in which it is sent
			t.Run(fmt.Sprintf("%s in parts of %d", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newServer()
					defer s.close()
					s.release <- struct{}{}
					c := s.dial(t)
					go func() {
						for rest := tc.head; rest != ""; {
							n := min(size, len(rest))
							c.send(rest[:n])
							rest = rest[n:]
						}
					}()
					is.Equal((<-c.responses).status, tc.status)
					_ = c.Close()
					time.Sleep(time.Second)
					is.Equal(s.conns.InFlight(), int64(0))
				})
			})
		}
	}
}

// TestRequestAfterEmptyLine: callers may send an empty line after the body of a request.
func TestRequestAfterEmptyLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		defer s.close()
		c := s.dial(t)
		for range 2 {
			s.release <- struct{}{}
			is.True(c.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"))
			is.Equal((<-c.responses).body, "/1 body")
			is.True(c.send("\r\n"))
		}
		_ = c.Close()
	})
}

// TestUnfinishedHeadMemory guards against heads that are not complete and use up the memory together, and against sound
// callers that are refused for it: heads that are there stay, and small ones have room.
func TestUnfinishedHeadMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		defer s.close()
		memory := heldmemory.NewBodies(256 << 10) // a quarter is for heads
		s.conns.memory = memory
		const size, room = 15_000, 4
		half := "GET /1 HTTP/1.1\r\nHost: h\r\n" + fields(15, size/15)
		var all []*caller
		for i := range 10 {
			c := s.dial(t)
			all = append(all, c)
			go c.send(half)
			synctest.Wait()
			is.True(memory.HeldHeads() <= 64<<10)
			if i >= room {
				is.Equal((<-c.responses).status, http.StatusServiceUnavailable)
			}
		}
		sound := s.dial(t)
		s.release <- struct{}{}
		is.True(sound.send("GET /1 HTTP/1.1\r\n"))
		is.True(sound.send("Host: h\r\n\r\n"))
		is.Equal((<-sound.responses).status, http.StatusOK)
		for _, c := range all[:room] {
			s.release <- struct{}{}
			is.True(c.send("\r\n"))
			is.Equal((<-c.responses).status, http.StatusOK)
		}
		is.Equal(memory.Held(), int64(0))
		for _, c := range all {
			_ = c.Close()
		}
		_ = sound.Close()
		time.Sleep(time.Second)
	})
}

// TestRequestsAreUnchanged: whatever the sizes of heads and bodies, and in whatever parts they are sent, the handler gets
// the requests that were sent, and their caller the responses.
func TestRequestsAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := pipe.Listen()
		defer func() { _ = l.Close() }()
		conns := New(Options{})
		srv := &http.Server{ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, "%s %d %x %v", r.URL.Path, len(r.Header), body, err)
		})}
		go func() { _ = conns.Serve(srv, l) }()
		defer func() { _ = srv.Close() }()
		conn, err := l.Dial(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		var sent strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 4).Draw(t, "requests") {
			body := strings.Repeat(string(rune('a'+i)), rapid.IntRange(0, 9000).Draw(t, "body"))
			count := rapid.IntRange(0, 12).Draw(t, "fields")
			fmt.Fprintf(&sent, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", i, len(body), fields(count, 1000), body)
			want = append(want, fmt.Sprintf("/%d %d %x <nil>", i, count+1, body))
		}
		go func() {
			for rest := sent.String(); rest != ""; {
				n := min(len(rest), rapid.SampledFrom([]int{1 << 20, 5000, 4096, 700}).Example(len(rest)))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		responses := bufio.NewReader(conn)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		for i := range want {
			res, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(res.Body)
			if err != nil || string(got) != want[i] {
				t.Fatalf("request %d: %d bytes %.60q, want %d bytes %.60q, %v", i, len(got), got, len(want[i]), want[i], err)
			}
		}
	})
}
