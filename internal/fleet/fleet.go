// Package fleet starts a complete installation of real processes on the
// loopback interface for benchmarks and the demo: the platform's stand-in,
// stand-in engines, one agent per engine, and gateways. The configuration is
// accepted at the start.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/internal/procs"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// TicketKeys is the ticket key that all processes of a fleet use.
	TicketKeys = "1:00112233445566778899aabbccddeeff"
	// modelVersion is the version of all models of a fleet.
	modelVersion = "1"
	maxTokens    = 1 << 20
	weightBytes  = 140 << 30
)

// Config describes a fleet.
type Config struct {
	BinDir      string   // directory of the programs
	Dir         string   // existing directory for settings and logs
	Address     string   // loopback address; empty: 127.0.0.1
	BasePort    int      // first of Ports() consecutive ports
	DataCentres []string // endpoints and gateways are assigned to them round-robin
	Engines     int
	// SharedService, if set, is the name of one plain service that replaces all
	// engines, so that many agents can be started with few processes.
	SharedService string
	Gateways      int
	Models        []string
	Workspaces    []Workspace
	Policy        string   // routing policy of the gateways
	EngineArgs    []string // additional arguments of each engine
	// MemoryTokens is the cache memory of one engine, in tokens.
	MemoryTokens int
	MaxRunning   int
	LogLevel     string
	LeaveTime    time.Duration // time that a stopping gateway still accepts requests
}

// Workspace is one workspace of the accepted configuration. It may use all
// models.
type Workspace struct {
	Name     string
	Key      string // bearer key
	Priority uint32
	Weight   uint32
}

// Ports returns the number of ports that the fleet uses, starting at BasePort.
func (c Config) Ports() int {
	return 1 + portsPerEngine*c.Engines + portsPerGateway*c.Gateways
}

const (
	portsPerEngine  = 3 // engine, agent, the agent's admin listener
	portsPerGateway = 3 // callers, inner, admin
)

// Fleet is a running installation.
type Fleet struct {
	Group    *procs.Group
	Gateways []string // base URLs for callers
	Inner    []string // gateways' inner addresses
	Metrics  []string // URLs of the gateways' metrics
	Engines  []string // base URLs of the stand-in engines
	Agents   []string // base URLs of the agents' admin listeners
	Admin    []string // base URLs of the gateways' admin listeners
	Platform string   // address of the platform's stand-in
}

// Process names of a fleet; %d is an index from 0.
const (
	PlatformName  = "platform"
	engineFormat  = "engine-%d"
	agentFormat   = "agent-%d"
	gatewayFormat = "gateway-%d"
)

// EngineName returns the process name of engine i.
func EngineName(i int) string { return fmt.Sprintf(engineFormat, i) }

// AgentName returns the process name of agent i.
func AgentName(i int) string { return fmt.Sprintf(agentFormat, i) }

// GatewayName returns the process name of gateway i.
func GatewayName(i int) string { return fmt.Sprintf(gatewayFormat, i) }

// Start starts the processes in dependency order and waits until all are ready.
// On an error it stops all processes that it started.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := c.layout()
	if err := c.start(ctx, f); err != nil {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
		defer cancel()
		return nil, trace.NewAggregate(err, f.Group.Stop(stopCtx))
	}
	return f, nil
}

// stopTime limits the shutdown of a fleet that failed to start.
const stopTime = 10 * time.Second

func (c Config) start(ctx context.Context, f *Fleet) error {
	if err := startAll(ctx, f.Group, c.standins(f)); err != nil {
		return err
	}
	if err := writeDocument(ctx, f.Platform, c.Document()); err != nil {
		return trace.Wrap(err, "write the first configuration")
	}
	if err := startAll(ctx, f.Group, c.agents(f)); err != nil {
		return err
	}
	if err := startAll(ctx, f.Group, c.gateways(f)); err != nil {
		return err
	}
	return f.waitConnected(ctx)
}

func startAll(ctx context.Context, g *procs.Group, specs []procs.Spec) error {
	var started []*procs.Process
	for _, s := range specs {
		p, err := g.Start(s)
		if err != nil {
			return err
		}
		started = append(started, p)
	}
	for _, p := range started {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c Config) layout() *Fleet {
	f := &Fleet{Group: procs.NewGroup(c.Dir), Platform: c.address(0)}
	for i := range c.Engines {
		if c.SharedService == "" {
			f.Engines = append(f.Engines, "http://"+c.engineAddress(i))
		}
		f.Agents = append(f.Agents, "http://"+c.agentAddress(i, 1))
	}
	for i := range c.Gateways {
		f.Gateways = append(f.Gateways, "http://"+c.gatewayAddress(i, 0))
		f.Inner = append(f.Inner, c.gatewayAddress(i, 1))
		f.Admin = append(f.Admin, "http://"+c.gatewayAddress(i, 2))
		f.Metrics = append(f.Metrics, f.Admin[i]+"/metrics")
	}
	return f
}

func (c Config) address(offset int) string {
	host := c.Address
	if host == "" {
		host = "127.0.0.1"
	}
	return fmt.Sprintf("%s:%d", host, c.BasePort+offset)
}

func (c Config) engineAddress(i int) string { return c.address(1 + portsPerEngine*i) }

// agentAddress returns the address of agent i's listener for gateways (which 0)
// or its admin listener (1).
func (c Config) agentAddress(i, which int) string {
	return c.address(2 + portsPerEngine*i + which)
}

// gatewayAddress returns the address of gateway i's listener for callers (which
// 0), its inner listener (1) or its admin listener (2).
func (c Config) gatewayAddress(i, which int) string {
	return c.address(1 + portsPerEngine*c.Engines + portsPerGateway*i + which)
}

func (c Config) dataCentre(i int) string { return c.DataCentres[i%len(c.DataCentres)] }

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

// Document returns the initial configuration of the fleet, generation 1.
func (c Config) Document() *rudderv1.Document {
	d := &rudderv1.Document{Generation: 1, PlanId: "fleet"}
	replicas := make(map[string]uint32)
	for i := range c.Engines {
		replicas[c.dataCentre(i)]++
		d.Hosts = append(d.Hosts, &rudderv1.Host{Name: hostName(i), DataCentre: c.dataCentre(i)})
		d.Endpoints = append(d.Endpoints, &rudderv1.Endpoint{
			Name: EngineName(i), Host: hostName(i), DataCentre: c.dataCentre(i),
			AgentAddress: c.agentAddress(i, 0), MemoryTokens: uint64(c.MemoryTokens), Role: "mixed", Service: c.SharedService, MaxModels: uint32(len(c.Models)),
		})
	}
	if c.SharedService != "" {
		d.Services = append(d.Services, &rudderv1.Service{Name: c.SharedService})
	}
	for _, m := range c.Models {
		d.Models = append(d.Models, &rudderv1.Model{Name: m, Version: modelVersion, Weights: m + "/" + modelVersion, WeightBytes: weightBytes, MaxTokens: maxTokens, Replicas: replicas})
	}
	for _, w := range c.Workspaces {
		d.Workspaces = append(d.Workspaces, &rudderv1.Workspace{
			Name: w.Name, KeyDigests: []string{digest(w.Key)}, Priority: w.Priority, Weight: max(1, w.Weight), Models: c.Models,
		})
	}
	return d
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// writeDocument writes the first configuration to the platform.
func writeDocument(ctx context.Context, address string, d *rudderv1.Document) error {
	client, err := metastore.NewClient(metastore.Options{Addresses: []string{address}})
	if err != nil {
		return err
	}
	data, err := generation.Encode(d)
	if err != nil {
		return err
	}
	_, err = client.CompareAndSwap(ctx, metastore.KeyDocument, 0, data, 0)
	return err
}

// program returns the path of one of the repository's programs.
func (c Config) program(name string) string {
	path, err := filepath.Abs(filepath.Join(c.BinDir, name))
	if err != nil {
		return filepath.Join(c.BinDir, name)
	}
	return path
}
