// Command rudder-gateway runs a gateway on an entry host.
package main

import (
	"os"

	"github.com/micarudder/micarudder/daemon"
	"github.com/micarudder/micarudder/gateway"
)

func main() {
	s := new(gateway.Settings)
	os.Exit(daemon.Main("rudder-gateway", s, &s.Process, func(env daemon.Env) (daemon.Service, error) {
		return gateway.Open(s, env)
	}))
}
