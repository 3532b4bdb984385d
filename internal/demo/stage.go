package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/micarudder/micarudder/declaration"
	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/procs"
	"github.com/micarudder/micarudder/load"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	serviceName = "bid-api"
	services    = 3
)

// installation is the running installation of the demo.
type installation struct {
	dir         string
	bin         string
	mix         *load.Mix
	servicePort int
	fleet       *fleet.Fleet
	executors   []string // base URLs of the plain services
}

// stop stops all processes that were started.
func (s *installation) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	if err := s.fleet.Group.Stop(ctx); err != nil {
		logf("stop processes: %v", err)
	}
}

func (s *installation) address(i, which int) string {
	return fmt.Sprintf("127.0.0.1:%d", s.servicePort+3*i+which)
}

// addServices starts the plain services and their agents and declares them in
// the configuration.
func (s *installation) addServices(ctx context.Context) error {
	for i := range services {
		name := fmt.Sprintf("bid-api-%d", i)
		s.executors = append(s.executors, "http://"+s.address(i, 0))
		specs := []procs.Spec{{
			Name: name, Binary: s.program("rudder-standin"), Args: []string{"service", "--name", name, "--listen", s.address(i, 0)},
			Ready: "http://" + s.address(i, 0) + "/executions",
		}, s.serviceAgent(i, name)}
		for _, spec := range specs {
			if _, err := s.fleet.Group.Start(spec); err != nil {
				return err
			}
		}
	}
	if err := s.fleet.Group.WaitReady(ctx); err != nil {
		return err
	}
	return s.change(ctx, "declare three endpoints of bid-api", func(doc *rudderv1.Document) {
		doc.Services = append(doc.Services, &rudderv1.Service{Name: serviceName})
		for i := range services {
			name := fmt.Sprintf("bid-api-%d", i)
			doc.Hosts = append(doc.Hosts, &rudderv1.Host{Name: "host-" + name, DataCentre: "hall-petrzalka"})
			doc.Endpoints = append(doc.Endpoints, &rudderv1.Endpoint{
				Name: name, Host: "host-" + name, DataCentre: "hall-petrzalka", AgentAddress: s.address(i, 1), Service: serviceName,
			})
		}
		for _, w := range doc.Workspaces {
			w.Services = []string{serviceName}
		}
	})
}

func (s *installation) serviceAgent(i int, name string) procs.Spec {
	text := fmt.Sprintf(`[agent]
data_centre = hall-petrzalka
host = host-%s
listen = %s

[endpoint]
name = %s
kind = service
service = %s
address = %s

[tickets]
keys = %s

[process]
admin_listen = %s
drain_time = 5s
`, name, s.address(i, 1), name, serviceName, s.address(i, 0), fleet.TicketKeys, s.address(i, 2))
	return procs.Spec{
		Name: "agent-" + name, Binary: s.program("rudder-agent"), Args: []string{"--config", procs.DirVar + "/settings.ini"},
		Files: map[string]string{"settings.ini": text}, Ready: "http://" + s.address(i, 2) + "/readyz",
	}
}

func (s *installation) program(name string) string {
	path, err := filepath.Abs(filepath.Join(s.bin, name))
	if err != nil {
		return filepath.Join(s.bin, name)
	}
	return path
}

// change edits the accepted configuration as an operator does: it writes
// declarations, plans the change and confirms the plan.
func (s *installation) change(ctx context.Context, what string, edit func(*rudderv1.Document)) error {
	doc, err := s.accepted(ctx)
	if err != nil {
		return err
	}
	edit(doc)
	file := filepath.Join(s.dir, "declarations.ini")
	if err := os.WriteFile(file, declaration.Render(doc), 0o600); err != nil {
		return err
	}
	planFile := filepath.Join(s.dir, "plan.json")
	if err := s.rudderctl(ctx, "plan", "--out", planFile, file); err != nil {
		return err
	}
	began := time.Now()
	if err := s.rudderctl(ctx, "confirm", planFile); err != nil {
		return err
	}
	if err := s.waitInForce(ctx, doc.Generation+1); err != nil {
		return err
	}
	logf("configuration %d (%s) planned, confirmed and in force at both gateways after %d ms", doc.Generation+1, what, time.Since(began).Milliseconds())
	return nil
}

func (s *installation) accepted(ctx context.Context) (*rudderv1.Document, error) {
	client, err := metastore.NewClient(metastore.Options{Addresses: []string{s.fleet.Platform}})
	if err != nil {
		return nil, err
	}
	e, err := client.Get(ctx, metastore.KeyDocument)
	if err != nil {
		return nil, err
	}
	return generation.Decode(e.Value)
}

func (s *installation) rudderctl(ctx context.Context, args ...string) error {
	args = append(args, "--platform", s.fleet.Platform)
	for _, g := range s.fleet.Inner {
		args = append(args, "--gateway", g)
	}
	cmd := exec.CommandContext(ctx, s.program("rudderctl"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("rudderctl %s: %w: %s", args[0], err, out)
	}
	for line := range strings.Lines(string(out)) {
		fmt.Print("    ", line)
	}
	return nil
}

// waitInForce waits until the generation is in force at all gateways.
func (s *installation) waitInForce(ctx context.Context, generation uint64) error {
	want := fmt.Sprintf("rudder_gateway_generation %d\n", generation)
	for _, url := range s.fleet.Metrics {
		for !metricsContain(ctx, url, want) {
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
				return fmt.Errorf("generation %d did not take effect in time at %s", generation, url)
			}
		}
	}
	return nil
}

func metricsContain(ctx context.Context, url, want string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	return err == nil && strings.Contains(b.String(), want)
}

// kill kills a process with SIGKILL and starts it again after down.
func (s *installation) kill(ctx context.Context, name string, down time.Duration) error {
	p := s.fleet.Group.Get(name)
	if err := p.Kill(); err != nil {
		return err
	}
	<-p.Done()
	logf("killed %s", name)
	return s.restart(ctx, p, down)
}

// drain stops a process with SIGTERM and starts it again after down.
func (s *installation) drain(ctx context.Context, name string, down time.Duration) error {
	p := s.fleet.Group.Get(name)
	began := time.Now()
	if err := syscall.Kill(p.PID(), syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	logf("drained %s in %d ms", name, time.Since(began).Milliseconds())
	return s.restart(ctx, p, down)
}

func (s *installation) restart(ctx context.Context, p *procs.Process, down time.Duration) error {
	select {
	case <-time.After(down):
	case <-ctx.Done():
		return ctx.Err()
	}
	_, err := s.fleet.Group.Start(p.Spec())
	return err
}

// crashEngine makes a stand-in engine simulate a crash during its next answer.
// Unlike a killed process, the stand-in keeps its execution records.
func (s *installation) crashEngine(ctx context.Context, i int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.fleet.Engines[i]+"/fault", strings.NewReader(`{"die_after_tokens":8}`))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	logf("engine-%d is set to crash during its next answer", i)
	return resp.Body.Close()
}
