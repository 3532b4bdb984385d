package fleet

import (
	"cmp"
	"fmt"
	"strconv"

	"github.com/micarudder/micarudder/internal/procs"
)

const (
	settingsFile = "settings.ini"
	// drainTime is the drain_time setting of every daemon.
	drainTime = "5s"
	// defaultLogLevel is the daemons' log level if Config.LogLevel is empty.
	defaultLogLevel = "warn"
)

// standins returns the stand-ins of the platform and of the engines, on which
// agents and gateways depend.
func (c Config) standins(f *Fleet) []procs.Spec {
	specs := []procs.Spec{{
		Name:   PlatformName,
		Binary: c.program("rudder-standin"),
		Args:   []string{"platform", "--listen", f.Platform},
		Ready:  "http://" + f.Platform + "/counts",
	}}
	if c.SharedService != "" {
		return append(specs, c.service())
	}
	for i := range c.Engines {
		specs = append(specs, c.engine(i))
	}
	return specs
}

// service returns the plain service that replaces all engines.
func (c Config) service() procs.Spec {
	address := c.engineAddress(0)
	return procs.Spec{
		Name:   c.SharedService,
		Binary: c.program("rudder-standin"),
		Args:   []string{"service", "--name", c.SharedService, "--listen", address},
		Ready:  "http://" + address + "/executions",
	}
}

func (c Config) engine(i int) procs.Spec {
	args := []string{
		"engine", "--name", EngineName(i), "--listen", c.engineAddress(i),
		"--memory-tokens", strconv.Itoa(c.MemoryTokens), "--max-running", strconv.Itoa(c.MaxRunning),
	}
	for _, m := range c.Models {
		args = append(args, "--model", m+"@"+modelVersion)
	}
	return procs.Spec{
		Name:   EngineName(i),
		Binary: c.program("rudder-standin"),
		Args:   append(args, c.EngineArgs...),
		Ready:  "http://" + c.engineAddress(i) + "/executions",
	}
}

func (c Config) agents(*Fleet) []procs.Spec {
	var specs []procs.Spec
	for i := range c.Engines {
		specs = append(specs, c.agent(i))
	}
	return specs
}

func (c Config) agent(i int) procs.Spec {
	text := fmt.Sprintf(`[agent]
data_centre = %s
host = %s
listen = %s

[endpoint]
name = %s
%s
max_running = %d
`, c.dataCentre(i), hostName(i), c.agentAddress(i, 0), EngineName(i), c.endpointSettings(i), c.MaxRunning)
	return c.daemon(AgentName(i), "rudder-agent", text, c.agentAddress(i, 1))
}

// endpointSettings returns the agent's settings that describe its endpoint.
func (c Config) endpointSettings(i int) string {
	if c.SharedService != "" {
		return fmt.Sprintf("kind = service\nservice = %s\naddress = %s", c.SharedService, c.engineAddress(0))
	}
	return fmt.Sprintf("kind = engine\naddress = %s\nmemory_tokens = %d", c.engineAddress(i), c.MemoryTokens)
}

func (c Config) gateways(f *Fleet) []procs.Spec {
	var specs []procs.Spec
	for i := range c.Gateways {
		specs = append(specs, c.gateway(i, f.Platform))
	}
	return specs
}

func (c Config) gateway(i int, platform string) procs.Spec {
	text := fmt.Sprintf(`[gateway]
name = %s
data_centre = %s
listen = %s
inner_listen = %s
peers = %s

[platform]
addresses = %s

[routing]
policy = %s

[stop]
leave_time = %s
`, GatewayName(i), c.dataCentre(i), c.gatewayAddress(i, 0), c.gatewayAddress(i, 1), c.peers(i), platform, c.Policy, c.LeaveTime)
	return c.daemon(GatewayName(i), "rudder-gateway", text, c.gatewayAddress(i, 2))
}

// peers lists the inner addresses of the gateways other than i.
func (c Config) peers(i int) string {
	list := ""
	for j := range c.Gateways {
		if j == i {
			continue
		}
		if list != "" {
			list += ", "
		}
		list += c.gatewayAddress(j, 1)
	}
	return list
}

// daemon returns the spec of a daemon, whose settings are its own sections
// followed by those common to all daemons.
func (c Config) daemon(name, program, own, admin string) procs.Spec {
	text := own + fmt.Sprintf(`
[tickets]
keys = %s

[process]
admin_listen = %s
log_level = %s
drain_time = %s
`, TicketKeys, admin, cmp.Or(c.LogLevel, defaultLogLevel), drainTime)
	return procs.Spec{
		Name:   name,
		Binary: c.program(program),
		Args:   []string{"--config", procs.DirVar + "/" + settingsFile},
		Files:  map[string]string{settingsFile: text},
		Ready:  "http://" + admin + "/readyz",
	}
}
