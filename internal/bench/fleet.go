package bench

import (
	"strconv"

	"github.com/micarudder/micarudder/internal/fleet"
)

// Parameters of the benchmark's fleet.
const (
	engines      = 20
	gateways     = 2
	memoryTokens = 450_000
	maxRunning   = 64
	// engineSpeed is the ratio of modelled time to real time.
	engineSpeed = 2
	dataCentre  = "hall-petrzalka"
)

// fleet returns the configuration of the fleet for one run.
func (o Options) fleet(dir, policy string) fleet.Config {
	return fleet.Config{
		BinDir:       o.BinDir,
		Dir:          dir,
		BasePort:     o.BasePort,
		DataCentres:  []string{dataCentre},
		Engines:      engines,
		Gateways:     gateways,
		Models:       []string{"rudder-llm"},
		Workspaces:   o.workspaces(),
		Policy:       policy,
		EngineArgs:   []string{"--speed", strconv.Itoa(engineSpeed)},
		MemoryTokens: memoryTokens,
		MaxRunning:   maxRunning,
		LogLevel:     "warn",
	}
}

func (o Options) workspaces() []fleet.Workspace {
	var out []fleet.Workspace
	for _, name := range o.Mix.FlowNames() {
		f := o.Mix.Flow[name]
		out = append(out, fleet.Workspace{Name: f.Workspace, Key: f.Key})
	}
	return out
}
