package relay

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUnknownRouteOrKey(t *testing.T) {
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { writeResponse(w, "200 OK", "", "") })
	if got := b.send(t.Context(), "GET", "/safe/", "", nil); got.status != 503 {
		t.Fatalf("status before the first configuration: %d", got.status)
	}
	b.readSource()
	cases := []struct {
		path   string
		header http.Header
		status int
	}{
		{"/none/", nil, 404},
		{"/safe/", http.Header{"Key": {"other"}}, 401},
		{"/safe/", http.Header{"Key": nil}, 401},
		{"/safe/", http.Header{"Wait-Ms": {"x"}}, 400},
	}
	for _, tc := range cases {
		if got := b.send(t.Context(), "GET", tc.path, "", tc.header); got.status != tc.status {
			t.Errorf("%s %v: %d, want %d", tc.path, tc.header, got.status, tc.status)
		}
	}
	if n := b.requestCount(); n != 0 {
		t.Errorf("%d requests reached endpoints", n)
	}
}

// TestNoConfigurationProof: without a recent proof of the configuration, nothing is sent for a key,
// and unknown routes and keys are not denied as unknown.
func TestNoConfigurationProof(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { writeResponse(w, "200 OK", "", "") })
	b.gateway.state.ApplyConfiguration(testConfig(1))
	b.gateway.state.RecordProof(1, time.Now().Add(-time.Hour))
	for _, path := range []string{"/safe/", "/none/"} {
		got := b.send(t.Context(), "GET", path, "", nil)
		is.Equal(got.status, 503)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(b.requestCount(), 0)
}

// TestKeyRevokedBetweenAttempts: there is no second attempt for a key that was revoked after the
// first.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	is := is.New(t)
	var b *testGateway
	b = newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
		c := testConfig(2)
		c.Workspaces = nil
		b.source.setConfiguration(c, nil)
		_ = b.gateway.readConfiguration(time.Now())
		writeResponse(w, "503 Full", "Not-Run: 1\r\n", "")
	})
	b.readSource()
	got := b.send(t.Context(), "GET", "/safe/", "", nil)
	is.Equal(got.status, 401)
	is.Equal(b.requestCount(), 1)
}

// TestFailureIsDeliveredIfNotRepeated guards against an endpoint's complete failure that is dropped to repeat
// the request, which then is not allowed, accepted or answered, so that the caller learns nothing of it.
func TestFailureIsDeliveredIfNotRepeated(t *testing.T) {
	cases := []struct {
		name string
		// change is called when the first request has arrived, and second answers the second one.
		change func(b *testGateway)
		second endpointScript
		sent   int
	}{
		{"key removed", func(b *testGateway) {
			c := testConfig(2)
			c.Workspaces = nil
			b.source.setConfiguration(c, nil)
			_ = b.gateway.readConfiguration(time.Now())
		}, nil, 1},
		{"rejected by the other endpoint", func(*testGateway) {}, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) {
			writeResponse(w, "503 Full", "Not-Run: 1\r\n", "")
		}, 2},
		{"other endpoint breaks off", func(*testGateway) {}, func(_ int, _ *bufio.Writer, c *net.TCPConn, _ *http.Request) { reset(c) }, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var b *testGateway
			b = newTestGateway(t, func(n int, w *bufio.Writer, c *net.TCPConn, r *http.Request) {
				if n > 1 {
					tc.second(n, w, c, r)
					return
				}
				tc.change(b)
				writeResponse(w, "500 Broken", "Reason: disk\r\n", "what is wrong")
			})
			b.readSource()
			got := b.send(t.Context(), "GET", "/safe/", "", nil)
			is.NoErr(got.err)
			is.Equal(got.status, 500)
			is.Equal(got.header.Get("Reason"), "disk")
			is.Equal(got.body, "what is wrong")
			is.Equal(b.requestCount(), tc.sent)
		})
	}
}

// TestKeyRevokedWhileWaiting: a request that waited for an endpoint is not sent for a key that was
// revoked in the meantime.
func TestKeyRevokedWhileWaiting(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, func(_ int, w *bufio.Writer, _ *net.TCPConn, _ *http.Request) { writeResponse(w, "200 OK", "", "") })
	is.NoErr(b.gateway.readConfiguration(time.Now())) // no endpoint is known yet
	answers := make(chan response, 1)
	go func() { answers <- b.send(t.Context(), "GET", "/safe/", "", nil) }()
	for b.gateway.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * queuePollInterval) // it has looked for an endpoint
	c := testConfig(2)
	c.Workspaces = nil
	b.source.setConfiguration(c, nil)
	b.readSource()
	is.Equal((<-answers).status, 401)
	is.Equal(b.requestCount(), 0)
}
