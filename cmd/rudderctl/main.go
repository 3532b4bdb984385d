// Command rudderctl is the operators' command line. It is documented in
// docs/RUDDERCTL.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/micarudder/micarudder/ctl"
	"github.com/micarudder/micarudder/metastore"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := ctl.Env{
		Stdin:    os.Stdin,
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Now:      time.Now,
		Operator: operator(),
		Store:    store,
	}
	return int(ctl.Run(ctx, env, os.Args[1:]))
}

// operator returns the name of the operator, which is recorded with accepted plans.
func operator() string {
	if name := os.Getenv("RUDDER_OPERATOR"); name != "" {
		return name
	}
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func store(address string) (metastore.Store, error) {
	return metastore.NewClient(metastore.Options{Addresses: []string{address}})
}
