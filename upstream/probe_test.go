package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/crashprobe"
)

// TestProbeResults guards against a crash that is not counted because its listener closes while the probe's
// connection is opened, which is then reset and not refused: such a probe is repeated, unlike a silent one.
func TestProbeResults(t *testing.T) {
	dialError := func(err error) error { return &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)} }
	cases := []struct {
		name string
		err  error
		want crashprobe.Result
	}{
		{"accepted", nil, crashprobe.Listening},
		{"refused", dialError(syscall.ECONNREFUSED), crashprobe.Refused},
		{"reset while it is opened", dialError(syscall.ECONNRESET), crashprobe.Unknown},
		{"no response", dialError(syscall.ETIMEDOUT), crashprobe.Silent},
		{"no response before the deadline", context.DeadlineExceeded, crashprobe.Silent},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			c := New(Options{MaxIdle: time.Minute, Dialer: func(context.Context, string) (net.Conn, error) { return near, tc.err }})
			defer c.Close()
			is.Equal(c.Probe(t.Context(), "a:1"), tc.want)
			if tc.err == nil {
				_, err := far.Read(make([]byte, 1))
				is.True(err != nil) // the probe's connection is closed
			}
		})
	}
}
