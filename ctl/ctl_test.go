package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/internal/standin/engine"
	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rudderctl": func() { os.Exit(int(runProgram())) }})
}

// runProgram runs the command line with a fixed clock.
func runProgram() Exit {
	return Run(context.Background(), Env{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		Now:      func() time.Time { return time.Date(2026, 3, 9, 8, 0, 0, 0, time.UTC) },
		Operator: os.Getenv("RUDDER_OPERATOR"),
		Store: func(address string) (metastore.Store, error) {
			return metastore.NewClient(metastore.Options{Addresses: []string{address}})
		},
	}, os.Args[1:])
}

// fakeGateway answers from the script's files status.json, fetch.json and
// explain-REQUEST.json.
type fakeGateway struct {
	rudderv1connect.UnimplementedGatewayServiceHandler
	dir string
}

func (g *fakeGateway) Status(context.Context, *connect.Request[rudderv1.StatusRequest]) (*connect.Response[rudderv1.StatusResponse], error) {
	m := new(rudderv1.StatusResponse)
	data, err := os.ReadFile(g.dir + "/status.json")
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(m), protojson.Unmarshal(data, m)
}

func (g *fakeGateway) Fetch(context.Context, *connect.Request[rudderv1.FetchRequest]) (*connect.Response[rudderv1.FetchResponse], error) {
	m := new(rudderv1.FetchResponse)
	data, err := os.ReadFile(g.dir + "/fetch.json")
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(m), protojson.Unmarshal(data, m)
}

func (g *fakeGateway) Explain(_ context.Context, r *connect.Request[rudderv1.ExplainRequest]) (*connect.Response[rudderv1.ExplainResponse], error) {
	m := new(rudderv1.ExplainResponse)
	data, err := os.ReadFile(g.dir + "/explain-" + r.Msg.RequestId + ".json")
	if err != nil {
		return connect.NewResponse(m), nil
	}
	return connect.NewResponse(m), protojson.Unmarshal(data, m)
}

// setup starts the servers that one script needs and sets their addresses in
// its environment.
func setup(e *testscript.Env) error {
	store := httptest.NewServer(standin.NewServer(standin.Config{}).Handler())
	e.Defer(store.Close)
	_, handler := rudderv1connect.NewGatewayServiceHandler(&fakeGateway{dir: e.WorkDir})
	gateway := httptest.NewUnstartedServer(handler)
	srv, err := inner.NewServer(handler, inner.KeyFiles{})
	if err != nil {
		return err
	}
	gateway.Config = srv
	gateway.Start()
	e.Defer(gateway.Close)
	e.Setenv("RUDDER_PLATFORM", strings.TrimPrefix(store.URL, "http://"))
	e.Setenv("GATEWAY", strings.TrimPrefix(gateway.URL, "http://"))
	e.Setenv("RUDDER_OPERATOR", "jana")
	e.Setenv("ENGINE", serveEngine(e))
	e.Setenv("ADMIN", serveMetrics(e))
	wd, err := os.Getwd()
	e.Setenv("EXAMPLES", wd+"/../examples")
	return err
}

// serveEngine starts a stand-in engine, which serves the same completion
// protocol as a gateway, and returns its address.
func serveEngine(e *testscript.Env) string {
	cfg := engine.Default()
	cfg.Speed = 1000
	s := httptest.NewServer(engine.NewServer(cfg).Handler())
	e.Defer(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// serveMetrics serves the files of the script's work directory, such as metrics,
// and returns the server's address.
func serveMetrics(e *testscript.Env) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.ServeFile(w, r, e.WorkDir+r.URL.Path)
	}))
	e.Defer(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// runExits implements the script command "exits", which runs a command and checks
// its exit code: exits 5 rudderctl confirm p.json
func runExits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// runControl implements the script command "control", which posts to the control
// interface of the stand-in platform: control fault outage=reset
func runControl(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: control CALL [NAME=VALUE...]")
	}
	form, err := url.ParseQuery(strings.Join(args[1:], "&"))
	ts.Check(err)
	r, err := http.PostForm("http://"+ts.Getenv("RUDDER_PLATFORM")+"/"+args[0], form)
	ts.Check(err)
	ts.Check(r.Body.Close())
	if r.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("control %v: %s", args, r.Status)
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		Setup:         setup,
		Cmds:          map[string]func(*testscript.TestScript, bool, []string){"exits": runExits, "control": runControl},
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}

func TestExitCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	doc, err := os.ReadFile("../docs/RUDDERCTL.md")
	is.NoErr(err)
	for _, e := range exitCodes {
		row := fmt.Sprintf("| %d | %s |", e.code, e.text)
		if !strings.Contains(string(doc), row) {
			t.Errorf("docs/RUDDERCTL.md lacks the row: %s", row)
		}
	}
}
