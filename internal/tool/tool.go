// Package tool provides the main function that the demo and the measurement
// programs share: command-line parsing, signal handling, a time limit for the
// whole run, and exit codes.
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

// Main parses the command line into an O, a struct of go-flags options, and runs
// the tool. On an error it exits with a non-zero status. The context ends on
// SIGINT, on SIGTERM or after limit; a limit of 0 means no limit.
func Main[O any](name string, limit time.Duration, run func(context.Context, O) error) {
	var o O
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			os.Exit(0)
		}
		os.Exit(exitUsage)
	}
	if err := runWithLimit(limit, func(ctx context.Context) error { return run(ctx, o) }); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(exitFailed)
	}
}

func runWithLimit(limit time.Duration, run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	return run(ctx)
}
