package relay

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/memoryuse"
	"github.com/micarudder/micarudder/upstream"
)

// TestMemoryIsRenewedAndReleased: reserved memory is renewed every second while it is in use, and
// released once afterwards. After the endpoint has restarted under its name, it is not reserved
// again, since no request there uses it.
func TestMemoryIsRenewedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		orders := newTestEngines(nil)
		orders.alwaysUsed = true
		events := eventlog.New(io.Discard, eventlog.Options{Level: log.ErrorLevel, LinesPerSecond: 1})
		defer events.Close(time.Second)
		g := New(Config{Name: "g", UnusedMemory: maxUnused, DrainTime: time.Minute}, Deps{
			Protocol: testProtocol{}, Log: events, Metrics: metrics.NewSet(),
			Endpoints: upstream.New(upstream.Options{MaxIdle: time.Minute, IdlePerHost: 1, Dialer: orders.dial}),
		})
		defer g.Close()
		list := func(born int64) []catalog.Endpoint {
			return []catalog.Endpoint{{ID: "a", Service: "s", Address: "127.0.0.1:1", Born: born}}
		}
		g.state.ApplyList(list(1), time.Now(), time.Now(), time.Time{})
		first, _ := g.state.Endpoint("a")
		memory, err := g.reserve(t.Context(), "r", &placement{memoryDemands: []memoryDemand{{first, 100}}})
		is.NoErr(err)
		time.Sleep(2*memoryuse.RenewInterval + memoryuse.RenewInterval/2)
		reserved, released := orders.orders()
		is.Equal(reserved, 3)
		is.Equal(released, 0)
		g.state.ApplyList(list(2), time.Now(), time.Now(), time.Time{})
		time.Sleep(3 * memoryuse.RenewInterval)
		reserved, _ = orders.orders()
		is.Equal(reserved, 3)
		memory.release()
		synctest.Wait()
		_, released = orders.orders()
		is.Equal(released, 1)
		time.Sleep(3 * memoryuse.RenewInterval)
		reserved, released = orders.orders()
		is.Equal(reserved+released, 4)
	})
}
