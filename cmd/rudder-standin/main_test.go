package main

import (
	"os"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/metastore"
)

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
	}
	testscript.Main(m, map[string]func(){"rudder-standin": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}

func TestEngineSettings(t *testing.T) {
	is := is.New(t)
	c := newEngineCommand()
	_, err := flags.ParseArgs(c, []string{
		"--model", "a@v1", "--model", "b", "--speed", "50", "--prefill-token", "70us",
		"--memory-tokens", "9", "--checks-fencing", "--caller", "agent-1", "--event-gap", "0",
	})
	is.NoErr(err)
	want := engine.Default()
	want.Models = []string{"a@v1", "b"}
	want.Speed = 50
	want.Coalesce = 200 * time.Microsecond
	want.Costs.PrefillToken = 70 * time.Microsecond
	want.MemoryTokens = 9
	want.ChecksFencing = true
	want.Callers = []string{"agent-1"}
	want.EventGap = 0
	is.Equal(c.config(), want)
}

func TestPlatformHosts(t *testing.T) {
	is := is.New(t)
	c := &platformCommand{Hosts: []string{"h1,cdf-a,127.0.0.1:1"}}
	cfg, err := c.config()
	is.NoErr(err)
	is.Equal(cfg.Hosts, []metastore.Host{{Name: "h1", DataCentre: "cdf-a", State: metastore.HostLive, Address: "127.0.0.1:1"}})
	c.Hosts = []string{"h1"}
	_, err = c.config()
	is.True(err != nil)
}
