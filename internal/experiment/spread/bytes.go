package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/micarudder/micarudder/internal/fleet"
)

// measureBytes counts what processes read and write, without a change and with
// changes. The kernel's counters hold the bytes of the sockets without the
// headers of TCP and IP.
func (t *times) measureBytes(ctx context.Context, r *running) error {
	start := t.snapshot(r)
	if err := pause(ctx, byteWindow); err != nil {
		return err
	}
	idle := t.snapshot(r)
	for range byteChanges {
		if _, err := r.confirm(ctx); err != nil {
			return err
		}
		if err := pause(ctx, byteWindow/byteChanges); err != nil {
			return err
		}
	}
	busy := t.snapshot(r)
	t.agent = bytesOf{idle.agents.less(start.agents) / byteWindow.Seconds(), busy.agents.less(idle.agents) / byteChanges}
	t.gateway = bytesOf{idle.gateways.less(start.gateways) / byteWindow.Seconds(), busy.gateways.less(idle.gateways) / byteChanges}
	return nil
}

// mean is the mean over the processes of one kind.
type mean float64

func (m mean) less(n mean) float64 { return float64(m - n) }

type snapshot struct{ agents, gateways mean }

func (t *times) snapshot(r *running) (s snapshot) {
	for i := range t.agents {
		s.agents += mean(transferred(r, fleet.AgentName(i)) / float64(t.agents))
	}
	for i := range t.gateways {
		s.gateways += mean(transferred(r, fleet.GatewayName(i)) / float64(t.gateways))
	}
	return s
}

// transferred returns the bytes that a process has read and written so far.
func transferred(r *running, name string) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", r.Group.Get(name).PID()))
	if err != nil {
		return 0
	}
	var sum, n uint64
	for line := range strings.Lines(string(raw)) {
		if _, err := fmt.Sscanf(line, "rchar: %d", &n); err == nil {
			sum += n
		}
		if _, err := fmt.Sscanf(line, "wchar: %d", &n); err == nil {
			sum += n
		}
	}
	return float64(sum)
}
