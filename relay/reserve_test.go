package relay

import (
	"context"
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

// newReserveTestGateway returns a gateway that reserves memory at the endpoints.
func newReserveTestGateway(t *testing.T, orders *testEngines) *Gateway {
	events := eventlog.New(io.Discard, eventlog.Options{Level: log.ErrorLevel, LinesPerSecond: 1})
	t.Cleanup(func() { events.Close(time.Second) })
	return New(Config{Name: "g", UnusedMemory: maxUnused, DrainTime: time.Minute}, Deps{
		Protocol: testProtocol{}, Log: events, Metrics: metrics.NewSet(),
		Endpoints: upstream.New(upstream.Options{MaxIdle: time.Minute, IdlePerHost: 1, Dialer: orders.dial}),
	})
}

// TestMemoryIsRenewedAndReleased: reserved memory is renewed every second while it is in use, and
// released once afterwards. After the endpoint has restarted under its name, it is not reserved
// again, since no request there uses it.
func TestMemoryIsRenewedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		orders := newTestEngines(nil)
		orders.alwaysUsed = true
		g := newReserveTestGateway(t, orders)
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

// TestReservationDoesNotOutlastItsRequest guards against a request that cannot be answered before its gateway exits,
// since it waits for a reservation, and against memory that stays reserved after it.
func TestReservationDoesNotOutlastItsRequest(t *testing.T) {
	const ends = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		orders := newTestEngines(nil)
		orders.reserveDelay = 3 * ends
		g := newReserveTestGateway(t, orders)
		defer g.Close()
		ctx, cancel := context.WithTimeout(t.Context(), ends)
		defer cancel()
		began := time.Now()
		_, err := g.reserve(ctx, "r", &placement{memoryDemands: []memoryDemand{{catalog.Endpoint{ID: "a", Address: "127.0.0.1:1"}, 100}}})
		is.True(err != nil)
		is.Equal(time.Since(began), ends)
		time.Sleep(orderTimeout)
		reserved, released := orders.orders()
		is.Equal(reserved, 1)
		is.Equal(released, 1)
		is.Equal(len(orders.reservations), 0)
	})
}
