package metastore

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Backoff of Follow. Before reconnecting it waits a random time between zero
// and twice the interval. The interval grows from followInitialInterval to
// followMaxInterval, so that all followers reconnect spread evenly over
// 2*followMaxInterval after a long outage, and over 2*followInitialInterval
// after a short interruption. The interval is reset once a connection has
// lasted followResetAfter.
const (
	followInitialInterval = time.Second
	followMaxInterval     = 10 * time.Second
	followResetAfter      = 10 * time.Second
)

// Change is one event reported by Follow.
type Change struct {
	Entry Entry // a nil Value means that the key was deleted
	// Restored says that the store has reverted to a state older than revision
	// Seen. Entry is then empty. The changes that follow belong to the restored
	// history, whose revisions rise again from a lower value.
	Restored bool
	Seen     int64
}

// Follow calls fn with the key's current value, if its revision is above after,
// and with each later change, and reconnects indefinitely. Between two reports
// of a restored store the reported revisions strictly increase; stale values
// are not reported, wherever they come from. Follow returns only when ctx ends.
func Follow(ctx context.Context, store Store, key string, after int64, fn func(Change)) error {
	f := follower{key: key, lastRevision: after, fn: fn}
	wait := followBackOff()
	for {
		start := time.Now()
		err := store.Watch(ctx, key, f.lastRevision, f.report)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Since(start) >= followResetAfter {
			wait.Reset()
			f.restoreDetector = restoreDetector{}
		}
		f.watchEnded(err)
		if err := sleep(ctx, wait.NextBackOff()); err != nil {
			return err
		}
	}
}

// followBackOff returns the reconnect backoff of one Follow call.
func followBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = followInitialInterval
	b.MaxInterval = followMaxInterval
	b.RandomizationFactor = 1
	b.Multiplier = 2
	return b
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// follower is the state of one Follow call that is kept across connections.
type follower struct {
	key          string
	lastRevision int64
	deleted      bool
	fn           func(Change)
	restoreDetector
}

// report passes an entry on if it is newer than every entry before it.
func (f *follower) report(e Entry) {
	if e.Revision <= f.lastRevision {
		return
	}
	f.lastRevision = e.Revision
	f.restoreDetector = restoreDetector{}
	if e.Value == nil && f.deleted {
		return
	}
	f.deleted = e.Value == nil
	f.fn(Change{Entry: e})
}

// watchEnded evaluates why a watch ended. A restore is assumed only after
// several consecutive stale responses over some time, since a single one may
// come from a lagging replica.
func (f *follower) watchEnded(err error) {
	var restoredErr *RestoredError
	if !errors.As(err, &restoredErr) {
		return
	}
	if restoredErr.Now >= f.lastRevision && !restoredErr.OtherCluster {
		return
	}
	if !f.recordStale(time.Now()) {
		return
	}
	seen := f.lastRevision
	f.lastRevision = 0
	f.deleted = false
	f.restoreDetector = restoreDetector{}
	f.fn(Change{Restored: true, Seen: seen})
}
