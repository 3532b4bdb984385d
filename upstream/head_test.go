package upstream

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/internal/memtest"
)

// newCountingClient returns a client and the number of bytes that it has read.
func newCountingClient() (*Client, *atomic.Int64) {
	read := new(atomic.Int64)
	dial := memtest.CountingDialer(read)
	return New(Options{Dialer: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }}), read
}

// TestEndlessResponseHead guards against an endpoint that sends without end in place of a response, and whose
// bytes are kept until the process is killed for its memory.
func TestEndlessResponseHead(t *testing.T) {
	const sent = 4 << 20
	forms := []struct {
		name, begin, repeated string
		heads                 int64 // response heads that are read, one of them without end
	}{
		{"one line", "", "[0.0123,0.4567],", 1},
		{"one header field", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: ", "abcdefgh", 1},
		{"header fields", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n", "X-Field: value\r\n", 1},
		{"continued header field", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: y\r\n", " more\r\n", 1},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 1},
		{"header fields of a response to another request", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", "X-Field: value\r\n", 2},
	}
	for _, tc := range forms {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			e := listen(t, func(_ int, c *net.TCPConn) {
				defer func() { _ = c.Close() }()
				if _, err := readRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = c.Write([]byte(tc.begin + strings.Repeat(tc.repeated, sent/len(tc.repeated))))
			})
			client, read := newCountingClient()
			_, err := exchange(client, e, get("r1"))
			is.True(err != nil)
			is.Equal(stage(err), Sent)
			is.True(read.Load() <= tc.heads*(maxHeadBytes+readBuffer))
		})
	}
}

// TestLargeResponseHead guards against refusing a head that is large but below the limit, after which the body
// is not limited.
func TestLargeResponseHead(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 2*maxHeadBytes)
	e := listen(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: " + strings.Repeat("y", maxHeadBytes-1024) + "\r\nContent-Length: 131072\r\n\r\n" + body))
		}
	})
	client := New(Options{IdlePerHost: 1, MaxIdle: testTimeout})
	for range 2 { // the limit applies to each response of a connection
		got, err := exchange(client, e, get("r1"))
		is.NoErr(err)
		is.Equal(got, body)
	}
	is.Equal(e.accepted.Load(), int32(1))
}

// manyFields returns a head of almost maxHeadBytes whose fields are short, so that they occupy many times
// their text once they are parsed.
func manyFields(t *testing.T, names func(i int) string) string {
	t.Helper()
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n")
	for i := 0; b.Len() < maxHeadBytes-1024; i++ {
		b.WriteString(names(i) + ":\n")
	}
	return b.String() + "\r\n"
}

func distinctNames(i int) string { return strconv.FormatInt(int64(i), 36) }

// TestParsedResponseHeads guards against heads of many short fields, each of them below the limit, that occupy
// more than the memory for responses together.
func TestParsedResponseHeads(t *testing.T) {
	const (
		exchanges = 64
		limit     = 8 << 20
	)
	is := is.New(t)
	head := manyFields(t, distinctNames)
	e := listen(t, func(_ int, c *net.TCPConn) {
		if r, err := readRequest(bufio.NewReader(c)); err != nil || r.Header.Get("Request-Id") == "sound" {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: sound\r\nContent-Length: 2\r\n\r\nhi"))
			return
		}
		_, _ = c.Write([]byte(head))
	})
	responses := heldmemory.NewResponses(limit)
	client := New(Options{DialTimeout: testTimeout, Responses: responses})
	before := memtest.HeapBytes()
	var held []*http.Response
	refused := 0
	for range exchanges {
		res, err := client.Do(t.Context(), "e", e.Addr().String(), get("r1"))
		if err != nil {
			if !errors.Is(err, heldmemory.ErrResponsesFull) {
				t.Fatal(err)
			}
			refused++
			continue
		}
		held = append(held, res)
	}
	is.True(responses.Held(heldmemory.Head) <= limit)
	is.True(memtest.HeapBytes()-before <= limit)
	got, err := exchange(client, e, get("sound"))
	is.NoErr(err)
	is.Equal(got, "hi")
	is.True(len(held) > 0)
	is.Equal(len(held)+refused, exchanges)
	for _, res := range held {
		_ = res.Body.Close()
	}
	is.Equal(responses.Held(heldmemory.Head), int64(0))
}

// TestHeadCountsWithWhatItOccupies guards against a head that occupies more than it counts, with what is copied to
// pass it on.
func TestHeadCountsWithWhatItOccupies(t *testing.T) {
	forms := []struct {
		name  string
		field func(i int) string
	}{
		{"distinct names", distinctNames},
		{"one name", func(int) string { return "a" }},
		{"long names", func(i int) string { return strings.Repeat("x", 60) + distinctNames(i) }},
		{"few fields", func(i int) string { return strings.Repeat("x", 1000) + distinctNames(i) }},
	}
	for _, tc := range forms {
		t.Run(tc.name, func(t *testing.T) {
			const copies = 16
			is := is.New(t)
			head := manyFields(t, tc.field)
			var held []*http.Response
			var passedOn []http.Header
			before := memtest.HeapBytes()
			for range copies {
				res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
				is.NoErr(err)
				out := make(http.Header)
				maps.Copy(out, res.Header)
				held, passedOn = append(held, res), append(passedOn, out, out.Clone())
			}
			occupied := (memtest.HeapBytes() - before) / copies
			is.True(occupied <= heldmemory.ParsedHeadBytes(held[0].Header)+2*readBuffer)
			t.Logf("%d bytes, %d fields: occupies %d, counts %d", len(head), len(held[0].Header), occupied, heldmemory.ParsedHeadBytes(held[0].Header))
			runtime.KeepAlive(held)
			runtime.KeepAlive(passedOn)
		})
	}
}
