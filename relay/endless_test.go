package relay

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/internal/memtest"
	"github.com/micarudder/micarudder/upstream"
)

// serveEndless sends begin and then part without end over each connection to a new listener, whose address it returns.
func serveEndless(t *testing.T, begin, part string) string {
	return serveConns(t, func(_ int, c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		memtest.SendEndlessly(c, begin, part)
	})
}

// TestEndlessAnswersToOwnCalls guards against an endpoint that answers what a gateway asks for itself with bytes without
// end, and keeps the gateway reading or fills its memory.
func TestEndlessAnswersToOwnCalls(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\nPace: 1\r\n"
		mostRead = 1 << 20
	)
	forms := map[string]struct{ begin, part string }{
		"header lines":      {ok, "X: y\r\n"},
		"header line":       {ok + "X: ", "y"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"no response":       {"", "y"},
		"body":              {ok + "Content-Length: 9000000000\r\n\r\n", "y"},
		"chunks":            {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\ny\r\n"},
		"chunk extension":   {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "y"},
		"body of no length": {ok + "\r\n", "y"},
	}
	calls := map[string]func(g *Gateway, e catalog.Endpoint){
		"report": func(g *Gateway, e catalog.Endpoint) { _, _ = g.fetchReport(t.Context(), e) },
		"health check": func(g *Gateway, e catalog.Endpoint) {
			g.queryEndpoint(&watchedEndpoint{Endpoint: e, service: catalog.Service{Name: "s", HealthPath: "/health"}})
		},
		"reservation": func(g *Gateway, e catalog.Endpoint) {
			_ = g.sendOrder(t.Context(), &reservation{endpoint: e}, g.deps.Protocol.Reserve(e.ID, "m", 1, time.Second))
		},
		"release": func(g *Gateway, e catalog.Endpoint) {
			_ = g.sendOrder(t.Context(), &reservation{endpoint: e}, g.deps.Protocol.Release(e.ID, "m"))
		},
	}
	for form, f := range forms {
		address := serveEndless(t, f.begin, f.part)
		for call, do := range calls {
			t.Run(call+", "+form, func(t *testing.T) {
				is := is.New(t)
				var read atomic.Int64
				dial := memtest.CountingDialer(&read)
				events := eventlog.New(io.Discard, eventlog.Options{Level: log.ErrorLevel})
				defer events.Close(time.Second)
				g := New(Config{Name: "g", Policy: balance.Default()}, Deps{
					Protocol: testProtocol{}, Log: events, Metrics: metrics.NewSet(),
					Endpoints: upstream.New(upstream.Options{Dialer: func(ctx context.Context, a string) (net.Conn, error) { return dial(ctx, "tcp", a) }}),
				})
				defer g.Close()
				e := catalog.Endpoint{ID: "e", Service: "s", Address: address, Slots: 1}
				g.state.ApplyList([]catalog.Endpoint{e}, time.Now(), time.Now(), time.Time{})
				do(g, e)
				is.True(read.Load() > 0)
				is.True(read.Load() <= mostRead)
			})
		}
	}
}
