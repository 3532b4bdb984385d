package metastore

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// A follower waits a random time between zero and twice an interval before it
// reconnects. The interval grows from followFirst to followMax, so that after
// a long outage the fleet's followers come back evenly over 2*followMax, and
// after a short break over 2*followFirst. A connection counts as good, and
// the interval starts over, once it has lasted followSteady.
const (
	followFirst  = time.Second
	followMax    = 10 * time.Second
	followSteady = 10 * time.Second
)

// Change is one report of Follow.
type Change struct {
	Entry Entry // a nil Value means that the key was deleted
	// Restored says that the store has gone back to an older state than Seen.
	// Entry is then empty; the reports that follow belong to the restored
	// history, whose revisions rise again from a lower one.
	Restored bool
	Seen     int64
}

// Follow calls fn for the key's current value, if its revision is above
// after, and for each later change, reconnecting for ever. The revisions
// reported rise strictly between two reports of a restored store; old values,
// from wherever they come, are not reported. It returns only when ctx ends.
func Follow(ctx context.Context, store Store, key string, after int64, fn func(Change)) error {
	f := follower{key: key, last: after, fn: fn}
	wait := followBackOff()
	for {
		start := time.Now()
		err := store.Watch(ctx, key, f.last, f.report)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Since(start) >= followSteady {
			wait.Reset()
			f.suspicion = suspicion{}
		}
		f.ended(err)
		if err := sleep(ctx, wait.NextBackOff()); err != nil {
			return err
		}
	}
}

// followBackOff returns the waits of one follower.
func followBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = followFirst
	b.MaxInterval = followMax
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

// follower is the state that outlives the connections of one Follow.
type follower struct {
	key     string
	last    int64
	deleted bool
	fn      func(Change)
	suspicion
}

// report passes on an entry that is newer than all before.
func (f *follower) report(e Entry) {
	if e.Revision <= f.last {
		return
	}
	f.last = e.Revision
	f.suspicion = suspicion{}
	if e.Value == nil && f.deleted {
		return
	}
	f.deleted = e.Value == nil
	f.fn(Change{Entry: e})
}

// ended looks at why a watch ended. Only older answers in a row, over some
// time, mean that the store was restored; one may come from a lagging replica.
func (f *follower) ended(err error) {
	var back *RestoredError
	if !errors.As(err, &back) {
		return
	}
	if back.Now >= f.last && !back.OtherCluster {
		return
	}
	if !f.confirm(time.Now()) {
		return
	}
	seen := f.last
	f.last = 0
	f.deleted = false
	f.suspicion = suspicion{}
	f.fn(Change{Restored: true, Seen: seen})
}
