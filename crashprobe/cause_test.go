package crashprobe_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/crashprobe"
	"github.com/micarudder/micarudder/upstream"
)

// TestSilentHosts: a host that does not respond is not probed for a crashed process.
func TestSilentHosts(t *testing.T) {
	is := is.New(t)
	read := func(err error) error {
		return &upstream.Error{Stage: upstream.Sent, Err: &net.OpError{Op: "read", Err: err}}
	}
	for _, err := range []error{io.ErrUnexpectedEOF, read(syscall.ECONNRESET), read(io.EOF)} {
		is.True(crashprobe.MayHaveCrashed(err))
	}
	for _, err := range []error{os.ErrDeadlineExceeded, read(syscall.ETIMEDOUT), read(os.ErrDeadlineExceeded)} {
		is.True(!crashprobe.MayHaveCrashed(err))
	}
}
