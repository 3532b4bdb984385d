package e2e

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/micarudder/micarudder/rudderv1"
)

// placerCallsPerSecond bounds what placement may cost the platform while two
// gateways see work: the holder renews four times in ten seconds, the other
// reads once in six.
const placerCallsPerSecond = 0.8

// moreEndpoints adds a larger roll-out to the measurement.
var moreEndpoints = flag.Int("endpoints", 0, "roll out over this number of endpoints as well")

// TestRollOutCost measures the roll-out of one version over growing numbers of
// endpoints with the default bounds, and holds the platform's calls against a
// bound that does not know the number of endpoints.
func TestRollOutCost(t *testing.T) {
	for _, n := range []int{8, 24, *moreEndpoints} {
		if n == 0 {
			continue
		}
		t.Run(fmt.Sprintf("%d endpoints", n), func(t *testing.T) {
			t.Parallel()
			run(t, func(b *bubble) {
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
				b.t.Logf("%d endpoints: %v, %.1f s of store time, %d orders, most readers %d, platform calls per second %.2f, %.2f idle",
					n, took, float64(n)*loadTime.Seconds()/storeReaders, len(b.orders), r.readers, calls, idle)
				if calls-idle > placerCallsPerSecond {
					b.t.Errorf("%.2f platform calls per second for placement", calls-idle)
				}
				if len(b.orders) != 2*n || r.readers > 4 {
					b.t.Errorf("%d orders, %d readers", len(b.orders), r.readers)
				}
			})
		})
	}
}

// platformCalls returns the calls per second over a time.
func (b *bubble) platformCalls(d time.Duration) float64 {
	before := b.platform.Counts()
	time.Sleep(d)
	after := b.platform.Counts()
	return float64(after.Reads()+after.Writes()-before.Reads()-before.Writes()) / d.Seconds()
}
