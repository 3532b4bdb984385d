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

func respondOK(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
	writeResponse(w, "200 OK", "", "")
}

// sendWaiting sends a request with a deadline of ten seconds, which waits because no endpoint is
// known.
func (b *testGateway) sendWaiting() <-chan response {
	b.t.Helper()
	if err := b.gateway.readConfiguration(time.Now()); err != nil {
		b.t.Fatal(err)
	}
	answers := make(chan response, 1)
	go func() { answers <- b.send(b.t.Context(), "POST", "/safe/", "", http.Header{"Wait-Ms": {"10000"}}) }()
	for b.gateway.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * queuePollInterval) // it has looked for an endpoint
	return answers
}

// TestSuspendedHost: the monotonic clock does not count the time for which a host is suspended.
// Since all ages are differences of monotonic times, a gateway that resumes would take its data for
// recent: it would run requests for revoked keys, send requests whose deadline has passed with the
// time that they had left, and use connections that the other side has dropped.
func TestSuspendedHost(t *testing.T) {
	const long = 2 * time.Minute // longer than any of the data here is valid
	away := errors.New("store unavailable")

	t.Run("proof from before", func(t *testing.T) {
		is := is.New(t)
		b := newTestGateway(t, respondOK)
		b.readSource()
		is.Equal(b.send(t.Context(), "POST", "/safe/", "", nil).status, 200)
		b.suspend(long)
		b.source.setConfiguration(nil, away)
		is.Equal(b.send(t.Context(), "POST", "/safe/", "", nil).status, 503)
		is.Equal(b.requestCount(), 1)
		b.source.setConfiguration(testConfig(1), nil)
		is.NoErr(b.gateway.readConfiguration(time.Now()))
		is.Equal(b.send(t.Context(), "POST", "/safe/", "", nil).status, 200)
	})

	t.Run("configuration read sent before", func(t *testing.T) {
		is := is.New(t)
		b := newTestGateway(t, respondOK)
		b.readSource()
		sent := time.Now()
		b.suspend(long)
		b.gateway.state.RecordProof(1, sent) // the response arrived before the suspension and was read after it
		is.Equal(b.send(t.Context(), "POST", "/safe/", "", nil).status, 503)
	})

	t.Run("peer message from before", func(t *testing.T) {
		is := is.New(t)
		b := newTestGateway(t, respondOK)
		mesh, err := peers.Listen("g", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { is.NoErr(mesh.Close()) }()
		b.gateway.deps.Mesh = mesh
		b.readSource()
		b.suspend(long)
		msg := peers.Message{From: "other", Version: 1, ProofAgeMs: 1, ClockEchoes: map[string]int64{"g": 1}}
		b.gateway.handlePeerMessage(msg, netip.AddrPort{}) // it acknowledges a message that this gateway sent before
		is.Equal(b.send(t.Context(), "POST", "/safe/", "", nil).status, 503)
	})

	t.Run("deadline passed", func(t *testing.T) {
		is := is.New(t)
		b := newTestGateway(t, respondOK)
		answers := b.sendWaiting()
		b.suspend(long)
		b.readSource()
		is.Equal((<-answers).status, 503)
		is.Equal(b.requestCount(), 0)
	})

	t.Run("remaining time reduced", func(t *testing.T) {
		is := is.New(t)
		b := newTestGateway(t, respondOK)
		answers := b.sendWaiting()
		b.suspend(2 * time.Second)
		b.readSource()
		is.Equal((<-answers).status, 200)
		left, err := strconv.Atoi(b.requestAt(0).Header.Get("Left-Ms"))
		is.NoErr(err)
		is.True(left <= 8000)
	})

	t.Run("endpoint list from before", func(t *testing.T) {
		is := is.New(t)
		b := newTestGateway(t, respondOK)
		b.readSource()
		is.True(b.gateway.readEndpoints())
		is.True(b.gateway.storeReads.endpointsAge(time.Now()) < time.Minute)
		sent := time.Now()
		b.suspend(long)
		b.gateway.checkSuspension()
		is.True(b.gateway.storeReads.endpointsAge(time.Now()) > time.Hour)
		b.gateway.storeReads.recordList(b.source.endpoints, sent) // the response arrived before the suspension and was read after it
		is.True(b.gateway.storeReads.endpointsAge(time.Now()) > time.Hour)
		is.True(b.gateway.readEndpoints())
		is.True(b.gateway.storeReads.endpointsAge(time.Now()) < time.Minute)
	})

	t.Run("data refreshed at once", func(t *testing.T) {
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
			time.Sleep(readInterval / 2)
			is.True(g.proofAge() <= readInterval/2)
			suspended.Add(int64(long))
			time.Sleep(hostPollInterval + time.Millisecond)
			// Without the poll, the newest read would be older than half of readInterval.
			is.True(g.proofAge() <= hostPollInterval+time.Millisecond)
			is.True(g.storeReads.endpointsAge(time.Now()) <= hostPollInterval+time.Millisecond)
			is.Equal(g.meter.suspensions.Get(), uint64(1))
		})
	})

	t.Run("drain time includes suspension", func(t *testing.T) {
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
			start := time.Now()
			is.NoErr(g.Shutdown(t.Context()))
			is.True(time.Since(start) <= 3*time.Second+40*time.Millisecond)
		})
	})

	t.Run("connection from before", func(t *testing.T) {
		is := is.New(t)
		b := newTestGateway(t, respondOK)
		b.readSource()
		list, err := b.source.Endpoints(t.Context())
		is.NoErr(err)
		b.gateway.state.ApplyList(list[:1], time.Now(), time.Now(), time.Time{})
		is.Equal(b.send(t.Context(), "POST", "/once/", "", nil).status, 200)
		is.Equal(b.send(t.Context(), "POST", "/once/", "", nil).status, 200)
		is.Equal(b.gateway.deps.Endpoints.Dials(), uint64(1))
		b.suspend(long)
		is.NoErr(b.gateway.readConfiguration(time.Now()))
		is.Equal(b.send(t.Context(), "POST", "/once/", "", nil).status, 200)
		is.Equal(b.gateway.deps.Endpoints.Dials(), uint64(2))
	})
}
