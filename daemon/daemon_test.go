package daemon

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// reloadRecorder is a service that sends the settings passed to Reload to a channel.
type reloadRecorder struct{ got chan any }

func (r reloadRecorder) Ready() bool                    { return true }
func (r reloadRecorder) Shutdown(context.Context) error { return nil }
func (r reloadRecorder) Reload(fresh any) error {
	r.got <- fresh
	return nil
}

// TestReloadOnSIGHUP checks that SIGHUP passes newly read settings to the service,
// and that settings which cannot be read change nothing.
func TestReloadOnSIGHUP(t *testing.T) {
	is := is.New(t)
	svc := reloadRecorder{got: make(chan any)}
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
