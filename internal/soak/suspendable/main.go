// Command suspendable is rudder-relay on a host whose suspensions are read from a file: the fault
// soak cannot suspend the machine that it runs on.
package main

import (
	"os"
	"strings"
	"time"

	"github.com/micarudder/micarudder/daemon"
	"github.com/micarudder/micarudder/platform"
	"github.com/micarudder/micarudder/relay"
)

// fileVar names the environment variable with the path of the file, which holds the total time for
// which the host was suspended.
const fileVar = "SUSPENDED_FILE"

func main() {
	s := new(relay.Settings)
	initial := readSuspended()
	suspended := func() time.Duration { return readSuspended() - initial }
	os.Exit(daemon.Main("rudder-relay", s, &s.Process, func(env daemon.Env) (daemon.Service, error) {
		return relay.Open(s, env, relay.Options{Adapt: platform.Adapt, Suspended: suspended})
	}))
}

// readSuspended returns the time in the file; without a file, the host was never suspended.
func readSuspended() time.Duration {
	p, err := os.ReadFile(os.Getenv(fileVar))
	if err != nil {
		return 0
	}
	d, err := time.ParseDuration(strings.TrimSpace(string(p)))
	if err != nil {
		return 0 // the file is being written
	}
	return d
}
