package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// The machines of the smallest deployment, as its sheet and its site file give them.
const (
	frontMemoryBytes = 284 << 20
	zoneCount        = 3
	restartDelay     = 300 * time.Millisecond
	memoryInterval   = 10 * time.Millisecond
	readyInterval    = time.Second
)

var zones = [zoneCount]string{"cdf-a", "cdf-b", "cdf-c"}

// platform is the stand-in of the users' platform: the store, the machines and the balancer.
type platform struct {
	dir, relay, template string
	network              int
	ports                ports
	store                *usersplatform.Store
	storeAddress         string
	record               *record

	mu     sync.Mutex
	fronts []*front
	ended  bool
}

type ports struct{ front, ready, control, peer int }

// front is one machine with its relay process.
type front struct {
	p           *platform
	index       int
	name, ip    string
	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan struct{}
	ownEnds     int // times that the process ended by itself, or went over its memory
	memoryKills int
	peakBytes   int64
	isReady     bool
	misses      int
}

func (f *front) address() string { return net.JoinHostPort(f.ip, strconv.Itoa(f.p.ports.front)) }

// newPlatform starts the store; the processes are started by startFronts.
func newPlatform(dir, relay, template string, r *record) (*platform, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	p := &platform{dir: dir, relay: relay, template: string(text), store: usersplatform.NewStore(), record: r}
	if err := p.pickNetwork(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", p.ip(250)+":0")
	if err != nil {
		return nil, err
	}
	p.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, p.store) }()
	return p, nil
}

// pickNetwork finds a loopback network in which the ports of the machines are free.
func (p *platform) pickNetwork() error {
	for i := range 200 {
		p.network = 20 + (os.Getpid()+i*7)%200
		l, err := net.Listen("tcp", p.ip(254)+":21999")
		if err != nil {
			continue
		}
		var list []int
		for range 4 {
			free, err := net.Listen("tcp", p.ip(0)+":0")
			if err != nil {
				return err
			}
			list = append(list, free.Addr().(*net.TCPAddr).Port)
			defer func() { _ = free.Close() }()
		}
		p.ports = ports{list[0], list[1], list[2], list[3]}
		_ = l // held until the process ends, so that no other run uses the network
		return nil
	}
	return fmt.Errorf("no free loopback network")
}

func (p *platform) ip(n int) string { return fmt.Sprintf("127.%d.0.%d", p.network, n+1) }

// startFronts starts the relays and waits until all are ready.
func (p *platform) startFronts(ctx context.Context, n int) error {
	for i := range n {
		f := &front{p: p, index: i, name: fmt.Sprintf("front-%d", i+1), ip: p.ip(i)}
		p.fronts = append(p.fronts, f)
	}
	for _, f := range p.fronts {
		if err := f.start(true); err != nil {
			return err
		}
		go f.pollReady(ctx)
	}
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if len(p.readyFronts()) == n {
			return nil
		}
	}
	return fmt.Errorf("the relays were not ready in 20 s")
}

func (p *platform) readyFronts() (out []*front) {
	for _, f := range p.fronts {
		f.mu.Lock()
		if f.isReady {
			out = append(out, f)
		}
		f.mu.Unlock()
	}
	return out
}

// entry returns the front that the platform gives a new channel of this client, whose try is the nth.
func (p *platform) entry(client, try int) *front {
	all := p.readyFronts()
	if len(all)*2 < len(p.fronts) {
		all = p.fronts
	}
	return all[(client+try)%len(all)]
}

// settings renders the settings of the front from the template of the deploy file.
func (f *front) settings(first bool) string {
	p := f.p
	at := func(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	var seeds []string
	for i := range min(3, len(p.fronts)) {
		seeds = append(seeds, at(p.ip(i), p.ports.control))
	}
	return render(p.template, map[string]any{
		"node": f.name, "zone": zones[f.index%zoneCount], "ip": f.ip, "bootstrap": first, "seeds": seeds,
		"listen.front": at(f.ip, p.ports.front), "listen.ready": at(f.ip, p.ports.ready), "listen.control": at(f.ip, p.ports.control),
		"internalPorts.0": p.ports.peer, "provider.address": p.storeAddress,
		"bounds.strictRevoke": true, "bounds.revokeMs": 5000, "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 100,
		"bounds.budgetWindowS": 10, "bounds.idleMaxMs": 9000, "bounds.graceS": 8,
	})
}

// start starts the relay with the command of the deploy file.
func (f *front) start(first bool) error {
	dir := filepath.Join(f.p.dir, f.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	settings := filepath.Join(dir, "settings")
	if err := os.WriteFile(settings, []byte(f.settings(first)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.p.relay)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "MICARUDDER_CONFIG=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the relay when the thread that started it ends, so that none is left behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	exited, started := make(chan struct{}), make(chan error, 1)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		err = cmd.Wait()
		_ = log.Close()
		close(exited)
		go f.handleExit(err)
	}()
	if err := <-started; err != nil {
		return err
	}
	f.mu.Lock()
	f.cmd, f.exited = cmd, exited
	f.mu.Unlock()
	go f.watchMemory(cmd.Process.Pid, exited)
	return nil
}

// handleExit restarts the process after a short delay, as the platform does.
func (f *front) handleExit(err error) {
	f.p.mu.Lock()
	ended := f.p.ended
	f.p.mu.Unlock()
	if ended {
		return
	}
	f.mu.Lock()
	f.ownEnds++ // the cases send no signals to the relays
	f.isReady = false
	f.mu.Unlock()
	f.p.record.event("%s: the process ended by itself (%v)", f.name, err)
	time.Sleep(restartDelay)
	if err := f.start(false); err != nil {
		f.p.record.event("%s: not started again: %v", f.name, err)
	}
}

// watchMemory kills the process once its anonymous memory is over the machine's memoryMb, as the platform does.
func (f *front) watchMemory(pid int, exited <-chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(memoryInterval):
		}
		bytes := anonymousMemory(pid)
		f.mu.Lock()
		f.peakBytes = max(f.peakBytes, bytes)
		over := bytes > frontMemoryBytes
		if over {
			f.memoryKills++
		}
		f.mu.Unlock()
		if over {
			f.p.record.event("%s: %d MB are over memoryMb, and the platform kills the process", f.name, bytes>>20)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// anonymousMemory returns RssAnon of a process, without its program and shared files.
func anonymousMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if after, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, _ := strconv.ParseInt(string(bytes.Fields(after)[0]), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// pollReady asks the front each second whether it is ready; two misses take it out.
func (f *front) pollReady(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval}
	for ctx.Err() == nil {
		res, err := client.Get(fmt.Sprintf("http://%s/ready", net.JoinHostPort(f.ip, strconv.Itoa(f.p.ports.ready))))
		ok := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		f.mu.Lock()
		if ok {
			f.misses, f.isReady = 0, true
		} else if f.misses++; f.misses >= 2 {
			f.isReady = false
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(readyInterval):
		}
	}
}

// stop kills all processes.
func (p *platform) stop() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	for _, f := range p.fronts {
		f.mu.Lock()
		cmd, exited := f.cmd, f.exited
		f.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Kill()
		<-exited
	}
}
