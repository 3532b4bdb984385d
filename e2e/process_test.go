package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/procs"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
)

const processPort = 22600

// processAddress returns a loopback address for this process only, so that
// tests of several checkouts do not collide.
func processAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f)
}

// startFleet builds the programs and starts them as real processes.
func startFleet(t testing.TB, c fleet.Config) *fleet.Fleet {
	t.Helper()
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "../cmd/rudder-gateway", "../cmd/rudder-agent", "../cmd/rudder-standin").CombinedOutput(); err != nil {
		t.Fatalf("build: %v %s", err, out)
	}
	c.BinDir, c.Dir, c.Address = bin, t.TempDir(), processAddress()
	if c.BasePort == 0 {
		c.BasePort = processPort
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f, err := fleet.Start(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = f.Group.Stop(ctx)
	})
	return f
}

// balancer sends each caller to the next of the gateways that were ready at the
// last probe.
type balancer struct {
	f     *fleet.Fleet
	mu    sync.Mutex
	ready []int
	next  int
}

const probeInterval = 100 * time.Millisecond

func newBalancer(ctx context.Context, f *fleet.Fleet) *balancer {
	b := &balancer{f: f}
	b.probe()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(probeInterval)
			b.probe()
		}
	}()
	return b
}

func (b *balancer) probe() {
	var ready []int
	for i, admin := range b.f.Admin {
		resp, err := http.Get(admin + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, i)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.f.Gateways[b.ready[b.next%len(b.ready)]]
}

// askOver sends one request over a real connection.
func askOver(method, url, body string, header map[string]string) (r reply) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r = reply{status: resp.StatusCode, header: resp.Header}
	r.err = r.readEvents(resp.Body)
	return r
}

// executions reads an engine's execution counters.
func executions(is *is.I, engine string) (c standengine.Counts) {
	resp, err := http.Get(engine + "/executions")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.NoErr(json.NewDecoder(resp.Body).Decode(&c))
	return c
}

// TestStopsOfProcesses: SIGTERM to an agent and to a gateway under load cuts
// off no caller and causes no second run. Tickets of the stopped agent still
// lead to their answers.
func TestStopsOfProcesses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Config{
		DataCentres: []string{dataCentre}, Engines: 3, Gateways: 2, Models: []string{model}, Policy: "round-robin",
		Workspaces: []fleet.Workspace{{Name: "bid-desk", Key: bearer, Weight: 1}}, MemoryTokens: 450_000, MaxRunning: 64,
		LogLevel: "info", LeaveTime: 300 * time.Millisecond,
	})
	b := newBalancer(t.Context(), f)
	const tokens = 60
	unrepeatable := make(map[string]reply) // replies to unrepeatable requests before the stop, by prompt
	for i := range 6 {
		prompt := fmt.Sprint("once ", i)
		unrepeatable[prompt] = askOver("POST", b.pick()+chatPath, chat(prompt, 5, true), map[string]string{"Rudder-Repeatable": "false"})
		is.Equal(unrepeatable[prompt].text, answerTo(prompt, 5))
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	callers := 0
	wg.Go(func() {
		for ; ; callers++ {
			prompt := fmt.Sprint("caller ", callers)
			wg.Go(func() {
				r := askOver("POST", b.pick()+chatPath, chat(prompt, tokens, true), nil)
				if r.err != nil || !r.done || r.restart || r.text != answerTo(prompt, tokens) {
					t.Errorf("%s: status %d, %v %s %s", prompt, r.status, r.err, r.problem, r.text)
				}
			})
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
		}
	})
	time.Sleep(time.Second)
	drained, last := terminate(is, f.Group.Get(fleet.AgentName(0)), f.Engines[0])
	t.Log("agent ended after", drained, "last new run after", last)
	is.True(last < 2*time.Second)
	stopped, _ := terminate(is, f.Group.Get(fleet.GatewayName(0)), f.Engines[0])
	t.Log("gateway ended after", stopped)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()
	for prompt, r := range unrepeatable {
		again := askOver("POST", b.pick()+chatPath, chat(prompt, 5, true), map[string]string{"Rudder-Ticket": r.header.Get("Rudder-Ticket")})
		is.Equal(again.text, answerTo(prompt, 5))
	}
	total, resumed := 0, 0
	for _, e := range f.Engines {
		c := executions(is, e)
		total, resumed = total+c.Total, resumed+len(c.Resumes)
	}
	t.Log("callers", callers+1, "executions", total, "resumed", resumed)
	is.Equal(total, callers+1+len(unrepeatable))
	is.Equal(resumed, 0)
}

// terminate sends SIGTERM, waits for a clean exit and returns how long it took,
// and after how long the engine last started a run.
func terminate(is *is.I, p *procs.Process, engine string) (ended, last time.Duration) {
	before := executions(is, engine).Total
	began := time.Now()
	is.NoErr(syscall.Kill(p.PID(), syscall.SIGTERM))
	for !p.Ended() {
		if n := executions(is, engine).Total; n > before {
			before, last = n, time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	ended = time.Since(began)
	is.NoErr(p.Stop(context.Background())) // checks its exit status
	return ended, last
}
