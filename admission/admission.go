// Package admission decides at the agent which waiting request runs next and
// which is refused at once. It is pure: time is an argument, and the caller
// carries out the returned actions.
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
	Weight       uint32 // share of the workspace; 0 counts as 1
	Priority     uint32 // of the workspace; 0 is the most urgent
	Class        routing.Class
	PromptTokens uint64 // uncached estimate
	// ContextTokens are prompt tokens before those, held under a reservation and
	// not counted in MemoryTokens.
	ContextTokens uint64
	MemoryTokens  uint64 // prompt and answer, held while running
	OutputTokens  uint64
	Arrived       time.Time
	Deadline      time.Time
}

// Capacity is what the endpoint has for new work at one moment.
type Capacity struct {
	FreeTokens   uint64
	MemoryTokens uint64 // whole size; 0 when unknown
	Running      int
	MaxRunning   int // 0: no limit
}

// Verdict is the answer to an offer.
type Verdict struct {
	Admitted   bool
	Wait       time.Duration // predicted wait until prefill starts
	RetryAfter time.Duration // set when refused
	Code       result.Code   // why it was refused
	Detail     string        // for people, when refused
}

// Queue orders the waiting work of one endpoint. It is not safe for
// concurrent use.
//
// The caller calls Next until it returns false after each Offer, Prefilled,
// Done, Remove and Expire, and every PollEvery while items wait. Each item that
// Next returned ends with Done, or with Remove when its run taught nothing.
type Queue interface {
	// Offer admits the item or refuses it at once.
	Offer(it Item, cap Capacity, now time.Time) Verdict
	// Next removes and returns the item to start now, if any fits.
	Next(cap Capacity, now time.Time) (Item, bool)
	// Expire removes and returns the items that can no longer meet their deadline.
	Expire(now time.Time) []Item
	// Remove takes a waiting or started item out, for a caller that went away.
	Remove(id string) bool
	// Prefilled says that a started item has produced its first token.
	Prefilled(id string, now time.Time)
	// Done ends a started item and teaches the queue what it took. A time of
	// zero was not observed; cached counts the prompt tokens held already.
	Done(it Item, queued, prefill, decode time.Duration, cached uint64)
	// Load returns the totals for reports.
	Load(now time.Time) Totals
}

// PollEvery is how often Next is called while items wait and nothing happens.
const PollEvery = 5 * time.Millisecond

// Totals sums up a queue.
type Totals struct {
	Queued       int
	QueuedTokens uint64
	LongTokens   uint64 // of long work, waiting or still to prefill
	Wait         [routing.NumClasses]time.Duration
	Cost         routing.Cost
}
