package engine

import "github.com/micarudder/micarudder/engine"

// Faults are the switchable failures; the zero value is a healthy engine.
// POST /fault replaces them all.
type Faults struct {
	// DieAfterTokens crashes the engine as soon as a run has emitted so many
	// output tokens: every connection breaks, memory and runs are gone, a new
	// incarnation starts. It is used up by the crash. 1 dies at the first token.
	DieAfterTokens int `json:"die_after_tokens,omitempty"`
	// CutAfterTokens breaks each stream after so many tokens; the run goes on.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// Hang freezes the engine: nothing is answered, nothing moves.
	Hang bool `json:"hang,omitempty"`
	// SlowFactor multiplies the cost of each step; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Refuse refuses new runs, spans and orders.
	Refuse bool `json:"refuse,omitempty"`
	// RestSeconds is what these refusals ask for as the time to come back; 0: they do not say.
	RestSeconds int `json:"rest_seconds,omitempty"`
	// LoseStart runs the request and breaks the connection before any answer.
	LoseStart bool `json:"lose_start,omitempty"`
	// FailStream ends each stream with an error event instead of its last token.
	FailStream bool `json:"fail_stream,omitempty"`
	// IgnoreCancel lets a run go on when it is cancelled or its caller leaves.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// DropCacheEvents loses all cache events from now on.
	DropCacheEvents bool `json:"drop_cache_events,omitempty"`
	// LoseOrderAnswer carries orders and span calls out and breaks the
	// connection instead of answering.
	LoseOrderAnswer bool `json:"lose_order_answer,omitempty"`
	// LosePrefill takes prefills, never begins them and never answers.
	LosePrefill bool `json:"lose_prefill,omitempty"`
	// LoseCompletion does the same with completions.
	LoseCompletion bool `json:"lose_completion,omitempty"`
	// FailOrders makes orders fail after their work.
	FailOrders bool `json:"fail_orders,omitempty"`
	// FalseLoad is reported in place of the engine's load.
	FalseLoad *engine.Load `json:"false_load,omitempty"`
}
