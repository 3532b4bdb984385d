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
	id string // unique, to recognize an own write whose response was lost

	mu          sync.Mutex
	lease       *metastore.Lease
	unreachable bool
	acquiring   bool
	nextAttempt time.Time // zero while there is nothing to do
	idleSince   time.Time // since when the holder has had nothing to do
}

func newElector(g *Gateway) *elector { return &elector{g: g, id: g.cfg.Name + " " + uuid.NewString()} }

// heldID returns the ID of the lease if it is held at the given time, else 0.
func (e *elector) heldID(now time.Time) metastore.LeaseID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease == nil || !e.lease.Held(now) {
		return 0
	}
	return e.lease.ID()
}

// stateOrAcquire returns what the gateway may do at the given time, and starts
// an attempt to acquire the lease if one is due.
func (e *elector) stateOrAcquire(now time.Time) leaseState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idleSince = time.Time{}
	if e.lease != nil && e.lease.Held(now) {
		return leaseHeld
	}
	if e.nextAttempt.IsZero() {
		e.nextAttempt = now.Add(rand.N(maxFirstDelay))
	}
	if !e.acquiring && !now.Before(e.nextAttempt) {
		e.acquiring = true
		e.g.background.Go(e.tryAcquire)
	}
	if e.unreachable {
		return platformUnreachable
	}
	return leaseNotHeld
}

// markIdle records that there is nothing to do.
func (e *elector) markIdle(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease == nil {
		e.nextAttempt = time.Time{}
		return
	}
	if e.idleSince.IsZero() {
		e.idleSince = now
	}
	if now.Sub(e.idleSince) >= releaseAfterIdle {
		l := e.lease
		e.lease = nil
		e.g.background.Go(func() { e.revoke(l) })
	}
}

// tryAcquire makes one attempt to acquire the lease.
func (e *elector) tryAcquire() {
	ctx, cancel := context.WithTimeout(e.g.ctx, acquireTimeout)
	defer cancel()
	l, err := e.acquire(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acquiring = false
	e.unreachable = err != nil && !errors.Is(err, metastore.ErrConflict)
	e.nextAttempt = time.Now().Add(acquireInterval/2 + rand.N(acquireInterval))
	if err != nil {
		return
	}
	e.lease = l
	e.g.deps.Log.Info("Acquired the placer lease of the data centre.", "data_centre", e.g.cfg.DataCentre)
	e.g.background.Go(func() { e.keepAlive(l) })
}

// acquire returns the lease, or ErrConflict if another gateway holds it.
func (e *elector) acquire(ctx context.Context) (*metastore.Lease, error) {
	store, key := e.g.deps.Store, metastore.PrefixPlacers+e.g.cfg.DataCentre
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
	value := []byte(e.id + " " + uuid.NewString())
	same := func(e metastore.Entry) bool { return string(e.Value) == string(value) }
	if _, err := metastore.SwapAndResolve(ctx, store, key, 0, value, l.ID(), same); err != nil {
		e.g.background.Go(func() { e.revoke(l) })
		return nil, err
	}
	return l, nil
}

// keepAlive renews the lease until it ends.
func (e *elector) keepAlive(l *metastore.Lease) {
	err := l.KeepAlive(e.g.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease == l && e.g.ctx.Err() == nil {
		e.g.deps.Log.Warn("Lost the placer lease.", "err", err)
		e.lease = nil
	}
}

// release releases the lease if it is held.
func (e *elector) release() {
	e.mu.Lock()
	l := e.lease
	e.lease = nil
	e.mu.Unlock()
	if l != nil {
		e.revoke(l)
	}
}

func (e *elector) revoke(l *metastore.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.g.ctx), revokeTimeout)
	defer cancel()
	_ = l.Release(ctx)
}
