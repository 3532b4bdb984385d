// Command demo runs the whole product on the loopback interface in separate
// processes: two gateways, six agents with stand-in engines, three plain
// services with agents, and the platform. It serves prompts of a thousand to a
// million tokens while an engine, an agent and a gateway crash, an agent is
// drained and a configuration change is planned and confirmed. The result is
// computed from what callers received and what executors recorded.
package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/tool"
	"github.com/micarudder/micarudder/load"
)

const (
	limit        = 55 * time.Second // for the whole demo
	stopLimit    = 20 * time.Second
	memoryTokens = 450_000
	seed         = 7
)

// mixText is the load mix of the demo.
//
//go:embed demo.ini
var mixText []byte

type options struct {
	Bin  string `long:"bin" default:"bin" description:"folder of the programs"`
	Port int    `long:"port" default:"20000" description:"first of the consecutive ports to use"`
	Keep bool   `long:"keep" description:"keep settings and logs"`
}

func main() {
	tool.Main("demo", limit, func(ctx context.Context, o options) error {
		ok, err := run(ctx, o)
		if err == nil && !ok {
			return errBroken
		}
		return err
	})
}

// errBroken reports a run in which a guarantee was violated.
var errBroken = errors.New("a guarantee was violated, see the output above")

// run starts all processes, runs the load with the events and stops all
// processes. It reports whether every guarantee held.
func run(ctx context.Context, o options) (bool, error) {
	dir, err := os.MkdirTemp("", "micarudder-demo-")
	if err != nil {
		return false, err
	}
	if !o.Keep {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("settings and logs:", dir)
	}
	mix, err := readMix(dir)
	if err != nil {
		return false, err
	}
	began := time.Now()
	s := &installation{dir: dir, bin: o.Bin, mix: mix, servicePort: o.Port + 100}
	if s.fleet, err = fleet.Start(ctx, config(o, dir, mix)); err != nil {
		return false, err
	}
	defer s.stop(ctx)
	logf("started 2 gateways, 6 agents with engines and the platform in %.1f s", time.Since(began).Seconds())
	if err := s.addServices(ctx); err != nil {
		return false, err
	}
	return s.runLoad(ctx)
}

func config(o options, dir string, mix *load.Mix) fleet.Config {
	c := fleet.Config{
		BinDir: o.Bin, Dir: dir, BasePort: o.Port, DataCentres: []string{"hall-petrzalka"}, Engines: 6, Gateways: 2,
		Models: []string{"rudder-llm"}, Policy: "default", EngineArgs: []string{"--speed", "20"},
		MemoryTokens: memoryTokens, MaxRunning: 64, LogLevel: "info",
	}
	for _, name := range mix.FlowNames() {
		f := mix.Flow[name]
		c.Workspaces = append(c.Workspaces, fleet.Workspace{Name: f.Workspace, Key: f.Key})
	}
	return c
}

func readMix(dir string) (*load.Mix, error) {
	file := filepath.Join(dir, "demo.ini")
	if err := os.WriteFile(file, mixText, 0o600); err != nil {
		return nil, err
	}
	return load.ReadMix(file)
}

func logf(format string, args ...any) { fmt.Printf("demo: "+format+"\n", args...) }
