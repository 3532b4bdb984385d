package metastore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Timing of leases. A holder treats its lease as expired TTL/leaseMarginDivisor
// before the service does. The margin covers clocks that run at different
// rates and the time that an action begun at the last moment needs to take
// effect. The holder renews the lease leaseRenewalsPerTTL times per TTL.
const (
	leaseMarginDivisor  = 8
	leaseRenewalsPerTTL = 4
)

// Lease is the holder's view of a lease. Expiry is computed on the local clock
// from the moment the request was sent, so a holder that was paused finds the
// lease expired as soon as it checks. Expiry is final: a lease that has expired
// here is never held again, even if the service still knows it.
//
// A check of Held before an action is necessary but not sufficient, since the
// holder may be paused between the check and the action. Whatever carries the
// action out must check a fencing number.
type Lease struct {
	store Store
	id    LeaseID
	ttl   time.Duration

	mu       sync.Mutex
	deadline deadline
}

// deadline is the expiry of a lease on the monotonic and on the wall clock; it
// is zero once the lease was released or lost.
type deadline struct {
	monotonic time.Time
	wall      time.Time
}

// newDeadline returns the deadline at t, which must derive from time.Now.
func newDeadline(t time.Time) deadline { return deadline{monotonic: t, wall: t.Round(0)} }

// remaining returns the time from now to the deadline, or zero if it has
// passed. The monotonic clock stops while a machine is suspended and the wall
// clock may be set, so the shorter of the two times counts.
func (e deadline) remaining(now time.Time) time.Duration {
	if e.monotonic.IsZero() {
		return 0
	}
	return max(0, min(e.monotonic.Sub(now), e.wall.Sub(now.Round(0))))
}

// Acquire creates a lease. The service rounds a ttl below one second up; the
// holder does not.
func Acquire(ctx context.Context, store Store, ttl time.Duration) (*Lease, error) {
	sent := time.Now()
	id, err := store.Grant(ctx, ttl)
	if err != nil {
		return nil, err
	}
	l := &Lease{store: store, id: id, ttl: ttl}
	l.deadline = newDeadline(l.expiry(sent, ttl))
	return l, nil
}

// ID returns the id that the service gave the lease.
func (l *Lease) ID() LeaseID { return l.id }

// Held reports whether the lease is held at now, which must come from time.Now.
func (l *Lease) Held(now time.Time) bool { return l.Remaining(now) > 0 }

// Remaining returns how long after now the lease is held, or zero.
func (l *Lease) Remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadline.remaining(now)
}

// Renew renews the lease with one call. ErrLeaseExpired means that it has finally
// expired; after any other error its deadline is unchanged.
func (l *Lease) Renew(ctx context.Context) error {
	sent := time.Now()
	if !l.Held(sent) {
		return ErrLeaseExpired
	}
	remaining, err := l.store.KeepAlive(ctx, l.id)
	if errors.Is(err, ErrLeaseExpired) {
		l.invalidate()
	}
	if err != nil {
		return err
	}
	return l.extend(sent, remaining, time.Now())
}

// extend moves the deadline unless the lease has expired during the call.
func (l *Lease) extend(sent time.Time, remaining time.Duration, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deadline.remaining(now) == 0 {
		l.deadline = deadline{}
		return ErrLeaseExpired
	}
	if t := l.expiry(sent, remaining); t.After(l.deadline.monotonic) {
		l.deadline = newDeadline(t)
	}
	return nil
}

// expiry returns when the holder must treat the lease as expired, given its
// remaining time to live when the request was sent.
func (l *Lease) expiry(sent time.Time, remaining time.Duration) time.Time {
	return sent.Add(min(remaining, l.ttl) - l.ttl/leaseMarginDivisor)
}

// KeepAlive renews the lease until it has expired (ErrLeaseExpired) or ctx ends.
func (l *Lease) KeepAlive(ctx context.Context) error {
	for {
		if err := sleep(ctx, l.renewInterval()); err != nil {
			return err
		}
		if err := l.renewWithTimeout(ctx); errors.Is(err, ErrLeaseExpired) {
			return err
		}
		if !l.Held(time.Now()) {
			return ErrLeaseExpired
		}
	}
}

// renewInterval returns the length of one wait or the timeout of one renewal;
// it never extends beyond the lease's deadline.
func (l *Lease) renewInterval() time.Duration {
	return min(l.ttl/leaseRenewalsPerTTL, l.Remaining(time.Now()))
}

// renewWithTimeout renews the lease with a call that takes at most one renewal
// interval.
func (l *Lease) renewWithTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.renewInterval())
	defer cancel()
	return l.Renew(ctx)
}

// Release drops the lease locally and then revokes it at the service, which
// deletes the keys attached to it. If the revocation fails, they are deleted
// when the lease expires.
func (l *Lease) Release(ctx context.Context) error {
	l.invalidate()
	return l.store.Revoke(ctx, l.id)
}

// invalidate makes the lease count as expired for the holder.
func (l *Lease) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = deadline{}
}
