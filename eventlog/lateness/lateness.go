// Package lateness finds from the logs of relaying gateways why requests were late or refused. What stood at
// an endpoint is taken from the logs of all gateways, so that it can differ from what the gateway that chose
// the endpoint believed.
package lateness

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/eventlog"
)

// Cause is why a request was late.
type Cause string

// The causes, in the order in which they are looked for. The first four concern the first event, the last
// three a gap between two events.
const (
	// SentAgain: an earlier attempt had failed.
	SentAgain Cause = "sent-again"
	// ExpectedLate: no endpoint was expected to be in time when one was chosen.
	ExpectedLate Cause = "expected-late"
	// UnknownLoad: more requests were at the endpoint than the gateway believed, or came right after.
	UnknownLoad Cause = "unknown-load"
	// SlowerThanExpected: none of these.
	SlowerThanExpected Cause = "slower-than-expected"
	// Resumed: the stream broke and went on elsewhere.
	Resumed Cause = "resumed"
	// LongPromptBeside: the endpoint got a long prompt while the stream ran.
	LongPromptBeside Cause = "long-prompt-beside"
	// OtherGap: neither of these.
	OtherGap Cause = "other-gap"
)

// arrivalWindow is how soon after a choice other requests at the same endpoint count as unknown to the
// gateway: the time for which its view may be old.
const arrivalWindow = 100 * time.Millisecond

// Options selects what is reported.
type Options struct {
	// From and To bound the ends of the requests that are reported; zero: no bound. All requests count as
	// load.
	From, To time.Time
	// LongTokens is the length from which a prompt is long.
	LongTokens int
}

// Group is the late requests of one route with one cause.
type Group struct {
	Route  string `json:"route"`
	Cause  Cause  `json:"cause"`
	Count  int    `json:"count"`
	LateMs int64  `json:"late_ms"` // median time beyond the objective, or beyond the allowed gap
	// Believed and Present are the medians of the requests at the endpoint as the gateway believed and as
	// the logs show, when it was chosen.
	Believed int `json:"believed"`
	Present  int `json:"present"`
}

// Refusals counts the requests of one route with an outcome other than a complete response.
type Refusals struct {
	Route   string `json:"route"`
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
}

// Report is what the logs say.
type Report struct {
	Requests  int        `json:"requests"` // that had an objective
	LateFirst int        `json:"late_first"`
	LateGap   int        `json:"late_gap"`
	Endpoints int        `json:"endpoints"`
	Late      []Group    `json:"late"`
	Refused   []Refusals `json:"refused"`
}

// answered is the outcome of a request that was answered completely.
const answered = "answered"

// Analyze reports on the requests in the logs.
func Analyze(lines []eventlog.Line, o Options) Report {
	requests := parse(lines)
	load := newLoad(requests)
	a := analysis{options: o, load: load, late: make(map[groupKey][]lateRequest), refused: make(map[Refusals]int)}
	for _, r := range requests {
		if !r.endedAt.IsZero() && !r.endedAt.Before(o.From) && (o.To.IsZero() || r.endedAt.Before(o.To)) {
			a.add(r)
		}
	}
	out := a.report()
	out.Endpoints = len(load.byEndpoint)
	return out
}

type groupKey struct {
	route string
	cause Cause
}

type lateRequest struct {
	by                time.Duration
	believed, present int
}

// analysis collects the requests by cause.
type analysis struct {
	options Options
	load    *load
	counts  Report
	late    map[groupKey][]lateRequest
	refused map[Refusals]int
}

func (a *analysis) add(r *request) {
	if r.objective == 0 {
		return
	}
	a.counts.Requests++
	if r.outcome != answered {
		a.refused[Refusals{Route: r.route, Outcome: r.outcome}]++
		return
	}
	if len(r.choices) == 0 {
		return // its gateway's log begins later
	}
	if late := r.first - r.objective; late > 0 {
		a.counts.LateFirst++
		a.addLate(r, a.firstCause(r), late)
	}
	if late := r.gap - r.allowedGap; r.allowedGap > 0 && late > 0 {
		a.counts.LateGap++
		a.addLate(r, a.gapCause(r), late)
	}
}

func (a *analysis) addLate(r *request, c Cause, by time.Duration) {
	last := r.choices[len(r.choices)-1]
	key := groupKey{r.route, c}
	a.late[key] = append(a.late[key], lateRequest{by, last.believed, a.load.present(last, r.id)})
}

// firstCause returns why the first event was late.
func (a *analysis) firstCause(r *request) Cause {
	last := r.choices[len(r.choices)-1]
	switch {
	case len(r.choices) > 1:
		return SentAgain
	case last.waited+last.expected > r.objective:
		return ExpectedLate
	case a.load.present(last, r.id) > last.believed || a.load.arrivals(last, r.id) > 0:
		return UnknownLoad
	default:
		return SlowerThanExpected
	}
}

// gapCause returns why the time between two events was too long.
func (a *analysis) gapCause(r *request) Cause {
	last := r.choices[len(r.choices)-1]
	switch {
	case len(r.choices) > 1:
		return Resumed
	case a.load.longArrivals(last, r, a.options.LongTokens) > 0:
		return LongPromptBeside
	default:
		return OtherGap
	}
}

// report returns the groups, the largest ones first.
func (a *analysis) report() Report {
	out := a.counts
	for key, list := range a.late {
		out.Late = append(out.Late, Group{
			Route: key.route, Cause: key.cause, Count: len(list),
			LateMs:   median(list, func(l lateRequest) int64 { return l.by.Milliseconds() }),
			Believed: int(median(list, func(l lateRequest) int64 { return int64(l.believed) })),
			Present:  int(median(list, func(l lateRequest) int64 { return int64(l.present) })),
		})
	}
	slices.SortFunc(out.Late, func(x, y Group) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Route, y.Route), cmp.Compare(x.Cause, y.Cause))
	})
	for r, n := range a.refused {
		r.Count = n
		out.Refused = append(out.Refused, r)
	}
	slices.SortFunc(out.Refused, func(x, y Refusals) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Route, y.Route), cmp.Compare(x.Outcome, y.Outcome))
	})
	return out
}

// median returns the upper median of a value of the list, which is not empty.
func median(list []lateRequest, value func(lateRequest) int64) int64 {
	values := make([]int64, len(list))
	for i, l := range list {
		values[i] = value(l)
	}
	slices.Sort(values)
	return values[len(values)/2]
}
