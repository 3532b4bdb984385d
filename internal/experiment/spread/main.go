// Command spread measures the propagation of a confirmed configuration to all
// processes, with real processes on the loopback interface: the time until it
// is in force everywhere, the platform calls as a function of the numbers of
// gateways and agents, and the bytes transferred per change. It takes under a
// minute.
package main

import (
	"context"
	"os"
	"time"

	"github.com/micarudder/micarudder/internal/tool"
)

type options struct {
	BinDir   string        `long:"bin" default:"bin" description:"directory of the programs"`
	BasePort int           `long:"port" default:"22400" description:"first port of each fleet; 175 are used"`
	Changes  int           `long:"changes" default:"30" description:"confirmed changes of the time measurement"`
	Window   time.Duration `long:"window" default:"8s" description:"time over which the platform's calls are counted"`
	Commit   string        `long:"commit" default:"unknown" description:"commit that is measured"`
}

func main() {
	tool.Main("spread", runLimit, run)
}

// runLimit limits the duration of the whole run.
const runLimit = 2 * time.Minute

func run(ctx context.Context, opts options) error {
	times, err := opts.measureTimes(ctx)
	if err != nil {
		return err
	}
	calls, err := opts.measureCalls(ctx)
	if err != nil {
		return err
	}
	return writeTable(os.Stdout, opts.Commit, times, calls)
}
