package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// The bounds of the installation, as in the site files.
const (
	revokeTime = 5 * time.Second
	graceTime  = 8 * time.Second
)

// world is one installation with the record of the case.
type world struct {
	began time.Time
	dir   string // temporary; settings and logs of the relays
	store *usersplatform.Store

	storeAddress string
	mu           sync.Mutex
	record       *os.File
	relays       []*relayProcess
	closers      []func()
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), dir: dir, store: usersplatform.NewStore(), record: f}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(l) }()
	w.storeAddress = l.Addr().String()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return w, nil
}

// close ends all processes of the case.
func (w *world) close() {
	for _, p := range w.relays {
		p.kill()
	}
	for _, c := range w.closers {
		c()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// note writes a line to the record, with the seconds since the case began.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// relayProcess is a relay with its addresses.
type relayProcess struct {
	w                         *world
	name, ip                  string
	front, ready, peer, admin int // ports
	seeds                     string
	cmd                       *exec.Cmd
	done                      chan struct{}
}

// freePorts returns ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// newRelays prepares n relays, which share their ports as on the platform.
func (w *world) newRelays(n int) ([]*relayProcess, error) {
	block := 1 + os.Getpid()%200
	ports, err := freePorts(fmt.Sprintf("127.77.%d.1", block), 4)
	if err != nil {
		return nil, err
	}
	seed := fmt.Sprintf("127.77.%d.1:%d", block, ports[3])
	for i := range n {
		w.relays = append(w.relays, &relayProcess{w: w, name: fmt.Sprintf("front-a-%d", i+1), ip: fmt.Sprintf("127.77.%d.%d", block, i+1),
			front: ports[0], ready: ports[1], peer: ports[2], admin: ports[3], seeds: seed})
	}
	return w.relays, nil
}

func (p *relayProcess) address() string { return fmt.Sprintf("%s:%d", p.ip, p.front) }

// settings fills deploy/relay.ini.tmpl as the platform does, for this relay.
func (p *relayProcess) settings(firstStart bool) string {
	return fmt.Sprintf(`[relay]
name = %s
data_centre = a
listen = %s:%d
ready_listen = %s:%d
peer_listen = %s:%d
seeds = %s
first_start = %t
[store]
address = %s
[bounds]
revoke_after = %dms
retry_ratio = 0.2
retry_slack = 100
retry_window = 10s
unused_memory = 9000ms
[load]
forward_messages = true
residual_load = true
stall_resume = true
slow_reader_timeout = 2s
[process]
admin_listen = %s:%d
host_memory = 284MiB
drain_time = %ds
`, p.name, p.ip, p.front, p.ip, p.ready, p.ip, p.peer, p.seeds, firstStart, p.w.storeAddress,
		revokeTime.Milliseconds(), p.ip, p.admin, int(graceTime.Seconds()))
}

// start starts the process with the command of the deploy file.
func (p *relayProcess) start(firstStart bool) error {
	file := filepath.Join(p.w.dir, p.name+".ini")
	if err := os.WriteFile(file, []byte(p.settings(firstStart)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command("target/rudder-relay")
	// The platform's machines show one core, from which the runtime takes this number.
	p.cmd.Env = []string{"MICARUDDER_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1"}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	done, cmd := make(chan struct{}), p.cmd
	p.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.w.note("%s started", p.name)
	return nil
}

// signal sends a signal to the process.
func (p *relayProcess) signal(s syscall.Signal) error {
	p.w.note("%s gets %v", p.name, s)
	return p.cmd.Process.Signal(s)
}

// kill kills the process if it still runs, and waits for its end.
func (p *relayProcess) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// waitReady waits until the relay says that it is ready, for at most limit.
func (p *relayProcess) waitReady(limit time.Duration) error {
	probe := &http.Client{Timeout: 300 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := probe.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, p.ready))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(filepath.Join(p.w.dir, p.name+".log"))
	return fmt.Errorf("%s is not ready: %s", p.name, lastLines(string(log)))
}

func lastLines(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
