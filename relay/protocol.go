// Package relay implements a gateway that forwards HTTP requests to an endpoint of their route and
// returns the responses byte for byte. It guarantees for each request: a single deadline, a bounded
// number of attempts, no second run of a request that may run only once, resumption of a broken
// stream at another endpoint without a gap, and no attempt for a key that may have been revoked. A
// Protocol defines which header fields carry this information.
package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/upstream"
)

// Call is what the head of a caller's request says besides method, path and body.
type Call struct {
	ID           string        // identifies this attempt of the caller
	Deadline     time.Duration // how long the caller waits; 0: not given
	Key          string        // empty: not given
	PromptTokens int           // length of the prompt
	MaxTokens    int           // maximum number of generated tokens
	LastEventID  string        // the stream resumes after this event; empty: from the start
	Model        string        // empty: not given
	// SharedParts are the ids of the parts of the prompt that other prompts may have in common, in
	// order. The part that belongs to this request or to its session is not among them.
	SharedParts []string
}

// AttemptFields is what the gateway adds to a request for one endpoint.
type AttemptFields struct {
	EndpointID  string
	Remaining   time.Duration // time until the request's deadline
	Workspace   string
	LastEventID string
	Helpers     []Helper
	Priority    int // 0 is the most urgent, DefaultPriority the usual
}

// Helper is an endpoint that prefills part of a prompt.
type Helper struct {
	Address string
	// Reservation is the id of the memory reserved there; empty: none.
	Reservation string
}

// Verdict is what an endpoint's response means for the request.
type Verdict uint8

// The verdicts.
const (
	// Final: the endpoint ran the request, and this is its response.
	Final Verdict = iota
	// NotRun: the endpoint did not run the request and will not run it.
	NotRun
	// WrongEndpoint: another incarnation has the address. The request did not run either.
	WrongEndpoint
	// Failed: the endpoint ran the request and failed.
	Failed
)

// EndpointReport is the status that an endpoint with an engine reports.
type EndpointReport struct {
	// Slowdown is the factor by which the endpoint is slower than usual.
	Slowdown float64
	// Waiting and Running are the numbers of its requests in these states.
	Waiting, Running int
	// MemoryUsed is how many of the MemoryTotal tokens cannot be evicted.
	MemoryUsed, MemoryTotal int
	// Reservations holds the state of the memory reserved there, by id.
	Reservations map[string]ReservationState
}

// ReservationState is the state of a memory reservation at an endpoint.
type ReservationState uint8

// The states of a reservation.
const (
	// ReservationNone: the endpoint does not know the reservation.
	ReservationNone ReservationState = iota
	// ReservationWaiting: the memory is not free yet.
	ReservationWaiting
	// ReservationIdle: the memory is reserved, and no request uses it.
	ReservationIdle
	// ReservationUsed: a request uses the memory.
	ReservationUsed
)

// String returns the state for the log.
func (s ReservationState) String() string {
	return [...]string{"none", "waiting", "idle", "used"}[s]
}

// Protocol translates between the heads of requests and responses and the types of this package.
type Protocol interface {
	// Call parses the head of a caller's request. It returns an error for a malformed head.
	Call(h http.Header) (Call, error)
	// Header returns the header for an endpoint: the caller's header without the fields that belong
	// to its connection or to the gateway, and with the values of s.
	Header(caller http.Header, c Call, s AttemptFields) http.Header
	// Verdict classifies an endpoint's response.
	Verdict(res *http.Response) Verdict
	// FaultyEndpoint returns the address of the endpoint because of which, according to a response,
	// the request was not run; empty: the response names none.
	FaultyEndpoint(res *http.Response) string
	// Statement parses what a response says about the availability of the endpoint that gave it. The
	// error reports a value that cannot be read or applies only in part; the other values are
	// valid.
	Statement(res *http.Response) (availability.Statement, error)
	// Report returns the request for the report of an endpoint with an engine.
	Report(endpointID string) *upstream.Request
	// ReadReport parses the response to Report; ok is false if it contains no report.
	ReadReport(res *http.Response) (report EndpointReport, ok bool, err error)
	// HealthCheck returns the health check of an endpoint, at the path of its service.
	HealthCheck(endpointID, path string) *upstream.Request
	// Reserve returns the order to reserve memory for this many tokens under an id, or to renew the
	// reservation, for the time hold after the order arrives. A 200 confirms the reservation.
	Reserve(endpointID, id string, tokens int, hold time.Duration) *upstream.Request
	// Release returns the order to end a reservation.
	Release(endpointID, id string) *upstream.Request
	// EchoedHeader returns the name of the header field that a response repeats from its request.
	EchoedHeader() string
}

// ErrNoConfiguration is returned by a Source while the operators have not written a configuration.
var ErrNoConfiguration = errors.New("there is no configuration yet")

// ErrStoreBackoff is in the errors of a Source that did not call the store, since the store has asked not to be called for
// a while. It says nothing about the store at that time.
var ErrStoreBackoff = errors.New("the store has requested a backoff")

// InvalidConfigurationError is returned by a Source if the operators' entry exists and cannot be used.
type InvalidConfigurationError struct {
	Revision uint64 // of the entry
	// Keys are the keys that the entry names, if that much of it can be read; otherwise KeysKnown is
	// false.
	Keys      []string
	KeysKnown bool
	Err       error // what is wrong
}

// Error implements error.
func (e *InvalidConfigurationError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidConfigurationError) Unwrap() error { return e.Err }

// OperatorSettings is what one read of the operators' entries in the store returned.
type OperatorSettings struct {
	// Configuration is the newest configuration; nil if its version is the one that was returned last.
	Configuration *catalog.Configuration
	Evacuations   catalog.Evacuations
}

// Source provides the configuration and the list of endpoints and gateways, and stores the
// gateways' findings. Its methods return when they have a response or when ctx ends.
type Source interface {
	// OperatorSettings returns what the operators last asked for. If there is no valid configuration, it
	// returns the evacuations together with an InvalidConfigurationError, or with ErrNoConfiguration if
	// there is none at all.
	OperatorSettings(ctx context.Context) (OperatorSettings, error)
	// Endpoints returns every endpoint that is known to exist.
	Endpoints(ctx context.Context) ([]catalog.Endpoint, error)
	// Announce writes this gateway's entry to the store, or renews it.
	Announce(ctx context.Context) error
	// Gateways returns the peer addresses of all gateways with an entry.
	Gateways(ctx context.Context) ([]peers.Member, error)
	// StoreEra returns the era in the store's newest response, or 0 before the first one. The era
	// increases each time the store is restored from an older copy, which lacks the latest writes.
	StoreEra() uint64
	// SettledEra returns the era that RecordSettledEra has stored, 0 for none.
	SettledEra(ctx context.Context) (uint64, error)
	// RecordSettledEra stores that the store has all writes again that it lacked at the beginning of this era.
	RecordSettledEra(ctx context.Context, era uint64) error
	QuarantineStore
}
