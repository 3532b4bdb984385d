package daemon

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// reloaded is a service that tells what it is given.
type reloaded struct{ got chan any }

func (r reloaded) Ready() bool                    { return true }
func (r reloaded) Shutdown(context.Context) error { return nil }
func (r reloaded) Reload(fresh any) error {
	r.got <- fresh
	return nil
}

// TestHangup: at SIGHUP the service is given the settings read anew, and
// settings that cannot be read change nothing.
func TestHangup(t *testing.T) {
	is := is.New(t)
	svc := reloaded{got: make(chan any)}
	reads := make(chan func() (any, error))
	built := make(chan struct{})
	ended := make(chan int)
	go func() {
		ended <- serve("test", &Common{AdminListen: "127.0.0.1:0", LogLevel: "error"}, func(Env) (Service, error) {
			close(built)
			return svc, nil
		}, func() (any, error) { return (<-reads)() })
	}()
	<-built
	signal := func(s syscall.Signal) { is.NoErr(syscall.Kill(os.Getpid(), s)) }
	signal(syscall.SIGHUP)
	reads <- func() (any, error) { return nil, errors.New("unknown key") }
	signal(syscall.SIGHUP)
	reads <- func() (any, error) { return "fresh", nil }
	is.Equal(<-svc.got, "fresh")
	signal(syscall.SIGTERM)
	is.Equal(<-ended, ExitOK)
}
