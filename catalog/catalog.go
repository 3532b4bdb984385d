// Package catalog defines the product's own types for the operators'
// configuration and the known endpoints: routes, services, workspaces, limits
// and endpoints. A Configuration is immutable once it is published; Table adds
// the indexes for looking up requests.
package catalog

import "time"

// Kind determines how often a request of a route may run.
type Kind uint8

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route is Resumable.
	Streaming
)

// Target is one of the services to which a route sends requests.
type Target struct {
	Service string
	Weight  int // relative share among the targets of the route
}

// Route maps requests of a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout limits the time that a request may take, as set by the operators.
	Timeout time.Duration
	// Objective is the latency objective: the time to the complete response, or
	// to the first event of a stream, within which a request counts as in time.
	Objective time.Duration
	// GapObjective is the longest gap between two events of a stream that
	// counts as in time; zero if the route has no such objective.
	GapObjective time.Duration
	// Patience is the time after which callers abandon a request if no part of
	// a response has arrived; zero means that they wait until the deadline.
	Patience time.Duration
	Priority int // 0 is the most urgent
	Targets  []Target
	// MaxAttempts limits the number of endpoints to which one request may be
	// sent; at least 1.
	MaxAttempts int
	Public      bool // whether requests need no key
	Resumable   bool // whether another endpoint may continue a stream
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine holds the published performance figures of a service's batching model engine.
type Engine struct {
	Slots        int     // requests that run concurrently
	MemoryTokens int     // capacity of one endpoint, in tokens of context
	StepMs       float64 // base duration of a decode step
	PerWriterMs  float64 // ms added to a step by each request that generates
	ContextPerK  float64 // ms added to a step by 1,000 tokens of context
	ReadPerMs    float64 // prompt tokens prefilled per millisecond
	PairsPerM    float64 // ms per million pairs of a token and an earlier token (attention)
	ChunkTokens  int     // maximum of prompt tokens prefilled in one step
	Stride       int     // decode steps per engine iteration while requests generate
}

// Service is a pool of endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // maximum of connections to one endpoint from all callers together
	// ColdRate is how many requests a second an endpoint accepts from all callers together while it is
	// cold; 0 means no limit.
	ColdRate float64
	Engine   *Engine // nil if the service has no model engine
}

// Workspace is a customer and the keys that belong to it.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int // replaces the route's priority; negative if not set
}

// Limits bounds the size of callers' requests and the time that callers may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one accepted version of the operators' configuration.
type Configuration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
	// KeysRequired reports whether requests to non-public routes need a key.
	KeysRequired bool
}

// Endpoint is one incarnation of a backend process.
type Endpoint struct {
	ID         string // identifies the incarnation, since addresses are reused
	Service    string
	Address    string // IP address and port
	DataCentre string
	Slots      int // requests that it runs concurrently
	Draining   bool
	// ColdFor is how long the endpoint was still cold when its entry was read; see Service.ColdRate.
	ColdFor time.Duration
	// Born is the start time of its process in Unix milliseconds of its own clock; zero if unknown.
	// A restarted process may keep its ID, but has lost all its state.
	Born int64
}

// RestartedAs reports whether now describes a different process of the endpoint than e. It is false
// if one of the start times is unknown.
func (e Endpoint) RestartedAs(now Endpoint) bool {
	return e.Born != 0 && now.Born != 0 && e.Born != now.Born
}
