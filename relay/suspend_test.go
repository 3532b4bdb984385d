package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/upstream"
)

func answerOK(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { answer(w, "200 OK", "", "") }

// askWaiting sends a request that has ten seconds and waits for an endpoint, since none is
// known.
func (b *bench) askWaiting() <-chan reply {
	b.t.Helper()
	if err := b.gateway.readConfiguration(time.Now()); err != nil {
		b.t.Fatal(err)
	}
	answers := make(chan reply, 1)
	go func() { answers <- b.ask(b.t.Context(), "POST", "/safe/", "", http.Header{"Wait-Ms": {"10000"}}) }()
	for b.gateway.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * queueStep) // it has looked for an endpoint
	return answers
}

// TestSuspendedHost: a host may be suspended for seconds, which its monotonic clock does not
// count. A gateway that wakes would take all that it knew for young: it would run requests
// for keys that were withdrawn meanwhile, send requests that nobody waits for any more with
// the time that they had left before, and trust connections that the other side has
// forgotten. Read off the code: every age in it is a difference of monotonic times.
func TestSuspendedHost(t *testing.T) {
	const long = 2 * time.Minute // longer than anything here is good for
	away := errors.New("the store is away")

	t.Run("no old proof", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, answerOK)
		b.know()
		is.Equal(b.ask(t.Context(), "POST", "/safe/", "", nil).status, 200)
		b.suspend(long)
		b.source.set(nil, away)
		is.Equal(b.ask(t.Context(), "POST", "/safe/", "", nil).status, 503)
		is.Equal(b.arrivals(), 1)
		b.source.set(testConfig(1), nil)
		is.NoErr(b.gateway.readConfiguration(time.Now()))
		is.Equal(b.ask(t.Context(), "POST", "/safe/", "", nil).status, 200)
	})

	t.Run("no read that was sent before", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, answerOK)
		b.know()
		sent := time.Now()
		b.suspend(long)
		b.gateway.state.Prove(1, sent) // its answer was in the socket all the while
		is.Equal(b.ask(t.Context(), "POST", "/safe/", "", nil).status, 503)
	})

	t.Run("no peer's word from before", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, answerOK)
		mesh, err := peers.Listen("g", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { is.NoErr(mesh.Close()) }()
		b.gateway.deps.Mesh = mesh
		b.know()
		b.suspend(long)
		w := peers.Word{From: "other", Version: 1, ProofAgeMs: 1, Heard: map[string]int64{"g": 1}}
		b.gateway.heardWord(w, netip.AddrPort{}) // it answers a word that this gateway sent before
		is.Equal(b.ask(t.Context(), "POST", "/safe/", "", nil).status, 503)
	})

	t.Run("nothing is sent after its deadline", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, answerOK)
		answers := b.askWaiting()
		b.suspend(long)
		b.know()
		is.Equal((<-answers).status, 503)
		is.Equal(b.arrivals(), 0)
	})

	t.Run("only what is left of its time is told", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, answerOK)
		answers := b.askWaiting()
		b.suspend(2 * time.Second)
		b.know()
		is.Equal((<-answers).status, 200)
		left, err := strconv.Atoi(b.request(0).Header.Get("Left-Ms"))
		is.NoErr(err)
		is.True(left <= 8000)
	})

	t.Run("no list that was read before", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, answerOK)
		b.know()
		is.True(b.gateway.readEndpoints())
		is.True(b.gateway.sharing.endpointsAge(time.Now()) < time.Minute)
		sent := time.Now()
		b.suspend(long)
		b.gateway.suspendedTime()
		is.True(b.gateway.sharing.endpointsAge(time.Now()) > time.Hour)
		b.gateway.sharing.read(b.source.endpoints, sent) // its answer was in the socket all the while
		is.True(b.gateway.sharing.endpointsAge(time.Now()) > time.Hour)
		is.True(b.gateway.readEndpoints())
		is.True(b.gateway.sharing.endpointsAge(time.Now()) < time.Minute)
	})

	t.Run("what is needed is read at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var suspended atomic.Int64
			g := New(Config{Name: "g", DrainTime: time.Minute}, Deps{
				Protocol: testProtocol{}, Source: &testSource{config: testConfig(1)}, Metrics: metrics.NewSet(),
				Log:       eventlog.New(io.Discard, eventlog.Options{Level: log.ErrorLevel}),
				Endpoints: upstream.New(upstream.Options{}),
				Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
			})
			defer g.deps.Log.Close(time.Second)
			defer g.Close()
			g.Start()
			time.Sleep(readEvery / 2)
			is.True(g.proofAge() <= readEvery/2)
			suspended.Add(int64(long))
			time.Sleep(wakeTick + time.Millisecond)
			// Without it the newest read is older than half of readEvery.
			is.True(g.proofAge() <= wakeTick+time.Millisecond)
			is.True(g.sharing.endpointsAge(time.Now()) <= wakeTick+time.Millisecond)
			is.Equal(g.meter.suspensions.Get(), uint64(1))
		})
	})

	t.Run("a stop keeps to its time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var suspended atomic.Int64
			g := New(Config{Name: "g", DrainTime: 8 * time.Second}, Deps{
				Protocol: testProtocol{}, Metrics: metrics.NewSet(), Log: eventlog.New(io.Discard, eventlog.Options{Level: log.ErrorLevel}),
				Endpoints: upstream.New(upstream.Options{}),
				Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
			})
			defer g.deps.Log.Close(time.Second)
			defer g.Close()
			g.inFlight.Add(1)
			time.AfterFunc(time.Second, func() { suspended.Add(int64(4 * time.Second)) })
			began := time.Now()
			is.NoErr(g.Shutdown(t.Context()))
			is.True(time.Since(began) <= 3*time.Second+2*drainStep)
		})
	})

	t.Run("no old connection", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, answerOK)
		b.know()
		list, err := b.source.Endpoints(t.Context())
		is.NoErr(err)
		b.gateway.state.Listed(list[:1], time.Now(), time.Now(), time.Time{})
		is.Equal(b.ask(t.Context(), "POST", "/once/", "", nil).status, 200)
		is.Equal(b.ask(t.Context(), "POST", "/once/", "", nil).status, 200)
		is.Equal(b.gateway.deps.Endpoints.Dials(), uint64(1))
		b.suspend(long)
		is.NoErr(b.gateway.readConfiguration(time.Now()))
		is.Equal(b.ask(t.Context(), "POST", "/once/", "", nil).status, 200)
		is.Equal(b.gateway.deps.Endpoints.Dials(), uint64(2))
	})
}
