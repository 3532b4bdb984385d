package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/micarudder/micarudder/internal/fleet"
)

// measureBytes counts the bytes that processes read and write, first without
// and then with configuration changes. The kernel's counters include the bytes
// of sockets without TCP and IP headers.
func (t *propagation) measureBytes(ctx context.Context, r *liveFleet) error {
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
	t.agent = byteCounts{idle.agents.minus(start.agents) / byteWindow.Seconds(), busy.agents.minus(idle.agents) / byteChanges}
	t.gateway = byteCounts{idle.gateways.minus(start.gateways) / byteWindow.Seconds(), busy.gateways.minus(idle.gateways) / byteChanges}
	return nil
}

// mean is the mean number of bytes over the processes of one kind.
type mean float64

func (m mean) minus(n mean) float64 { return float64(m - n) }

type snapshot struct{ agents, gateways mean }

func (t *propagation) snapshot(r *liveFleet) (s snapshot) {
	for i := range t.agents {
		s.agents += mean(transferred(r, fleet.AgentName(i)) / float64(t.agents))
	}
	for i := range t.gateways {
		s.gateways += mean(transferred(r, fleet.GatewayName(i)) / float64(t.gateways))
	}
	return s
}

// transferred returns the number of bytes that a process has read and written
// since its start.
func transferred(r *liveFleet, name string) float64 {
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
