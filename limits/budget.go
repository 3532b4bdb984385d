package limits

import (
	"math"
	"time"
)

const (
	// retryShare is the number of automatic retries per request.
	retryShare = 0.1
	// retryFloor is the number of retries per second that is always there, so
	// that a workspace with few requests can retry at all.
	retryFloor = 0.5
	// budgetSpan is the time constant of the budget's memory.
	budgetSpan = 10 * time.Second
	// maxRetries bounds the budget at any rate of requests.
	maxRetries = 100
)

// Budget bounds the automatic retries of one workspace to a share of its
// requests, so that a failing fleet is not hit by a multiple of its load.
type Budget struct {
	credit float64
	at     time.Time
}

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

// decay lets old requests count less, and brings the budget towards the floor.
func (b *Budget) decay(now time.Time) {
	floor := max(1, retryFloor*budgetSpan.Seconds())
	if b.at.IsZero() {
		b.credit, b.at = floor, now
		return
	}
	elapsed := max(0, now.Sub(b.at))
	keep := math.Exp(-float64(elapsed) / float64(budgetSpan))
	b.credit = floor + (b.credit-floor)*keep
	b.at = now
}
