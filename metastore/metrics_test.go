package metastore_test

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// TestMetrics: each call is counted once under its result, and the operators'
// page documents every metric.
func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := metrics.NewSet()
		b := newFixture(t, standin.Config{}, func(o *metastore.Options) { o.Metrics = set })
		b.create("k", "1")
		b.server.Snapshot()
		b.create("claim", "1")
		b.server.SetFaults(standin.Faults{LoseApplied: 1})
		_, _ = b.client.Grant(t.Context(), 1)
		_, _ = b.client.KeepAlive(t.Context(), 99)
		_, _ = b.client.CompareAndSwap(t.Context(), "k", 0, nil, 0) // a conflict
		b.True(b.server.Restore())
		_, _ = b.client.Get(t.Context(), "k")
		b.server.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
		_, _ = b.client.Get(t.Context(), "k")
		var text strings.Builder
		set.WritePrometheus(&text)
		for _, line := range []string{
			`rudder_platform_calls_total{kind="txn",result="ok"} 3`,
			`rudder_platform_calls_total{kind="grant",result="unknown"} 1`,
			`rudder_platform_calls_total{kind="keepalive",result="ok"} 1`,
			`rudder_platform_calls_total{kind="range",result="ok"} 1`,
			`rudder_platform_calls_total{kind="range",result="unavailable"} 1`,
			`rudder_platform_old_answers_total 1`,
			`rudder_platform_restores_total 0`,
		} {
			if !strings.Contains(text.String(), line+"\n") {
				t.Errorf("metrics have no line %s", line)
			}
		}
		page, err := os.ReadFile("../docs/ops/platform.md")
		b.NoErr(err)
		for _, name := range set.ListMetricNames() {
			name, _, _ = strings.Cut(name, "{")
			if !strings.Contains(string(page), "`"+name) {
				t.Errorf("metric %s is not documented in docs/ops/platform.md", name)
			}
		}
	})
}
