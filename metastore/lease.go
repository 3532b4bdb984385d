package metastore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// A holder gives its lease up one leaseMarginPart-th of the TTL earlier than
// the service does, for clocks that run at different speeds and for the time
// that an action begun at the last moment needs to take effect. It renews a
// lease leaseRenewals times per TTL.
const (
	leaseMarginPart = 8
	leaseRenewals   = 4
)

// Lease is a lease as its holder may rely on it. Its end is reckoned from the
// moment the request was sent, on the local clock, so that a holder that was
// paused finds itself without the lease as soon as it asks. It is final: a
// lease that has lapsed here is never held again, even if the service still
// knows it.
//
// Held is necessary before an action, not sufficient: a holder may be paused
// between the two. What acts on the order must check a fencing number.
type Lease struct {
	store Store
	id    LeaseID
	ttl   time.Duration

	mu    sync.Mutex
	until end
}

// end is when a lease ends, by either clock; zero when it was given up.
type end struct {
	monotonic time.Time
	wall      time.Time
}

// endAt returns the end at t, a reading of time.Now or one reckoned from it.
func endAt(t time.Time) end { return end{monotonic: t, wall: t.Round(0)} }

// remaining returns the time from now to the end, or zero. The monotonic clock
// stands still while a machine is suspended and the wall clock may be set, so
// the shorter of the two counts.
func (e end) remaining(now time.Time) time.Duration {
	if e.monotonic.IsZero() {
		return 0
	}
	return max(0, min(e.monotonic.Sub(now), e.wall.Sub(now.Round(0))))
}

// Acquire creates a lease. A ttl below one second is rounded up by the
// service but not by the holder.
func Acquire(ctx context.Context, store Store, ttl time.Duration) (*Lease, error) {
	sent := time.Now()
	id, err := store.Grant(ctx, ttl)
	if err != nil {
		return nil, err
	}
	l := &Lease{store: store, id: id, ttl: ttl}
	l.until = endAt(l.last(sent, ttl))
	return l, nil
}

// ID returns the service's name of the lease.
func (l *Lease) ID() LeaseID { return l.id }

// Held reports whether the lease is held at now, a reading of time.Now.
func (l *Lease) Held(now time.Time) bool { return l.Remaining(now) > 0 }

// Remaining returns for how long after now the lease is held, or zero.
func (l *Lease) Remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until.remaining(now)
}

// Renew prolongs the lease by one call. ErrLeaseGone means that it has lapsed
// for good; after any other error it is held as long as before.
func (l *Lease) Renew(ctx context.Context) error {
	sent := time.Now()
	if !l.Held(sent) {
		return ErrLeaseGone
	}
	left, err := l.store.KeepAlive(ctx, l.id)
	if errors.Is(err, ErrLeaseGone) {
		l.giveUp()
	}
	if err != nil {
		return err
	}
	return l.prolong(sent, left, time.Now())
}

// prolong moves the end unless the lease has lapsed during the call.
func (l *Lease) prolong(sent time.Time, left time.Duration, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until.remaining(now) == 0 {
		l.until = end{}
		return ErrLeaseGone
	}
	if t := l.last(sent, left); t.After(l.until.monotonic) {
		l.until = endAt(t)
	}
	return nil
}

// last returns the last moment of a lease that had left to go when sent.
func (l *Lease) last(sent time.Time, left time.Duration) time.Time {
	return sent.Add(min(left, l.ttl) - l.ttl/leaseMarginPart)
}

// Keep renews the lease until it has lapsed (ErrLeaseGone) or ctx ends.
func (l *Lease) Keep(ctx context.Context) error {
	for {
		if err := sleep(ctx, l.step()); err != nil {
			return err
		}
		if err := l.renewInStep(ctx); errors.Is(err, ErrLeaseGone) {
			return err
		}
		if !l.Held(time.Now()) {
			return ErrLeaseGone
		}
	}
}

// step returns the time of one wait or renewal: never beyond the lease's end.
func (l *Lease) step() time.Duration {
	return min(l.ttl/leaseRenewals, l.Remaining(time.Now()))
}

// renewInStep renews by a call that takes no longer than a step.
func (l *Lease) renewInStep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.step())
	defer cancel()
	return l.Renew(ctx)
}

// Release gives the lease up at once and then tells the service, which deletes
// the keys attached to it. If that fails they go when the lease lapses.
func (l *Lease) Release(ctx context.Context) error {
	l.giveUp()
	return l.store.Revoke(ctx, l.id)
}

// giveUp ends the lease for the holder.
func (l *Lease) giveUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = end{}
}
