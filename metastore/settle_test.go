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

// settleCases are a swap from "old" to "mine" under a fault, with what another
// writer does in the meantime.
var settleCases = []struct {
	name  string
	begin func(b *bench, e metastore.Entry)
	err   error
	value string // in the key afterwards
}{
	{"no fault", func(*bench, metastore.Entry) {}, nil, "mine"},
	{"conflict", func(b *bench, e metastore.Entry) { b.swap(e, "other") }, metastore.ErrConflict, "other"},
	{"applied, answer lost", lose(standin.Faults{LoseApplied: 1}), nil, "mine"},
	{"not applied, answer lost", lose(standin.Faults{LoseUnapplied: 1}), nil, "mine"},
	{"both answers lost", lose(standin.Faults{LoseUnapplied: 1, LoseApplied: 1}), nil, "mine"},
	{"many answers lost", lose(standin.Faults{LoseUnapplied: 20}), nil, "mine"},
	{"applied too late", func(b *bench, _ metastore.Entry) {
		b.server.SetFaults(standin.Faults{Delay: 1500 * time.Millisecond})
		b.after(1100*time.Millisecond, func() { b.server.SetFaults(standin.Faults{}) })
	}, nil, "mine"},
	{"an outage after it", func(b *bench, _ metastore.Entry) {
		b.server.SetFaults(standin.Faults{AnswerDelay: 3 * time.Second})
		b.after(500*time.Millisecond, func() { b.server.SetFaults(standin.Faults{Outage: standin.OutageReset}) })
		b.after(20*time.Second, func() { b.server.SetFaults(standin.Faults{}) })
	}, nil, "mine"},
	{"an outage without end", lose(standin.Faults{Outage: standin.OutageHang}), metastore.ErrUnknown, "old"},
	{"no service at all", func(b *bench, _ metastore.Entry) { b.net.remove(address); synctest.Wait() }, metastore.ErrUnavailable, "old"},
	{"not applied, then another writer", func(b *bench, e metastore.Entry) {
		b.server.SetFaults(standin.Faults{Outage: standin.OutageHang})
		b.after(500*time.Millisecond, func() {
			b.server.SetFaults(standin.Faults{})
			b.swap(e, "other")
		})
	}, metastore.ErrUnknown, "other"},
	{"applied, then replaced by a descendant", func(b *bench, e metastore.Entry) {
		b.server.SetFaults(standin.Faults{AnswerDelay: 3 * time.Second})
		b.after(500*time.Millisecond, func() {
			b.server.SetFaults(standin.Faults{})
			b.swap(metastore.Entry{Key: "k", Revision: e.Revision + 1}, "mine and more")
		})
	}, nil, "mine and more"},
}

// lose switches faults on for good.
func lose(f standin.Faults) func(*bench, metastore.Entry) {
	return func(b *bench, _ metastore.Entry) { b.server.SetFaults(f) }
}

// after runs f in d.
func (b *bench) after(d time.Duration, f func()) {
	go func() {
		time.Sleep(d)
		f()
	}()
}

func TestSettle(t *testing.T) {
	for _, c := range settleCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, standin.Config{}, nil)
				e := b.create("k", "old")
				c.begin(b, e)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				same := func(e metastore.Entry) bool { return len(e.Value) >= 4 && string(e.Value[:4]) == "mine" }
				got, err := metastore.Settle(ctx, b.client, "k", e.Revision, []byte("mine"), 0, same)
				b.True(errors.Is(err, c.err))
				time.Sleep(5 * time.Second)
				b.heal()
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

// TestSettleLapsedLease: a key that was written and went with its lease is not
// called "not written".
func TestSettleLapsedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{}, nil)
		id, err := b.client.Grant(t.Context(), 2*time.Second)
		b.NoErr(err)
		b.server.SetFaults(standin.Faults{AnswerDelay: 3 * time.Second})
		b.after(2500*time.Millisecond, func() { b.server.SetFaults(standin.Faults{}) })
		_, err = metastore.Settle(t.Context(), b.client, "k", 0, []byte("mine"), id, func(metastore.Entry) bool { return true })
		b.True(errors.Is(err, metastore.ErrUnknown))
		b.True(errors.Is(err, metastore.ErrLeaseGone))
	})
}
