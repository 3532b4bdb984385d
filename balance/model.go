// Package balance decides which endpoint a request goes to, and which other
// endpoints help it to read its prompt. It is pure: the load of the endpoints
// and the time come in, a decision comes out. Book keeps the load that the
// decisions are made on: what this gateway has in flight, and what its peers
// last said that they have.
package balance

import "github.com/micarudder/micarudder/catalog"

// readMs returns how long an engine that does nothing else reads a prompt of so
// many tokens, in milliseconds.
func readMs(e *catalog.Engine, tokens int) float64 {
	if e == nil || e.ReadPerMs <= 0 {
		return 0
	}
	n := float64(tokens)
	return n/e.ReadPerMs + n*n/2/1e6*e.PairsPerM
}

// passMs returns how long a pass takes in which so many requests generate, with
// so many tokens of context together, and nothing is read.
func passMs(e *catalog.Engine, writers, contextTokens int) float64 {
	step := e.StepMs + e.PerWriterMs*float64(writers) + e.ContextPerK*float64(contextTokens)/1000
	return step * float64(max(1, e.Stride))
}
