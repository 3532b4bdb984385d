package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	standin "github.com/micarudder/micarudder/internal/standin/engine"
)

// runAsProgramEnv is the environment variable that makes the test binary run as rudder-standin.
const runAsProgramEnv = "RUDDER_STANDIN_TEST"

var addressInLog = regexp.MustCompile(`address=(\S+)`)

// process is a stand-in engine that runs in a process of its own.
type process struct {
	cmd    *exec.Cmd
	base   string
	client *engine.Client
}

// startEngine starts an engine process and waits until it serves requests.
func startEngine(t *testing.T, args ...string) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0], append([]string{"engine"}, args...)...)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	line, err := bufio.NewReader(logs).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, base: "http://" + addressInLog.FindStringSubmatch(line)[1]}
	p.client = engine.NewClient(engine.Options{BaseURL: p.base, Name: "test"})
	return p
}

// stop suspends the process with SIGSTOP and returns when all its threads are stopped.
func (p *process) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	_, err := syscall.Wait4(p.cmd.Process.Pid, nil, syscall.WUNTRACED, nil)
	return err
}

func (p *process) executions(is *is.I) standin.Counts {
	resp, err := http.Get(p.base + "/executions")
	is.NoErr(err)
	defer resp.Body.Close()
	var c standin.Counts
	is.NoErr(json.NewDecoder(resp.Body).Decode(&c))
	return c
}

func request(id string) engine.Request {
	return engine.Request{ID: id, Path: "/v1/completions", Body: []byte(`{"model":"rudder-llm","prompt":"p","max_tokens":4000}`)}
}

// TestKilledProcess checks, with a real process and socket, that killing an engine
// ends its streams with ErrLost, and that later requests fail with ErrUnreachable,
// which means that they did not run.
func TestKilledProcess(t *testing.T) {
	is := is.New(t)
	p := startEngine(t)
	s, err := p.client.Start(context.Background(), request("1"))
	is.NoErr(err)
	_, err = s.Recv()
	is.NoErr(err)
	is.NoErr(p.cmd.Process.Kill())
	for err == nil {
		_, err = s.Recv()
	}
	is.True(errors.Is(err, engine.ErrLost))
	_, _ = p.cmd.Process.Wait()
	_, err = p.client.Start(context.Background(), request("2"))
	is.True(errors.Is(err, engine.ErrUnreachable))
}

// TestStoppedProcess checks that a request to a suspended engine fails with ErrLost
// and not with ErrUnreachable, since it runs when the engine resumes.
func TestStoppedProcess(t *testing.T) {
	is := is.New(t)
	p := startEngine(t, "--speed", "10000")
	is.NoErr(p.stop())
	ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer stop()
	_, err := p.client.Start(ctx, request("1"))
	is.True(errors.Is(err, engine.ErrLost))
	is.NoErr(p.cmd.Process.Signal(syscall.SIGCONT))
	for p.executions(is).ByID["1"] == 0 {
		time.Sleep(time.Millisecond)
	}
	s, err := p.client.Start(context.Background(), request("2"))
	is.NoErr(err)
	for err == nil {
		_, err = s.Recv()
	}
	is.True(errors.Is(err, io.EOF))
	is.Equal(p.executions(is).ByID, map[string]int{"1": 1, "2": 1})
}

// TestTerminatedProcess checks that the program exits with status 0 on SIGTERM.
func TestTerminatedProcess(t *testing.T) {
	is := is.New(t)
	p := startEngine(t)
	is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(p.cmd.Wait())
}
