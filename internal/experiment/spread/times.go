package main

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	timeGateways = 4
	timeAgents   = 54 // with the platform's and the service's stand-in 60 processes
	// settle is left after a change before the processes are asked.
	settle = 150 * time.Millisecond
	// lost is when a change that is not in force everywhere counts as lost.
	lost = 15 * time.Second
	// byteWindow is the length of the idle and of the busy window in which
	// bytes are counted, and byteChanges the changes in the busy one.
	byteWindow  = 4 * time.Second
	byteChanges = 8
)

// times is the result of the time and byte measurement.
type times struct {
	gateways, agents int
	took             []time.Duration // sorted
	agent, gateway   bytesOf
	delta, whole     float64 // bytes of one offer to an agent
	repeats          float64 // offers for each agent and change
}

// bytesOf are the bytes that a process reads and writes.
type bytesOf struct{ idlePerSecond, busyPerChange float64 }

func (o options) measureTimes(ctx context.Context) (*times, error) {
	r, err := o.start(ctx, "127.0.0.1", timeGateways, timeAgents)
	if err != nil {
		return nil, err
	}
	t := &times{gateways: timeGateways, agents: timeAgents}
	return t, trace.NewAggregate(t.measure(ctx, r, o.Changes), r.stop())
}

func (t *times) measure(ctx context.Context, r *running, changes int) error {
	if err := pause(ctx, firstReports); err != nil {
		return err
	}
	before := r.offers(ctx)
	for range changes {
		took, err := r.change(ctx)
		if err != nil {
			return err
		}
		t.took = append(t.took, took)
	}
	slices.Sort(t.took)
	t.offers(before, r.offers(ctx), changes)
	return t.measureBytes(ctx, r)
}

// at returns a quantile of the times by the nearest rank.
func (t *times) at(q float64) time.Duration {
	rank := int(q*float64(len(t.took)) + 0.999999)
	return t.took[min(max(rank, 1), len(t.took))-1]
}

// change confirms one change and returns how long it took until it was in
// force in the last process, by that process's own word.
func (r *running) change(ctx context.Context) (time.Duration, error) {
	began, err := r.confirm(ctx)
	if err != nil {
		return 0, err
	}
	if err := pause(ctx, settle); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, lost)
	defer cancel()
	all := r.admins()
	since := make([]time.Time, len(all))
	errs := make([]error, len(all))
	var wg sync.WaitGroup
	for i, url := range all {
		wg.Go(func() { since[i], errs[i] = waitGeneration(ctx, url, r.doc.Generation) })
	}
	wg.Wait()
	last := slices.MaxFunc(since, time.Time.Compare)
	return last.Sub(began), trace.NewAggregate(errs...)
}

// admins returns the URLs of all metrics.
func (r *running) admins() []string {
	out := slices.Clone(r.Metrics)
	for _, a := range r.Agents {
		out = append(out, a+"/metrics")
	}
	return out
}

// waitGeneration waits until a process has the generation and returns since when.
func waitGeneration(ctx context.Context, url string, generation uint64) (time.Time, error) {
	for {
		m, err := scrape(ctx, url)
		if err != nil {
			return time.Time{}, err
		}
		for _, process := range []string{"rudder_agent_generation", "rudder_gateway_generation"} {
			if uint64(m[process]) >= generation {
				return time.UnixMicro(int64(m[process+"_timestamp_seconds"] * 1e6)), nil
			}
		}
		if err := pause(ctx, settle/3); err != nil {
			return time.Time{}, trace.Wrap(err, "%s does not reach generation %d", url, generation)
		}
	}
}

// scrape reads a page of metrics.
func scrape(ctx context.Context, url string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	m := make(map[string]float64)
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		i := strings.LastIndexByte(lines.Text(), ' ')
		if i < 0 {
			continue
		}
		if v, err := strconv.ParseFloat(lines.Text()[i+1:], 64); err == nil {
			m[lines.Text()[:i]] = v
		}
	}
	return m, nil
}

// offers sums the gateways' metrics of offers to agents.
func (r *running) offers(ctx context.Context) map[string]float64 {
	sum := make(map[string]float64)
	for _, url := range r.Metrics {
		m, err := scrape(ctx, url)
		if err != nil {
			continue
		}
		for name, v := range m {
			sum[name] += v
		}
	}
	return sum
}

func (t *times) offers(before, after map[string]float64, changes int) {
	const number, size = "rudder_gateway_offers_total", "rudder_gateway_offer_bytes_total"
	const delta, whole = `{to="agent",form="delta"}`, `{to="agent",form="whole"}`
	grown := func(name string) float64 { return after[name] - before[name] }
	t.repeats = (grown(number+delta) + grown(number+whole)) / float64(changes*t.agents)
	t.delta = grown(size+delta) / max(1, grown(number+delta))
	t.whole = after[size+whole] / max(1, after[number+whole])
}
