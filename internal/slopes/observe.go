package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/standin/platform"
)

const (
	// clockTick is the unit of CPU time in /proc, in seconds (proc(5)).
	clockTick = 0.01
	pageSize  = 4096
)

// usage is the resource usage of one process: CPU time and bytes since its start,
// and its current memory.
type usage struct {
	cpu      float64 // seconds
	received float64 // bytes
	sent     float64 // bytes
	resident float64 // current bytes
	private  float64 // current resident bytes without file-backed and shared pages
}

// point holds the cost of control traffic per process and second at one size.
type point struct {
	gateway, agent role
	reads, writes  float64 // platform calls per second of all processes
}

// role holds the mean usage of the processes of one role.
type role struct {
	cpu      float64 // share of a core
	bytes    float64 // received and sent per second
	resident float64 // bytes
	private  float64 // resident bytes without file-backed and shared pages
}

func (p point) String() string {
	return fmt.Sprintf("gateway %.2f%% of a core, %.0f B/s, %.1f MB (%.1f private); agent %.3f%%, %.0f B/s, %.1f MB (%.1f private); platform %.2f reads/s, %.2f writes/s",
		p.gateway.cpu*100, p.gateway.bytes, p.gateway.resident/1e6, p.gateway.private/1e6,
		p.agent.cpu*100, p.agent.bytes, p.agent.resident/1e6, p.agent.private/1e6, p.reads, p.writes)
}

// observe measures the resource usage and platform calls of the fleet over the
// window.
func observe(ctx context.Context, f *fleet.Fleet, s size, window time.Duration) (point, error) {
	before, err := countCalls(ctx, f)
	if err != nil {
		return point{}, err
	}
	g0, a0 := usagesOf(f, fleet.GatewayName, s.gateways), usagesOf(f, fleet.AgentName, s.agents)
	began := time.Now()
	if err := sleep(ctx, window); err != nil {
		return point{}, err
	}
	g1, a1 := usagesOf(f, fleet.GatewayName, s.gateways), usagesOf(f, fleet.AgentName, s.agents)
	took := time.Since(began).Seconds()
	after, err := countCalls(ctx, f)
	if err != nil {
		return point{}, err
	}
	return point{
		gateway: mean(g0, g1, took), agent: mean(a0, a1, took),
		reads: float64(after.Reads()-before.Reads()) / took, writes: float64(after.Writes()-before.Writes()) / took,
	}, nil
}

// mean returns the mean CPU time and bytes per process and second between two
// readings, and the mean memory at the second one.
func mean(before, after []usage, seconds float64) role {
	var r role
	n := float64(len(after))
	for i := range after {
		r.cpu += (after[i].cpu - before[i].cpu) / seconds / n
		r.bytes += (after[i].received + after[i].sent - before[i].received - before[i].sent) / seconds / n
		r.resident += after[i].resident / n
		r.private += after[i].private / n
	}
	return r
}

func usagesOf(f *fleet.Fleet, name func(int) string, n int) []usage {
	out := make([]usage, n)
	for i := range n {
		out[i] = usageOf(f.Group.Get(name(i)).PID())
	}
	return out
}

// usageOf reads the resource usage of a process from /proc. Values that cannot be
// read are zero.
func usageOf(pid int) usage {
	var u usage
	if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		text := string(b)
		fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
		u.cpu = (number(fields[11]) + number(fields[12])) * clockTick
		u.resident = number(fields[21]) * pageSize
	}
	if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		if fields := strings.Fields(string(b)); len(fields) > 2 {
			u.private = u.resident - number(fields[2])*pageSize
		}
	}
	if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid)); err == nil {
		for line := range strings.Lines(string(b)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			switch name {
			case "rchar":
				u.received = number(value)
			case "wchar":
				u.sent = number(value)
			}
		}
	}
	return u
}

func number(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0
	}
	return v
}

// countCalls fetches the counts of calls that the platform's stand-in has served.
func countCalls(ctx context.Context, f *fleet.Fleet) (platform.Counts, error) {
	var c platform.Counts
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Platform+"/counts", nil)
	if err != nil {
		return c, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return c, err
	}
	defer func() { _ = resp.Body.Close() }()
	return c, json.NewDecoder(resp.Body).Decode(&c)
}
