package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/micarudder/micarudder/internal/standin/engine"
	standinplatform "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/internal/standin/service"
	"github.com/micarudder/micarudder/internal/standin/weights"
	"github.com/micarudder/micarudder/metastore"
)

// engineCommand runs a stand-in engine. Durations are in modelled time unless
// stated otherwise; --speed is the ratio of modelled time to real time.
type engineCommand struct {
	listenOptions
	Name         string   `long:"name" default:"engine" description:"name in the incarnation and in logs"`
	Models       []string `long:"model" value-name:"NAME[@VERSION]" description:"model held from the start; may be repeated (default: rudder-llm)"`
	Role         string   `long:"role" default:"mixed" description:"role at the start"`
	MemoryTokens uint64   `long:"memory-tokens" description:"cache memory"`
	MaxRunning   int      `long:"max-running" description:"most runs in the batch"`
	ChunkTokens  uint64   `long:"chunk-tokens" description:"most tokens prefilled in one step"`
	Speed        float64  `long:"speed" description:"modelled time over real time"`
	Coalesce     duration `long:"coalesce" description:"real time within which steps are computed in one go"`

	Step              duration `long:"step" description:"cost of each step"`
	DecodeToken       duration `long:"decode-token" description:"cost of each decoded token"`
	PrefillToken      duration `long:"prefill-token" description:"cost of each prefilled token"`
	PrefillTokenPer1k duration `long:"prefill-token-per-1k" description:"added per prefilled token and thousand tokens of context"`
	TransferToken     duration `long:"transfer-token" description:"cost of each token of an exported or imported span"`

	ImportDivisor    uint64   `long:"import-divisor" description:"an imported span occupies its tokens over this"`
	ExportTokenBytes uint64   `long:"export-token-bytes" description:"bytes of an exported span per token"`
	LoadLag          duration `long:"load-lag" description:"age that a load report may have, real time"`
	EventDelay       duration `long:"event-delay" description:"lateness of cache events, real time"`
	EventGap         uint64   `long:"event-gap" description:"every so many cache events one is lost; 0: none"`
	ChecksFencing    bool     `long:"checks-fencing" description:"refuse orders with an old fencing number"`
	Callers          []string `long:"caller" description:"agent whose orders are taken; may be repeated (default: any)"`
	WeightsURL       string   `long:"weights-url" description:"base URL of the weight store"`
}

func newEngineCommand() *engineCommand {
	d := engine.Default()
	return &engineCommand{
		MemoryTokens: d.MemoryTokens, MaxRunning: d.MaxRunning, ChunkTokens: d.ChunkTokens,
		Speed: d.Speed, Coalesce: duration(200 * time.Microsecond),
		Step: duration(d.Costs.Step), DecodeToken: duration(d.Costs.DecodeToken),
		PrefillToken: duration(d.Costs.PrefillToken), PrefillTokenPer1k: duration(d.Costs.PrefillTokenPer1k),
		TransferToken: duration(d.Costs.TransferToken),
		ImportDivisor: d.ImportDivisor, ExportTokenBytes: d.ExportTokenBytes,
		LoadLag: duration(d.LoadLag), EventDelay: duration(d.EventDelay), EventGap: d.EventGap,
	}
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	return c.serve(c.Name, engine.NewServer(c.config()).Handler())
}

func (c *engineCommand) config() engine.Config {
	cfg := engine.Config{
		Name: c.Name, Models: c.Models, Role: c.Role, MemoryTokens: c.MemoryTokens,
		MaxRunning: c.MaxRunning, ChunkTokens: c.ChunkTokens, Speed: c.Speed, Coalesce: time.Duration(c.Coalesce),
		Costs: engine.Costs{
			Step: time.Duration(c.Step), DecodeToken: time.Duration(c.DecodeToken),
			PrefillToken: time.Duration(c.PrefillToken), PrefillTokenPer1k: time.Duration(c.PrefillTokenPer1k),
			TransferToken: time.Duration(c.TransferToken),
		},
		ImportDivisor: c.ImportDivisor, ExportTokenBytes: c.ExportTokenBytes,
		LoadLag: time.Duration(c.LoadLag), EventDelay: time.Duration(c.EventDelay), EventGap: c.EventGap,
		ChecksFencing: c.ChecksFencing, Callers: c.Callers, WeightsURL: c.WeightsURL,
	}
	if len(cfg.Models) == 0 {
		cfg.Models = engine.Default().Models
	}
	return cfg
}

type platformCommand struct {
	listenOptions
	ReadRate  float64  `long:"read-rate" description:"reads served a second; 0: no limit"`
	WriteRate float64  `long:"write-rate" description:"writes served a second; 0: no limit"`
	MaxValue  int      `long:"max-value" description:"largest value in bytes; 0: the service's own"`
	Hosts     []string `long:"host" value-name:"NAME,DATA-CENTRE,IP:PORT" description:"live host in the list at the start; may be repeated"`
	HostLag   duration `long:"host-lag" default:"2s" description:"time until a change of a host shows in the list"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	return c.serve("platform", standinplatform.NewServer(cfg).Handler())
}

func (c *platformCommand) config() (standinplatform.Config, error) {
	cfg := standinplatform.Config{
		ReadRate: c.ReadRate, WriteRate: c.WriteRate, MaxValue: c.MaxValue, HostLag: time.Duration(c.HostLag),
	}
	for _, h := range c.Hosts {
		f := strings.Split(h, ",")
		if len(f) != hostFields {
			return cfg, fmt.Errorf("--host %q: want NAME,DATA-CENTRE,IP:PORT", h)
		}
		cfg.Hosts = append(cfg.Hosts, metastore.Host{Name: f[0], DataCentre: f[1], State: metastore.HostLive, Address: f[2]})
	}
	return cfg, nil
}

// hostFields is the number of fields in a value of --host.
const hostFields = 3

type serviceCommand struct {
	listenOptions
	Name string   `long:"name" default:"service" description:"name in answers and logs"`
	Work duration `long:"work" default:"5ms" description:"time that each call takes"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	s := service.NewServer(service.Config{Name: c.Name, Work: time.Duration(c.Work)})
	return c.serve(c.Name, s.Handler())
}

type weightsCommand struct {
	listenOptions
	BytesPerSecond float64          `long:"bytes-per-second" default:"67108864" description:"rate shared by all readers"`
	DefaultBytes   int64            `long:"default-bytes" default:"16777216" description:"length of weights not named by --size"`
	Sizes          map[string]int64 `long:"size" value-name:"NAME:BYTES" description:"length of named weights; may be repeated"`
}

// Execute implements flags.Commander.
func (c *weightsCommand) Execute([]string) error {
	s := weights.NewServer(weights.Config{BytesPerSecond: c.BytesPerSecond, DefaultBytes: c.DefaultBytes, Sizes: c.Sizes})
	return c.serve("weights", s.Handler())
}

// duration is a time.Duration that go-flags parses, and prints with its unit as a
// default value.
type duration time.Duration

// UnmarshalFlag implements flags.Unmarshaler.
func (d *duration) UnmarshalFlag(v string) error {
	t, err := time.ParseDuration(v)
	*d = duration(t)
	return err
}

// MarshalFlag implements flags.Marshaler.
func (d duration) MarshalFlag() (string, error) { return time.Duration(d).String(), nil }
