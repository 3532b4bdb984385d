package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// keptConnection is a connection of a caller that may carry several requests.
type keptConnection struct {
	net.Conn
	responses *bufio.Reader
}

// shortPrompt is a request that an engine of the fleet has room for.
const shortPrompt = "POST / HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\nTokens: 100\r\nWait-Ms: 15000\r\nContent-Length: 0\r\n\r\n"

func (c *keptConnection) write(part string) error {
	_, err := io.WriteString(c, part)
	return err
}

func (c *keptConnection) read(is *is.I) *http.Response {
	is.Helper()
	res, err := http.ReadResponse(c.responses, nil)
	is.NoErr(err)
	_, err = io.ReadAll(res.Body)
	is.NoErr(err)
	return res
}

// connect opens a connection to the gateway of the fleet.
func (f *stopFleet) connect() *keptConnection {
	caller, conn := net.Pipe()
	f.t.Cleanup(func() { _ = caller.Close() })
	f.t.Cleanup(f.gateway.callers.Close)
	f.gateway.callers.Add(conn)
	return &keptConnection{caller, bufio.NewReader(caller)}
}

// TestStopSparesBegunRequest guards against a connection that is closed at a stop, although the first byte of its next
// request was read.
func TestStopSparesBegunRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		c := f.connect()
		is.NoErr(c.write(shortPrompt))
		is.Equal(c.read(is).StatusCode, http.StatusOK)
		is.NoErr(c.write(shortPrompt[:1]))
		f.stopAfter(0)
		time.Sleep(500 * time.Millisecond)
		is.NoErr(c.write(shortPrompt[1:]))
		res := c.read(is)
		is.Equal(res.StatusCode, http.StatusOK)
		is.True(res.Close)
		f.answeredBeforeExit(is, stopResponse{after: time.Since(f.stoppedAt)})
	})
}

// TestExitAwaitsBegunRequest guards against a process that exits, since no request is with a handler, while the head of
// one is on its way.
func TestExitAwaitsBegunRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		f.stopAfter(0)
		time.Sleep(unreadyDetectionTime - 500*time.Millisecond)
		c := f.connect()
		is.NoErr(c.write(shortPrompt[:20]))
		time.Sleep(time.Second)
		is.NoErr(c.write(shortPrompt[20:]))
		res := c.read(is)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		is.Equal(res.Header.Get("Retry-After"), "0.05")
		f.answeredBeforeExit(is, stopResponse{after: time.Since(f.stoppedAt)})
	})
}

// TestUnfinishedHeadIsRefusedAtStop guards against a connection that is closed without a response because the head of
// its request is not complete when the gateway exits.
func TestUnfinishedHeadIsRefusedAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		upload := f.connect()
		is.NoErr(upload.write("POST / HTTP/1.1\r\nHost: h\r\nId: r\r\nWait-Ms: 15000\r\nContent-Length: 10\r\n\r\npart"))
		f.stopAfter(0)
		time.Sleep(stopDrainTime - 2*time.Second)
		c := f.connect()
		is.NoErr(c.write(shortPrompt[:20]))
		for _, conn := range []*keptConnection{c, upload} {
			res := conn.read(is)
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.Equal(res.Header.Get("Retry-After"), "0.05")
		}
		f.answeredBeforeExit(is, stopResponse{after: time.Since(f.stoppedAt)})
		time.Sleep(time.Second) // the connections end
	})
}

// TestExitAwaitsLastBytes guards against a process that exits before the last bytes of a response are written, which
// net/http keeps until the handler has returned.
func TestExitAwaitsLastBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		c := f.connect()
		is.NoErr(c.write("GET /unknown/ HTTP/1.1\r\nHost: unknown\r\nId: r\r\n\r\n"))
		f.stopAfter(0)
		time.Sleep(unreadyDetectionTime + 500*time.Millisecond)
		is.Equal(c.read(is).StatusCode, http.StatusServiceUnavailable) // the gateway is not sure of its configuration
		f.answeredBeforeExit(is, stopResponse{after: time.Since(f.stoppedAt)})
	})
}

// TestNewLimitsSpareConnections guards against connections that are closed because the limits of the configuration have
// changed.
func TestNewLimitsSpareConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFleet(t)
		c := f.connect()
		is.NoErr(c.write(shortPrompt[:20]))
		config := *f.table.Configuration
		config.Version += 10
		config.Limits.IdleTimeout = time.Minute
		f.gateway.state.ApplyConfiguration(&config)
		other := f.connect()
		for _, part := range []string{shortPrompt[20:], shortPrompt} {
			is.NoErr(c.write(part))
			is.Equal(c.read(is).StatusCode, http.StatusOK)
		}
		is.NoErr(other.write(shortPrompt))
		is.Equal(other.read(is).StatusCode, http.StatusOK)
	})
}
