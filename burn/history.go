// Package burn reports how fast error budgets burn. It samples the gateways'
// metrics, keeps the samples in a file on the operator's machine, and writes the
// burn rates that package slo computes from them as text, JSON and HTML.
package burn

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/slo"
)

const (
	fetchTimeout = 5 * time.Second
	// maxSampleBytes limits the length of a line in a history file.
	maxSampleBytes = 64 << 20
	// maxMetricsBytes limits the size of a gateway's metrics response.
	maxMetricsBytes = 64 << 20
)

// Sampler fetches the metrics of gateways.
type Sampler struct {
	Client *http.Client
	URLs   []string // URLs of the gateways' /metrics
	Goals  map[string]time.Duration
}

// Sample fetches the metrics of all gateways in parallel. Gateways that do not
// answer are missing from the sample and named in the error.
func (s *Sampler) Sample(ctx context.Context) (slo.Sample, error) {
	out := slo.Sample{At: time.Now().UTC(), Gateways: make(map[string]slo.Counters)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var errs []error
	for _, url := range s.URLs {
		wg.Go(func() {
			c, err := s.fetch(ctx, url)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, trace.Wrap(err, "%s", url))
				return
			}
			out.Gateways[url] = c
		})
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

func (s *Sampler) fetch(ctx context.Context, url string) (slo.Counters, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("HTTP status %d, want 200", resp.StatusCode)
	}
	return slo.Read(io.LimitReader(resp.Body, maxMetricsBytes), s.Goals)
}

// ReadHistory reads a file with one sample per line, as JSON, and returns the
// samples ordered by time. A missing file is an empty history.
func ReadHistory(file string) ([]slo.Sample, error) {
	f, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer f.Close()
	var out []slo.Sample
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxSampleBytes)
	for n := 1; lines.Scan(); n++ {
		var s slo.Sample
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, trace.Wrap(err, "%s: line %d", file, n)
		}
		out = append(out, s)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out, trace.Wrap(lines.Err())
}

// WriteHistory atomically replaces the contents of the file, so that a reader
// never sees a partial history.
func WriteHistory(file string, samples []slo.Sample) error {
	tmp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = os.Remove(tmp.Name()) }()
	e := json.NewEncoder(tmp)
	for _, s := range samples {
		if err := e.Encode(s); err != nil {
			return errors.Join(trace.Wrap(err), tmp.Close())
		}
	}
	if err := tmp.Close(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.Rename(tmp.Name(), file))
}

// Prune drops samples older than all windows, except the last sample before the
// longest window, which is the baseline for that window.
func Prune(samples []slo.Sample, now time.Time, windows []slo.Window) []slo.Sample {
	longest := time.Duration(0)
	for _, w := range windows {
		longest = max(longest, w.Long)
	}
	first := 0
	for i, s := range samples {
		if now.Sub(s.At) >= longest {
			first = i
		}
	}
	return samples[first:]
}
