// Command run performs the benchmark and writes its table.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/micarudder/micarudder/internal/bench"
	"github.com/micarudder/micarudder/internal/tool"
)

type options struct {
	BinDir   string        `long:"bin" default:"bin" description:"directory of the programs"`
	BasePort int           `long:"port" default:"21600" description:"first port of the fleet"`
	Seeds    []uint64      `long:"seed" description:"seed; may be repeated (default: 1, 2, 3)"`
	Policies []string      `long:"policy" description:"policy to compare; may be repeated (default: all)"`
	Loads    []float64     `long:"load" description:"load of the sweep; may be repeated (default: 0.8 to 1.5)"`
	NoSweep  bool          `long:"no-sweep" description:"leave the sweep out"`
	Duration time.Duration `long:"duration" description:"time of arrivals in each run instead of the mix's"`
	JSON     string        `long:"json" description:"file for all results"`
	Commit   string        `long:"commit" default:"unknown" description:"commit that is measured"`
}

func main() {
	tool.Main("bench", 0, run)
}

func run(ctx context.Context, opts options) error {
	o, err := opts.bench()
	if err != nil {
		return err
	}
	// Results measured before an error or an interrupt are written as well.
	res, err := bench.Run(ctx, o)
	return errors.Join(err, writeJSON(opts.JSON, res), bench.WriteTable(os.Stdout, res, opts.Commit))
}

func (o options) bench() (bench.Options, error) {
	mix, err := bench.DefaultMix()
	if err != nil {
		return bench.Options{}, err
	}
	if o.Duration > 0 {
		mix.Run.Duration = o.Duration
	}
	b := bench.Options{
		BinDir: o.BinDir, BasePort: o.BasePort, Seeds: o.Seeds,
		Policies: bench.Policies, Sweep: bench.Sweep, Mix: mix, Log: logLine,
	}
	if len(b.Seeds) == 0 {
		b.Seeds = []uint64{1, 2, 3}
	}
	if len(o.Policies) > 0 {
		b.Policies = o.Policies
	}
	if len(o.Loads) > 0 {
		b.Sweep = o.Loads
	}
	if o.NoSweep {
		b.Sweep = nil
	}
	return b, nil
}

func logLine(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

func writeJSON(file string, v any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o644)
}
