package generation

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// RegisterMetrics registers the metrics of a tracker; process is "gateway" or "agent".
func RegisterMetrics(set *metrics.Set, process string, k *Tracker) {
	gauge := func(name string, f func() float64) {
		set.NewGauge(fmt.Sprintf("rudder_%s_generation%s", process, name), f)
	}
	gauge("", func() float64 { return float64(k.Generation()) })
	gauge("_timestamp_seconds", func() float64 {
		if k.Since().IsZero() {
			return 0
		}
		return float64(k.Since().UnixMicro()) / 1e6
	})
	gauge("_stale_offers", func() float64 { return float64(k.StaleOffers()) })
	gauge("_diverged_offers", func() float64 { return float64(k.DivergedOffers()) })
}
