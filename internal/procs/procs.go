// Package procs starts, watches and stops real processes for the demo, the
// bench and tests. Every process belongs to a Group, which writes the files it
// needs, keeps its output in a log file and ends it by its own process id. The
// daemons never import it: a process of the system starts no other process.
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

// DirVar is replaced in arguments and file contents by the process's own
// directory.
const DirVar = "{dir}"

// Spec describes one process.
type Spec struct {
	Name   string            // unique in its group; also the directory's name
	Binary string            // path of the program
	Args   []string          // DirVar is expanded
	Env    []string          // added to the parent's environment, KEY=value
	Files  map[string]string // relative path to content, written before the start
	Ready  string            // URL that answers 200 when ready; empty when none
}

// Group is a set of processes that are stopped together in reverse order of
// their start. It is safe for concurrent use.
type Group struct {
	dir string

	mu      sync.Mutex
	order   []*Process
	byName  map[string]*Process
	stopped bool
}

// NewGroup returns an empty group whose files live under dir, which must exist.
func NewGroup(dir string) *Group {
	return &Group{dir: dir, byName: make(map[string]*Process)}
}

// Start writes the process's files, starts it and returns at once. A name may
// be started again after its process has ended.
func (g *Group) Start(s Spec) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil, trace.BadParameter("group is stopped")
	}
	old := g.byName[s.Name]
	if old != nil && !old.Ended() {
		return nil, trace.AlreadyExists("process %q is running", s.Name)
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

// Get returns the process last started under the name, or nil.
func (g *Group) Get(name string) *Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byName[name]
}

// All returns the processes in the order of their start.
func (g *Group) All() []*Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Process(nil), g.order...)
}

// WaitReady waits until every process with a ready URL answers there.
func (g *Group) WaitReady(ctx context.Context) error {
	for _, p := range g.All() {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends the processes one by one, the last started first. Each gets
// SIGTERM and, when ctx is over, SIGKILL. The group starts nothing afterwards.
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
	// A restarted process appends, so that its log tells the whole story.
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
