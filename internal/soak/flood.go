package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/micarudder/micarudder/internal/memtest"
	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

const (
	// hostMemory is the memory of a gateway's host in runs with Config.Flood.
	hostMemory = 96 << 20
	// uploadClients is how many clients upload bodies in chunks, and uploadBytes the size of these.
	uploadClients = 24
	uploadBytes   = 4 << 20
	// memoryInterval is how often the memory of the gateways is measured.
	memoryInterval = 20 * time.Millisecond
)

// floodSettings are the gateways' settings for runs with Config.Flood.
var floodSettings = fmt.Sprintf("host_memory = %dMiB\n", hostMemory>>20)

// floodFaults lists the faults of runs with Config.Flood.
var floodFaults = []fault{
	{"a worker sends without end", false, setWorkerFaults(usersplatform.Faults{Flood: 0.5})},
	{"all workers send without end", false, floodAll},
}

// floodAll makes all workers answer half of their requests without end.
func floodAll(r *run, _ *rand.Rand, length time.Duration) {
	r.eachWorker(func(w *usersplatform.Worker) { w.SetFaults(usersplatform.Faults{Flood: 0.5}) })
	time.Sleep(length)
	r.eachWorker(func(w *usersplatform.Worker) { w.SetFaults(usersplatform.Faults{}) })
}

// upload sends large bodies in chunks, one after the other. Their responses are not checked.
func (r *run) upload(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0x0b10ad+uint64(number)))
	c := &client{run: r, number: r.c.Clients + number, random: random, transports: make(map[string]*http.Transport)}
	for n := 0; ctx.Err() == nil; n++ {
		if gateway := r.pickReadyGateway(random); gateway != "" {
			a := request{id: fmt.Sprintf("u%d-%d", number, n), key: r.pickKey(random), gateway: gateway}
			c.sendUpload(ctx, a)
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxClientPause))))
	}
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// sendUpload sends a body of unknown length and drops the response.
func (c *client) sendUpload(ctx context.Context, a request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body := io.NopCloser(io.LimitReader(memtest.Zeros{}, uploadBytes))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.gateway+"/safe/x", body)
	if err != nil {
		return
	}
	r.Host, r.ContentLength = soakHost, -1
	usersplatform.RequestHeader{ID: a.id, Key: a.key, Deadline: requestTimeout}.Write(r.Header)
	if res, err := c.transport(a.gateway).RoundTrip(r); err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

// measureMemory records the most memory that each gateway occupies, until ctx ends.
func (r *run) measureMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range r.group.All() {
			used := anonymousMemory(p.PID())
			r.mu.Lock()
			r.facts.memory[p.Name()] = max(r.facts.memory[p.Name()], used)
			if p.Ended() {
				r.facts.ended[p.Name()] = true
			}
			r.mu.Unlock()
		}
		time.Sleep(memoryInterval)
	}
}

// anonymousMemory returns the memory of a process without files that it maps, in bytes, or 0 if it has ended.
func anonymousMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kib, _ := strconv.ParseInt(string(bytes.Fields(value)[0]), 10, 64)
			return kib << 10
		}
	}
	return 0
}

// checkFlood verifies that no gateway ended or needed more than its host's memory, and that requests whose
// workers did not send without end were answered. Those that were under way at the end of the run, when the clients
// leave, are left out.
func checkFlood(all []request, f *facts) (out []string) {
	for name := range f.ended {
		out = append(out, name+" ended by itself")
	}
	for name, used := range f.memory {
		if used > hostMemory {
			out = append(out, fmt.Sprintf("%s occupied %d MB, %d MB allowed", name, used>>20, hostMemory>>20))
		}
	}
	for i := range all {
		a := &all[i]
		lost := a.err != nil && !errors.Is(a.err, context.Canceled) || a.status >= 500 && a.status != http.StatusServiceUnavailable
		if lost && !a.abandoned && !f.ledger.Flooded(a.id) && len(f.ledger.Runs(a.id)) > 0 {
			out = append(out, fmt.Sprintf("%s (%s by %s): lost though its worker was sound: status %d, %v", a.id, a.kind, a.gateway, a.status, a.err))
		}
	}
	return out
}
