// Command suspendable is rudder-relay on a host that is suspended when a file says so: the
// fault soak cannot suspend the machine that it runs on.
package main

import (
	"os"
	"strings"
	"time"

	"github.com/micarudder/micarudder/daemon"
	"github.com/micarudder/micarudder/platform"
	"github.com/micarudder/micarudder/relay"
)

// fileVar names the environment variable with the file's path. The file holds how long the
// host was suspended in all.
const fileVar = "SUSPENDED_FILE"

func main() {
	s := new(relay.Settings)
	before := read()
	suspended := func() time.Duration { return read() - before }
	os.Exit(daemon.Main("rudder-relay", s, &s.Process, func(env daemon.Env) (daemon.Service, error) {
		return relay.Open(s, env, relay.Options{Adapt: platform.Adapt, Suspended: suspended})
	}))
}

// read returns what the file says; before there is one, the host was never suspended.
func read() time.Duration {
	p, err := os.ReadFile(os.Getenv(fileVar))
	if err != nil {
		return 0
	}
	d, err := time.ParseDuration(strings.TrimSpace(string(p)))
	if err != nil {
		return 0 // it is being written
	}
	return d
}
