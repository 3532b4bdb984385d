package limits

import (
	"math"
	"time"
)

const (
	// retryShare is the number of automatic retries per request.
	retryShare = 0.1
	// retryFloor is the number of retries per second that is always there at all gateways together, so
	// that a workspace with few requests can retry at all.
	retryFloor = 0.5
	// budgetSpan is the time constant of the budget's memory.
	budgetSpan = 10 * time.Second
	// maxRetries bounds the budget at any rate of requests.
	maxRetries = 100
)

// Budget bounds the automatic retries of one workspace to a share of its
// requests, so that a failing fleet is not hit by a multiple of its load. One gateway keeps it alone: it
// has its part of what is always there.
type Budget struct {
	gateways int // that share retryFloor, this one included
	credit   float64
	at       time.Time
}

// NewBudget returns the budget of one of so many gateways.
func NewBudget(gateways int) *Budget { return &Budget{gateways: gateways} }

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.decay(now)
	b.credit = min(maxRetries, b.credit+retryShare)
}

// Retry takes one retry out of the budget, and reports whether it had one.
func (b *Budget) Retry(now time.Time) bool {
	b.decay(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// decay brings the budget to what is always there: what is missing comes back evenly, and what requests have left above it counts
// less with time. A retry that is saved up, though by many requests of long ago, does not: with many gateways each has few requests.
func (b *Budget) decay(now time.Time) {
	rate := retryFloor / float64(b.gateways)
	if b.at.IsZero() {
		b.credit, b.at = rate*budgetSpan.Seconds(), now
		return
	}
	elapsed := max(0, now.Sub(b.at))
	b.at = now
	rest := max(1, rate*budgetSpan.Seconds())
	if b.credit <= rest {
		b.credit = min(rest, b.credit+rate*elapsed.Seconds())
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(budgetSpan))
	b.credit = rest + (b.credit-rest)*keep
}
