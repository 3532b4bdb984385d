// Package engine is the client of a model engine. It covers completions as
// server-sent events with priorities, resumption and cancellation; prefix-cache
// events; the engine's lagging load report; export and import of the key-value
// cache; and fenced orders that load models, adapters and versions or change
// the role. docs/design/engine-protocol.md specifies the paths and bodies.
package engine

import (
	"context"
	"errors"
	"time"
)

// Sentinel errors; test with errors.Is.
var (
	// ErrRefused: the engine certainly did not start the request, or the client
	// never tried to send it.
	ErrRefused = errors.New("engine: refused")
	// ErrLost: the connection to the engine was lost after the request was
	// sent; the request may have run.
	ErrLost = errors.New("engine: lost")
	// ErrUnreachable: no connection could be established; the request certainly
	// did not start.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrFailed: the engine ran the request and reported a failure.
	ErrFailed = errors.New("engine: failed")
	// ErrFenced: the engine rejected an order because of its old fencing
	// number.
	ErrFenced = errors.New("engine: old fencing number")
	// ErrNoMemory: the engine has no cache memory for the request or import,
	// which did not start.
	ErrNoMemory = errors.New("engine: out of memory")
	// ErrNotFound: the run, handle or model does not exist.
	ErrNotFound = errors.New("engine: not found")
)

// Request is one completion request to the engine.
type Request struct {
	ID         string // unique per attempt
	Path       string // /v1/chat/completions or /v1/completions
	Body       []byte // the caller's JSON body, unchanged
	Priority   int    // lower numbers run first
	ResumeText []byte // response text already delivered; the engine continues after it
	Import     []string
	MaxTokens  uint64
}

// Event is one event of a stream: either text, or the end of the response with
// Finish set.
type Event struct {
	Text   []byte
	Tokens uint32
	Finish string // "stop" or "length" in the last event
	Usage  Usage  // in the last event
}

// Usage holds the token counts of one run.
type Usage struct {
	PromptTokens uint64
	CachedTokens uint64
	OutputTokens uint64
}

// Stream is one running completion. Recv returns io.EOF after the last event;
// if the stream breaks off earlier, it returns ErrLost. Close cancels a run
// that has not finished.
type Stream interface {
	Recv() (Event, error)
	Close() error
}

// Load is the engine's own load report; it lags behind the actual load.
type Load struct {
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	MemoryTokens uint64    `json:"memory_tokens"`
	FreeTokens   uint64    `json:"free_tokens"`
	At           time.Time `json:"at"` // time of the measurement by the engine's clock
}

// CacheEvent reports that a block was added to or evicted from the engine's
// prefix cache. Block hashes are those of package prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // a gap means that events were lost
	Block    uint64 `json:"block,string"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel     OrderKind = "load-model"
	OrderUnloadModel   OrderKind = "unload-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderSetRole       OrderKind = "set-role"
)

// Order changes what an engine serves. Fence is the fencing number: some
// engines reject an order whose number is below the highest one they have seen.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Weights string    `json:"weights,omitempty"` // name in the weight store
	Role    string    `json:"role,omitempty"`
	Fence   uint64    `json:"fence"`
	From    string    `json:"from,omitempty"` // name of the agent that issues the order
}

// Model is one model that is loaded or being loaded.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Loading  bool     `json:"loading,omitempty"`
}

// HeldMemory is a piece of cache memory that is held outside any run: an exported or
// imported span, or a reservation.
type HeldMemory struct {
	ID     string `json:"id"`
	Owner  string `json:"owner,omitempty"` // id of the group or run that it is held for
	Tokens uint64 `json:"tokens"`
}

// State is what the engine holds; unlike Load, it is exact at the time of the
// response.
type State struct {
	Incarnation string       `json:"incarnation"` // changes when the engine restarts
	Models      []Model      `json:"models"`
	Role        string       `json:"role"`
	Fence       uint64       `json:"fence"`
	Running     []string     `json:"running"` // ids of runs and of spans being computed or waiting
	Held        []HeldMemory `json:"held"`
	Load        Load         `json:"load"`
	OrderID     string       `json:"order_id,omitempty"` // last finished order
	OrderBusy   bool         `json:"order_busy,omitempty"`
}

// Span is a part of a prompt for the engine to prefill and hold.
type Span struct {
	ID     string
	Owner  string
	Path   string
	Body   []byte
	Start  uint64 // first token
	Tokens uint64
	Import []string // handles of the preceding spans
	// Priority orders waiting prefills; lower numbers run first.
	Priority int
}

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Start begins a completion. After ErrRefused, ErrNoMemory and
	// ErrUnreachable the request certainly did not run; after ErrLost it may
	// have.
	Start(ctx context.Context, r Request) (Stream, error)
	// Cancel ends a run and frees its memory; it returns ErrNotFound if the run
	// is not running.
	Cancel(ctx context.Context, id string) error
	// Load returns the engine's lagging load report.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// State returns what the engine holds.
	State(ctx context.Context) (State, error)
	// Order issues an order and returns once the engine has finished it.
	Order(ctx context.Context, o Order) error
	// Prefill computes a span and holds it under Span.ID.
	Prefill(ctx context.Context, s Span) error
	// Export returns the cache content of a held span as opaque bytes.
	Export(ctx context.Context, id string) ([]byte, error)
	// Import loads an exported span into the engine's memory and holds it under
	// id.
	Import(ctx context.Context, id, owner string, data []byte) error
	// Free releases a held span.
	Free(ctx context.Context, id string) error
}
