package metastore

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/micarudder/micarudder/internal/etcdjson"
)

// Kind names a kind of call; it is the label of the client's metrics.
type Kind string

// The kinds of calls.
const (
	KindRange     Kind = "range"
	KindTxn       Kind = "txn"
	KindGrant     Kind = "grant"
	KindKeepAlive Kind = "keepalive"
	KindRevoke    Kind = "revoke"
	KindWatch     Kind = "watch"
	KindHosts     Kind = "hosts"
)

// kinds lists every kind of call.
var kinds = []Kind{KindRange, KindTxn, KindGrant, KindKeepAlive, KindRevoke, KindWatch, KindHosts}

// writes reports whether a call of this kind can change the store.
func (k Kind) writes() bool {
	return k == KindTxn || k == KindGrant || k == KindKeepAlive || k == KindRevoke
}

// CallError is a failed call. Ending is the package's sentinel error, Cause
// what was seen; both are found by errors.Is.
type CallError struct {
	Kind    Kind
	Address string // empty when no attempt was made
	Ending  error
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Address == "" {
		return fmt.Sprintf("%v: %s: %v", e.Ending, e.Kind, e.Cause)
	}
	return fmt.Sprintf("%v: %s at %s: %v", e.Ending, e.Kind, e.Address, e.Cause)
}

// Unwrap returns the ending and the cause.
func (e *CallError) Unwrap() []error { return []error{e.Ending, e.Cause} }

// RestoredError reports an answer from an older state of the store than one
// seen before: a restored snapshot or a replica that lags. It matches
// ErrRestored, and also ErrUnknown for a write and ErrUnavailable for a read,
// so that a caller that does not know it errs on the safe side.
type RestoredError struct {
	Kind Kind
	Seen int64 // highest revision known before the call
	Now  int64 // the answer's revision
	// OtherCluster says that the answer names another cluster than those
	// before, as a restored one does; Now may then be above Seen.
	OtherCluster bool
	// Confirmed is set on the one answer that makes the client accept the
	// older state as the store's new history.
	Confirmed bool
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("%v: %s: revision %d after %d", ErrRestored, e.Kind, e.Now, e.Seen)
}

// Is implements the matching that errors.Is does.
func (e *RestoredError) Is(target error) bool {
	if e.Kind.writes() && target == ErrUnknown {
		return true
	}
	if !e.Kind.writes() && target == ErrUnavailable {
		return true
	}
	return target == ErrRestored
}

// reply is what one attempt brought back.
type reply struct {
	sent    bool // the request may have reached the service
	status  int  // 0 without an answer
	message string
	err     error
}

// ending classifies one attempt: nil for success, else a sentinel error. A
// write that may have been sent is unknown unless the service's answer is one
// that it gives only before executing.
func ending(write bool, r reply) error {
	switch {
	case r.err != nil:
		return lost(write && r.sent)
	case r.status == http.StatusOK:
		return nil
	case r.message == etcdjson.MessageTooLarge, r.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case r.message == etcdjson.MessageLeaseNotFound:
		return ErrLeaseGone
	case r.message == etcdjson.MessageNoLeader:
		return ErrUnavailable
	case r.status == http.StatusRequestTimeout:
		return lost(write)
	case r.status >= http.StatusInternalServerError:
		return lost(write)
	default:
		return ErrUnavailable
	}
}

// lost returns the ending of a call without a usable answer.
func lost(mayHaveEffect bool) error {
	if mayHaveEffect {
		return ErrUnknown
	}
	return ErrUnavailable
}

// resultLabel is the metrics label of an ending.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	case errors.Is(err, ErrTooLarge):
		return "too-large"
	case errors.Is(err, ErrLeaseGone):
		return "lease-gone"
	default:
		return "unavailable"
	}
}

// resultLabels lists every value of resultLabel.
var resultLabels = []string{"ok", "unknown", "too-large", "lease-gone", "unavailable"}
