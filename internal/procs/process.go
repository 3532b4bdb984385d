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
	probeInterval = 20 * time.Millisecond
	probeTimeout  = 2 * time.Second // of one probe
	logTail       = 2048            // bytes of the log that Tail returns
)

// Process is one started process.
type Process struct {
	spec    Spec
	dir     string
	logPath string
	cmd     *exec.Cmd

	done chan struct{}
	err  error // result of cmd.Wait, valid once done is closed

	mu     sync.Mutex
	frozen bool
}

// Name returns the name in the process's spec.
func (p *Process) Name() string { return p.spec.Name }

// Spec returns the spec of the process, which can be used to start it again.
func (p *Process) Spec() Spec { return p.spec }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Dir returns the process's own directory.
func (p *Process) Dir() string { return p.dir }

// LogPath returns the path of the file that receives stdout and stderr.
func (p *Process) LogPath() string { return p.logPath }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ended reports whether the process has exited.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// WaitReady polls the ready URL until it returns status 200. If the process
// exits first, WaitReady returns an error with the end of the log.
func (p *Process) WaitReady(ctx context.Context) error {
	if p.spec.Ready == "" {
		return nil
	}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		if probe(ctx, p.spec.Ready) {
			return nil
		}
		select {
		case <-tick.C:
		case <-p.done:
			return trace.Errorf("process %q exited before it was ready (%v): %s", p.Name(), p.err, p.Tail())
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "process %q is not ready: %s", p.Name(), p.Tail())
		}
	}
}

// Freeze suspends the process (SIGSTOP) until Thaw.
func (p *Process) Freeze() error { return p.setFrozen(true, syscall.SIGSTOP) }

// Thaw resumes a frozen process (SIGCONT).
func (p *Process) Thaw() error { return p.setFrozen(false, syscall.SIGCONT) }

// Kill kills the process (SIGKILL) and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Stop terminates the process (SIGTERM), waits for its exit, and kills it when
// ctx ends. It returns an error if the process had to be killed or exited with
// a non-zero status. Stopping an exited process is not an error.
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
		return errors.Join(trace.Errorf("process %q did not exit in time after SIGTERM, killing it", p.Name()), p.Kill())
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
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
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
