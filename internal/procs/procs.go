// Package procs starts, monitors and stops real processes for the demo, the
// benchmarks and tests. Each process belongs to a Group, which writes the files
// that the process needs, redirects its output to a log file and signals it by
// process ID. The daemons do not import this package, because they start no
// other processes.
package procs

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/gravitational/trace"
)

// DirVar is a placeholder for the process's own directory in arguments and file
// contents.
const DirVar = "{dir}"

// Spec describes one process.
type Spec struct {
	Name   string            // unique in its group; also the name of its directory
	Binary string            // path of the executable
	Args   []string          // DirVar is expanded
	Env    []string          // added to the parent's environment, KEY=value
	Files  map[string]string // relative path to content, written before the start
	Ready  string            // URL that returns status 200 when ready; empty for none
}

// Group is a set of processes that are stopped together, in reverse start
// order. It is safe for concurrent use.
type Group struct {
	dir string

	mu      sync.Mutex
	order   []*Process
	byName  map[string]*Process
	stopped bool
}

// NewGroup returns an empty group that keeps its files in the existing
// directory dir.
func NewGroup(dir string) *Group {
	return &Group{dir: dir, byName: make(map[string]*Process)}
}

// Start writes the process's files, starts the process and returns without
// waiting until it is ready. A name may be reused after its process has exited.
func (g *Group) Start(s Spec) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil, trace.BadParameter("process group is already stopped")
	}
	old := g.byName[s.Name]
	if old != nil && !old.Ended() {
		return nil, trace.AlreadyExists("process %q is already running", s.Name)
	}
	dir := filepath.Join(g.dir, s.Name)
	if err := writeFiles(dir, s.Files); err != nil {
		return nil, trace.Wrap(err, "process %q", s.Name)
	}
	p, err := start(s, dir)
	if err != nil {
		return nil, trace.Wrap(err, "process %q", s.Name)
	}
	g.remove(old)
	g.order = append(g.order, p)
	g.byName[s.Name] = p
	return p, nil
}

// Get returns the process last started with the name, or nil.
func (g *Group) Get(name string) *Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byName[name]
}

// All returns the processes in start order.
func (g *Group) All() []*Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Process(nil), g.order...)
}

// WaitReady waits until every process with a ready URL is ready.
func (g *Group) WaitReady(ctx context.Context) error {
	for _, p := range g.All() {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops the processes one by one in reverse start order, with SIGTERM and,
// when ctx ends, SIGKILL. The group starts no processes afterwards.
func (g *Group) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	all := g.All()
	var errs []error
	for i := len(all) - 1; i >= 0; i-- {
		errs = append(errs, all[i].Stop(ctx))
	}
	return errors.Join(errs...)
}

func (g *Group) remove(p *Process) {
	for i, q := range g.order {
		if q == p {
			g.order = append(g.order[:i], g.order[i+1:]...)
			return
		}
	}
}

func writeFiles(dir string, files map[string]string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for name, content := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		content = strings.ReplaceAll(content, DirVar, dir)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func start(s Spec, dir string) (*Process, error) {
	args := make([]string, len(s.Args))
	for i, a := range s.Args {
		args[i] = strings.ReplaceAll(a, DirVar, dir)
	}
	logPath := filepath.Join(dir, "log")
	// A restarted process appends to the log, so the output of earlier starts stays.
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(s.Binary, args...)
	cmd.Env = append(os.Environ(), s.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	p := &Process{spec: s, dir: dir, logPath: logPath, cmd: cmd, done: make(chan struct{})}
	started := make(chan error, 1)
	go run(cmd, log, started, p.end)
	if err := <-started; err != nil {
		return nil, err
	}
	return p, nil
}
