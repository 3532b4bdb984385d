// Package bench compares the default routing policy with the project's baseline
// policies in the same run, with real processes on the loopback interface. Its
// results are meaningful as ratios, not as absolute times, because the engines
// are stand-ins with modelled costs.
package bench

import (
	"context"
	_ "embed"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/load"
)

// MixText is the load mix of the benchmark.
//
//go:embed bench.ini
var MixText []byte

// Names of the routing policies in the gateways' settings.
const (
	PolicyDefault    = "default"
	PolicyRoundRobin = "round-robin"
	PolicyLeastLoad  = "least-load"
	PolicyNoLanes    = "no-lanes"
)

// Policies lists the default policy, followed by the baselines.
var Policies = []string{PolicyDefault, PolicyRoundRobin, PolicyLeastLoad, PolicyNoLanes}

const (
	// compareLoad is the load at which policies are compared.
	compareLoad = 0.8
	// sweepDuration is long enough for queueing delays to exceed the longest
	// deadline.
	sweepDuration = 45 * time.Second
	startTime     = 30 * time.Second
	stopTime      = 20 * time.Second
)

// Sweep lists the loads over which the peak of useful work is determined. The
// last one is the overload.
var Sweep = []float64{1, 1.25, 1.5}

// Options configures a benchmark.
type Options struct {
	BinDir   string
	BasePort int
	Seeds    []uint64
	Policies []string
	Sweep    []float64
	Mix      *load.Mix
	// Log is called after each finished run.
	Log func(format string, args ...any)
}

// Result holds the runs of a benchmark: the comparison of policies and the sweep
// over loads.
type Result struct {
	Compared []Cell `json:"compared"`
	Overload []Cell `json:"overload"`
}

// Cell is one run of one policy with one seed at one load.
type Cell struct {
	Policy string       `json:"policy"`
	Seed   uint64       `json:"seed"`
	Load   float64      `json:"load"`
	Report *load.Report `json:"report"`
}

// DefaultMix parses MixText.
func DefaultMix() (*load.Mix, error) {
	dir, err := os.MkdirTemp("", "micarudder-mix-")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "bench.ini")
	if err := os.WriteFile(file, MixText, 0o600); err != nil {
		return nil, trace.Wrap(err)
	}
	return load.ReadMix(file)
}

// Run performs the benchmark. The order of policies rotates with the seed, so
// that a machine that slows down over time does not favour one of them.
func Run(ctx context.Context, o Options) (*Result, error) {
	out := new(Result)
	for i, seed := range o.Seeds {
		for j := range o.Policies {
			policy := o.Policies[(i+j)%len(o.Policies)]
			c, err := o.cell(ctx, policy, seed, compareLoad, true)
			if err != nil {
				return out, err
			}
			out.Compared = append(out.Compared, c)
		}
		for _, at := range o.Sweep {
			c, err := o.forSweep().cell(ctx, PolicyDefault, seed, at, false)
			if err != nil {
				return out, err
			}
			out.Overload = append(out.Overload, c)
		}
	}
	return out, nil
}

// forSweep returns the options with a mix whose duration is at least
// sweepDuration.
func (o Options) forSweep() Options {
	mix := *o.Mix
	mix.Run.Duration = max(mix.Run.Duration, sweepDuration)
	o.Mix = &mix
	return o
}

// cell runs one load experiment against a new fleet.
func (o Options) cell(ctx context.Context, policy string, seed uint64, at float64, alone bool) (Cell, error) {
	c := Cell{Policy: policy, Seed: seed, Load: at}
	dir, err := os.MkdirTemp("", "micarudder-bench-")
	if err != nil {
		return c, trace.Wrap(err)
	}
	defer os.RemoveAll(dir)
	f, err := startFleet(ctx, o.fleet(dir, policy))
	if err != nil {
		return c, trace.Wrap(err)
	}
	defer o.stop(ctx, f)
	e := load.Experiment{MixName: "bench", Alone: alone}
	e.Mix, e.Gateways, e.Engines = o.Mix, f.Gateways, f.Engines
	e.Seed, e.Load, e.Name = seed, at, "bench"
	c.Report, err = load.Run(ctx, e)
	if err == nil {
		err = trace.Wrap(ctx.Err())
	}
	if err == nil {
		o.Log("%s, seed %d, load %.2f: %s", policy, seed, at, summaryLine(c.Report))
	}
	return c, err
}

func startFleet(ctx context.Context, c fleet.Config) (*fleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	return fleet.Start(ctx, c)
}

func (o Options) stop(ctx context.Context, f *fleet.Fleet) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	if err := f.Group.Stop(ctx); err != nil {
		o.Log("stop fleet: %v", err)
	}
}
