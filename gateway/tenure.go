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
	// claimPause is the mean pause between two attempts to get the lease, of
	// a gateway that sees work to do.
	claimPause = 6 * time.Second
	claimFirst = 500 * time.Millisecond // longest wait before the first attempt
	tenureTime = 3 * time.Second        // for one attempt
	revokeTime = time.Second
	// restAfter is how long a holder without work keeps the lease.
	restAfter = 30 * time.Second
)

// standing is what a gateway may do as placer.
type standing int

const (
	notHolding standing = iota
	holding
	platformAway // nobody can get the lease
)

// tenure is the gateway's side of the lease of its data centre's placer. It
// costs no call while there is nothing to do, one read per pause while another
// gateway holds it, and the renewals while this one does.
type tenure struct {
	g    *Gateway
	name string // unique, so that an answer that was lost can be told

	mu     sync.Mutex
	lease  *metastore.Lease
	away   bool
	trying bool
	next   time.Time // of the next attempt; zero while there is nothing to do
	idle   time.Time // since when the holder has had nothing to do
}

func newTenure(g *Gateway) *tenure { return &tenure{g: g, name: g.cfg.Name + " " + uuid.NewString()} }

// held returns the lease that is held at now, or 0.
func (t *tenure) held(now time.Time) metastore.LeaseID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == nil || !t.lease.Held(now) {
		return 0
	}
	return t.lease.ID()
}

// claim says what the gateway may do at now, and tries to get the lease when
// it is time for that.
func (t *tenure) claim(now time.Time) standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = time.Time{}
	if t.lease != nil && t.lease.Held(now) {
		return holding
	}
	if t.next.IsZero() {
		t.next = now.Add(rand.N(claimFirst))
	}
	if !t.trying && !now.Before(t.next) {
		t.trying = true
		t.g.loops.Go(t.try)
	}
	if t.away {
		return platformAway
	}
	return notHolding
}

// rest tells that there is nothing to do.
func (t *tenure) rest(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == nil {
		t.next = time.Time{}
		return
	}
	if t.idle.IsZero() {
		t.idle = now
	}
	if now.Sub(t.idle) >= restAfter {
		l := t.lease
		t.lease = nil
		t.g.loops.Go(func() { t.revoke(l) })
	}
}

// try makes one attempt to get the lease.
func (t *tenure) try() {
	ctx, cancel := context.WithTimeout(t.g.ctx, tenureTime)
	defer cancel()
	l, err := t.acquire(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trying = false
	t.away = err != nil && !errors.Is(err, metastore.ErrConflict)
	t.next = time.Now().Add(claimPause/2 + rand.N(claimPause))
	if err != nil {
		return
	}
	t.lease = l
	t.g.deps.Log.Info("Placing models for the data centre.", "data_centre", t.g.cfg.DataCentre)
	t.g.loops.Go(func() { t.keep(l) })
}

// acquire returns the lease, or ErrConflict when another gateway holds it.
func (t *tenure) acquire(ctx context.Context) (*metastore.Lease, error) {
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
	value := []byte(t.name + " " + uuid.NewString())
	same := func(e metastore.Entry) bool { return string(e.Value) == string(value) }
	if _, err := metastore.Settle(ctx, store, key, 0, value, l.ID(), same); err != nil {
		t.g.loops.Go(func() { t.revoke(l) })
		return nil, err
	}
	return l, nil
}

// keep renews the lease until it is over.
func (t *tenure) keep(l *metastore.Lease) {
	err := l.Keep(t.g.ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == l && t.g.ctx.Err() == nil {
		t.g.deps.Log.Warn("The placer's lease is over.", "err", err)
		t.lease = nil
	}
}

// release gives the lease up, if it is held.
func (t *tenure) release() {
	t.mu.Lock()
	l := t.lease
	t.lease = nil
	t.mu.Unlock()
	if l != nil {
		t.revoke(l)
	}
}

func (t *tenure) revoke(l *metastore.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.g.ctx), revokeTime)
	defer cancel()
	_ = l.Release(ctx)
}
