package limits

import (
	"math"
	"time"
)

// RetryWindowConfig is the bound on the retries to a service: in every window of length Window
// at most Ratio times the number of requests, plus Slack. A retry does not count as a request.
type RetryWindowConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// subWindows is the number of parts in which a window is counted.
	subWindows = 10
	// usableFraction is the fraction of the bound that is used. The rest covers retries that a
	// killed gateway has forgotten, and gateways that share the slack without knowing all
	// others.
	usableFraction = 0.6
)

// RetryWindow bounds the retries to one service over a sliding window that several gateways
// share: each counts its own requests and gets an even part of the slack.
type RetryWindow struct {
	config   RetryWindowConfig
	requests [subWindows + 1]int
	retries  [subWindows + 1]int
	began    time.Time // beginning of the first sub-window
	newest   int64     // number of the newest sub-window
}

// NewRetryWindow returns an empty window.
func NewRetryWindow(c RetryWindowConfig) *RetryWindow { return &RetryWindow{config: c} }

// RecordRequest records a request, retries excluded.
func (w *RetryWindow) RecordRequest(now time.Time) {
	w.advance(now)
	w.requests[w.index()]++
}

// UnknownGateways is the number of gateways to pass to AllowRetry while it is not known how
// many gateways share the slack.
const UnknownGateways = math.MaxInt

// AllowRetry takes one retry from the budget of one among the given number of gateways, and
// reports whether one was available.
func (w *RetryWindow) AllowRetry(now time.Time, gateways int) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	limit := usableFraction * (w.config.Ratio*float64(requests) + w.config.Slack/float64(max(1, gateways)))
	if float64(retries+1) > limit {
		return false
	}
	w.retries[w.index()]++
	return true
}

// index returns the position of the newest sub-window in the counts.
func (w *RetryWindow) index() int { return int(w.newest % int64(len(w.requests))) }

// advance clears the sub-windows that have left the window. A step of the host's wall clock changes nothing.
func (w *RetryWindow) advance(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	current := int64(now.Sub(w.began) / (w.config.Window / subWindows))
	steps := min(current-w.newest, int64(len(w.requests)))
	for range max(0, steps) {
		w.newest++
		w.requests[w.index()] = 0
		w.retries[w.index()] = 0
	}
	w.newest = max(w.newest, current)
	if steps == int64(len(w.requests)) {
		w.requests, w.retries = [subWindows + 1]int{}, [subWindows + 1]int{}
	}
}
