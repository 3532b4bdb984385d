// Command slopes measures the cost of control traffic per process, with real
// gateways and agents and with stand-ins on the loopback interface, and fits a
// line to each metric. docs/CAPACITY.md extrapolates the target's size from
// these slopes.
//
// Only control traffic is measured: subscriptions with heartbeats, probes of
// the endpoints, the watch of the configuration and the gateways' exchange of
// recent use. Decisions per request are measured separately by benchmarks.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/tool"
)

const (
	startTime    = time.Minute
	stopTime     = 30 * time.Second
	settleTime   = 4 * time.Second // from the start until only steady control traffic is left
	memoryTokens = 450_000
	maxRunning   = 64
)

type options struct {
	Bin      string        `long:"bin" default:"bin" description:"folder of the programs"`
	Port     int           `long:"port" default:"23000" description:"first of the consecutive ports to use"`
	Window   time.Duration `long:"window" default:"10s" description:"time over which each point is measured"`
	Agents   []int         `long:"agents" description:"number of agents beside one gateway; may be repeated (default: 5, 50, 100, 181)"`
	Gateways []int         `long:"gateways" description:"number of gateways beside 25 agents; may be repeated (default: 1, 4, 8)"`
	Streams  []int         `long:"streams" description:"number of open streams at one gateway beside 10 agents; may be repeated (default: 0, 100, 300)"`
}

// agentsForGateways is the number of agents while the number of gateways varies.
const agentsForGateways = 25

func main() {
	tool.Main("slopes", 0, run)
}

// size is the size of the fleet at one point of a series.
type size struct{ agents, gateways, streams int }

// orDefault returns the given numbers or, if there are none, the default ones.
func orDefault(given []int, byDefault ...int) []int {
	if len(given) > 0 {
		return given
	}
	return byDefault
}

func run(ctx context.Context, o options) error {
	series := []struct {
		over    string
		numbers []int
		size    func(int) size
	}{
		{"agents (one gateway)", orDefault(o.Agents, 5, 50, 100, 181), func(n int) size { return size{n, 1, 0} }},
		{fmt.Sprintf("gateways (%d agents)", agentsForGateways), orDefault(o.Gateways, 1, 4, 8), func(n int) size { return size{agentsForGateways, n, 0} }},
		{fmt.Sprintf("open streams (%d agents, one gateway)", agentsForStreams), orDefault(o.Streams, 0, 100, 300), func(n int) size { return size{agentsForStreams, 1, n} }},
	}
	points := make([][]point, len(series))
	for i, s := range series {
		for _, n := range s.numbers {
			p, err := measure(ctx, o, s.size(n))
			if err != nil {
				return err
			}
			fmt.Printf("%+v: %s\n", s.size(n), p)
			points[i] = append(points[i], p)
		}
	}
	for i, s := range series {
		report(s.over, s.numbers, points[i])
	}
	return runDecisionBenchmarks(ctx)
}

// measure starts a fleet and measures its control traffic over the window.
func measure(ctx context.Context, o options, s size) (point, error) {
	dir, err := os.MkdirTemp("", "micarudder-slopes-")
	if err != nil {
		return point{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	startCtx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	f, err := fleet.Start(startCtx, fleet.Config{
		BinDir: o.Bin, Dir: dir, BasePort: o.Port, DataCentres: []string{"hall-petrzalka"}, Engines: s.agents, Gateways: s.gateways,
		Models: []string{model}, Workspaces: []fleet.Workspace{{Name: workspace, Key: workspaceKey}},
		EngineArgs: []string{"--decode-token", decodeToken},
		Policy:     "default", MemoryTokens: memoryTokens, MaxRunning: maxRunning, LogLevel: "warn",
	})
	if err != nil {
		return point{}, err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
		defer cancel()
		_ = f.Group.Stop(stopCtx)
	}()
	closeStreams, err := openStreams(startCtx, f, s.streams)
	if err != nil {
		return point{}, err
	}
	defer closeStreams()
	if err := sleep(ctx, settleTime); err != nil {
		return point{}, err
	}
	return observe(ctx, f, s, o.Window)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
