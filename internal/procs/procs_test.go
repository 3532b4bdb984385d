package procs_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/procs"
)

// The test binary runs itself as the child process; roleVar selects its role.
const roleVar = "PROCS_TEST_ROLE"

func TestMain(m *testing.M) {
	switch os.Getenv(roleVar) {
	case "":
		os.Exit(m.Run())
	case "server":
		serve()
	case "broken":
		fmt.Println("no such setting")
		os.Exit(3)
	case "stubborn":
		signal.Ignore(syscall.SIGTERM)
		fmt.Println("ready")
		select {}
	}
}

// serve responds with status 200 on the given address. On SIGTERM it appends
// its name to a file common to the group and exits.
func serve() {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	mux := http.NewServeMux()
	mux.HandleFunc("/readyz", func(http.ResponseWriter, *http.Request) {})
	go func() { _ = http.ListenAndServe(os.Args[1], mux) }()
	<-term
	f, _ := os.OpenFile(os.Args[2], os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	fmt.Fprintln(f, os.Args[3])
	_ = f.Close()
}

func child(role string, args ...string) procs.Spec {
	return procs.Spec{Name: role, Binary: os.Args[0], Args: args, Env: []string{roleVar + "=" + role}}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestGroupStopsInReverseOrder(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	g := procs.NewGroup(dir)
	for _, name := range []string{"first", "second"} {
		addr := freeAddr(t)
		s := child("server", addr, dir+"/ends", name)
		s.Name, s.Ready = name, "http://"+addr+"/readyz"
		_, err := g.Start(s)
		is.NoErr(err)
	}
	is.NoErr(g.WaitReady(testContext(t)))
	is.NoErr(g.Stop(testContext(t)))
	ends, err := os.ReadFile(dir + "/ends")
	is.NoErr(err)
	is.Equal(string(ends), "second\nfirst\n")
	_, err = g.Start(child("server"))
	is.True(err != nil) // a stopped group starts no processes
}

func TestReadyFailsWithTheLogWhenTheProcessEnds(t *testing.T) {
	is := is.New(t)
	g := procs.NewGroup(t.TempDir())
	s := child("broken")
	s.Ready = "http://" + freeAddr(t) + "/readyz"
	_, err := g.Start(s)
	is.NoErr(err)
	err = g.WaitReady(testContext(t))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "no such setting"))
}

func TestStartFailsForAMissingProgram(t *testing.T) {
	is := is.New(t)
	_, err := procs.NewGroup(t.TempDir()).Start(procs.Spec{Name: "x", Binary: "/nonexistent"})
	is.True(err != nil)
}

func TestKillFrozenAndStartAgain(t *testing.T) {
	is := is.New(t)
	g := procs.NewGroup(t.TempDir())
	s := child("stubborn")
	s.Files = map[string]string{"conf/a.ini": "dir = " + procs.DirVar}
	p, err := g.Start(s)
	is.NoErr(err)
	conf, err := os.ReadFile(p.Dir() + "/conf/a.ini")
	is.NoErr(err)
	is.Equal(string(conf), "dir = "+p.Dir())
	_, err = g.Start(s)
	is.True(err != nil) // still running
	is.NoErr(p.Freeze())
	is.NoErr(p.Kill())
	again, err := g.Start(p.Spec())
	is.NoErr(err)
	is.Equal(len(g.All()), 1)
	waitForLog(t, again, "ready")
	over, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(g.Stop(over) != nil) // the child ignores SIGTERM and was killed
	is.True(again.Ended())
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func waitForLog(t *testing.T, p *procs.Process, text string) {
	ctx := testContext(t)
	for !strings.Contains(p.Tail(), text) {
		if ctx.Err() != nil {
			t.Fatalf("log lacks %q: %s", text, p.Tail())
		}
		time.Sleep(5 * time.Millisecond)
	}
}
