package metastore_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// operation is one call of the client; a write also says how to see whether
// it took effect.
type operation struct {
	name    string
	call    func(ctx context.Context, c *metastore.Client, s setup) error
	applied func(b *bench, s setup) bool // nil for a read
}

// setup is what exists before the fault begins.
type setup struct {
	entry metastore.Entry // under the key "k", attached to lease
	lease metastore.LeaseID
}

// operations lists every call. A renewal that took effect cannot be seen at
// the service, so keep-alives have no effect to compare.
var operations = []operation{
	{name: "get", call: func(ctx context.Context, c *metastore.Client, _ setup) error {
		_, err := c.Get(ctx, "k")
		return err
	}},
	{name: "list", call: func(ctx context.Context, c *metastore.Client, _ setup) error {
		_, err := c.List(ctx, "k")
		return err
	}},
	{name: "hosts", call: func(ctx context.Context, c *metastore.Client, _ setup) error {
		_, err := c.Hosts(ctx)
		return err
	}},
	{name: "watch", call: func(ctx context.Context, c *metastore.Client, s setup) error {
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		err := c.Watch(ctx, "k", s.entry.Revision, func(metastore.Entry) {})
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() != nil {
			return nil // it was open until the test ended it
		}
		return err
	}},
	{name: "swap", call: func(ctx context.Context, c *metastore.Client, s setup) error {
		_, err := c.CompareAndSwap(ctx, "k", s.entry.Revision, []byte("new"), 0)
		return err
	}, applied: func(b *bench, _ setup) bool {
		e, err := b.client.Get(b.t.Context(), "k")
		b.NoErr(err)
		return string(e.Value) == "new"
	}},
	{name: "delete", call: func(ctx context.Context, c *metastore.Client, s setup) error {
		return c.Delete(ctx, "k", s.entry.Revision)
	}, applied: keyGone},
	{name: "grant", call: func(ctx context.Context, c *metastore.Client, _ setup) error {
		_, err := c.Grant(ctx, time.Hour)
		return err
	}, applied: func(b *bench, s setup) bool {
		id, err := b.client.Grant(b.t.Context(), time.Hour) // names rise by one
		b.NoErr(err)
		return id > s.lease+1
	}},
	{name: "keep-alive", call: func(ctx context.Context, c *metastore.Client, s setup) error {
		_, err := c.KeepAlive(ctx, s.lease)
		return err
	}},
	{name: "revoke", call: func(ctx context.Context, c *metastore.Client, s setup) error {
		return c.Revoke(ctx, s.lease)
	}, applied: keyGone},
}

func keyGone(b *bench, _ setup) bool {
	_, err := b.client.Get(b.t.Context(), "k")
	return errors.Is(err, metastore.ErrNotFound)
}

// writes reports whether the operation can change the store.
func (o operation) writes() bool { return o.applied != nil || o.name == "keep-alive" }

// faults lists every fault with the endings of reads and writes under it, and
// whether a write takes effect.
var faults = []struct {
	name    string
	begin   func(b *bench)
	read    error
	write   error
	applied bool
}{
	{name: "none", begin: func(*bench) {}, applied: true},
	{name: "nothing listens", begin: func(b *bench) { b.net.remove(address) }, read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "no leader", begin: with(standin.Faults{Outage: standin.OutageRefuse}), read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "connections closed", begin: with(standin.Faults{Outage: standin.OutageReset}), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "calls hang", begin: with(standin.Faults{Outage: standin.OutageHang}), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "slow, in time", begin: with(standin.Faults{Delay: 900 * time.Millisecond}), applied: true},
	{name: "slow, too late", begin: with(standin.Faults{Delay: 3 * time.Second}), read: metastore.ErrUnavailable, write: metastore.ErrUnknown, applied: true},
	{name: "answer too late", begin: with(standin.Faults{AnswerDelay: 3 * time.Second}), read: metastore.ErrUnavailable, write: metastore.ErrUnknown, applied: true},
	{name: "applied, answer lost", begin: with(standin.Faults{LoseApplied: 1}), write: metastore.ErrUnknown, applied: true},
	{name: "not applied, answer lost", begin: with(standin.Faults{LoseUnapplied: 1}), write: metastore.ErrUnknown},
	{name: "rate limit of the service", begin: func(b *bench) { b.server.SetRates(1e-9, 1e-9); b.drain() }, read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "own rate limit", begin: func(b *bench) {
		b.options.ReadRate, b.options.WriteRate, b.options.LeaseRate = 1e-9, 1e-9, 1e-9
		b.client = b.newClient()
		b.drain()
	}, read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "status 500", begin: answering(http.StatusInternalServerError, "{}"), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "status 503 of another kind", begin: answering(http.StatusServiceUnavailable, `{"message":"busy"}`), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "status 404", begin: answering(http.StatusNotFound, "no such page"), read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "redirect", begin: answering(http.StatusTemporaryRedirect, ""), read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "empty answer", begin: answering(http.StatusOK, ""), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "answer cut", begin: answering(http.StatusOK, `{"header":{"revision":"9"`), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "answer of another service", begin: answering(http.StatusOK, `"<html>"`), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
}

// with switches faults of the stand-in on.
func with(f standin.Faults) func(*bench) {
	return func(b *bench) { b.server.SetFaults(f) }
}

// answering puts something else in the service's place.
func answering(status int, body string) func(*bench) {
	return func(b *bench) {
		b.net.remove(address)
		b.serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
			_, _ = fmt.Fprint(w, body)
		}))
	}
}

// drain uses the burst of the limits up.
func (b *bench) drain() {
	ctx := b.t.Context()
	for range 3 {
		_, _ = b.client.Get(ctx, "other")
		_, _ = b.client.KeepAlive(ctx, 1)
		_, _ = b.client.CompareAndSwap(ctx, "other", 99, nil, 0)
	}
}

// TestFaults runs every operation under every fault: the ending has to be the
// one listed, and the effect has to agree with what the ending claims.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		for _, o := range operations {
			t.Run(f.name+"/"+o.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, standin.Config{}, nil)
					s := b.setUp()
					f.begin(b)
					synctest.Wait() // closed connections are noticed
					want := f.read
					if o.writes() {
						want = f.write
					}
					got := o.call(t.Context(), b.client, s)
					if !errors.Is(got, want) {
						t.Fatalf("ending %v, want %v", got, want)
					}
					time.Sleep(5 * time.Second) // whatever was under way takes effect
					if o.applied == nil {
						return
					}
					b.heal()
					b.Equal(o.applied(b, s), f.applied) // the effect
				})
			})
		}
	}
}

// setUp creates a key with a lease.
func (b *bench) setUp() setup {
	id, err := b.client.Grant(b.t.Context(), time.Hour)
	b.NoErr(err)
	e, err := b.client.CompareAndSwap(b.t.Context(), "k", 0, []byte("old"), id)
	b.NoErr(err)
	return setup{entry: e, lease: id}
}

// heal ends every fault and takes a fresh client.
func (b *bench) heal() {
	b.server.SetFaults(standin.Faults{})
	b.server.SetRates(0, 0)
	b.net.remove(address)
	b.serve(address, b.server.Handler())
	b.options.ReadRate, b.options.WriteRate, b.options.LeaseRate = 1000, 1000, 1000
	b.client = b.newClient()
}

// TestEndedContext: a call whose time is over before it is sent has no effect.
func TestEndedContext(t *testing.T) {
	for _, o := range operations {
		t.Run(o.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, standin.Config{}, nil)
				s := b.setUp()
				before := b.server.Counts()
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				err := o.call(ctx, b.client, s)
				b.True(errors.Is(err, metastore.ErrUnavailable))
				b.True(errors.Is(err, context.Canceled))
				b.Equal(b.server.Counts(), before)
			})
		})
	}
}
