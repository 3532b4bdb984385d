// Command slopes measures what control costs each process, from real gateways
// and agents with stand-ins on the loopback interface, and fits a line through
// each figure. docs/CAPACITY.md works the target's size out from these slopes.
//
// Nothing but control runs: subscriptions with heartbeats, probes of the
// endpoints, the configuration's watch and the gateways' exchange of recent use.
// The decisions for a request are measured apart, by their benchmarks.
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
	settle       = 4 * time.Second // after the start, until only steady control is left
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

// besideGateways is the number of agents while the gateways vary.
const besideGateways = 25

func main() {
	tool.Main("slopes", 0, run)
}

// size is one point of a series.
type size struct{ agents, gateways, streams int }

// orDefault returns the numbers given, or else the default ones.
func orDefault(given []int, byDefault ...int) []int {
	if len(given) > 0 {
		return given
	}
	return byDefault
}

func run(ctx context.Context, o options) error {
	all := []struct {
		over    string
		numbers []int
		size    func(int) size
	}{
		{"agents (one gateway)", orDefault(o.Agents, 5, 50, 100, 181), func(n int) size { return size{n, 1, 0} }},
		{fmt.Sprintf("gateways (%d agents)", besideGateways), orDefault(o.Gateways, 1, 4, 8), func(n int) size { return size{besideGateways, n, 0} }},
		{fmt.Sprintf("open streams (%d agents, one gateway)", besideStreams), orDefault(o.Streams, 0, 100, 300), func(n int) size { return size{besideStreams, 1, n} }},
	}
	points := make([][]point, len(all))
	for i, s := range all {
		for _, n := range s.numbers {
			p, err := measure(ctx, o, s.size(n))
			if err != nil {
				return err
			}
			fmt.Printf("%+v: %s\n", s.size(n), p)
			points[i] = append(points[i], p)
		}
	}
	for i, s := range all {
		report(s.over, s.numbers, points[i])
	}
	return decisions(ctx)
}

// measure starts a fleet and measures its control over the window.
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
	if err := sleep(ctx, settle); err != nil {
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
