// Command rudder-agent runs the agent that accompanies an endpoint.
package main

import (
	"os"

	"github.com/micarudder/micarudder/agent"
	"github.com/micarudder/micarudder/daemon"
)

func main() {
	s := new(agent.Settings)
	os.Exit(daemon.Main("rudder-agent", s, &s.Process, func(env daemon.Env) (daemon.Service, error) {
		return agent.Open(s, env)
	}))
}
