package e2e

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	standplatform "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/plan"
	"github.com/micarudder/micarudder/rudderv1"
)

// staleSources are the ways in which old configuration can reach a process.
// Before each, the fleet is at generation 2; afterwards no process has gone
// back, and generation 3 is taken.
var staleSources = []struct {
	name   string
	cause  func(b *cluster)
	metric string // metric that must show it; empty: none
}{
	{"reads from a lagging replica", func(b *cluster) {
		b.platform.SetFaults(standplatform.Faults{OldReads: true})
		time.Sleep(6 * time.Second)
		b.platform.SetFaults(standplatform.Faults{})
	}, ""},
	{"a watch that delivers old values", func(b *cluster) {
		b.platform.SetFaults(standplatform.Faults{Watch: standplatform.WatchOld})
		b.putDocument(proto.CloneOf(b.doc))
		time.Sleep(settleTime)
		b.platform.SetFaults(standplatform.Faults{})
	}, ""},
	{"a paused watch", func(b *cluster) {
		b.platform.SetFaults(standplatform.Faults{Watch: standplatform.WatchPaused})
		b.putDocument(proto.CloneOf(b.doc))
		time.Sleep(time.Minute)
		b.platform.SetFaults(standplatform.Faults{})
	}, ""},
	{"the store restored to generation 1", func(b *cluster) {
		is.New(b.t).True(b.platform.Restore())
		time.Sleep(time.Minute)
	}, "rudder_gateway_platform_restores"},
	{"generation 1 written again", func(b *cluster) {
		b.putDocument(&rudderv1.Document{Generation: 1, PlanId: "plan-1"})
	}, "rudder_generation_back_total"},
	{"the document deleted", func(b *cluster) {
		is := is.New(b.t)
		store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClient(), Timeout: time.Second})
		is.NoErr(err)
		e, err := store.Get(b.t.Context(), metastore.KeyDocument)
		is.NoErr(err)
		is.NoErr(store.Delete(b.t.Context(), metastore.KeyDocument, e.Revision))
	}, ""},
	{"another document of generation 2", func(b *cluster) {
		b.putDocument(&rudderv1.Document{Generation: 2, PlanId: "another"})
	}, "rudder_gateway_generation_diverged_offers"},
	{"a value that is no document", func(b *cluster) {
		d := &rudderv1.Document{}
		d.ProtoReflect().SetUnknown(protowire.AppendTag(nil, 1, protowire.EndGroupType))
		b.putDocument(d)
	}, ""},
	{"a process that starts in an outage", func(b *cluster) {
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageHang})
		b.gateway("gw4", "gw1", "gw2", "gw3")
		time.Sleep(settleTime)
		is.New(b.t).True(b.gateways["gw4"].Ready())
		b.service("late", "bid-api")
		b.requireGenerationExcept(2, "late")
		b.platform.SetFaults(standplatform.Faults{})
		delete(b.trackers, "late")
	}, ""},
	{"a process that starts after the store was restored", func(b *cluster) {
		is.New(b.t).True(b.platform.Restore())
		b.gateway("gw4", "gw1", "gw2", "gw3")
		time.Sleep(time.Minute)
	}, "rudder_gateway_platform_restores"},
	{"an outage of five minutes", func(b *cluster) {
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageReset})
		time.Sleep(5 * time.Minute)
		b.platform.SetFaults(standplatform.Faults{})
	}, ""},
}

func TestGenerationNeverDecreases(t *testing.T) {
	t.Parallel()
	for _, c := range staleSources {
		t.Run(c.name, func(t *testing.T) {
			runSession(t, func(b *cluster) {
				b.threeGateways(3)
				b.platform.Snapshot()
				b.acceptNext(nil)
				time.Sleep(settleTime)
				b.requireGeneration(2)
				c.cause(b)
				synctest.Wait()
				time.Sleep(settleTime)
				b.requireGeneration(2)
				if c.metric != "" && b.metric(c.metric) == 0 {
					b.t.Errorf("metric %s is 0 after the fault", c.metric)
				}
				b.acceptNext(nil)
				time.Sleep(30 * time.Second)
				b.requireGeneration(3)
			})
		})
	}
}

// TestRestoreClearsPlatformBehind: after the platform's store was restored to
// an older document or to none, the gateways' metrics show that it is behind
// until the operators have written the highest document back.
func TestRestoreClearsPlatformBehind(t *testing.T) {
	t.Parallel()
	const platformGeneration = "rudder_gateway_platform_generation" // summed over the three gateways
	for _, restored := range []uint64{0, 1} {
		runSession(t, func(b *cluster) {
			is := is.New(b.t)
			if restored == 0 {
				b.platform.Snapshot()
			}
			b.threeGateways(2)
			if restored == 1 {
				b.platform.Snapshot()
			}
			b.acceptNext(nil)
			time.Sleep(settleTime)
			is.Equal(b.metric(platformGeneration), 3*2.0)
			is.True(b.platform.Restore())
			time.Sleep(time.Minute)
			b.requireGeneration(2)
			is.Equal(b.metric(platformGeneration), 3*float64(restored))
			store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClient(), Timeout: time.Second})
			is.NoErr(err)
			_, err = plan.Restore(b.t.Context(), store, b.trackers["gw1"].Document(), "")
			is.NoErr(err)
			time.Sleep(settleTime)
			is.Equal(b.metric(platformGeneration), 3*2.0)
			b.acceptNext(nil)
			time.Sleep(settleTime)
			b.requireGeneration(3)
		})
	}
}
