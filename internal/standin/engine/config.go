// Package engine simulates a model engine: it batches continuously in steps of modelled cost, has a
// prefix cache in limited memory, supports priorities, resumption and cancellation, exports and
// imports cache spans, executes orders, and injects faults that are set over HTTP. Its answers are
// derived from the prompt, see package answer. It uses no processor time while idle and runs under
// virtual time.
package engine

import (
	"net/http"
	"time"
)

// Costs are the modelled costs of one step, before division by Speed.
type Costs struct {
	Step         time.Duration // per step
	DecodeToken  time.Duration // per decoding run in a step
	PrefillToken time.Duration // per prefilled token
	// PrefillTokenPer1k is added per prefilled token for every thousand tokens of context before
	// it, which makes the cost of prefill quadratic.
	PrefillTokenPer1k time.Duration
	TransferToken     time.Duration // per exported or imported token
}

// Config configures a simulated engine.
type Config struct {
	Name         string
	Models       []string // NAME or NAME@VERSION, optionally followed by +ADAPTER several times; loaded from the start
	Role         string
	MemoryTokens uint64 // size of the cache memory
	MaxRunning   int    // maximum number of runs in the batch, prefilling or decoding
	ChunkTokens  uint64 // maximum number of tokens prefilled in one step
	Costs        Costs
	Speed        float64 // modelled time divided by real time
	// Coalesce is the real time up to which the engine may run ahead, so that short steps are
	// computed together; it adds jitter of the same size.
	Coalesce time.Duration

	// ImportDivisor divides the memory that an imported span occupies, since the span is kept in
	// the compressed form in which it was transferred.
	ImportDivisor uint64
	// ExportTokenBytes is the length of an exported span per token.
	ExportTokenBytes uint64

	LoadLag       time.Duration // maximum age of a load report
	EventDelay    time.Duration // from a cache event until it can be read
	EventGap      uint64        // one cache event of this many is lost; 0: none
	ChecksFencing bool          // refuse orders with an old fencing number
	Callers       []string      // callers whose orders are accepted; empty: any

	WeightsURL string       // base URL of the weight store; empty: loading takes no time
	HTTPClient *http.Client // for the weight store; nil: http.DefaultClient
}

// Default returns the configuration of an engine of average speed in real time.
func Default() Config {
	return Config{
		Name:         "engine",
		Models:       []string{"rudder-llm"},
		Role:         "mixed",
		MemoryTokens: 450_000,
		MaxRunning:   64,
		ChunkTokens:  1024,
		Costs: Costs{
			Step:              10 * time.Millisecond,
			DecodeToken:       100 * time.Microsecond,
			PrefillToken:      50 * time.Microsecond,
			PrefillTokenPer1k: 250 * time.Nanosecond,
			TransferToken:     5 * time.Microsecond,
		},
		Speed:            1,
		ImportDivisor:    8,
		ExportTokenBytes: 1,
		LoadLag:          500 * time.Millisecond,
		EventDelay:       200 * time.Millisecond,
		EventGap:         50,
	}
}

// scaled converts a modelled duration to real time.
func (c Config) scaled(d time.Duration) time.Duration {
	if c.Speed <= 0 {
		return d
	}
	return time.Duration(float64(d) / c.Speed)
}
