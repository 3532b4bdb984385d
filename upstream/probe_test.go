package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/crashprobe"
)

// TestProbeResults guards against a crash that is not counted because the probe was reset: the
// listener closed while the connection was being opened.
func TestProbeResults(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want crashprobe.Result
	}{
		"the listener has closed":              {syscall.ECONNREFUSED, crashprobe.Refused},
		"the listener closes during the probe": {syscall.ECONNRESET, crashprobe.Listening},
		"the host does not respond":            {os.ErrDeadlineExceeded, crashprobe.Unknown},
		"there is no route to the host":        {syscall.EHOSTUNREACH, crashprobe.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(Options{Dialer: func(context.Context, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", tc.err)}
			}})
			is.Equal(c.Probe(t.Context(), "127.0.0.1:1"), tc.want)
		})
	}
}
