// Command overhead measures the time to first token that gateway and agent add
// on an idle system. It compares with direct requests to the same stand-in
// engine, which alternate with the others in the same run.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/tool"
)

const (
	key          = "demo-overhead"
	model        = "rudder-llm"
	promptBytes  = 4000
	memoryTokens = 450_000
	limit        = time.Minute
)

type options struct {
	Bin  string `long:"bin" default:"bin" description:"folder of the programs"`
	Port int    `long:"port" default:"22900" description:"first of the consecutive ports to use"`
	N    int    `long:"n" default:"300" description:"requests each way"`
}

func main() {
	tool.Main("overhead", limit, run)
}

func run(ctx context.Context, o options) error {
	dir, err := os.MkdirTemp("", "micarudder-overhead-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(ctx, fleet.Config{
		BinDir: o.Bin, Dir: dir, BasePort: o.Port, DataCentres: []string{"hall-petrzalka"}, Engines: 1, Gateways: 1,
		Models: []string{model}, Workspaces: []fleet.Workspace{{Name: "overhead", Key: key}}, Policy: "default",
		EngineArgs: []string{"--speed", "100"}, MemoryTokens: memoryTokens, MaxRunning: 8, LogLevel: "warn",
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Group.Stop(context.WithoutCancel(ctx)) }()
	targets := []string{f.Engines[0], f.Gateways[0]}
	took := make([][]time.Duration, len(targets))
	for i := range o.N {
		for way, base := range targets {
			d, err := firstToken(ctx, base, fmt.Sprintf("%d-%d ", way, i))
			if err != nil {
				return err
			}
			took[way] = append(took[way], d)
		}
	}
	direct, through := quantiles(took[0]), quantiles(took[1])
	fmt.Printf("direct  p50 %v p95 %v\nthrough p50 %v p95 %v\nadded   p50 %v p95 %v (%d requests each, in turns)\n",
		direct[0], direct[1], through[0], through[1], through[0]-direct[0], through[1]-direct[1], o.N)
	return nil
}

// firstToken sends one streaming completion request and returns the time to the
// first event.
func firstToken(ctx context.Context, base, tag string) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":2,"messages":[{"role":"user","content":%q}]}`, model, tag+strings.Repeat("x", promptBytes))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("completion request to %s: HTTP status %s", base, resp.Status)
	}
	first := time.Duration(0)
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if first == 0 && strings.HasPrefix(sc.Text(), "data: ") {
			first = time.Since(began)
		}
	}
	return first, sc.Err()
}

// quantiles returns the median and the 95th percentile.
func quantiles(ds []time.Duration) [2]time.Duration {
	slices.Sort(ds)
	return [2]time.Duration{ds[len(ds)/2].Round(time.Microsecond), ds[len(ds)*95/100].Round(time.Microsecond)}
}
