// Package stall decides when a stream makes no progress, so that it is cut at its endpoint and
// resumed at another one. The package does no I/O and reads no clock: callers pass in events and
// times. Its types are not safe for concurrent use.
package stall

import (
	"maps"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

const (
	// minLimit is the shortest time without an event after which a stream is cut: half of the
	// shortest time after which a caller abandons it, so that the other half is left to resume.
	minLimit = time.Second
	// gapFactor is the limit as a multiple of the route's gap objective. Callers abandon a stream
	// after eight times the allowed gap.
	gapFactor = 4
	// checksPerLimit is how often a stream is checked within its limit.
	checksPerLimit = 8
)

// Limit returns the time without an event after which a stream of the route is cut, or 0 if its
// streams are not monitored: without a gap objective it is not known what pause is normal, and a
// stream that may not be resumed would only be lost.
func Limit(r *catalog.Route) time.Duration {
	if r.Kind != catalog.Streaming || !r.Resumable || r.GapObjective <= 0 {
		return 0
	}
	return max(minLimit, gapFactor*r.GapObjective)
}

// Observation is what is known about a stream when it is checked.
type Observation struct {
	// LastProgress is when the newest event arrived, or when the caller took it if that is later.
	LastProgress time.Time
	// WaitingForCaller is set while an event is being written to the caller. The endpoint may then
	// be held up by the caller.
	WaitingForCaller bool
	// Suspended is how long the gateway's host was suspended in total.
	Suspended time.Duration
}

// Watch measures how long a stream has been without an event. Time in which the gateway could not
// have received one does not count: suspensions of its host, time in which the process did not run,
// and time in which the stream waited for its caller.
type Watch struct {
	limit     time.Duration
	since     time.Time // start of the time without an event, moved by the time that does not count
	checkedAt time.Time
	suspended time.Duration
}

// NewWatch returns a watch for a stream whose first event arrived at now. suspended is how long the
// gateway's host was suspended in total.
func NewWatch(limit, suspended time.Duration, now time.Time) *Watch {
	return &Watch{limit: limit, since: now, checkedAt: now, suspended: suspended}
}

// Interval returns the time between two checks.
func (w *Watch) Interval() time.Duration { return w.limit / checksPerLimit }

// Limit returns the time without an event after which the stream counts as stalled.
func (w *Watch) Limit() time.Duration { return w.limit }

// Check returns how long the stream has been without an event, and whether it is stalled.
func (w *Watch) Check(o Observation, now time.Time) (idle time.Duration, stalled bool) {
	sinceCheck := now.Sub(w.checkedAt)
	w.checkedAt = now
	if sinceCheck > 2*w.Interval() { // the process did not run, and events may wait unread
		w.since = w.since.Add(sinceCheck)
	}
	if o.Suspended > w.suspended || o.WaitingForCaller {
		w.suspended = max(w.suspended, o.Suspended)
		w.since = now
	}
	if o.LastProgress.After(w.since) {
		w.since = o.LastProgress
	}
	idle = max(0, now.Sub(w.since))
	return idle, idle >= w.limit
}

// Restart makes the watch count from now on, after a stream that is stalled was not cut.
func (w *Watch) Restart(now time.Time) { w.since = now }

// Deliveries records when endpoints last delivered an event on any of the streams that are in
// progress. An endpoint is forgotten with the last of its streams.
type Deliveries struct {
	endpoints map[string]*delivery
}

type delivery struct {
	streams int
	last    time.Time
}

// NewDeliveries returns an empty record.
func NewDeliveries() *Deliveries { return &Deliveries{endpoints: make(map[string]*delivery)} }

// Begin records that a stream of an endpoint has begun.
func (d *Deliveries) Begin(endpoint string) {
	e := d.endpoints[endpoint]
	if e == nil {
		e = &delivery{}
		d.endpoints[endpoint] = e
	}
	e.streams++
}

// End records that a stream of an endpoint has ended.
func (d *Deliveries) End(endpoint string) {
	e := d.endpoints[endpoint]
	if e == nil {
		return
	}
	if e.streams--; e.streams == 0 {
		delete(d.endpoints, endpoint)
	}
}

// Record records that an endpoint delivered an event.
func (d *Deliveries) Record(endpoint string, now time.Time) {
	if e := d.endpoints[endpoint]; e != nil && now.After(e.last) {
		e.last = now
	}
}

// DeliveredSince reports whether an endpoint delivered an event on any stream after a time.
func (d *Deliveries) DeliveredSince(endpoint string, since time.Time) bool {
	e := d.endpoints[endpoint]
	return e != nil && e.last.After(since)
}

// Endpoints returns the endpoints that have streams.
func (d *Deliveries) Endpoints() []string { return slices.Collect(maps.Keys(d.endpoints)) }
