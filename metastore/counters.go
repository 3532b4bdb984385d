package metastore

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// callKey holds the labels of one call counter.
type callKey struct {
	kind   Kind
	result string
}

// counters are the client's metrics; docs/ops/platform.md lists them.
type counters struct {
	calls          map[callKey]*metrics.Counter
	durations      map[Kind]*metrics.Histogram
	rateLimited    map[Kind]*metrics.Counter
	watches        *metrics.Gauge
	staleEvents    *metrics.Counter
	stalledWatches *metrics.Counter
	staleResponses *metrics.Counter
	restores       *metrics.Counter
}

// newCounters registers all metrics up front, so that each is exported from the
// start.
func newCounters(set *metrics.Set) *counters {
	c := &counters{
		calls:          map[callKey]*metrics.Counter{},
		durations:      map[Kind]*metrics.Histogram{},
		rateLimited:    map[Kind]*metrics.Counter{},
		watches:        set.GetOrCreateGauge("rudder_platform_watches", nil),
		staleEvents:    set.GetOrCreateCounter("rudder_platform_old_events_total"),
		stalledWatches: set.GetOrCreateCounter("rudder_platform_stalled_watches_total"),
		staleResponses: set.GetOrCreateCounter("rudder_platform_old_answers_total"),
		restores:       set.GetOrCreateCounter("rudder_platform_restores_total"),
	}
	for _, k := range kinds {
		for _, r := range resultLabels {
			name := fmt.Sprintf(`rudder_platform_calls_total{kind=%q,result=%q}`, k, r)
			c.calls[callKey{k, r}] = set.GetOrCreateCounter(name)
		}
		c.durations[k] = set.GetOrCreateHistogram(fmt.Sprintf(`rudder_platform_call_seconds{kind=%q}`, k))
		c.rateLimited[k] = set.GetOrCreateCounter(fmt.Sprintf(`rudder_platform_limiter_refused_total{kind=%q}`, k))
	}
	return c
}

// recordAttempt counts one attempt that began at start.
func (c *counters) recordAttempt(kind Kind, err error, start time.Time) {
	c.calls[callKey{kind, resultLabel(err)}].Inc()
	c.durations[kind].UpdateDuration(start)
}
