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
