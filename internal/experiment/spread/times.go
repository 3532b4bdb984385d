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
	// settleTime is the delay after a change before the processes are scraped.
	settleTime = 150 * time.Millisecond
	// changeTimeout is the time after which a change that is not in force
	// everywhere counts as lost.
	changeTimeout = 15 * time.Second
	// byteWindow is the length of the idle and of the busy window in which bytes
	// are counted. byteChanges is the number of changes in the busy window.
	byteWindow  = 4 * time.Second
	byteChanges = 8
)

// propagation holds the results of the time and byte measurements.
type propagation struct {
	gateways, agents int
	took             []time.Duration // sorted
	agent, gateway   byteCounts
	delta, whole     float64 // bytes per offer to an agent, by form
	offersPerChange  float64 // offers per agent and change
}

// byteCounts holds the bytes that a process reads and writes.
type byteCounts struct{ idlePerSecond, busyPerChange float64 }

func (o options) measureTimes(ctx context.Context) (*propagation, error) {
	r, err := o.start(ctx, "127.0.0.1", timeGateways, timeAgents)
	if err != nil {
		return nil, err
	}
	t := &propagation{gateways: timeGateways, agents: timeAgents}
	return t, trace.NewAggregate(t.measure(ctx, r, o.Changes), r.stop())
}

func (t *propagation) measure(ctx context.Context, r *liveFleet, changes int) error {
	if err := pause(ctx, firstReports); err != nil {
		return err
	}
	before := r.sumMetrics(ctx)
	for range changes {
		took, err := r.change(ctx)
		if err != nil {
			return err
		}
		t.took = append(t.took, took)
	}
	slices.Sort(t.took)
	t.computeOffers(before, r.sumMetrics(ctx), changes)
	return t.measureBytes(ctx, r)
}

// quantile returns a nearest-rank quantile of the propagation times.
func (t *propagation) quantile(q float64) time.Duration {
	rank := int(q*float64(len(t.took)) + 0.999999)
	return t.took[min(max(rank, 1), len(t.took))-1]
}

// change confirms one change and returns the time until it was in force in the
// last process, according to the timestamp in that process's metrics.
func (r *liveFleet) change(ctx context.Context) (time.Duration, error) {
	began, err := r.confirm(ctx)
	if err != nil {
		return 0, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	all := r.metricsURLs()
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

// metricsURLs returns the metrics URLs of all gateways and agents.
func (r *liveFleet) metricsURLs() []string {
	out := slices.Clone(r.Metrics)
	for _, a := range r.Agents {
		out = append(out, a+"/metrics")
	}
	return out
}

// waitGeneration waits until a process has the generation and returns the time
// at which it took effect there.
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
		if err := pause(ctx, settleTime/3); err != nil {
			return time.Time{}, trace.Wrap(err, "%s did not reach generation %d in time", url, generation)
		}
	}
}

// scrape fetches and parses the metrics of a process.
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

// sumMetrics returns the sum over all gateways of each metric. Gateways that
// cannot be scraped are left out.
func (r *liveFleet) sumMetrics(ctx context.Context) map[string]float64 {
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

func (t *propagation) computeOffers(before, after map[string]float64, changes int) {
	const number, size = "rudder_gateway_offers_total", "rudder_gateway_offer_bytes_total"
	const delta, whole = `{to="agent",form="delta"}`, `{to="agent",form="whole"}`
	grown := func(name string) float64 { return after[name] - before[name] }
	t.offersPerChange = (grown(number+delta) + grown(number+whole)) / float64(changes*t.agents)
	t.delta = grown(size+delta) / max(1, grown(number+delta))
	t.whole = after[size+whole] / max(1, after[number+whole])
}
