package relay

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

// TestShedsWithRoom: an endpoint that turns requests away although it has room is
// left alone after a few of them.
func TestShedsWithRoom(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		answer(w, "503 Full", "Not-Run: 1\r\n", "")
	})
	b.know()
	for range 3 {
		_ = b.ask(t.Context(), "GET", "/safe/x", "", nil)
	}
	p := b.gateway.picker
	is.True(p.health.Suspect("a", time.Now()))
	is.True(p.health.Suspect("b", time.Now()))
}

// TestFullIsNoFault: an endpoint that is full when it turns a request away, as
// far as the gateways know, is not blamed for that.
func TestFullIsNoFault(t *testing.T) {
	is := is.New(t)
	engine := &catalog.Service{Engine: &catalog.Engine{MemoryTokens: 1000}}
	four := catalog.Endpoint{Slots: 4}
	is.True(hasRoom(&place{endpoint: four, before: balance.Load{Short: 1}}, &catalog.Service{}, 0))
	is.True(!hasRoom(&place{endpoint: four, before: balance.Load{Short: 2}}, &catalog.Service{}, 0))
	is.True(!hasRoom(&place{endpoint: four, before: balance.Load{Tokens: 400}}, engine, 200))
	is.True(hasRoom(&place{endpoint: four, before: balance.Load{Tokens: 200}}, engine, 200))
	is.True(!hasRoom(&place{endpoint: four, helpers: []catalog.Endpoint{four}}, engine, 200)) // a helper may be at fault
}
