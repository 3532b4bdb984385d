package engine_test

import (
	"net/http/httptest"
	"testing"

	"github.com/micarudder/micarudder/engine"
	standin "github.com/micarudder/micarudder/internal/standin/engine"
)

// benchStream measures one run at a time over loopback against an engine whose
// steps take no time, so that the result is the overhead of client and stand-in
// together.
func benchStream(b *testing.B, promptTokens, tokens int) {
	cfg := standin.Default()
	cfg.Costs = standin.Costs{}
	cfg.MemoryTokens = 2_000_000
	cfg.ChunkTokens = 1 << 20
	s := standin.NewServer(cfg)
	defer s.Close()
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c := &fixture{client: engine.NewClient(engine.Options{BaseURL: srv.URL})}
	body := chatBody(prompt("bench", promptTokens), tokens)
	b.ReportAllocs()
	for b.Loop() {
		if r := c.complete(engine.Request{Path: chatPath, Body: body}); r.err != nil {
			b.Fatal(r.err)
		}
	}
}

func BenchmarkStreamShort(b *testing.B)    { benchStream(b, 1000, 1) }
func BenchmarkStreamTokens(b *testing.B)   { benchStream(b, 1000, 256) }
func BenchmarkStreamLongBody(b *testing.B) { benchStream(b, 1_000_000, 1) }
