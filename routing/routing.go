// Package routing chooses the endpoint for one request: filter, score, pick.
// It is pure: the view, the time and the random numbers are arguments.
package routing

import (
	"math"
	"time"
)

// Class is a length class of prompts.
type Class int

// The length classes of the brief, by prompt tokens.
const (
	ClassShort  Class = iota // to 4 k
	ClassMedium              // to 32 k
	ClassLong                // to 128 k
	ClassHuge                // to 1 M
	NumClasses  = 4
)

var classLimits = [NumClasses]uint64{4_096, 32_768, 131_072, math.MaxUint64}

// ClassOf returns the class of a prompt of n tokens.
func ClassOf(n uint64) Class {
	for c, limit := range classLimits {
		if n <= limit {
			return Class(c)
		}
	}
	return ClassHuge
}

// String returns the class's upper bound.
func (c Class) String() string {
	return [...]string{"4k", "32k", "128k", "1M"}[c]
}

// Request is what routing needs to know of a request.
type Request struct {
	ID           string
	Workspace    string
	Model        string // empty for a service call
	Service      string
	PromptTokens uint64
	MaxTokens    uint64
	Prefix       []uint64 // chained block hashes
	Remaining    time.Duration
	DataCentre   string          // of the gateway
	Excluded     map[string]bool // endpoints that failed or refused this request
}

// Cost holds an endpoint's learned cost of work.
type Cost struct {
	PrefillPerToken  time.Duration
	PrefillPerToken2 float64 // microseconds per token squared
	DecodePerToken   time.Duration
}

// Candidate is one endpoint as a gateway knows it.
type Candidate struct {
	Endpoint    string
	Host        string
	DataCentre  string
	Service     string
	Models      map[string]bool
	Connected   bool
	Leaving     bool
	BreakerOpen bool
	// Resting is set while the endpoint wants no new work, as its agent has said.
	Resting  bool
	LongLane bool // this endpoint is in the lane for long work

	Queued       int
	Running      int
	MemoryTokens uint64
	FreeTokens   uint64
	QueuedTokens uint64                    // prompt tokens queued or prefilling
	LongTokens   uint64                    // those of long work
	Wait         [NumClasses]time.Duration // predicted by the agent, by class
	Cost         Cost
	Pending      time.Duration // work sent since the last report, predicted
	PendingCount int
	// PendingLong is the part of Pending that is long work; short work passes it.
	PendingLong time.Duration
	// Age is the time since the agent took the load above.
	Age time.Duration
	// Silent is the time since the agent was last heard; 0 means never. It
	// counts only when not connected.
	Silent time.Duration
	// Slowness is the time runs took over what was predicted, as the gateway
	// measured it itself; 0 counts as 1.
	Slowness float64

	// Cached returns how many leading blocks the endpoint is believed to hold.
	Cached func(prefix []uint64) int
}

// Score is one candidate's record in a decision.
type Score struct {
	Endpoint string
	Kept     bool
	Filtered string             // name of the filter that removed it
	Total    float64            // milliseconds; the least is chosen
	Parts    map[string]float64 // milliseconds
}

// Decision is the outcome of one choice. Index is -1 when nothing is left.
type Decision struct {
	Index  int
	Reason string
	Scores []Score // only when tracing
}

// Policy chooses an endpoint. r returns a random number in [0, n).
type Policy interface {
	Choose(req Request, view []Candidate, r func(n int) int, trace bool) Decision
}
