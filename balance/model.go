// Package balance selects the endpoint that serves a request and the helper endpoints
// that prefill parts of its prompt. The selection is a pure function of endpoint load
// and time. LoadTracker tracks the load that it is based on: this gateway's requests in
// flight, and the load that its peers last reported.
package balance

import "github.com/micarudder/micarudder/catalog"

// prefillMs returns how long an otherwise idle engine takes to prefill a prompt of the
// given length, in milliseconds.
func prefillMs(e *catalog.Engine, tokens int) float64 {
	if e == nil || e.ReadPerMs <= 0 {
		return 0
	}
	n := float64(tokens)
	return n/e.ReadPerMs + n*n/2/1e6*e.PairsPerM
}

// iterationMs returns the duration of one engine iteration, which is Stride decode
// steps, in milliseconds. decoding is the number of requests that decode, contextTokens
// their total context; no prompt is prefilled meanwhile.
func iterationMs(e *catalog.Engine, decoding, contextTokens int) float64 {
	step := e.StepMs + e.PerWriterMs*float64(decoding) + e.ContextPerK*float64(contextTokens)/1000
	return step * float64(max(1, e.Stride))
}
