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

// leaseTTL is the TTL of the leases in these tests; margin is how much earlier
// the holder treats a lease as expired.
const (
	leaseTTL = 8 * time.Second
	margin   = time.Second
)

// withLongTimeout allows a call to take longer than a lease lasts.
func withLongTimeout(o *metastore.Options) { o.Timeout = time.Minute }

// acquire acquires a lease and attaches key "k" to it.
func (b *fixture) acquire() *metastore.Lease {
	l, err := metastore.Acquire(b.t.Context(), b.client, leaseTTL)
	b.NoErr(err)
	_, err = b.client.CompareAndSwap(b.t.Context(), "k", 0, []byte("holder"), l.ID())
	b.NoErr(err)
	return l
}

func TestLeaseEndsBeforeTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, standin.Config{}, nil)
		l := b.acquire()
		b.Equal(l.Remaining(time.Now()), leaseTTL-margin)
		time.Sleep(leaseTTL - margin - time.Millisecond)
		b.True(l.Held(time.Now()))
		time.Sleep(time.Millisecond)
		b.True(!l.Held(time.Now()))
		b.True(!keyDeleted(b, initialState{}))
		b.True(errors.Is(l.Renew(t.Context()), metastore.ErrLeaseExpired)) // expiry is final although the service still knows the lease
		time.Sleep(margin)
		synctest.Wait()
		b.True(keyDeleted(b, initialState{}))
	})
}

// TestLeasePaused: a holder that is paused for d during a call observes the
// same as when the response takes d.
func TestLeasePaused(t *testing.T) {
	cases := []struct {
		name string
		d    time.Duration
		held bool
	}{
		{"briefly", 2 * time.Second, true},
		{"until the margin", leaseTTL - margin, false},
		{"for longer than the lease", time.Hour, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, standin.Config{}, func(o *metastore.Options) { o.Timeout = 2 * time.Hour })
				held := b.acquire()
				b.server.SetFaults(standin.Faults{AnswerDelay: c.d})
				err := held.Renew(t.Context())
				b.Equal(err == nil, c.held)
				b.Equal(held.Held(time.Now()), c.held)
				fresh, err := metastore.Acquire(t.Context(), b.client, leaseTTL)
				b.NoErr(err)
				b.Equal(fresh.Held(time.Now()), c.held) // computed from when the request was sent
				b.Equal(fresh.Remaining(time.Now()), max(0, leaseTTL-margin-c.d))
			})
		})
	}
}

func TestLeaseKeep(t *testing.T) {
	cases := []struct {
		name  string
		fault standin.Faults
		lasts bool
	}{
		{"no fault", standin.Faults{}, true},
		{"one renewal lost", standin.Faults{LoseUnapplied: 1}, true},
		{"one response lost", standin.Faults{LoseApplied: 1}, true},
		{"outage", standin.Faults{Outage: standin.OutageReset}, false},
		{"calls hang", standin.Faults{Outage: standin.OutageHang}, false},
		{"every renewal lost", standin.Faults{LoseUnapplied: 99}, false},
		{"every response lost", standin.Faults{LoseApplied: 99}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, standin.Config{}, withLongTimeout)
				l := b.acquire()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				b.server.SetFaults(c.fault)
				start := time.Now()
				err := l.KeepAlive(ctx)
				b.Equal(l.Held(time.Now()), c.lasts)
				if c.lasts {
					b.True(errors.Is(err, context.DeadlineExceeded))
					return
				}
				b.True(errors.Is(err, metastore.ErrLeaseExpired))
				b.True(time.Since(start) <= leaseTTL-margin)
			})
		})
	}
}

// TestLeaseRevoked: a lease that the service has ended is lost immediately, and
// a lease that its holder releases is dropped before the service responds.
func TestLeaseRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, standin.Config{}, nil)
		l := b.acquire()
		b.NoErr(b.client.Revoke(t.Context(), l.ID()))
		b.True(errors.Is(l.Renew(t.Context()), metastore.ErrLeaseExpired))
		b.True(!l.Held(time.Now()))

		l = b.acquire()
		b.server.SetFaults(standin.Faults{Outage: standin.OutageReset})
		b.True(errors.Is(l.Release(t.Context()), metastore.ErrUnknown))
		b.True(!l.Held(time.Now()))
	})
}
