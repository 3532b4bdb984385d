// Package tool is what the mains of the demo and of the measuring programs
// share: the command line, signals, a bound on the whole run, and exit codes.
package tool

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the tools.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main parses the command line into an O, a struct of go-flags options, runs
// the tool and ends the process. The context ends with SIGINT, SIGTERM or the
// limit; a limit of 0 is none.
func Main[O any](name string, limit time.Duration, run func(context.Context, O) error) {
	var o O
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			os.Exit(0)
		}
		os.Exit(exitUsage)
	}
	if err := bounded(limit, func(ctx context.Context) error { return run(ctx, o) }); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(exitFailed)
	}
}

func bounded(limit time.Duration, run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	return run(ctx)
}
