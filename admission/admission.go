// Package admission schedules the requests that wait for one endpoint, at its agent: it
// decides which request starts next and which ones are refused immediately. It does no I/O
// and reads no clock: time is an argument, and the caller carries out the returned
// decisions.
package admission

import (
	"time"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
)

// Item is one request offered to the queue.
type Item struct {
	ID           string
	Workspace    string
	Weight       uint32 // weight of the workspace in fair sharing; 0 counts as 1
	Priority     uint32 // priority of the workspace; 0 is the highest
	Class        routing.Class
	PromptTokens uint64 // estimated tokens to prefill, cached ones excluded
	// ContextTokens are the prompt tokens that precede PromptTokens. They are held under a
	// memory reservation and not counted in MemoryTokens.
	ContextTokens uint64
	MemoryTokens  uint64 // memory for prompt and response, held while running
	OutputTokens  uint64
	Arrived       time.Time
	Deadline      time.Time
}

// Capacity describes what the endpoint can take on at one moment.
type Capacity struct {
	FreeTokens   uint64
	MemoryTokens uint64 // total size; 0 when unknown
	Running      int
	MaxRunning   int // 0: no limit
}

// Verdict is the decision about an offered item.
type Verdict struct {
	Admitted   bool
	Wait       time.Duration // predicted wait until prefill starts
	RetryAfter time.Duration // set when refused
	Code       result.Code   // reason for the refusal
	Detail     string        // human-readable reason, set when refused
}

// Queue schedules the waiting items of one endpoint. It is not safe for concurrent use.
//
// The caller calls Next until it returns false, after each Offer, Prefilled, Done, Remove
// and Expire, and every PollInterval while items wait. Each item returned by Next ends with
// Done, or with Remove if its run did not complete.
type Queue interface {
	// Offer admits the item or refuses it immediately.
	Offer(it Item, cap Capacity, now time.Time) Verdict
	// Next removes and returns the item to start now. It returns false if none can start.
	Next(cap Capacity, now time.Time) (Item, bool)
	// Expire removes and returns the waiting items that can no longer meet their deadline.
	Expire(now time.Time) []Item
	// Remove removes a waiting or started item, for example when its caller has disconnected.
	// It reports whether the item was known.
	Remove(id string) bool
	// Prefilled records that a started item has produced its first token.
	Prefilled(id string, now time.Time)
	// Done ends a started item and updates the cost estimates with the measured times. A time
	// of zero was not observed; cached is the number of prompt tokens that were already
	// cached.
	Done(it Item, queued, prefill, decode time.Duration, cached uint64)
	// Load returns the totals for load reports.
	Load(now time.Time) Totals
}

// PollInterval is the interval at which Next is called while items wait and no other event
// occurs.
const PollInterval = 5 * time.Millisecond

// Totals summarizes a queue's load.
type Totals struct {
	Queued       int
	QueuedTokens uint64
	LongTokens   uint64                            // prompt tokens of long items, waiting or still to be prefilled
	Wait         [routing.NumClasses]time.Duration // predicted wait of a new item, by class
	Cost         routing.Cost
}
