// Command slopes measures what control costs each process, from real gateways
// and agents with stand-ins on the loopback interface, and fits a line through
// each figure. docs/CAPACITY.md works the target's size out from these slopes.
//
// Nothing but control runs: subscriptions with heartbeats, probes of the
// endpoints, the configuration's watch and the gateways' exchange of recent use.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/micarudder/micarudder/internal/fleet"
)

const (
	startTime    = time.Minute
	stopTime     = 30 * time.Second
	settle       = 4 * time.Second // after the start, until only steady control is left
	memoryTokens = 450_000
	maxRunning   = 64
)

type options struct {
	Bin      string        `long:"bin" default:"bin" description:"folder of the programs"`
	Port     int           `long:"port" default:"23000" description:"first of the consecutive ports to use"`
	Window   time.Duration `long:"window" default:"15s" description:"time over which each point is measured"`
	Agents   []int         `long:"agents" default:"5" default:"25" default:"50" default:"100" description:"numbers of agents, beside one gateway"`
	Gateways []int         `long:"gateways" default:"1" default:"2" default:"4" default:"8" description:"numbers of gateways, beside 25 agents"`
}

// besideGateways is the number of agents while the gateways vary.
const besideGateways = 25

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	byAgents, err := series(ctx, o, o.Agents, func(n int) (agents, gateways int) { return n, 1 })
	if err != nil {
		return err
	}
	byGateways, err := series(ctx, o, o.Gateways, func(n int) (agents, gateways int) { return besideGateways, n })
	if err != nil {
		return err
	}
	report("agents (one gateway)", o.Agents, byAgents)
	report(fmt.Sprintf("gateways (%d agents)", besideGateways), o.Gateways, byGateways)
	return nil
}

// series measures one point for each number.
func series(ctx context.Context, o options, numbers []int, size func(int) (agents, gateways int)) ([]point, error) {
	var out []point
	for _, n := range numbers {
		agents, gateways := size(n)
		p, err := measure(ctx, o, agents, gateways)
		if err != nil {
			return nil, err
		}
		fmt.Printf("%3d agents, %d gateways: %s\n", agents, gateways, p)
		out = append(out, p)
	}
	return out, nil
}

// measure starts a fleet and measures its control over the window.
func measure(ctx context.Context, o options, agents, gateways int) (point, error) {
	dir, err := os.MkdirTemp("", "micarudder-slopes-")
	if err != nil {
		return point{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	startCtx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	f, err := fleet.Start(startCtx, fleet.Config{
		BinDir: o.Bin, Dir: dir, BasePort: o.Port, DataCentres: []string{"hall-petrzalka"}, Engines: agents, Gateways: gateways,
		Models: []string{"rudder-llm"}, Policy: "default", MemoryTokens: memoryTokens, MaxRunning: maxRunning, LogLevel: "warn",
	})
	if err != nil {
		return point{}, err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
		defer cancel()
		_ = f.Group.Stop(stopCtx)
	}()
	if err := sleep(ctx, settle); err != nil {
		return point{}, err
	}
	return observe(ctx, f, agents, gateways, o.Window)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
