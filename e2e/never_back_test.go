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

// neverBack are what old values can come from. Before each the fleet is at
// generation 2; after it no process has gone back, and generation 3 is taken.
var neverBack = []struct {
	name  string
	meet  func(b *bubble)
	alarm string // metric that shows it
}{
	{"reads from a lagging replica", func(b *bubble) {
		b.platform.SetFaults(standplatform.Faults{OldReads: true})
		time.Sleep(6 * time.Second)
		b.platform.SetFaults(standplatform.Faults{})
	}, ""},
	{"a watch that delivers old values", func(b *bubble) {
		b.platform.SetFaults(standplatform.Faults{Watch: standplatform.WatchOld})
		b.write(proto.CloneOf(b.doc))
		time.Sleep(settle)
		b.platform.SetFaults(standplatform.Faults{})
	}, ""},
	{"a paused watch", func(b *bubble) {
		b.platform.SetFaults(standplatform.Faults{Watch: standplatform.WatchPaused})
		b.write(proto.CloneOf(b.doc))
		time.Sleep(time.Minute)
		b.platform.SetFaults(standplatform.Faults{})
	}, ""},
	{"the store restored to generation 1", func(b *bubble) {
		is.New(b.t).True(b.platform.Restore())
		time.Sleep(time.Minute)
	}, "rudder_gateway_platform_restores"},
	{"generation 1 written again", func(b *bubble) {
		b.write(&rudderv1.Document{Generation: 1, PlanId: "plan-1"})
	}, "rudder_generation_back_total"},
	{"the document deleted", func(b *bubble) {
		is := is.New(b.t)
		store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClient(), Timeout: time.Second})
		is.NoErr(err)
		e, err := store.Get(b.t.Context(), metastore.KeyDocument)
		is.NoErr(err)
		is.NoErr(store.Delete(b.t.Context(), metastore.KeyDocument, e.Revision))
	}, ""},
	{"another document of generation 2", func(b *bubble) {
		b.write(&rudderv1.Document{Generation: 2, PlanId: "another"})
	}, "rudder_gateway_generation_diverged_offers"},
	{"a value that is no document", func(b *bubble) {
		d := &rudderv1.Document{}
		d.ProtoReflect().SetUnknown(protowire.AppendTag(nil, 1, protowire.EndGroupType))
		b.write(d)
	}, ""},
	{"a process that starts in an outage", func(b *bubble) {
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageHang})
		b.gateway("gw4", "gw1", "gw2", "gw3")
		time.Sleep(settle)
		is.New(b.t).True(b.gateways["gw4"].Ready())
		b.service("late", "bid-api")
		b.inForceBut(2, "late")
		b.platform.SetFaults(standplatform.Faults{})
		delete(b.keepers, "late")
	}, ""},
	{"a process that starts after the store was restored", func(b *bubble) {
		is.New(b.t).True(b.platform.Restore())
		b.gateway("gw4", "gw1", "gw2", "gw3")
		time.Sleep(time.Minute)
	}, "rudder_gateway_platform_restores"},
	{"an outage of five minutes", func(b *bubble) {
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageReset})
		time.Sleep(5 * time.Minute)
		b.platform.SetFaults(standplatform.Faults{})
	}, ""},
}

func TestNeverBack(t *testing.T) {
	t.Parallel()
	for _, c := range neverBack {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(b *bubble) {
				b.threeGateways(3)
				b.platform.Snapshot()
				b.confirm(nil)
				time.Sleep(settle)
				b.inForce(2)
				c.meet(b)
				synctest.Wait()
				time.Sleep(settle)
				b.inForce(2)
				if c.alarm != "" && b.metric(c.alarm) == 0 {
					b.t.Errorf("%s is 0", c.alarm)
				}
				b.confirm(nil)
				time.Sleep(30 * time.Second)
				b.inForce(3)
			})
		})
	}
}

// TestRestoreEndsTheAlarm: after the platform's store was put back, to an older
// document or to none, the gateways show that it is behind until the operators
// have written the highest document back.
func TestRestoreEndsTheAlarm(t *testing.T) {
	t.Parallel()
	const shown = "rudder_gateway_platform_generation" // summed over three gateways
	for _, back := range []uint64{0, 1} {
		run(t, func(b *bubble) {
			is := is.New(b.t)
			if back == 0 {
				b.platform.Snapshot()
			}
			b.threeGateways(2)
			if back == 1 {
				b.platform.Snapshot()
			}
			b.confirm(nil)
			time.Sleep(settle)
			is.Equal(b.metric(shown), 3*2.0)
			is.True(b.platform.Restore())
			time.Sleep(time.Minute)
			b.inForce(2)
			is.Equal(b.metric(shown), 3*float64(back))
			store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClient(), Timeout: time.Second})
			is.NoErr(err)
			_, err = plan.Restore(b.t.Context(), store, b.keepers["gw1"].Document(), "")
			is.NoErr(err)
			time.Sleep(settle)
			is.Equal(b.metric(shown), 3*2.0)
			b.confirm(nil)
			time.Sleep(settle)
			b.inForce(3)
		})
	}
}
