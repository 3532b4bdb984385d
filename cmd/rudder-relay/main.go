// Command rudder-relay runs a relaying gateway on an entry host.
package main

import (
	"os"

	"github.com/micarudder/micarudder/daemon"
	"github.com/micarudder/micarudder/platform"
	"github.com/micarudder/micarudder/relay"
)

func main() {
	s := new(relay.Settings)
	os.Exit(daemon.Main("rudder-relay", s, &s.Process, func(env daemon.Env) (daemon.Service, error) {
		return relay.Open(s, env, relay.Options{Adapt: platform.Adapt})
	}))
}
