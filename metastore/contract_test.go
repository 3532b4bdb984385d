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

// contract is what every Store promises, one case each.
var contract = []struct {
	name string
	test func(b *bench, s metastore.Store)
}{
	{"a missing key is not found", func(b *bench, s metastore.Store) {
		_, err := s.Get(b.t.Context(), "k")
		b.True(errors.Is(err, metastore.ErrNotFound))
	}},
	{"a created key is read back", func(b *bench, s metastore.Store) {
		made := b.create("k", "v")
		got, err := s.Get(b.t.Context(), "k")
		b.NoErr(err)
		b.Equal(got, made)
		b.True(got.Revision > 0)
	}},
	{"an empty value is not a missing one", func(b *bench, s metastore.Store) {
		b.create("k", "")
		got, err := s.Get(b.t.Context(), "k")
		b.NoErr(err)
		b.True(got.Value != nil)
	}},
	{"a key is created once", func(b *bench, s metastore.Store) {
		made := b.create("k", "v")
		got, err := s.CompareAndSwap(b.t.Context(), "k", 0, []byte("w"), 0)
		b.True(errors.Is(err, metastore.ErrConflict))
		b.Equal(got, made) // the current entry comes with the conflict
	}},
	{"a swap of a missing key conflicts with nothing", func(b *bench, s metastore.Store) {
		got, err := s.CompareAndSwap(b.t.Context(), "k", 7, []byte("w"), 0)
		b.True(errors.Is(err, metastore.ErrConflict))
		b.Equal(got.Revision, int64(0))
	}},
	{"a swap raises the revision", func(b *bench, s metastore.Store) {
		first := b.create("k", "v")
		second := b.swap(first, "w")
		b.True(second.Revision > first.Revision)
		_, err := s.CompareAndSwap(b.t.Context(), "k", first.Revision, []byte("x"), 0)
		b.True(errors.Is(err, metastore.ErrConflict))
	}},
	{"a delete needs the revision", func(b *bench, s metastore.Store) {
		e := b.create("k", "v")
		b.True(errors.Is(s.Delete(b.t.Context(), "k", e.Revision+1), metastore.ErrConflict))
		b.NoErr(s.Delete(b.t.Context(), "k", e.Revision))
		_, err := s.Get(b.t.Context(), "k")
		b.True(errors.Is(err, metastore.ErrNotFound))
	}},
	{"a list is by prefix, in order, and longer than a page", func(b *bench, s metastore.Store) {
		b.create("a", "")
		b.create("c", "")
		for i := range 600 {
			b.create(fmt.Sprintf("b/%03d", 599-i), "v")
		}
		list, err := s.List(b.t.Context(), "b/")
		b.NoErr(err)
		b.Equal(len(list), 600)
		for i, e := range list {
			b.Equal(e.Key, fmt.Sprintf("b/%03d", i))
		}
		all, err := s.List(b.t.Context(), "")
		b.NoErr(err)
		b.Equal(len(all), 602)
	}},
	{"a value over the limit is refused", func(b *bench, s metastore.Store) {
		e, err := s.CompareAndSwap(b.t.Context(), "k", 0, make([]byte, metastore.MaxValue), 0)
		b.NoErr(err)
		_, err = s.CompareAndSwap(b.t.Context(), "k", e.Revision, make([]byte, metastore.MaxValue+1), 0)
		b.True(errors.Is(err, metastore.ErrTooLarge))
	}},
	{"a watch reports the current value, changes and deletion, in order", func(b *bench, s metastore.Store) {
		e := b.create("k", "1")
		b.create("other", "x")
		var seen []string
		ctx, cancel := context.WithCancel(b.t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- s.Watch(ctx, "k", 0, func(e metastore.Entry) { seen = append(seen, show(e)) })
		}()
		synctest.Wait()
		e = b.swap(e, "2")
		b.NoErr(s.Delete(b.t.Context(), "k", e.Revision))
		b.create("k", "3")
		synctest.Wait()
		cancel()
		b.True(errors.Is(<-ended, context.Canceled))
		b.Equal(seen, []string{"1", "2", "deleted", "3"})
	}},
	{"a watch leaves out what the caller has", func(b *bench, s metastore.Store) {
		e := b.create("k", "1")
		seen := watchFor(b, s, e.Revision, time.Second)
		b.Equal(len(seen), 0)
	}},
	{"a watch reports a deletion it was not there for", func(b *bench, s metastore.Store) {
		e := b.create("k", "1")
		b.NoErr(s.Delete(b.t.Context(), "k", e.Revision))
		b.Equal(watchFor(b, s, e.Revision, time.Second), []string{"deleted"})
	}},
	{"a lease takes its keys along when it lapses", func(b *bench, s metastore.Store) {
		id, err := s.Grant(b.t.Context(), 3*time.Second)
		b.NoErr(err)
		_, err = s.CompareAndSwap(b.t.Context(), "k", 0, []byte("v"), id)
		b.NoErr(err)
		time.Sleep(2 * time.Second)
		left, err := s.KeepAlive(b.t.Context(), id)
		b.NoErr(err)
		b.Equal(left, 3*time.Second)
		time.Sleep(2 * time.Second)
		_, err = s.Get(b.t.Context(), "k")
		b.NoErr(err)
		time.Sleep(2 * time.Second)
		_, err = s.Get(b.t.Context(), "k")
		b.True(errors.Is(err, metastore.ErrNotFound))
		_, err = s.KeepAlive(b.t.Context(), id)
		b.True(errors.Is(err, metastore.ErrLeaseGone))
	}},
	{"a revoked lease is gone for every call", func(b *bench, s metastore.Store) {
		id, err := s.Grant(b.t.Context(), time.Minute)
		b.NoErr(err)
		_, err = s.CompareAndSwap(b.t.Context(), "k", 0, []byte("v"), id)
		b.NoErr(err)
		b.NoErr(s.Revoke(b.t.Context(), id))
		_, err = s.Get(b.t.Context(), "k")
		b.True(errors.Is(err, metastore.ErrNotFound))
		b.True(errors.Is(s.Revoke(b.t.Context(), id), metastore.ErrLeaseGone))
		_, err = s.CompareAndSwap(b.t.Context(), "k", 0, []byte("v"), id)
		b.True(errors.Is(err, metastore.ErrLeaseGone))
	}},
}

// show returns a value as the tests write it.
func show(e metastore.Entry) string {
	if e.Value == nil {
		return "deleted"
	}
	return string(e.Value)
}

// watchFor returns what a watch of "k" reports during d.
func watchFor(b *bench, s metastore.Store, after int64, d time.Duration) []string {
	ctx, cancel := context.WithTimeout(b.t.Context(), d)
	defer cancel()
	var seen []string
	err := s.Watch(ctx, "k", after, func(e metastore.Entry) { seen = append(seen, show(e)) })
	b.True(errors.Is(err, context.DeadlineExceeded))
	return seen
}

func TestContract(t *testing.T) {
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, standin.Config{}, nil)
				c.test(b, b.client)
			})
		})
	}
}
