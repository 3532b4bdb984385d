// Package engine is the client of a model engine: completions as server-sent
// events with priorities, resume and cancel, prefix-cache events, lagging
// load, key-value cache export and import, and fenced orders to load models,
// adapters and versions or to change role. docs/design/engine-protocol.md
// gives the paths and bodies.
package engine

import (
	"context"
	"errors"
	"time"
)

// Sentinel errors; test with errors.Is.
var (
	// ErrRefused: the engine certainly did not start the request, or the
	// client never tried to send it.
	ErrRefused = errors.New("engine: refused")
	// ErrLost: the engine was lost after the request was sent; it may have run.
	ErrLost = errors.New("engine: lost")
	// ErrUnreachable: no connection could be made; the request certainly did not start.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrFailed: the engine ran the request and reported a failure.
	ErrFailed = errors.New("engine: failed")
	// ErrFenced: the engine refused an order with an old fencing number.
	ErrFenced = errors.New("engine: old fencing number")
	// ErrNoMemory: the engine has no cache memory for the request or import; it did not start.
	ErrNoMemory = errors.New("engine: out of memory")
	// ErrNotFound: no such run, handle or model.
	ErrNotFound = errors.New("engine: not found")
)

// Request is one completion ordered from the engine.
type Request struct {
	ID         string // unique per attempt
	Path       string // /v1/chat/completions or /v1/completions
	Body       []byte // the caller's JSON body, unchanged
	Priority   int    // lower runs first
	ResumeText []byte // answer text already delivered; the engine continues after it
	Import     []string
	MaxTokens  uint64
}

// Event is one step of a stream: text, or the end with Finish set.
type Event struct {
	Text   []byte
	Tokens uint32
	Finish string // "stop" or "length" on the last event
	Usage  Usage  // on the last event
}

// Usage counts tokens of one run.
type Usage struct {
	PromptTokens uint64
	CachedTokens uint64
	OutputTokens uint64
}

// Stream is one running completion. Recv returns io.EOF after the last event;
// a stream that breaks earlier returns ErrLost. Close cancels what still runs.
type Stream interface {
	Recv() (Event, error)
	Close() error
}

// Load is the engine's own report; it lags.
type Load struct {
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	MemoryTokens uint64    `json:"memory_tokens"`
	FreeTokens   uint64    `json:"free_tokens"`
	At           time.Time `json:"at"` // when the engine measured it, its own clock
}

// CacheEvent says that a block entered or left the engine's prefix cache.
// Block hashes are those of package prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // gaps mean lost events
	Block    uint64 `json:"block,string"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// OrderKind names what an order asks for.
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
// engines refuse an order whose number is below the highest they have seen.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Weights string    `json:"weights,omitempty"` // name in the weight store
	Role    string    `json:"role,omitempty"`
	Fence   uint64    `json:"fence"`
	From    string    `json:"from,omitempty"` // name of the agent that gives the order
}

// Model is one loaded or loading model.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Loading  bool     `json:"loading,omitempty"`
}

// Held is one piece of cache memory kept outside any run: an exported or
// imported span, or a reservation.
type Held struct {
	ID     string `json:"id"`
	Owner  string `json:"owner,omitempty"` // group or run id it was made for
	Tokens uint64 `json:"tokens"`
}

// State is what the engine holds now, exact at the moment of the answer.
type State struct {
	Incarnation string   `json:"incarnation"` // changes when the engine restarts
	Models      []Model  `json:"models"`
	Role        string   `json:"role"`
	Fence       uint64   `json:"fence"`
	Running     []string `json:"running"` // run ids, and those of spans that are computed or wait for it
	Held        []Held   `json:"held"`
	Load        Load     `json:"load"`
	OrderID     string   `json:"order_id,omitempty"` // last order finished
	OrderBusy   bool     `json:"order_busy,omitempty"`
}

// Span asks the engine to prefill and hold part of a prompt.
type Span struct {
	ID     string
	Owner  string
	Path   string
	Body   []byte
	Start  uint64 // first token
	Tokens uint64
	Import []string // handles of the spans before it
	// Priority orders the prefill among waiting ones, lower first.
	Priority int
}

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Start begins a completion. Errors: ErrRefused, ErrNoMemory and
	// ErrUnreachable are certain not to have run; ErrLost is not.
	Start(ctx context.Context, r Request) (Stream, error)
	// Cancel ends a run and frees its memory; ErrNotFound when it is not running.
	Cancel(ctx context.Context, id string) error
	// Load returns the engine's lagging report.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns events after the sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// State asks what the engine holds.
	State(ctx context.Context) (State, error)
	// Order gives an order and returns when the engine has finished it.
	Order(ctx context.Context, o Order) error
	// Prefill computes a span and keeps it held under Span.ID.
	Prefill(ctx context.Context, s Span) error
	// Export returns the cache of a held span as opaque bytes.
	Export(ctx context.Context, id string) ([]byte, error)
	// Import puts an exported span into the engine's memory under id.
	Import(ctx context.Context, id, owner string, data []byte) error
	// Free releases a held span.
	Free(ctx context.Context, id string) error
}
