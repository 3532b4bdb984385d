// Package catalog holds what the operators declared and which endpoints exist,
// in the product's own types: routes, services, workspaces, limits and
// endpoints. A Configuration is immutable once it was published; Table adds the
// indexes that requests are looked up in.
package catalog

import "time"

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a series of events. They run at most
	// once unless the route is Resumable.
	Streaming
)

// Target is one of the services that a route sends to.
type Target struct {
	Service string
	Weight  int // share among the targets of the route; relative
}

// Route maps requests of a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout is the longest that the operators let a request be held.
	Timeout time.Duration
	// Objective is the time to the whole answer, or to the first event of a
	// stream, within which a request counts as in time.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream that
	// counts as in time; zero where the route has none.
	GapObjective time.Duration
	// Patience is how long callers wait for the first part of an answer before
	// they give up; zero: until the deadline.
	Patience time.Duration
	Priority int // 0 is the most urgent
	Targets  []Target
	// MaxAttempts is the largest number of endpoints that one request may be
	// sent to; at least 1.
	MaxAttempts int
	Public      bool // whether requests need no key
	Resumable   bool // whether a stream may go on at another endpoint
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine is the published performance of a service's batching model engine.
type Engine struct {
	Slots        int     // requests that run at once
	MemoryTokens int     // tokens of context that one endpoint holds
	StepMs       float64 // one token step, alone
	PerWriterMs  float64 // added to a step by each request that generates
	ContextPerK  float64 // ms added to a step by 1,000 tokens of context
	ReadPerMs    float64 // prompt tokens read in a millisecond
	PairsPerM    float64 // ms for a million pairs of a token and an earlier one
	ChunkTokens  int     // most prompt tokens read in one step
	Stride       int     // steps of one pass while requests generate
}

// Service is a pool of endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // most connections that one endpoint takes from all callers
	Engine         *Engine // nil for a plain service
}

// Workspace is a customer and the keys that belong to it.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int // replaces the route's priority; negative: none is set
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one accepted version of what the operators declared.
type Configuration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
	// KeysRequired is whether routes that are not public need a key.
	KeysRequired bool
}

// Endpoint is one incarnation of a back end.
type Endpoint struct {
	ID         string // names the incarnation; addresses are reused
	Service    string
	Address    string // IP number and port
	DataCentre string
	Slots      int // requests it works on at once
	Draining   bool
	// Born is when its process started, in Unix milliseconds of its own clock; zero: it
	// does not say. One that starts again may keep its ID and holds nothing of before.
	Born int64
}

// RestartedAs reports whether now is a later life of the endpoint under the same ID.
func (e Endpoint) RestartedAs(now Endpoint) bool {
	return e.Born != 0 && now.Born != 0 && e.Born != now.Born
}
