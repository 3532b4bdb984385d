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
	"github.com/micarudder/micarudder/internal/standin/rawhttp"
	"github.com/micarudder/micarudder/metastore"
)

// operation is one call of the client. A write also has a function that tells
// whether it took effect.
type operation struct {
	name    string
	call    func(ctx context.Context, c *metastore.Client, s initialState) error
	applied func(b *fixture, s initialState) bool // nil for a read
}

// initialState is the state of the store before a fault is injected.
type initialState struct {
	entry metastore.Entry // of key "k", attached to lease
	lease metastore.LeaseID
}

// operations lists every call. The service does not show whether a renewal took
// effect, so keep-alives have no applied function.
var operations = []operation{
	{name: "get", call: func(ctx context.Context, c *metastore.Client, _ initialState) error {
		_, err := c.Get(ctx, "k")
		return err
	}},
	{name: "list", call: func(ctx context.Context, c *metastore.Client, _ initialState) error {
		_, err := c.List(ctx, "k")
		return err
	}},
	{name: "hosts", call: func(ctx context.Context, c *metastore.Client, _ initialState) error {
		_, err := c.Hosts(ctx)
		return err
	}},
	{name: "watch", call: func(ctx context.Context, c *metastore.Client, s initialState) error {
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		err := c.Watch(ctx, "k", s.entry.Revision, func(metastore.Entry) {})
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() != nil {
			return nil // it stayed open until the test ended it
		}
		return err
	}},
	{name: "swap", call: func(ctx context.Context, c *metastore.Client, s initialState) error {
		_, err := c.CompareAndSwap(ctx, "k", s.entry.Revision, []byte("new"), 0)
		return err
	}, applied: func(b *fixture, _ initialState) bool {
		e, err := b.client.Get(b.t.Context(), "k")
		b.NoErr(err)
		return string(e.Value) == "new"
	}},
	{name: "delete", call: func(ctx context.Context, c *metastore.Client, s initialState) error {
		return c.Delete(ctx, "k", s.entry.Revision)
	}, applied: keyDeleted},
	{name: "grant", call: func(ctx context.Context, c *metastore.Client, _ initialState) error {
		_, err := c.Grant(ctx, time.Hour)
		return err
	}, applied: func(b *fixture, s initialState) bool {
		id, err := b.client.Grant(b.t.Context(), time.Hour) // ids rise by one
		b.NoErr(err)
		return id > s.lease+1
	}},
	{name: "keep-alive", call: func(ctx context.Context, c *metastore.Client, s initialState) error {
		_, err := c.KeepAlive(ctx, s.lease)
		return err
	}},
	{name: "revoke", call: func(ctx context.Context, c *metastore.Client, s initialState) error {
		return c.Revoke(ctx, s.lease)
	}, applied: keyDeleted},
}

// keyDeleted reports whether key "k" does not exist.
func keyDeleted(b *fixture, _ initialState) bool {
	_, err := b.client.Get(b.t.Context(), "k")
	return errors.Is(err, metastore.ErrNotFound)
}

// writes reports whether the operation can change the store.
func (o operation) writes() bool { return o.applied != nil || o.name == "keep-alive" }

// faults lists every fault with the expected outcomes of reads and writes, and
// whether a write takes effect.
var faults = []struct {
	name    string
	begin   func(b *fixture)
	read    error
	write   error
	applied bool
}{
	{name: "none", begin: func(*fixture) {}, applied: true},
	{name: "nothing listens", begin: func(b *fixture) { b.net.remove(address) }, read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "no leader", begin: withFaults(standin.Faults{Outage: standin.OutageRefuse}), read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "connections closed", begin: withFaults(standin.Faults{Outage: standin.OutageReset}), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "calls hang", begin: withFaults(standin.Faults{Outage: standin.OutageHang}), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "slow, within the timeout", begin: withFaults(standin.Faults{Delay: 900 * time.Millisecond}), applied: true},
	{name: "slow, beyond the timeout", begin: withFaults(standin.Faults{Delay: 3 * time.Second}), read: metastore.ErrUnavailable, write: metastore.ErrUnknown, applied: true},
	{name: "response beyond the timeout", begin: withFaults(standin.Faults{AnswerDelay: 3 * time.Second}), read: metastore.ErrUnavailable, write: metastore.ErrUnknown, applied: true},
	{name: "applied, response lost", begin: withFaults(standin.Faults{LoseApplied: 1}), write: metastore.ErrUnknown, applied: true},
	{name: "not applied, response lost", begin: withFaults(standin.Faults{LoseUnapplied: 1}), write: metastore.ErrUnknown},
	{name: "rate limit of the service", begin: func(b *fixture) { b.server.SetRates(1e-9, 1e-9); b.exhaustLimiters() }, read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "own rate limit", begin: func(b *fixture) {
		b.options.ReadRate, b.options.WriteRate, b.options.LeaseRate = 1e-9, 1e-9, 1e-9
		b.client = b.newClient()
		b.exhaustLimiters()
	}, read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "status 500", begin: respondingWith(http.StatusInternalServerError, "{}"), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "status 503 with another message", begin: respondingWith(http.StatusServiceUnavailable, `{"message":"busy"}`), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "status 404", begin: respondingWith(http.StatusNotFound, "no such page"), read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "redirect", begin: respondingWith(http.StatusTemporaryRedirect, ""), read: metastore.ErrUnavailable, write: metastore.ErrUnavailable},
	{name: "empty response", begin: respondingWith(http.StatusOK, ""), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "response cut off", begin: respondingWith(http.StatusOK, `{"header":{"revision":"9"`), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "status 000", begin: respondingWithText("HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\n{}"), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "malformed name", begin: respondingWithText("HTTP/1.1 400 Bad Request\r\nBad Name: x\r\nContent-Length: 2\r\n\r\n{}"), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "response ends within its head", begin: respondingWithText("HTTP/1.1 400 Bad Request\r\nContent-Len"), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "response ends within its body", begin: respondingWithText("HTTP/1.1 400 Bad Request\r\nContent-Length: 9\r\n\r\n{}"), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
	{name: "response of another service", begin: respondingWith(http.StatusOK, `"<html>"`), read: metastore.ErrUnavailable, write: metastore.ErrUnknown},
}

// withFaults injects faults at the stand-in.
func withFaults(f standin.Faults) func(*fixture) {
	return func(b *fixture) { b.server.SetFaults(f) }
}

// respondingWith replaces the service by a handler with a fixed response.
func respondingWith(status int, body string) func(*fixture) {
	return func(b *fixture) {
		b.net.remove(address)
		b.serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
			_, _ = fmt.Fprint(w, body)
		}))
	}
}

// respondingWithText replaces the service by one that writes text and closes the connection.
func respondingWithText(text string) func(*fixture) {
	return func(b *fixture) {
		b.net.remove(address)
		b.serve(address, rawhttp.Handler(text))
	}
}

// exhaustLimiters uses up the burst of the rate limiters.
func (b *fixture) exhaustLimiters() {
	ctx := b.t.Context()
	for range 3 {
		_, _ = b.client.Get(ctx, "other")
		_, _ = b.client.KeepAlive(ctx, 1)
		_, _ = b.client.CompareAndSwap(ctx, "other", 99, nil, 0)
	}
}

// TestFaults runs every operation under every fault. The outcome must be the
// one listed, and the effect must agree with what the outcome claims.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		for _, o := range operations {
			t.Run(f.name+"/"+o.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newFixture(t, standin.Config{}, nil)
					s := b.createInitialState()
					f.begin(b)
					synctest.Wait() // until closed connections are detected
					want := f.read
					if o.writes() {
						want = f.write
					}
					got := o.call(t.Context(), b.client, s)
					if !errors.Is(got, want) {
						t.Fatalf("outcome %v, want %v", got, want)
					}
					time.Sleep(5 * time.Second) // lets requests in flight take effect
					if o.applied == nil {
						return
					}
					b.clearFaults()
					b.Equal(o.applied(b, s), f.applied)
				})
			})
		}
	}
}

// createInitialState creates a key with a lease.
func (b *fixture) createInitialState() initialState {
	id, err := b.client.Grant(b.t.Context(), time.Hour)
	b.NoErr(err)
	e, err := b.client.CompareAndSwap(b.t.Context(), "k", 0, []byte("old"), id)
	b.NoErr(err)
	return initialState{entry: e, lease: id}
}

// clearFaults ends every fault and replaces the client by a new one.
func (b *fixture) clearFaults() {
	b.server.SetFaults(standin.Faults{})
	b.server.SetRates(0, 0)
	b.net.remove(address)
	b.serve(address, b.server.Handler())
	b.options.ReadRate, b.options.WriteRate, b.options.LeaseRate = 1000, 1000, 1000
	b.client = b.newClient()
}

// TestEndedContext: a call whose context ends before it is sent has no effect.
func TestEndedContext(t *testing.T) {
	for _, o := range operations {
		t.Run(o.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, standin.Config{}, nil)
				s := b.createInitialState()
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
