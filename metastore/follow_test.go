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

// followed is what one Follow has reported.
type followed struct {
	lines []string
	last  int64
}

// follow follows "k" until the test ends.
func (b *bench) follow(after int64) *followed {
	f := &followed{last: after}
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
			f.lines = append(f.lines, show(c.Entry))
		})
	}()
	synctest.Wait()
	return f
}

// longest is the longest wait of a follower before it reconnects, and the time
// that the first answers take.
const longest = 21 * time.Second

// followCases are what happens between the values "1" and "3" of a key.
var followCases = []struct {
	name  string
	meet  func(b *bench, e metastore.Entry) metastore.Entry
	lines []string
}{
	{"nothing", func(_ *bench, e metastore.Entry) metastore.Entry { return e }, []string{"1", "3"}},
	{"outage with a change in it", func(b *bench, e metastore.Entry) metastore.Entry {
		for _, o := range []standin.Outage{standin.OutageReset, standin.OutageRefuse, standin.OutageHang} {
			b.server.SetFaults(standin.Faults{Outage: o})
			time.Sleep(time.Hour)
		}
		b.server.SetFaults(standin.Faults{})
		e = b.swap(e, "2")
		time.Sleep(longest)
		return e
	}, []string{"1", "2", "3"}},
	{"a watch that delivers old values", func(b *bench, e metastore.Entry) metastore.Entry {
		b.server.SetFaults(standin.Faults{Watch: standin.WatchOld})
		e = b.swap(e, "2")
		synctest.Wait()
		return e
	}, []string{"1", "2", "3"}},
	{"a watch that stays open and silent", func(b *bench, e metastore.Entry) metastore.Entry {
		b.server.SetFaults(standin.Faults{Watch: standin.WatchPaused})
		e = b.swap(e, "2")
		time.Sleep(12 * time.Second)
		b.server.SetFaults(standin.Faults{})
		return e
	}, []string{"1", "2", "3"}},
	{"a paused watch that goes on", func(b *bench, e metastore.Entry) metastore.Entry {
		b.server.SetFaults(standin.Faults{Watch: standin.WatchPaused})
		e = b.swap(e, "2")
		time.Sleep(time.Second)
		b.server.SetFaults(standin.Faults{})
		synctest.Wait()
		return e
	}, []string{"1", "2", "3"}},
	{"deletion during an outage", func(b *bench, e metastore.Entry) metastore.Entry {
		b.server.SetFaults(standin.Faults{Outage: standin.OutageReset})
		synctest.Wait()
		b.server.SetFaults(standin.Faults{})
		b.NoErr(b.client.Delete(b.t.Context(), "k", e.Revision))
		time.Sleep(longest)
		b.server.SetFaults(standin.Faults{Outage: standin.OutageReset})
		synctest.Wait()
		b.server.SetFaults(standin.Faults{}) // a second break does not report it again
		time.Sleep(longest)
		return metastore.Entry{Key: "k"}
	}, []string{"1", "deleted", "3"}},
	{"reads from a lagging replica", func(b *bench, e metastore.Entry) metastore.Entry {
		b.server.Snapshot()
		e = b.swap(e, "2")
		synctest.Wait()
		b.server.SetFaults(standin.Faults{OldReads: true})
		for before := b.server.Counts().Range; b.server.Counts().Range < before+2; {
			time.Sleep(time.Millisecond) // two old answers do not confirm a restore
		}
		b.server.SetFaults(standin.Faults{})
		time.Sleep(longest)
		return e
	}, []string{"1", "2", "3"}},
	{"a store restored to an older value", func(b *bench, e metastore.Entry) metastore.Entry {
		b.server.Snapshot()
		b.swap(e, "2")
		synctest.Wait()
		b.True(b.server.Restore())
		time.Sleep(time.Minute)
		return e
	}, []string{"1", "2", "restored after 3", "1", "3"}},
	{"a store restored and then written beyond the old revision", func(b *bench, e metastore.Entry) metastore.Entry {
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
	{"a store restored into a new cluster that has the same revisions", func(b *bench, e metastore.Entry) metastore.Entry {
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
	{"a store restored to a time without the key", func(b *bench, e metastore.Entry) metastore.Entry {
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
				b := newBench(t, standin.Config{}, nil)
				e := b.create("k", "1")
				f := b.follow(0)
				e = c.meet(b, e)
				b.swap(e, "3")
				synctest.Wait()
				b.Equal(f.lines, c.lines)
			})
		})
	}
}

// TestRestoredStore: a client does not use older answers until it is sure that
// they are the store's new history, and tells of it once.
func TestRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []int64
		b := newBench(t, standin.Config{}, func(o *metastore.Options) {
			o.OnRestore = func(seen, now int64) { told = append(told, seen, now) }
		})
		e := b.create("k", "1")
		b.server.Snapshot()
		claim := b.create("claim", "mine")
		b.True(b.server.Restore())
		_, err := b.client.Get(t.Context(), "claim")
		b.True(errors.Is(err, metastore.ErrRestored))
		b.True(errors.Is(err, metastore.ErrUnavailable))
		b.True(!errors.Is(err, metastore.ErrNotFound)) // the claim must not look free
		time.Sleep(3 * time.Second)
		_, err = b.client.CompareAndSwap(t.Context(), "claim", 0, []byte("yours"), 0)
		b.True(errors.Is(err, metastore.ErrRestored))
		b.True(errors.Is(err, metastore.ErrUnknown))
		_, err = b.client.Get(t.Context(), "k")
		b.NoErr(err) // the swap has brought the store up to the revision seen
		b.Equal(len(told), 0)

		b.swap(e, "2")
		b.swap(metastore.Entry{Key: "claim", Revision: claim.Revision}, "yours again")
		b.True(b.server.Restore())
		var back *metastore.RestoredError
		for i := range 3 {
			_, err = b.client.Get(t.Context(), "claim")
			b.True(errors.As(err, &back))
			b.Equal(back.Confirmed, i == 2)
			time.Sleep(1500 * time.Millisecond)
		}
		b.Equal(told, []int64{claim.Revision + 2, claim.Revision - 1})
		_, err = b.client.Get(t.Context(), "claim")
		b.True(errors.Is(err, metastore.ErrNotFound))
	})
}
