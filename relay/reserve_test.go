package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/upstream"
)

// testMemory is the memory of endpoints under virtual time: it takes every order, forgets what
// is not renewed, and tells what is set aside.
type testMemory struct {
	mu                 sync.Mutex
	used               bool // what reports say of what is set aside
	reserved, released int  // orders
	asked              int  // reports
	until              map[string]time.Time
}

func (m *testMemory) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		br := bufio.NewReader(far)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(far, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", m.take(r.RequestURI)); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// take carries out an order or writes the header of a report.
func (m *testMemory) take(target string) (header string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	words := strings.Split(target, "/")
	switch words[1] {
	case "reserve":
		m.reserved++
		hold, err := strconv.Atoi(words[4])
		if err != nil {
			panic(err)
		}
		if m.until == nil {
			m.until = make(map[string]time.Time)
		}
		m.until[words[2]] = time.Now().Add(time.Duration(hold) * time.Millisecond)
	case "release":
		m.released++
		delete(m.until, words[2])
	case "report":
		m.asked++
		return "Pace: 1\r\n" + m.states()
	}
	return ""
}

// states returns the header fields of a report that tell what is set aside.
func (m *testMemory) states() (header string) {
	for id, until := range m.until {
		switch {
		case time.Now().After(until):
			delete(m.until, id)
		case m.used:
			header += "Used: " + id + "\r\n"
		default:
			header += "Idle: " + id + "\r\n"
		}
	}
	return header
}

func (m *testMemory) orders() (reserved, released int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserved, m.released
}

// TestMemoryIsRenewedAndReleased: memory that was set aside is renewed every second while
// it is in use and released once afterwards. When the endpoint starts again under its name
// it is not set aside anew, since nobody there uses it.
func TestMemoryIsRenewedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		orders := &testMemory{used: true}
		events := eventlog.New(io.Discard, eventlog.Options{Level: log.ErrorLevel, LinesPerSecond: 1})
		defer events.Close(time.Second)
		g := New(Config{Name: "g", DrainTime: time.Minute}, Deps{
			Protocol: testProtocol{}, Log: events, Metrics: metrics.NewSet(),
			Endpoints: upstream.New(upstream.Options{MaxIdle: time.Minute, IdlePerHost: 1, Dialer: orders.dial}),
		})
		defer g.Close()
		list := func(born int64) []catalog.Endpoint {
			return []catalog.Endpoint{{ID: "a", Service: "s", Address: "127.0.0.1:1", Born: born}}
		}
		g.state.Listed(list(1), time.Now(), time.Time{})
		first, _ := g.state.Endpoint("a")
		memory, err := g.reserve(t.Context(), "r", &place{reserve: []wantedMemory{{first, 100}}})
		is.NoErr(err)
		time.Sleep(2*renewEvery + renewEvery/2)
		reserved, released := orders.orders()
		is.Equal(reserved, 3)
		is.Equal(released, 0)
		g.state.Listed(list(2), time.Now(), time.Time{})
		time.Sleep(3 * renewEvery)
		reserved, _ = orders.orders()
		is.Equal(reserved, 3)
		memory.release()
		synctest.Wait()
		_, released = orders.orders()
		is.Equal(released, 1)
		time.Sleep(3 * renewEvery)
		reserved, released = orders.orders()
		is.Equal(reserved+released, 4)
	})
}
