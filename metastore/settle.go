package metastore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The waits between the attempts of Settle to find out what became of a write.
const (
	settleFirst = 50 * time.Millisecond
	settleMax   = 2 * time.Second
)

// Settle writes like CompareAndSwap and, when the outcome is unknown, finds it
// out. same reports whether an entry is the one that this call writes, or
// descends from it; values must therefore differ between writers.
//
// It returns nil when the write is in force; ErrConflict, with the current
// entry, when it certainly was not applied; ErrUnknown when ctx ended before
// the outcome was known, or when another write stands in the key and cannot
// tell whether it replaced this one. Other errors mean "not applied".
//
// While the outcome is unknown the same write is repeated: since both carry
// the same expected revision, at most one takes effect, and a late one fails.
func Settle(ctx context.Context, store Store, key string, expect int64, value []byte, lease LeaseID, same func(Entry) bool) (Entry, error) {
	e, err := store.CompareAndSwap(ctx, key, expect, value, lease)
	if !errors.Is(err, ErrUnknown) {
		return e, err
	}
	s := settling{store: store, key: key, expect: expect, value: value, lease: lease, same: same}
	wait := settleBackOff()
	for {
		e, err, known := s.attempt(ctx)
		if known {
			return e, err
		}
		if sleep(ctx, wait.NextBackOff()) != nil {
			return Entry{Key: key}, unknownBecause(err)
		}
	}
}

// settleBackOff returns the waits of one call.
func settleBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = settleFirst
	b.MaxInterval = settleMax
	b.RandomizationFactor = 0.5
	return b
}

// settling is a write whose first attempt had an unknown outcome.
type settling struct {
	store  Store
	key    string
	expect int64
	value  []byte
	lease  LeaseID
	same   func(Entry) bool
}

// attempt reads back and, while nothing has changed, writes again. known
// reports whether the result is final.
func (s *settling) attempt(ctx context.Context) (e Entry, err error, known bool) {
	e, err = s.store.Get(ctx, s.key)
	if errors.Is(err, ErrNotFound) {
		e, err = Entry{Key: s.key}, nil
	}
	if err != nil {
		return e, err, false
	}
	if e.Revision != s.expect {
		return s.judge(e)
	}
	e, err = s.store.CompareAndSwap(ctx, s.key, s.expect, s.value, s.lease)
	switch {
	case err == nil:
		return e, nil, true
	case errors.Is(err, ErrConflict):
		return s.judge(e)
	case errors.Is(err, ErrLeaseGone), errors.Is(err, ErrTooLarge):
		// The first attempt may have been applied and its lease have lapsed.
		return e, unknownBecause(err), true
	default:
		return e, err, false
	}
}

// judge decides about an entry that is not the one the write expected.
func (s *settling) judge(e Entry) (Entry, error, bool) {
	if e.Revision > 0 && s.same(e) {
		return e, nil, true
	}
	return e, unknownBecause(errors.New("another write stands in the key")), true
}

// unknownBecause returns ErrUnknown with a reason; both match errors.Is.
func unknownBecause(cause error) error {
	if cause == nil || errors.Is(cause, ErrUnknown) {
		return ErrUnknown
	}
	return fmt.Errorf("%w: %w", ErrUnknown, cause)
}
