package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
)

// BenchmarkExchange measures an exchange over a kept connection, with an endpoint that answers at once.
func BenchmarkExchange(b *testing.B) {
	const response = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX-Field: s\r\nContent-Type: text/plain\r\nDate: x\r\nServer: y\r\nContent-Length: 2\r\n\r\nhi"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, response)
		}
	}()
	client := New(Options{MaxIdle: testTimeout, IdlePerHost: 1, DialTimeout: testTimeout})
	defer client.Close()
	r := get("r1")
	b.ReportAllocs()
	for b.Loop() {
		res, err := client.Do(context.Background(), "e", l.Addr().String(), r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			b.Fatal(err)
		}
	}
}
