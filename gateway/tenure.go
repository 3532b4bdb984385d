package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/micarudder/micarudder/metastore"
)

const (
	placerTTL = 10 * time.Second // of the lease
	// acquireInterval is the mean interval between two attempts to acquire the
	// lease while there is work to do.
	acquireInterval = 6 * time.Second
	maxFirstDelay   = 500 * time.Millisecond // maximum delay before the first attempt
	acquireTimeout  = 3 * time.Second        // for one attempt
	revokeTimeout   = time.Second
	// releaseAfterIdle is how long a holder without work keeps the lease.
	releaseAfterIdle = 30 * time.Second
)

// leaseState tells what a gateway may do as placer.
type leaseState int

const (
	leaseNotHeld leaseState = iota
	leaseHeld
	platformUnreachable // no gateway can acquire the lease
)

// elector manages the lease that makes this gateway the placer of its data
// centre. It makes no calls while there is nothing to do, one read per interval
// while another gateway holds the lease, and only renewals while this gateway
// holds it.
type elector struct {
	g  *Gateway
	id string // unique, to recognize an own write whose answer was lost

	mu          sync.Mutex
	lease       *metastore.Lease
	unreachable bool
	acquiring   bool
	nextAttempt time.Time // zero while there is nothing to do
	idleSince   time.Time // since when the holder has had nothing to do
}

func newElector(g *Gateway) *elector { return &elector{g: g, id: g.cfg.Name + " " + uuid.NewString()} }

// heldID returns the ID of the lease if it is held at the given time, else 0.
func (t *elector) heldID(now time.Time) metastore.LeaseID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == nil || !t.lease.Held(now) {
		return 0
	}
	return t.lease.ID()
}

// stateOrAcquire returns what the gateway may do at the given time, and starts
// an attempt to acquire the lease if one is due.
func (t *elector) stateOrAcquire(now time.Time) leaseState {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleSince = time.Time{}
	if t.lease != nil && t.lease.Held(now) {
		return leaseHeld
	}
	if t.nextAttempt.IsZero() {
		t.nextAttempt = now.Add(rand.N(maxFirstDelay))
	}
	if !t.acquiring && !now.Before(t.nextAttempt) {
		t.acquiring = true
		t.g.background.Go(t.tryAcquire)
	}
	if t.unreachable {
		return platformUnreachable
	}
	return leaseNotHeld
}

// markIdle records that there is nothing to do.
func (t *elector) markIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == nil {
		t.nextAttempt = time.Time{}
		return
	}
	if t.idleSince.IsZero() {
		t.idleSince = now
	}
	if now.Sub(t.idleSince) >= releaseAfterIdle {
		l := t.lease
		t.lease = nil
		t.g.background.Go(func() { t.revoke(l) })
	}
}

// tryAcquire makes one attempt to acquire the lease.
func (t *elector) tryAcquire() {
	ctx, cancel := context.WithTimeout(t.g.ctx, acquireTimeout)
	defer cancel()
	l, err := t.acquire(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acquiring = false
	t.unreachable = err != nil && !errors.Is(err, metastore.ErrConflict)
	t.nextAttempt = time.Now().Add(acquireInterval/2 + rand.N(acquireInterval))
	if err != nil {
		return
	}
	t.lease = l
	t.g.deps.Log.Info("Acquired the placer lease of the data centre.", "data_centre", t.g.cfg.DataCentre)
	t.g.background.Go(func() { t.keepAlive(l) })
}

// acquire returns the lease, or ErrConflict if another gateway holds it.
func (t *elector) acquire(ctx context.Context) (*metastore.Lease, error) {
	store, key := t.g.deps.Store, metastore.PrefixPlacers+t.g.cfg.DataCentre
	_, err := store.Get(ctx, key)
	if err == nil {
		return nil, metastore.ErrConflict
	}
	if !errors.Is(err, metastore.ErrNotFound) {
		return nil, err
	}
	l, err := metastore.Acquire(ctx, store, placerTTL)
	if err != nil {
		return nil, err
	}
	value := []byte(t.id + " " + uuid.NewString())
	same := func(e metastore.Entry) bool { return string(e.Value) == string(value) }
	if _, err := metastore.Settle(ctx, store, key, 0, value, l.ID(), same); err != nil {
		t.g.background.Go(func() { t.revoke(l) })
		return nil, err
	}
	return l, nil
}

// keepAlive renews the lease until it ends.
func (t *elector) keepAlive(l *metastore.Lease) {
	err := l.Keep(t.g.ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == l && t.g.ctx.Err() == nil {
		t.g.deps.Log.Warn("Lost the placer lease.", "err", err)
		t.lease = nil
	}
}

// release releases the lease if it is held.
func (t *elector) release() {
	t.mu.Lock()
	l := t.lease
	t.lease = nil
	t.mu.Unlock()
	if l != nil {
		t.revoke(l)
	}
}

func (t *elector) revoke(l *metastore.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.g.ctx), revokeTimeout)
	defer cancel()
	_ = l.Release(ctx)
}
