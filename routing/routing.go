// Package routing selects the endpoint for a request in three stages: filter,
// score and pick. It has no side effects and reads no clock: the candidates,
// the ages of their reports and the random numbers are arguments.
package routing

import (
	"math"
	"time"
)

// Class groups prompts by length.
type Class int

// The length classes, by the number of prompt tokens.
const (
	ClassShort  Class = iota // up to 4 k
	ClassMedium              // up to 32 k
	ClassLong                // up to 128 k
	ClassHuge                // up to 1 M
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

// String returns the upper bound of the class.
func (c Class) String() string {
	return [...]string{"4k", "32k", "128k", "1M"}[c]
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	ID           string
	Workspace    string
	Model        string // empty for a service call
	Service      string
	PromptTokens uint64
	MaxTokens    uint64
	Prefix       []uint64        // chained hashes of the prompt's blocks
	Remaining    time.Duration   // until the deadline; 0 means no deadline
	DataCentre   string          // data centre of the gateway
	Excluded     map[string]bool // endpoints that failed or refused this request
}

// Cost holds the learned cost coefficients of an endpoint.
type Cost struct {
	PrefillPerToken        time.Duration
	PrefillPerTokenSquared float64 // microseconds per token squared
	DecodePerToken         time.Duration
}

// Candidate is the state of one endpoint as known to a gateway.
type Candidate struct {
	Endpoint    string
	Host        string
	DataCentre  string
	Service     string
	Models      map[string]bool
	Connected   bool
	Draining    bool
	BreakerOpen bool
	// BackingOff is set during the backoff period that the endpoint's agent has
	// requested, in which the endpoint accepts no new work.
	BackingOff bool
	InLongLane bool // the endpoint belongs to the lane, the endpoints that take long work

	Queued          int
	Running         int
	MemoryTokens    uint64
	FreeTokens      uint64
	QueuedTokens    uint64                    // prompt tokens queued or prefilling
	LongTokens      uint64                    // prompt tokens of long work queued or prefilling
	Wait            [NumClasses]time.Duration // queueing delay predicted by the agent, by class
	Cost            Cost
	Pending         time.Duration // predicted work sent since the last report
	PendingRequests int           // number of requests in Pending
	// PendingLong is the part of Pending that is long work. Requests shorter
	// than ClassLong overtake it.
	PendingLong time.Duration
	// LoadAge is the age of the load values above.
	LoadAge time.Duration
	// Silence is the time since the last message from the agent; 0 means that
	// none was received. It is ignored while the agent is connected.
	Silence time.Duration
	// SlowdownFactor is the ratio of actual to predicted run time, as measured by the
	// gateway; 0 means 1.
	SlowdownFactor float64

	// Cached returns the number of leading blocks of the prefix that the
	// endpoint is assumed to have in its cache.
	Cached func(prefix []uint64) int
}

// Score records how one candidate was evaluated.
type Score struct {
	Endpoint string
	Kept     bool               // the candidate passed every filter
	Filtered string             // name of the filter that rejected the candidate
	Total    float64            // in milliseconds; the lowest total wins
	Parts    map[string]float64 // in milliseconds
}

// Decision is the result of a selection. Index is -1 if no candidate is
// eligible.
type Decision struct {
	Index  int
	Reason string
	Scores []Score // only set when tracing
}

// Policy selects an endpoint. r returns a random number in [0, n).
type Policy interface {
	Choose(req Request, view []Candidate, r func(n int) int, trace bool) Decision
}
