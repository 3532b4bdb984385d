package metastore_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// followLog records the changes that one Follow call has reported.
type followLog struct {
	lines []string
	last  int64
}

// follow follows key "k" until the test ends.
func (b *fixture) follow(after int64) *followLog {
	f := &followLog{last: after}
	ctx, cancel := context.WithCancel(b.t.Context())
	b.t.Cleanup(cancel)
	go func() {
		_ = metastore.Follow(ctx, b.client, "k", after, func(c metastore.Change) {
			if c.Restored {
				f.lines = append(f.lines, fmt.Sprintf("restored after %d", c.Seen))
				f.last = 0
				return
			}
			if c.Entry.Revision <= f.last {
				b.t.Errorf("revision %d after %d", c.Entry.Revision, f.last)
			}
			f.last = c.Entry.Revision
			f.lines = append(f.lines, valueText(c.Entry))
		})
	}()
	synctest.Wait()
	return f
}

// maxReconnectTime is the longest wait of a follower before it reconnects, plus
// time for the first responses.
const maxReconnectTime = 21 * time.Second

// followCases are the events between the values "1" and "3" of a key.
var followCases = []struct {
	name   string
	change func(b *fixture, e metastore.Entry) metastore.Entry
	lines  []string
}{
	{"nothing", func(_ *fixture, e metastore.Entry) metastore.Entry { return e }, []string{"1", "3"}},
	{"a change during an outage", func(b *fixture, e metastore.Entry) metastore.Entry {
		for _, o := range []standin.Outage{standin.OutageReset, standin.OutageRefuse, standin.OutageHang} {
			b.server.SetFaults(standin.Faults{Outage: o})
			time.Sleep(time.Hour)
		}
		b.server.SetFaults(standin.Faults{})
		e = b.swap(e, "2")
		time.Sleep(maxReconnectTime)
		return e
	}, []string{"1", "2", "3"}},
	{"a watch that delivers stale values", func(b *fixture, e metastore.Entry) metastore.Entry {
		b.server.SetFaults(standin.Faults{Watch: standin.WatchOld})
		e = b.swap(e, "2")
		synctest.Wait()
		return e
	}, []string{"1", "2", "3"}},
	{"a watch that stays open but delivers nothing", func(b *fixture, e metastore.Entry) metastore.Entry {
		b.server.SetFaults(standin.Faults{Watch: standin.WatchPaused})
		e = b.swap(e, "2")
		time.Sleep(12 * time.Second)
		b.server.SetFaults(standin.Faults{})
		return e
	}, []string{"1", "2", "3"}},
	{"a paused watch that resumes", func(b *fixture, e metastore.Entry) metastore.Entry {
		b.server.SetFaults(standin.Faults{Watch: standin.WatchPaused})
		e = b.swap(e, "2")
		time.Sleep(time.Second)
		b.server.SetFaults(standin.Faults{})
		synctest.Wait()
		return e
	}, []string{"1", "2", "3"}},
	{"deletion during an outage", func(b *fixture, e metastore.Entry) metastore.Entry {
		b.server.SetFaults(standin.Faults{Outage: standin.OutageReset})
		synctest.Wait()
		b.server.SetFaults(standin.Faults{})
		b.NoErr(b.client.Delete(b.t.Context(), "k", e.Revision))
		time.Sleep(maxReconnectTime)
		b.server.SetFaults(standin.Faults{Outage: standin.OutageReset})
		synctest.Wait()
		b.server.SetFaults(standin.Faults{}) // a second disconnect does not report the deletion again
		time.Sleep(maxReconnectTime)
		return metastore.Entry{Key: "k"}
	}, []string{"1", "deleted", "3"}},
	{"reads from a lagging replica", func(b *fixture, e metastore.Entry) metastore.Entry {
		b.server.Snapshot()
		e = b.swap(e, "2")
		synctest.Wait()
		b.server.SetFaults(standin.Faults{OldReads: true})
		for before := b.server.Counts().Range; b.server.Counts().Range < before+2; {
			time.Sleep(time.Millisecond) // two stale responses do not confirm a restore
		}
		b.server.SetFaults(standin.Faults{})
		time.Sleep(maxReconnectTime)
		return e
	}, []string{"1", "2", "3"}},
	{"a store restored to an older value", func(b *fixture, e metastore.Entry) metastore.Entry {
		b.server.Snapshot()
		b.swap(e, "2")
		synctest.Wait()
		b.True(b.server.Restore())
		time.Sleep(time.Minute)
		return e
	}, []string{"1", "2", "restored after 3", "1", "3"}},
	{"a store restored and then written beyond the old revision", func(b *fixture, e metastore.Entry) metastore.Entry {
		b.server.Snapshot()
		b.swap(e, "2")
		synctest.Wait()
		b.True(b.server.Restore())
		for i := range 10 {
			_, _ = b.newClient().CompareAndSwap(b.t.Context(), fmt.Sprint(i), 0, nil, 0)
		}
		time.Sleep(time.Minute)
		return e
	}, []string{"1", "2", "restored after 3", "1", "3"}},
	{"a store restored into a new cluster that has the same revisions", func(b *fixture, e metastore.Entry) metastore.Entry {
		b.server.Snapshot()
		b.swap(e, "2")
		synctest.Wait()
		b.True(b.server.RestoreCluster())
		other := b.newClient()
		e, err := other.CompareAndSwap(b.t.Context(), "k", e.Revision, []byte("another 2"), 0)
		b.NoErr(err)
		time.Sleep(time.Minute)
		return e
	}, []string{"1", "2", "restored after 3", "another 2", "3"}},
	{"a store restored to a time without the key", func(b *fixture, e metastore.Entry) metastore.Entry {
		b.NoErr(b.client.Delete(b.t.Context(), "k", e.Revision))
		b.server.Snapshot()
		b.create("k", "2")
		synctest.Wait()
		b.True(b.server.Restore())
		time.Sleep(time.Minute)
		return metastore.Entry{Key: "k"}
	}, []string{"1", "deleted", "2", "restored after 4", "3"}},
}

func TestFollow(t *testing.T) {
	for _, c := range followCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, standin.Config{}, nil)
				e := b.create("k", "1")
				f := b.follow(0)
				e = c.change(b, e)
				b.swap(e, "3")
				synctest.Wait()
				b.Equal(f.lines, c.lines)
			})
		})
	}
}

// TestRestoredStore: a client does not use stale responses until it has
// confirmed that they are the store's new history, and it reports each restore
// once.
func TestRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var restores []int64
		b := newFixture(t, standin.Config{}, func(o *metastore.Options) {
			o.OnRestore = func(seen, now int64) { restores = append(restores, seen, now) }
		})
		e := b.create("k", "1")
		b.server.Snapshot()
		claim := b.create("claim", "mine")
		b.True(b.server.Restore())
		_, err := b.client.Get(t.Context(), "claim")
		b.True(errors.Is(err, metastore.ErrRestored))
		b.True(errors.Is(err, metastore.ErrUnavailable))
		b.True(!errors.Is(err, metastore.ErrNotFound)) // the claim must not appear to be free
		time.Sleep(3 * time.Second)
		_, err = b.client.CompareAndSwap(t.Context(), "claim", 0, []byte("yours"), 0)
		b.True(errors.Is(err, metastore.ErrRestored))
		b.True(errors.Is(err, metastore.ErrUnknown))
		_, err = b.client.Get(t.Context(), "k")
		b.NoErr(err) // the swap raised the store to the highest revision seen
		b.Equal(len(restores), 0)

		b.swap(e, "2")
		b.swap(metastore.Entry{Key: "claim", Revision: claim.Revision}, "yours again")
		b.True(b.server.Restore())
		var restoredErr *metastore.RestoredError
		for i := range 3 {
			_, err = b.client.Get(t.Context(), "claim")
			b.True(errors.As(err, &restoredErr))
			b.Equal(restoredErr.Confirmed, i == 2)
			time.Sleep(1500 * time.Millisecond)
		}
		b.Equal(restores, []int64{claim.Revision + 2, claim.Revision - 1})
		_, err = b.client.Get(t.Context(), "claim")
		b.True(errors.Is(err, metastore.ErrNotFound))
	})
}
