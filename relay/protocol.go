// Package relay is a gateway that passes any HTTP request on to one of the
// endpoints of its route and the answer back, byte for byte. It owns what must
// hold for each request: one deadline, a bounded number of sends, no second run
// where none is allowed, a stream that goes on elsewhere without a gap, and
// nothing sent for a key that may have been withdrawn. What stands in which
// header is the business of a Protocol.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/upstream"
)

// Call is what a caller's head says, beside method, path and body.
type Call struct {
	ID          string        // names this attempt of the caller
	Deadline    time.Duration // how long the caller waits; 0: it does not say
	Key         string        // empty: none was given
	Input       int           // prompt tokens
	Output      int           // most tokens generated
	LastEventID string        // a stream goes on after this event; empty: from the start
}

// Send is what the gateway adds to a request for one endpoint.
type Send struct {
	EndpointID  string
	Remaining   time.Duration // until the request's deadline
	Workspace   string
	LastEventID string
	Helpers     []Helper
	Priority    int // 0 is the most urgent, DefaultPriority the usual
}

// Helper is an endpoint that reads part of a prompt.
type Helper struct {
	Address string
	// Reservation names memory set aside there; empty: none.
	Reservation string
}

// Verdict says what an endpoint's answer means for the request.
type Verdict uint8

// The verdicts.
const (
	// Final: the endpoint worked on the request, and this is the answer.
	Final Verdict = iota
	// NotRun: the endpoint did not run the request and never will.
	NotRun
	// WrongEndpoint: another incarnation has the address; not run either.
	WrongEndpoint
	// Failed: the endpoint ran the request and failed.
	Failed
)

// EndpointReport is what an endpoint with an engine says of itself.
type EndpointReport struct {
	// Pace is how many times as long as usual it takes for all that it does.
	Pace float64
	// Waiting and Running count its requests.
	Waiting, Running int
	// MemoryUsed of its MemoryTotal tokens cannot give way.
	MemoryUsed, MemoryTotal int
	// Reservations holds the memory set aside there, by id.
	Reservations map[string]ReservationState
}

// ReservationState says what becomes of memory set aside at an endpoint.
type ReservationState uint8

// The states of memory set aside.
const (
	// ReservationNone: the endpoint knows no such reservation.
	ReservationNone ReservationState = iota
	// ReservationWaiting: the memory is not free yet.
	ReservationWaiting
	// ReservationIdle: it is set aside, and no request uses it.
	ReservationIdle
	// ReservationUsed: a request uses it.
	ReservationUsed
)

// String returns the state as it stands in logs.
func (s ReservationState) String() string {
	return [...]string{"none", "waiting", "idle", "used"}[s]
}

// Protocol translates between the heads of requests and answers and the
// product's types.
type Protocol interface {
	// Call reads a caller's head. An error means a malformed head.
	Call(h http.Header) (Call, error)
	// Header returns the head for an endpoint: the caller's without what belongs
	// to its connection or to the gateway, and with what s says.
	Header(caller http.Header, c Call, s Send) http.Header
	// Verdict reads an endpoint's answer.
	Verdict(res *http.Response) Verdict
	// AtFault returns the address of the endpoint for which an answer says that the
	// request was not run; empty: it does not say.
	AtFault(res *http.Response) string
	// Statement reads what an answer says of the endpoint that gave it. The error tells of a value that cannot
	// be read, or counts only in part; the rest holds.
	Statement(res *http.Response) (availability.Statement, error)
	// Report returns the question to an endpoint with an engine about itself.
	Report(endpointID string) *upstream.Request
	// ReadReport reads its answer; ok is false when it says nothing.
	ReadReport(res *http.Response) (report EndpointReport, ok bool, err error)
	// HealthCheck returns the question whether an endpoint is there, at its service's path.
	HealthCheck(endpointID, path string) *upstream.Request
	// Reserve returns the order to set memory for so many tokens aside under an
	// id, or to renew it, for the time hold from its arrival. A 200 says that it
	// is set aside.
	Reserve(endpointID, id string, tokens int, hold time.Duration) *upstream.Request
	// Release returns the order to end a reservation.
	Release(endpointID, id string) *upstream.Request
	// Echo names the header that an answer repeats from its request.
	Echo() string
}

// Source gives the gateway what the operators declared and which endpoints
// exist, and keeps what gateways found out. Its methods return when they have an answer or ctx ends.
type Source interface {
	// Configuration returns the newest configuration, or nil when it is still
	// the one of that version that was returned last.
	Configuration(ctx context.Context) (*catalog.Configuration, error)
	// Endpoints returns every endpoint that is known to exist.
	Endpoints(ctx context.Context) ([]catalog.Endpoint, error)
	// Gateways announces this gateway and returns the peer addresses of all.
	Gateways(ctx context.Context) ([]peers.Member, error)
	// StoreEra returns the era that the store's newest answer named, 0 before one did. It rises
	// each time that the store comes back from an older copy of itself, in which what was written
	// last is missing.
	StoreEra() uint64
	QuarantineStore
}
