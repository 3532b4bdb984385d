package metastore_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// resolveCases swap "old" for "mine" under a fault, some while another writer
// writes.
var resolveCases = []struct {
	name  string
	begin func(b *fixture, e metastore.Entry)
	err   error
	value string // of the key afterwards
}{
	{"no fault", func(*fixture, metastore.Entry) {}, nil, "mine"},
	{"conflict", func(b *fixture, e metastore.Entry) { b.swap(e, "other") }, metastore.ErrConflict, "other"},
	{"applied, response lost", withLastingFaults(standin.Faults{LoseApplied: 1}), nil, "mine"},
	{"not applied, response lost", withLastingFaults(standin.Faults{LoseUnapplied: 1}), nil, "mine"},
	{"both responses lost", withLastingFaults(standin.Faults{LoseUnapplied: 1, LoseApplied: 1}), nil, "mine"},
	{"many responses lost", withLastingFaults(standin.Faults{LoseUnapplied: 20}), nil, "mine"},
	{"applied too late", func(b *fixture, _ metastore.Entry) {
		b.server.SetFaults(standin.Faults{Delay: 1500 * time.Millisecond})
		b.runAfter(1100*time.Millisecond, func() { b.server.SetFaults(standin.Faults{}) })
	}, nil, "mine"},
	{"an outage after the write", func(b *fixture, _ metastore.Entry) {
		b.server.SetFaults(standin.Faults{AnswerDelay: 3 * time.Second})
		b.runAfter(500*time.Millisecond, func() { b.server.SetFaults(standin.Faults{Outage: standin.OutageReset}) })
		b.runAfter(20*time.Second, func() { b.server.SetFaults(standin.Faults{}) })
	}, nil, "mine"},
	{"a permanent outage", withLastingFaults(standin.Faults{Outage: standin.OutageHang}), metastore.ErrUnknown, "old"},
	{"nothing listens", func(b *fixture, _ metastore.Entry) { b.net.remove(address); synctest.Wait() }, metastore.ErrUnavailable, "old"},
	{"not applied, then another writer", func(b *fixture, e metastore.Entry) {
		b.server.SetFaults(standin.Faults{Outage: standin.OutageHang})
		b.runAfter(500*time.Millisecond, func() {
			b.server.SetFaults(standin.Faults{})
			b.swap(e, "other")
		})
	}, metastore.ErrUnknown, "other"},
	{"applied, then replaced by a value derived from it", func(b *fixture, e metastore.Entry) {
		b.server.SetFaults(standin.Faults{AnswerDelay: 3 * time.Second})
		b.runAfter(500*time.Millisecond, func() {
			b.server.SetFaults(standin.Faults{})
			b.swap(metastore.Entry{Key: "k", Revision: e.Revision + 1}, "mine and more")
		})
	}, nil, "mine and more"},
}

// withLastingFaults injects faults that do not end by themselves.
func withLastingFaults(f standin.Faults) func(*fixture, metastore.Entry) {
	return func(b *fixture, _ metastore.Entry) { b.server.SetFaults(f) }
}

// runAfter runs f after d.
func (b *fixture) runAfter(d time.Duration, f func()) {
	go func() {
		time.Sleep(d)
		f()
	}()
}

func TestSwapAndResolve(t *testing.T) {
	for _, c := range resolveCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, standin.Config{}, nil)
				e := b.create("k", "old")
				c.begin(b, e)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				same := func(e metastore.Entry) bool { return len(e.Value) >= 4 && string(e.Value[:4]) == "mine" }
				got, err := metastore.SwapAndResolve(ctx, b.client, "k", e.Revision, []byte("mine"), 0, same)
				b.True(errors.Is(err, c.err))
				time.Sleep(5 * time.Second)
				b.clearFaults()
				now, err := b.client.Get(t.Context(), "k")
				b.NoErr(err)
				b.Equal(string(now.Value), c.value)
				if c.err == nil {
					b.Equal(got, now) // exactly one write took effect
				}
			})
		})
	}
}

// TestSwapAndResolveExpiredLease: a key that was written and then deleted because its
// lease expired must not be reported as not written.
func TestSwapAndResolveExpiredLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, standin.Config{}, nil)
		id, err := b.client.Grant(t.Context(), 2*time.Second)
		b.NoErr(err)
		b.server.SetFaults(standin.Faults{AnswerDelay: 3 * time.Second})
		b.runAfter(2500*time.Millisecond, func() { b.server.SetFaults(standin.Faults{}) })
		_, err = metastore.SwapAndResolve(t.Context(), b.client, "k", 0, []byte("mine"), id, func(metastore.Entry) bool { return true })
		b.True(errors.Is(err, metastore.ErrUnknown))
		b.True(errors.Is(err, metastore.ErrLeaseExpired))
	})
}
