package metastore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Backoff between the attempts of SwapAndResolve to determine the outcome of a write.
const (
	resolveInitialInterval = 50 * time.Millisecond
	resolveMaxInterval     = 2 * time.Second
)

// SwapAndResolve writes like CompareAndSwap and, if the outcome is unknown, determines
// it. isOwn reports whether an entry is the one written by this call or derives
// from it; the values of different writers must therefore differ.
//
// It returns nil if the write is in effect; ErrConflict, with the current
// entry, if it certainly was not applied; and ErrUnknown if ctx ended before
// the outcome was known, or if the key holds another write, which does not tell
// whether it replaced this one. Any other error means that the write was not
// applied.
//
// While the outcome is unknown the same write is retried. All attempts carry
// the same expected revision, so at most one takes effect and any late one
// fails.
func SwapAndResolve(ctx context.Context, store Store, key string, expect int64, value []byte, lease LeaseID, isOwn func(Entry) bool) (Entry, error) {
	e, err := store.CompareAndSwap(ctx, key, expect, value, lease)
	if !errors.Is(err, ErrUnknown) {
		return e, err
	}
	s := unresolvedWrite{store: store, key: key, expect: expect, value: value, lease: lease, isOwn: isOwn}
	wait := resolveBackOff()
	for {
		e, err, known := s.resolve(ctx)
		if known {
			return e, err
		}
		if sleep(ctx, wait.NextBackOff()) != nil {
			return Entry{Key: key}, unknownError(err)
		}
	}
}

// resolveBackOff returns the backoff of one SwapAndResolve call.
func resolveBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = resolveInitialInterval
	b.MaxInterval = resolveMaxInterval
	b.RandomizationFactor = 0.5
	return b
}

// unresolvedWrite is a write whose first attempt had an unknown outcome.
type unresolvedWrite struct {
	store  Store
	key    string
	expect int64
	value  []byte
	lease  LeaseID
	isOwn  func(Entry) bool
}

// resolve reads the key and, if nothing has changed, retries the write. known
// reports whether the result is final.
func (s *unresolvedWrite) resolve(ctx context.Context) (e Entry, err error, known bool) {
	e, err = s.store.Get(ctx, s.key)
	if errors.Is(err, ErrNotFound) {
		e, err = Entry{Key: s.key}, nil
	}
	if err != nil {
		return e, err, false
	}
	if e.Revision != s.expect {
		return s.classifyEntry(e)
	}
	e, err = s.store.CompareAndSwap(ctx, s.key, s.expect, s.value, s.lease)
	switch {
	case err == nil:
		return e, nil, true
	case errors.Is(err, ErrConflict):
		return s.classifyEntry(e)
	case errors.Is(err, ErrLeaseExpired), errors.Is(err, ErrTooLarge):
		// The first attempt may have been applied and its lease may have
		// expired since.
		return e, unknownError(err), true
	default:
		return e, err, false
	}
}

// classifyEntry decides the outcome from an entry whose revision is not the one
// that the write expected.
func (s *unresolvedWrite) classifyEntry(e Entry) (Entry, error, bool) {
	if e.Revision > 0 && s.isOwn(e) {
		return e, nil, true
	}
	return e, unknownError(errors.New("the key holds another write")), true
}

// unknownError returns ErrUnknown with a cause; errors.Is matches both.
func unknownError(cause error) error {
	if cause == nil || errors.Is(cause, ErrUnknown) {
		return ErrUnknown
	}
	return fmt.Errorf("%w: %w", ErrUnknown, cause)
}
