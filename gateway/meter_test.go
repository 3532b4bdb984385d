package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/routing"
)

func TestSlowdownMetrics(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name             string
		class            routing.Class
		took, unloaded   time.Duration
		compared, slowed bool
	}{
		{"not slowed", routing.ClassShort, 110 * ms, 100 * ms, true, false},
		{"slowed", routing.ClassShort, 130 * ms, 100 * ms, true, true},
		{"too short to compare", routing.ClassShort, 130 * ms, 10 * ms, false, false},
		{"not short", routing.ClassMedium, 900 * ms, 100 * ms, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &meter{set: metrics.NewSet()}
			m.compare(c.class, c.took, c.unloaded, `{class="x"}`)
			var b bytes.Buffer
			m.set.WritePrometheus(&b)
			is.Equal(strings.Contains(b.String(), "rudder_compared_total"), c.compared)
			is.Equal(strings.Contains(b.String(), "rudder_slowed_total"), c.slowed)
		})
	}
}
