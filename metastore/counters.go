package metastore

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// callKey names one counter of calls.
type callKey struct {
	kind   Kind
	result string
}

// counters are the client's metrics. docs/ops/platform.md lists them.
type counters struct {
	calls    map[callKey]*metrics.Counter
	seconds  map[Kind]*metrics.Histogram
	refused  map[Kind]*metrics.Counter
	watches  *metrics.Gauge
	dropped  *metrics.Counter
	stalled  *metrics.Counter
	older    *metrics.Counter
	restores *metrics.Counter
}

// newCounters registers every metric at once, so that all are shown from the
// start.
func newCounters(set *metrics.Set) *counters {
	c := &counters{
		calls:    map[callKey]*metrics.Counter{},
		seconds:  map[Kind]*metrics.Histogram{},
		refused:  map[Kind]*metrics.Counter{},
		watches:  set.GetOrCreateGauge("rudder_platform_watches", nil),
		dropped:  set.GetOrCreateCounter("rudder_platform_old_events_total"),
		stalled:  set.GetOrCreateCounter("rudder_platform_stalled_watches_total"),
		older:    set.GetOrCreateCounter("rudder_platform_old_answers_total"),
		restores: set.GetOrCreateCounter("rudder_platform_restores_total"),
	}
	for _, k := range kinds {
		for _, r := range resultLabels {
			name := fmt.Sprintf(`rudder_platform_calls_total{kind=%q,result=%q}`, k, r)
			c.calls[callKey{k, r}] = set.GetOrCreateCounter(name)
		}
		c.seconds[k] = set.GetOrCreateHistogram(fmt.Sprintf(`rudder_platform_call_seconds{kind=%q}`, k))
		c.refused[k] = set.GetOrCreateCounter(fmt.Sprintf(`rudder_platform_limiter_refused_total{kind=%q}`, k))
	}
	return c
}

// attempt counts one attempt that began at start.
func (c *counters) attempt(kind Kind, err error, start time.Time) {
	c.calls[callKey{kind, resultLabel(err)}].Inc()
	c.seconds[kind].UpdateDuration(start)
}
