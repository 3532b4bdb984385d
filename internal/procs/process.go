package procs

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

const (
	readyInterval = 20 * time.Millisecond
	readyTimeout  = 2 * time.Second // of one probe
	logTail       = 2048            // bytes of the log in an error
)

// Process is one started process.
type Process struct {
	spec    Spec
	dir     string
	logPath string
	cmd     *exec.Cmd

	done chan struct{}
	err  error // of Wait, valid once done is closed

	mu     sync.Mutex
	frozen bool
}

// Name returns the name from the spec.
func (p *Process) Name() string { return p.spec.Name }

// Spec returns what the process was started from, to start it again.
func (p *Process) Spec() Spec { return p.spec }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Dir returns the process's own directory.
func (p *Process) Dir() string { return p.dir }

// LogPath returns the file that takes the process's output and errors.
func (p *Process) LogPath() string { return p.logPath }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ended tells whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// WaitReady probes the ready URL until it answers 200. It fails at once with
// the end of the log when the process ends first.
func (p *Process) WaitReady(ctx context.Context) error {
	if p.spec.Ready == "" {
		return nil
	}
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		if probe(ctx, p.spec.Ready) {
			return nil
		}
		select {
		case <-tick.C:
		case <-p.done:
			return trace.Errorf("process %q ended before it was ready (%v): %s", p.Name(), p.err, p.Tail())
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "process %q is not ready: %s", p.Name(), p.Tail())
		}
	}
}

// Freeze stops the process's execution (SIGSTOP) until Thaw.
func (p *Process) Freeze() error { return p.setFrozen(true, syscall.SIGSTOP) }

// Thaw lets a frozen process go on (SIGCONT).
func (p *Process) Thaw() error { return p.setFrozen(false, syscall.SIGCONT) }

// Kill ends the process without warning (SIGKILL) and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Stop asks the process to end (SIGTERM), waits, and kills it when ctx is over.
// It returns an error when the process had to be killed or exited with a
// non-zero status. Stopping an ended process is not an error.
func (p *Process) Stop(ctx context.Context) error {
	if p.Ended() {
		return nil
	}
	if err := errors.Join(p.thawIfFrozen(), p.signal(syscall.SIGTERM)); err != nil {
		return err
	}
	select {
	case <-p.done:
		return trace.Wrap(p.err, "process %q", p.Name())
	case <-ctx.Done():
		return errors.Join(trace.Errorf("process %q did not stop in time", p.Name()), p.Kill())
	}
}

// Tail returns the end of the process's log.
func (p *Process) Tail() string {
	f, err := os.Open(p.logPath)
	if err != nil {
		return ""
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > logTail {
		_, _ = f.Seek(-logTail, io.SeekEnd)
	}
	b, _ := io.ReadAll(io.LimitReader(f, logTail))
	return string(b)
}

func (p *Process) end(err error) {
	p.err = err
	close(p.done)
}

func (p *Process) setFrozen(frozen bool, sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.signal(sig); err != nil {
		return err
	}
	p.frozen = frozen
	return nil
}

func (p *Process) thawIfFrozen() error {
	p.mu.Lock()
	frozen := p.frozen
	p.mu.Unlock()
	if !frozen {
		return nil
	}
	return p.Thaw()
}

func (p *Process) signal(sig syscall.Signal) error {
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return trace.Wrap(err, "process %q", p.Name())
}

func probe(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
