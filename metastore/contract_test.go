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

// contract holds one test case for each guarantee of a Store.
var contract = []struct {
	name string
	test func(b *fixture, s metastore.Store)
}{
	{"a missing key is not found", func(b *fixture, s metastore.Store) {
		_, err := s.Get(b.t.Context(), "k")
		b.True(errors.Is(err, metastore.ErrNotFound))
	}},
	{"a created key is read back", func(b *fixture, s metastore.Store) {
		created := b.create("k", "v")
		got, err := s.Get(b.t.Context(), "k")
		b.NoErr(err)
		b.Equal(got, created)
		b.True(got.Revision > 0)
	}},
	{"an empty value is not nil", func(b *fixture, s metastore.Store) {
		b.create("k", "")
		got, err := s.Get(b.t.Context(), "k")
		b.NoErr(err)
		b.True(got.Value != nil)
	}},
	{"a key is created once", func(b *fixture, s metastore.Store) {
		created := b.create("k", "v")
		got, err := s.CompareAndSwap(b.t.Context(), "k", 0, []byte("w"), 0)
		b.True(errors.Is(err, metastore.ErrConflict))
		b.Equal(got, created) // a conflict returns the current entry
	}},
	{"a swap of a missing key conflicts and returns revision 0", func(b *fixture, s metastore.Store) {
		got, err := s.CompareAndSwap(b.t.Context(), "k", 7, []byte("w"), 0)
		b.True(errors.Is(err, metastore.ErrConflict))
		b.Equal(got.Revision, int64(0))
	}},
	{"a swap raises the revision", func(b *fixture, s metastore.Store) {
		first := b.create("k", "v")
		second := b.swap(first, "w")
		b.True(second.Revision > first.Revision)
		_, err := s.CompareAndSwap(b.t.Context(), "k", first.Revision, []byte("x"), 0)
		b.True(errors.Is(err, metastore.ErrConflict))
	}},
	{"a delete requires the current revision", func(b *fixture, s metastore.Store) {
		e := b.create("k", "v")
		b.True(errors.Is(s.Delete(b.t.Context(), "k", e.Revision+1), metastore.ErrConflict))
		b.NoErr(s.Delete(b.t.Context(), "k", e.Revision))
		_, err := s.Get(b.t.Context(), "k")
		b.True(errors.Is(err, metastore.ErrNotFound))
	}},
	{"a list matches a prefix, is ordered and exceeds one page", func(b *fixture, s metastore.Store) {
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
	{"a value over the size limit is rejected", func(b *fixture, s metastore.Store) {
		e, err := s.CompareAndSwap(b.t.Context(), "k", 0, make([]byte, metastore.MaxValue), 0)
		b.NoErr(err)
		_, err = s.CompareAndSwap(b.t.Context(), "k", e.Revision, make([]byte, metastore.MaxValue+1), 0)
		b.True(errors.Is(err, metastore.ErrTooLarge))
	}},
	{"a watch reports the current value, changes and deletion, in order", func(b *fixture, s metastore.Store) {
		e := b.create("k", "1")
		b.create("other", "x")
		var seen []string
		ctx, cancel := context.WithCancel(b.t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- s.Watch(ctx, "k", 0, func(e metastore.Entry) { seen = append(seen, valueText(e)) })
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
	{"a watch omits the entry that the caller has", func(b *fixture, s metastore.Store) {
		e := b.create("k", "1")
		seen := watchFor(b, s, e.Revision, time.Second)
		b.Equal(len(seen), 0)
	}},
	{"a watch reports a deletion from before it started", func(b *fixture, s metastore.Store) {
		e := b.create("k", "1")
		b.NoErr(s.Delete(b.t.Context(), "k", e.Revision))
		b.Equal(watchFor(b, s, e.Revision, time.Second), []string{"deleted"})
	}},
	{"the keys of a lease are deleted when it expires", func(b *fixture, s metastore.Store) {
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
		b.True(errors.Is(err, metastore.ErrLeaseExpired))
	}},
	{"every call with a revoked lease fails", func(b *fixture, s metastore.Store) {
		id, err := s.Grant(b.t.Context(), time.Minute)
		b.NoErr(err)
		_, err = s.CompareAndSwap(b.t.Context(), "k", 0, []byte("v"), id)
		b.NoErr(err)
		b.NoErr(s.Revoke(b.t.Context(), id))
		_, err = s.Get(b.t.Context(), "k")
		b.True(errors.Is(err, metastore.ErrNotFound))
		b.True(errors.Is(s.Revoke(b.t.Context(), id), metastore.ErrLeaseExpired))
		_, err = s.CompareAndSwap(b.t.Context(), "k", 0, []byte("v"), id)
		b.True(errors.Is(err, metastore.ErrLeaseExpired))
	}},
}

// valueText returns an entry's value as text, or "deleted".
func valueText(e metastore.Entry) string {
	if e.Value == nil {
		return "deleted"
	}
	return string(e.Value)
}

// watchFor returns what a watch of "k" reports within d.
func watchFor(b *fixture, s metastore.Store, after int64, d time.Duration) []string {
	ctx, cancel := context.WithTimeout(b.t.Context(), d)
	defer cancel()
	var seen []string
	err := s.Watch(ctx, "k", after, func(e metastore.Entry) { seen = append(seen, valueText(e)) })
	b.True(errors.Is(err, context.DeadlineExceeded))
	return seen
}

func TestContract(t *testing.T) {
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, standin.Config{}, nil)
				c.test(b, b.client)
			})
		})
	}
}
