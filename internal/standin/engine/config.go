// Package engine is a stand-in for a model engine: it batches continuously in
// steps of modelled cost, keeps a prefix cache in limited memory, honours
// priorities, resumes and cancels, exports and imports cache spans, carries
// out orders, and fails in ways that are switched over HTTP. Its answers
// follow from the prompt, see package answer. It costs no processor time
// while idle and runs under virtual time.
package engine

import (
	"net/http"
	"time"
)

// Costs are the modelled costs of one step, before Speed divides them.
type Costs struct {
	Step         time.Duration // of every step
	DecodeToken  time.Duration // of every run that decodes in a step
	PrefillToken time.Duration // of every prefilled token
	// PrefillTokenPer1k is added per prefilled token for each thousand tokens
	// of context before it; prefill is quadratic by it.
	PrefillTokenPer1k time.Duration
	TransferToken     time.Duration // of every token exported or imported
}

// Config sets up a stand-in engine.
type Config struct {
	Name         string
	Models       []string // NAME or NAME@VERSION, each may be followed by +ADAPTER; loaded from the start
	Role         string
	MemoryTokens uint64 // of cache memory
	MaxRunning   int    // runs in the batch, prefilling or decoding
	ChunkTokens  uint64 // most tokens prefilled in one step
	Costs        Costs
	Speed        float64 // modelled time over real time
	// Coalesce lets steps that together take less than this real time be
	// computed in one go, at the price of as much jitter.
	Coalesce time.Duration

	// ImportDivisor: an imported span occupies its tokens over this number,
	// for it is kept in the compressed form in which it travelled.
	ImportDivisor uint64
	// ExportTokenBytes is the length of an exported span per token.
	ExportTokenBytes uint64

	LoadLag       time.Duration // age that a load report may have
	EventDelay    time.Duration // from a cache event to its being readable
	EventGap      uint64        // every so many cache events one is lost; 0: none
	ChecksFencing bool          // refuse orders with an old fencing number
	Callers       []string      // whose orders are taken; empty: anyone's

	WeightsURL string       // base URL of the weight store; empty: loads take no time
	HTTPClient *http.Client // for the weight store; nil: http.DefaultClient
}

// Default returns the settings of a middling engine in real time.
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

// scaled returns the real time of a modelled duration.
func (c Config) scaled(d time.Duration) time.Duration {
	if c.Speed <= 0 {
		return d
	}
	return time.Duration(float64(d) / c.Speed)
}
