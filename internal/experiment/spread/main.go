// Command spread measures, with real processes on the loopback interface, how
// a confirmed configuration reaches every process: the time until it is in
// force everywhere, the calls at the platform against the numbers of gateways
// and agents, and the bytes that one change costs. It takes under a minute.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	BinDir   string        `long:"bin" default:"bin" description:"directory of the programs"`
	BasePort int           `long:"port" default:"22400" description:"first port of each fleet; 175 are used"`
	Changes  int           `long:"changes" default:"30" description:"confirmed changes of the time measurement"`
	Window   time.Duration `long:"window" default:"8s" description:"time over which the platform's calls are counted"`
	Commit   string        `long:"commit" default:"unknown" description:"commit that is measured"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "spread:", err)
		os.Exit(1)
	}
}

func run() error {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return nil
		}
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
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
