package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/agent"
	"github.com/micarudder/micarudder/gateway"
	"github.com/micarudder/micarudder/internal/procs"
	"github.com/micarudder/micarudder/settings"
)

func sample() Config {
	return Config{
		BinDir: "bin", BasePort: 20000, DataCentres: []string{"a", "b"}, Engines: 3, Gateways: 2,
		Models: []string{"rudder-llm"}, Workspaces: []Workspace{{Name: "w", Key: "k"}},
		Policy: "default", MemoryTokens: 1000, MaxRunning: 4, LogLevel: "warn",
	}
}

// loadSettings writes the settings file of a process and reads it as the process does.
func loadSettings(t *testing.T, s procs.Spec, target any) {
	t.Helper()
	file := filepath.Join(t.TempDir(), settingsFile)
	if err := os.WriteFile(file, []byte(s.Files[settingsFile]), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := settings.Load(file, target); err != nil {
		t.Fatal(err)
	}
}

func TestSettingsAreAccepted(t *testing.T) {
	is := is.New(t)
	c := sample()
	ports := map[settings.Address]bool{settings.Address(c.layout().Platform): true}
	for i, s := range c.agents(c.layout()) {
		var a agent.Settings
		loadSettings(t, s, &a)
		is.Equal(string(a.Agent.Listen), c.Document().Endpoints[i].AgentAddress)
		ports[a.Agent.Listen], ports[a.Process.AdminListen], ports[a.Endpoint.Address] = true, true, true
	}
	for i, s := range c.gateways(c.layout()) {
		var g gateway.Settings
		loadSettings(t, s, &g)
		is.Equal(len(g.Gateway.Peers), 1)
		is.Equal("http://"+string(g.Gateway.Listen), c.layout().Gateways[i])
		ports[g.Gateway.Listen], ports[g.Gateway.InnerListen], ports[g.Process.AdminListen] = true, true, true
	}
	is.Equal(len(ports), c.Ports()) // no port is used twice
}

func TestDocument(t *testing.T) {
	is := is.New(t)
	d := sample().Document()
	is.Equal(d.Models[0].Replicas, map[string]uint32{"a": 2, "b": 1})
	is.Equal(d.Endpoints[1].DataCentre, "b")
	is.Equal(d.Workspaces[0].KeyDigests[0], "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a")
}
