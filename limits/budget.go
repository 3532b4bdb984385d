package limits

import (
	"math"
	"time"
)

const (
	// retryRatio is the number of automatic retries earned by each request.
	retryRatio = 0.1
	// minRetryRate is the number of retries per second that is always available to all
	// gateways together, so that a workspace with few requests can retry at all.
	minRetryRate = 0.5
	// budgetTimeConstant is the time constant with which earned credit decays, and the time
	// for which minRetryRate accumulates.
	budgetTimeConstant = 10 * time.Second
	// maxCredit bounds the budget at any rate of requests.
	maxCredit = 100
)

// RetryBudget limits the automatic retries of one workspace to a ratio of its requests, so that
// a failing fleet is not hit by a multiple of its load. Each gateway keeps its own budget
// without coordination and gets its part of minRetryRate.
type RetryBudget struct {
	gateways int // number of gateways that share minRetryRate, this one included
	credit   float64
	updated  time.Time
}

// NewRetryBudget returns the budget of one of the given number of gateways.
func NewRetryBudget(gateways int) *RetryBudget { return &RetryBudget{gateways: gateways} }

// RecordRequest records a first attempt.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.decay(now)
	b.credit = min(maxCredit, b.credit+retryRatio)
}

// AllowRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.decay(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// decay moves the credit towards its baseline: below it, credit returns at a constant
// rate; above it, credit earned by requests decays exponentially. One complete retry does not
// decay, even if it was earned by many requests long ago: with many gateways, each has few
// requests.
func (b *RetryBudget) decay(now time.Time) {
	rate := minRetryRate / float64(b.gateways)
	if b.updated.IsZero() {
		b.credit, b.updated = rate*budgetTimeConstant.Seconds(), now
		return
	}
	elapsed := max(0, now.Sub(b.updated))
	b.updated = now
	baseline := max(1, rate*budgetTimeConstant.Seconds())
	if b.credit <= baseline {
		b.credit = min(baseline, b.credit+rate*elapsed.Seconds())
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(budgetTimeConstant))
	b.credit = baseline + (b.credit-baseline)*factor
}
