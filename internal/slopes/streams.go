package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/internal/fleet"
)

const (
	workspace    = "slopes"
	workspaceKey = "key-of-slopes"
	model        = "rudder-llm"
	// agentsForStreams is the number of agents while the number of streams
	// varies; each runs up to maxRunning.
	agentsForStreams = 10
	// decodeToken is the time per token of a stream. It is long, so that streams
	// outlast the window and carry few bytes relative to their number.
	decodeToken = "2s"
	streamBody  = `{"model":"` + model + `","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"slopes %d"}]}`
)

// openStreams opens n streams at a gateway, waits until all have started and
// returns a function that closes them.
func openStreams(ctx context.Context, f *fleet.Fleet, n int) (stop func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	stop = func() {
		cancel()
		readers.Wait()
	}
	client := &http.Client{Transport: new(http.Transport)}
	begun := make(chan error, n)
	for i := range n {
		readers.Go(func() { readStream(ctx, client, f.Gateways[0], i, begun) })
	}
	for range n {
		if err := <-begun; err != nil {
			stop()
			return nil, err
		}
	}
	return stop, nil
}

// readStream reads one stream until ctx ends and reports on begun whether it
// started.
func readStream(ctx context.Context, client *http.Client, gateway string, i int, begun chan<- error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, gateway+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(streamBody, i)))
	if err != nil {
		begun <- err
		return
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	resp, err := client.Do(req)
	if err != nil {
		begun <- trace.Wrap(err, "stream %d", i)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		begun <- fmt.Errorf("stream %d: %s", i, resp.Status)
		return
	}
	begun <- nil
	_, _ = io.Copy(io.Discard, resp.Body)
}
