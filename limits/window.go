package limits

import (
	"math"
	"time"
)

// WindowConfig sets the bound that a service puts on second sends: in every
// window of length Window, at most Ratio times the first sends plus Slack.
type WindowConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// windowCells is how many parts a window is counted in.
	windowCells = 10
	// windowShare is the part of the bound that is used. The rest covers
	// second sends that a killed gateway has forgotten, and gateways that
	// share the slack without knowing all others.
	windowShare = 0.6
)

// Window bounds second sends to one service over a sliding window, shared by
// several gateways: each uses its own requests and an even part of the slack.
type Window struct {
	config   WindowConfig
	requests [windowCells + 1]int
	retries  [windowCells + 1]int
	newest   int64 // number of the newest cell since the zero time
}

// NewWindow returns an empty window.
func NewWindow(c WindowConfig) *Window { return &Window{config: c} }

// Request counts a first send.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.requests[w.cell()]++
}

// UnknownGateways is the number of gateways for one that does not know yet who shares the slack with it.
const UnknownGateways = math.MaxInt

// Retry takes a second send out of the budget of one among so many gateways,
// and reports whether it was there.
func (w *Window) Retry(now time.Time, gateways int) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	most := windowShare * (w.config.Ratio*float64(requests) + w.config.Slack/float64(max(1, gateways)))
	if float64(retries+1) > most {
		return false
	}
	w.retries[w.cell()]++
	return true
}

func (w *Window) cell() int { return int(w.newest % int64(len(w.requests))) }

// advance empties the cells that have left the window.
func (w *Window) advance(now time.Time) {
	current := now.UnixNano() / int64(w.config.Window/windowCells)
	steps := min(current-w.newest, int64(len(w.requests)))
	for range max(0, steps) {
		w.newest++
		w.requests[w.cell()] = 0
		w.retries[w.cell()] = 0
	}
	w.newest = max(w.newest, current)
	if steps == int64(len(w.requests)) {
		w.requests, w.retries = [windowCells + 1]int{}, [windowCells + 1]int{}
	}
}
