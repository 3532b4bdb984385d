package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
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

// TestServersRefuseLargeHeads guards against anyone who reaches a port for operators, balancers or gateways, and whose
// requests fill the memory of the process with heads.
func TestServersRefuseLargeHeads(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Start()
	defer server.Close()
	for size, want := range map[int]int{1 << 10: http.StatusOK, 64 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		is.NoErr(err)
		r.Header.Set("X", strings.Repeat("y", size))
		res, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		_ = res.Body.Close()
		is.Equal(res.StatusCode, want)
	}
}
