// Package metastore is the client of the platform's key-value service and of
// its host list. The service speaks the JSON mapping of the etcd v3 protocol
// (/v3/kv/range, /v3/kv/txn, /v3/lease/…, /v3/watch); the host list uses the
// Prometheus HTTP service discovery format.
//
// Every write has one of three outcomes: applied, certainly not applied, or
// unknown (ErrUnknown). After an unknown outcome the caller must read the key
// back.
package metastore

import (
	"context"
	"errors"
	"time"
)

// Sentinel errors of the client; test with errors.Is.
var (
	// ErrNotFound: the key does not exist.
	ErrNotFound = errors.New("platform: key not found")
	// ErrConflict: a compare-and-swap found a different revision; nothing was
	// written.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrUnavailable: the call certainly had no effect; the service cannot be
	// reached or the client's own rate limiter rejected the call.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown: a write was sent but its response was lost; it may have taken
	// effect.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrTooLarge: the value exceeds the service's limit of one megabyte;
	// nothing was written.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrLeaseExpired: the lease does not exist or has expired.
	ErrLeaseExpired = errors.New("platform: lease not found or expired")
	// ErrRestored: the service responded from an older state than one seen
	// before; see RestoredError.
	ErrRestored = errors.New("platform: store reverted to an older state")
)

// Entry is the value of one key. Revision 0 means that the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64 // modification revision of the key
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Store is the key-value service. Implementations are safe for concurrent use.
type Store interface {
	// Get returns ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys with the prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision equals expect (0: the
	// key must not exist). With ErrConflict it returns the current entry.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (Entry, error)
	// Delete removes the key if its revision equals expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch calls fn with the key's current value (if newer than after) and
	// with each later change, in revision order, until ctx ends or the
	// connection is lost; it returns the reason. A deletion is reported with a
	// nil Value.
	Watch(ctx context.Context, key string, after int64, fn func(Entry)) error
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease and returns its remaining time to live.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends the lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
}

// ContactReporter reports the time of the last successful response to any call or of
// the last watch frame. LastContact returns the zero time before the first one.
type ContactReporter interface{ LastContact() time.Time }

// HostState is the state of a host as the platform reports it. The report lags
// behind the actual state.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	Name       string
	DataCentre string
	State      HostState
	Address    string // IP and port of the process that runs on the host
}

// HostLister reads the host list, which lags behind the actual state.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Keys and key prefixes used in the key-value service.
const (
	// KeyDocument holds the accepted configuration (rudder.v1.Document).
	KeyDocument = "micarudder/document"
	// PrefixClaims holds claims of bare idempotency keys: PrefixClaims +
	// workspace + "/" + digest.
	PrefixClaims = "micarudder/claims/"
	// PrefixPlans holds the ids of accepted plans, so that a retried confirm
	// of the same id can be answered.
	PrefixPlans = "micarudder/plans/"
	// PrefixPlacers holds the leases of the placers, one per data centre.
	PrefixPlacers = "micarudder/placers/"
)
