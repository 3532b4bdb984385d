// Command groups measures prompts of a million tokens that four engines prefill
// as a group, with real processes on the loopback interface: the time to the
// first token, concurrent short requests, the agents' resident memory, and the
// memory still held after gateways, agents and engines were killed or frozen.
// It takes about five minutes.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/tool"
)

const (
	engines      = 4
	engineTokens = 450_000
	model        = "rudder-llm"
	key          = "key-of-the-archive"
	startTime    = 20 * time.Second
	stopTime     = 10 * time.Second
	runLimit     = 10 * time.Minute
)

type options struct {
	BinDir   string `long:"bin" default:"bin" description:"directory of the programs"`
	BasePort int    `long:"port" default:"22300" description:"first port of the fleet; 19 are used"`
	Speed    int    `long:"speed" default:"20" description:"modelled time of the engines over real time"`
	Rounds   int    `long:"rounds" default:"3" description:"prompts of each undisturbed case"`
	Commit   string `long:"commit" default:"unknown" description:"commit that is measured"`
}

func main() {
	tool.Main("groups", runLimit, run)
}

func run(ctx context.Context, opts options) error {
	dir, err := os.MkdirTemp("", "micarudder-groups-")
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b, err := opts.start(ctx, dir)
	if err != nil {
		return err
	}
	fmt.Printf("commit %s, %d engines of %d tokens, speed %d; times are modelled\n\n", opts.Commit, engines, engineTokens, opts.Speed)
	return trace.NewAggregate(b.measure(ctx), b.stop())
}

// start starts a fleet of four engines with their agents and two gateways.
func (o options) start(ctx context.Context, dir string) (*testbed, error) {
	c := fleet.Config{
		BinDir: o.BinDir, Dir: dir, BasePort: o.BasePort, DataCentres: []string{"cdf-a"}, Engines: engines, Gateways: 2,
		Models: []string{model}, Workspaces: []fleet.Workspace{{Name: "archive", Key: key}}, Policy: "default",
		EngineArgs: []string{"--speed", fmt.Sprint(o.Speed)}, MemoryTokens: engineTokens, MaxRunning: 64, LogLevel: "warn",
	}
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	f, err := fleet.Start(ctx, c)
	if err != nil {
		return nil, err
	}
	return &testbed{Fleet: f, opts: o}, nil
}

func (b *testbed) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	return b.Group.Stop(ctx)
}

func (b *testbed) measure(ctx context.Context) error {
	if err := b.measureWithoutFaults(ctx); err != nil {
		return err
	}
	return b.measureFaults(ctx)
}
