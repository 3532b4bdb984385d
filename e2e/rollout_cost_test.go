package e2e

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/micarudder/micarudder/rudderv1"
)

// placerCallsPerSecond limits the platform calls for placement by two gateways
// during a rollout: the lease holder renews four times in ten seconds, the
// other one reads every six seconds.
const placerCallsPerSecond = 0.8

// moreEndpoints adds a larger rollout to the measurement.
var moreEndpoints = flag.Int("endpoints", 0, "roll out over this number of endpoints as well")

// TestRollOutCost measures the rollout of one version over growing numbers of
// endpoints with the default limits, and checks the platform calls against a
// limit that does not depend on the number of endpoints.
func TestRollOutCost(t *testing.T) {
	for _, n := range []int{8, 24, *moreEndpoints} {
		if n == 0 {
			continue
		}
		t.Run(fmt.Sprintf("%d endpoints", n), func(t *testing.T) {
			t.Parallel()
			runSession(t, func(b *cluster) {
				r := newRollout(b, n, n*3/4)
				b.doc.Placement = &rudderv1.Placement{}
				b.gateway("gw1")
				b.gateway("gw2", "gw1")
				b.publish()
				idle := b.platformCalls(time.Minute)
				b.nextVersion()
				b.publish()
				before := b.platform.Counts()
				took := r.await("2")
				after := b.platform.Counts()
				calls := float64(after.Reads()+after.Writes()-before.Reads()-before.Writes()) / took.Seconds()
				b.t.Logf("%d endpoints: %v, %.1f s of store time, %d orders, most concurrent readers %d, platform calls per second %.2f, %.2f idle",
					n, took, float64(n)*loadTime.Seconds()/storeReaders, len(b.orderLog), r.maxDownloads, calls, idle)
				if calls-idle > placerCallsPerSecond {
					b.t.Errorf("%.2f platform calls per second for placement, above the limit", calls-idle)
				}
				if len(b.orderLog) != 2*n || r.maxDownloads > 4 {
					b.t.Errorf("%d orders and %d concurrent readers; want two orders per endpoint and at most 4 readers", len(b.orderLog), r.maxDownloads)
				}
			})
		})
	}
}

// platformCalls returns the platform calls per second over the duration.
func (b *cluster) platformCalls(d time.Duration) float64 {
	before := b.platform.Counts()
	time.Sleep(d)
	after := b.platform.Counts()
	return float64(after.Reads()+after.Writes()-before.Reads()-before.Writes()) / d.Seconds()
}
