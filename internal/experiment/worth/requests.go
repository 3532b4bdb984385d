package main

import (
	"strconv"
	"time"

	"github.com/micarudder/micarudder/eventlog"
)

// reason classifies the end of a request: in time, or why not.
type reason string

const (
	inTime          reason = "in time"
	lateFirst       reason = "first event late"
	latePause       reason = "pause too long"
	lateSlow        reason = "endpoint slow"
	refusedQueue    reason = "refused: held, then no place"
	refusedNever    reason = "refused: never placeable"
	refusedSlots    reason = "refused: slots"
	refusedSends    reason = "refused: endpoints or helpers did not take it"
	refusedStarting reason = "refused: gateway starts or stops"
	broken          reason = "broken off"
	gaveUp          reason = "caller gave up"
	otherEnd        reason = "other"
	notOwed         reason = "not owed: no key, or the caller left early"
)

// slowPace is the pace of an endpoint above which late answers are attributed to
// it.
const slowPace = 1.2

// request is one request for an engine, reconstructed from the gateways' logs.
type request struct {
	at        time.Time // when its header was read
	tokens    int
	objective time.Duration // for the time to the first event
	pause     time.Duration // longest pause between events that the route allows
	first     time.Duration // time to the first event; negative if there was none
	gap       time.Duration // longest pause between events
	held      time.Duration // time to its end
	deadline  time.Duration // stated by the caller; 0 if none
	route     string
	retry     bool          // whether it is a retry of an earlier request
	pace      float64       // of the slowest endpoint that it was sent to; 0 if unknown
	expected  time.Duration // expected time to the first event; 0 if no endpoint was chosen
	busy      bool          // whether the chosen endpoint was prefilling or generating for others
	why       reason
}

// size is a class of prompt lengths.
type size int

// Classes of prompt lengths.
const (
	small size = iota
	medium
	large
	huge
	sizes
)

// String returns the range of lengths of the class in tokens.
func (s size) String() string {
	return [...]string{"to 20k", "20k to 80k", "80k to 250k", "over 250k"}[s]
}

func (r *request) size() size {
	switch {
	case r.tokens <= 20_000:
		return small
	case r.tokens <= 80_000:
		return medium
	case r.tokens <= 250_000:
		return large
	default:
		return huge
	}
}

// firstAttemptPercent is the percentage of a route's longest deadline below which a request
// is taken for a retry. Deadlines of first attempts differ by a fifth, and a retry after a
// refusal has spent at least a third of an objective and a pause of seconds.
const firstAttemptPercent = 75

// markRetries marks the requests that are retries. Each attempt has its own request ID, so
// retries are recognized by their shorter remaining deadline.
func markRetries(all []*request) {
	longest := make(map[string]time.Duration)
	for _, r := range all {
		longest[r.route] = max(longest[r.route], r.deadline)
	}
	for _, r := range all {
		r.retry = r.deadline > 0 && r.deadline < longest[r.route]*firstAttemptPercent/100
	}
}

// collect builds the requests from the log lines of all gateways. Requests without
// a prompt are left out: they are for plain services or were refused before their
// body was read.
func collect(lines []eventlog.Line) []*request {
	chosen := make(map[string]eventlog.Line)
	refused := make(map[string]eventlog.Line)
	var out []*request
	for _, l := range lines {
		id := l.Fields["request"]
		switch l.Fields["msg"] {
		case "Endpoint chosen.":
			if _, again := chosen[id]; !again {
				chosen[id] = l
			}
		case "No endpoint chosen.":
			refused[id] = l
		case "Request ended.":
			if r := newRequest(l, chosen[id], refused[id]); r.tokens > 0 {
				out = append(out, r)
			}
			delete(chosen, id)
			delete(refused, id)
		}
	}
	markRetries(out)
	return out
}

// newRequest builds a request from the log lines of its end, of the choice of its first
// endpoint and of its refusal because no endpoint was available.
func newRequest(l, choice, refusal eventlog.Line) *request {
	r := &request{
		at: l.At.Add(-millis(l, "ms")), tokens: number(l, "tokens"), objective: millis(l, "objective_ms"), pause: millis(l, "pause_ms"),
		first: millis(l, "first_ms"), gap: millis(l, "gap_ms"), held: millis(l, "ms"), deadline: millis(l, "deadline_ms"), route: l.Fields["route"],
	}
	if choice.Fields != nil {
		// expected_ms is relative to the choice, the other times to the header.
		r.expected = millis(choice, "expected_ms") + choice.At.Sub(r.at)
		r.busy = number(choice, "short")+number(choice, "long")+number(choice, "read_ms") > 0
		r.pace, _ = strconv.ParseFloat(choice.Fields["pace"], 64) // missing in logs of older releases
	}
	r.why = classify(r, l.Fields["outcome"], refusal)
	return r
}

func classify(r *request, outcome string, refusal eventlog.Line) reason {
	switch outcome {
	case "answered":
		return classifyAnswer(r)
	case "refused-busy":
		return refusedSlots
	case "not-started", "stopping", "refused-key":
		return refusedStarting
	case "refused-full":
		switch {
		case refusal.Fields == nil:
			return refusedSends
		case refusal.Fields["parts"] == "0":
			return refusedNever
		}
		return refusedQueue
	case "broken-off", "may-have-run", "out-of-time":
		return broken
	case "unknown-key", "no-route":
		return notOwed
	case "caller-gone":
		if r.leftEarly() {
			return notOwed
		}
		return gaveUp
	}
	return otherEnd
}

// classifyAnswer returns why an answer was late, or inTime.
func classifyAnswer(r *request) reason {
	firstLate, pauseLate := r.first > r.objective, r.pause > 0 && r.gap > r.pause
	switch {
	case !firstLate && !pauseLate:
		return inTime
	case r.pace > slowPace:
		return lateSlow
	case firstLate:
		return lateFirst
	}
	return latePause
}

// minPatience is the minimum time after which callers of a stream give up. They give up
// after a pause of minPatience, four objectives or eight allowed pauses, whichever is
// longest; see the platform's adapter.
const minPatience = 2 * time.Second

// leftEarly reports whether the caller disconnected before its patience ended.
func (r *request) leftEarly() bool {
	patience := max(minPatience, 4*r.objective, 8*r.pause)
	if r.first >= 0 {
		return r.gap < patience // the first event had arrived
	}
	return r.held < patience*9/10
}

func millis(l eventlog.Line, field string) time.Duration {
	return time.Duration(number(l, field)) * time.Millisecond
}

// number returns an integer field of a line. Missing fields, as in lines of older
// releases, count as zero.
func number(l eventlog.Line, field string) int {
	n, err := strconv.Atoi(l.Fields[field])
	if err != nil {
		return 0
	}
	return n
}
