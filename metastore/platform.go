// Package metastore is the client of the platform's key-value service and of
// its list of hosts. The service speaks the JSON mapping of the etcd v3
// protocol (/v3/kv/range, /v3/kv/txn, /v3/lease/…, /v3/watch); the host list
// is in the format of Prometheus' HTTP service discovery.
//
// Every write reports one of three endings: applied, certainly not applied,
// or unknown (ErrUnknown). Callers must read back after an unknown write.
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
	// ErrConflict: a compare-and-swap found another revision; nothing was written.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrUnavailable: the call certainly had no effect; the service is away or the client's own limiter refused it.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown: a write was sent and its answer was lost; it may have taken effect.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrTooLarge: the value exceeds the service's limit (one megabyte); nothing was written.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrLeaseGone: the lease does not exist or has lapsed.
	ErrLeaseGone = errors.New("platform: lease gone")
	// ErrRestored: the service answered from an older state than one seen
	// before; see RestoredError.
	ErrRestored = errors.New("platform: store went back")
)

// Entry is one key's value. Revision 0 means that the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64 // modification revision of the key
}

// LeaseID names a lease; 0 means none.
type LeaseID int64

// Store is the key-value service. Implementations are safe for concurrent use.
type Store interface {
	// Get returns ErrNotFound when the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys with the prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision equals expect (0: the
	// key must not exist). On ErrConflict the returned entry is the current one.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (Entry, error)
	// Delete removes the key if its revision equals expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch calls fn for the key's current value (if newer than after) and each
	// later change, in revision order, until ctx ends or the connection is
	// lost, and returns why. A deleted key is reported with a nil Value.
	Watch(ctx context.Context, key string, after int64, fn func(Entry)) error
	// Grant creates a lease that lapses after ttl unless kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease and returns its remaining time.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends the lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
}

// Contact tells when the service was last heard: a successful answer to any
// call, or any frame of a watch. It is the zero time before the first.
type Contact interface{ Heard() time.Time }

// HostState is the platform's word about a host; it lags behind the truth.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list.
type Host struct {
	Name       string
	DataCentre string
	State      HostState
	Address    string // IP and port of the process in the host's slot
}

// HostLister reads the platform's lagging list of hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Keys of the product in the platform's service.
const (
	// KeyDocument holds the accepted configuration (rudder.v1.Document).
	KeyDocument = "micarudder/document"
	// PrefixClaims holds claims of bare idempotency keys: PrefixClaims + workspace + "/" + digest.
	PrefixClaims = "micarudder/claims/"
	// PrefixPlans holds accepted plan ids, so that a later confirm of the same id is answered.
	PrefixPlans = "micarudder/plans/"
	// PrefixPlacers holds the leases of placement, one per data centre.
	PrefixPlacers = "micarudder/placers/"
)
