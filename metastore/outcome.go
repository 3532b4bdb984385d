package metastore

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/micarudder/micarudder/internal/etcdjson"
)

// Kind is the kind of a call and the value of the kind label of the metrics.
type Kind string

// The kinds of calls to the service.
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

// CallError is a failed call. Outcome is one of the sentinel errors of the
// package, Cause the underlying error; errors.Is matches both.
type CallError struct {
	Kind    Kind
	Address string // empty when no attempt was made
	Outcome error
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Address == "" {
		return fmt.Sprintf("%v: %s: %v", e.Outcome, e.Kind, e.Cause)
	}
	return fmt.Sprintf("%v: %s at %s: %v", e.Outcome, e.Kind, e.Address, e.Cause)
}

// Unwrap returns the outcome and the cause.
func (e *CallError) Unwrap() []error { return []error{e.Outcome, e.Cause} }

// RestoredError reports a response from an older state of the store than one
// seen before, either from a restored snapshot or from a lagging replica. It
// matches ErrRestored, and also ErrUnknown for a write and ErrUnavailable for a
// read, so that a caller that does not handle ErrRestored stays on the safe
// side.
type RestoredError struct {
	Kind Kind
	Seen int64 // highest revision known before the response
	Now  int64 // revision of the response
	// OtherCluster says that the response names another cluster than those
	// before, as after a restore into a new cluster; Now may then be above
	// Seen.
	OtherCluster bool
	// Confirmed is set for the one response that makes the client accept the
	// older state as the store's new history.
	Confirmed bool
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("%v: %s returned revision %d after revision %d", ErrRestored, e.Kind, e.Now, e.Seen)
}

// Is implements the matching for errors.Is.
func (e *RestoredError) Is(target error) bool {
	if e.Kind.writes() && target == ErrUnknown {
		return true
	}
	if !e.Kind.writes() && target == ErrUnavailable {
		return true
	}
	return target == ErrRestored
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	sent    bool // the request may have reached the service
	status  int  // 0 if there was no response
	message string
	err     error
}

// classify maps the result of one attempt to nil for a success or to a sentinel
// error. A write that may have been sent has an unknown outcome unless the
// service sends the response only before it executes a request.
func classify(write bool, r attemptResult) error {
	switch {
	case r.err != nil:
		return noResponse(write && r.sent)
	case r.status == http.StatusOK:
		return nil
	case r.message == etcdjson.MessageTooLarge, r.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case r.message == etcdjson.MessageLeaseNotFound:
		return ErrLeaseExpired
	case r.message == etcdjson.MessageNoLeader:
		return ErrUnavailable
	case r.status == http.StatusRequestTimeout:
		return noResponse(write)
	case r.status >= http.StatusInternalServerError:
		return noResponse(write)
	default:
		return ErrUnavailable
	}
}

// noResponse returns the outcome of a call without a usable response.
func noResponse(mayHaveEffect bool) error {
	if mayHaveEffect {
		return ErrUnknown
	}
	return ErrUnavailable
}

// resultLabel returns the value of the result label for the outcome of a call.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	case errors.Is(err, ErrTooLarge):
		return "too-large"
	case errors.Is(err, ErrLeaseExpired):
		return "lease-gone"
	default:
		return "unavailable"
	}
}

// resultLabels lists every value that resultLabel returns.
var resultLabels = []string{"ok", "unknown", "too-large", "lease-gone", "unavailable"}
