package engine

import "github.com/micarudder/micarudder/engine"

// Faults are the injected faults; the zero value is a healthy engine. POST /fault replaces all of
// them.
type Faults struct {
	// DieAfterTokens crashes the engine as soon as a run has emitted this many output tokens: every
	// connection breaks, memory and runs are lost, and a new incarnation starts. The crash resets
	// it. With 1 the engine crashes at the first token.
	DieAfterTokens int `json:"die_after_tokens,omitempty"`
	// CutAfterTokens breaks each stream after this many tokens; the run continues.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// Hang freezes the engine: it sends no responses and makes no progress.
	Hang bool `json:"hang,omitempty"`
	// SlowFactor multiplies the cost of each step; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Refuse refuses new runs, spans and orders.
	Refuse bool `json:"refuse,omitempty"`
	// RetryAfterSeconds is the Retry-After of these refusals; 0: none.
	RetryAfterSeconds int `json:"rest_seconds,omitempty"`
	// LoseStart starts the run and breaks the connection before any response.
	LoseStart bool `json:"lose_start,omitempty"`
	// FailStream ends each stream with an error event instead of its last token.
	FailStream bool `json:"fail_stream,omitempty"`
	// IgnoreCancel lets a run continue when it is cancelled or its caller disconnects.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// DropCacheEvents drops all cache events from now on.
	DropCacheEvents bool `json:"drop_cache_events,omitempty"`
	// LoseOrderAnswer executes orders and span calls and breaks the connection instead of
	// responding.
	LoseOrderAnswer bool `json:"lose_order_answer,omitempty"`
	// LosePrefill accepts prefills, never starts them and never responds.
	LosePrefill bool `json:"lose_prefill,omitempty"`
	// LoseCompletion does the same with completions.
	LoseCompletion bool `json:"lose_completion,omitempty"`
	// FailOrders makes orders fail after their work is done.
	FailOrders bool `json:"fail_orders,omitempty"`
	// FalseLoad is reported instead of the engine's load.
	FalseLoad *engine.Load `json:"false_load,omitempty"`
}
