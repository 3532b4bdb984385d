package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/standin/answer"
)

const million = 1_000_000

// testbed is a running fleet with the number of prompts used so far.
type testbed struct {
	*fleet.Fleet
	opts    options
	prompts int
}

// prompt returns a new prompt of n tokens.
func (b *testbed) prompt(n int) string {
	b.prompts++
	p := fmt.Sprintf("archive %d ", b.prompts) + strings.Repeat("word", n)
	return p[:4*n]
}

// complete sends a completion request for one token. It returns the modelled
// time to the complete answer, the HTTP status (0 if there was no response) and
// whether the answer was correct.
func (b *testbed) complete(ctx context.Context, gateway, prompt string) (took time.Duration, status int, correct bool) {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": 1})
	if err != nil {
		return 0, 0, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, gateway+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Rudder-Deadline", "5m")
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return b.modelled(time.Since(began)), 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	correct = err == nil && resp.StatusCode == http.StatusOK && bytes.Contains(raw, answer.Text([]byte(prompt), 1))
	return b.modelled(time.Since(began)), resp.StatusCode, correct
}

func (b *testbed) modelled(d time.Duration) time.Duration {
	return (d * time.Duration(b.opts.Speed)).Round(time.Millisecond)
}

// state fetches the state of an engine.
func (b *testbed) state(ctx context.Context, i int) (st engine.State, err error) {
	return engine.NewClient(engine.Options{BaseURL: b.Engines[i]}).State(ctx)
}

// awaitFree waits until no engine holds any memory and returns the real time
// that it took.
func (b *testbed) awaitFree(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	for {
		free := true
		for i := range b.Engines {
			st, err := b.state(ctx, i)
			if err != nil {
				return 0, err
			}
			free = free && len(st.Held) == 0 && st.Load.FreeTokens == st.Load.MemoryTokens
		}
		if free {
			return time.Since(began).Round(time.Millisecond), nil
		}
		if time.Since(began) > time.Minute {
			return 0, trace.Errorf("engines still hold memory after 1 minute")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// peakMemory returns the peak resident memory of a process in MiB.
func (b *testbed) peakMemory(name string) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.Group.Get(name).PID()))
	if err != nil {
		return 0
	}
	var kib float64
	for line := range strings.Lines(string(raw)) {
		_, _ = fmt.Sscanf(line, "VmHWM: %f kB", &kib)
	}
	return kib / 1024
}
