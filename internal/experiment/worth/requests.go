package main

import (
	"strconv"
	"time"

	"github.com/micarudder/micarudder/eventlog"
)

// reason is why a request was not answered in time.
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

// slowPace is the pace of an endpoint from which on lateness is put down to it.
const slowPace = 1.2

// request is one request for an engine as the gateways' logs tell it.
type request struct {
	at        time.Time // when its head was read
	tokens    int
	objective time.Duration // to the first event
	pause     time.Duration // longest that the route allows
	first     time.Duration // until the first event; negative: none came
	gap       time.Duration // longest pause
	held      time.Duration // until its end
	deadline  time.Duration // that the caller told; 0: none
	route     string
	again     bool          // whether the caller had asked before
	pace      float64       // of the slowest endpoint that it was sent to; 0: not known
	expected  time.Duration // first event as the choice expected it; 0: never chosen
	busy      bool          // whether the chosen endpoint read or generated for others
	why       reason
}

// size is a class of requests by the length of their prompts.
type size int

// The sizes.
const (
	small size = iota
	medium
	large
	huge
	sizes
)

// String returns the range of lengths in tokens.
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

// firstTryShare is the part of the longest time that a route's callers give, in percent,
// below which a caller is taken for one that asked before: those that ask first differ by a
// fifth, and a refused one has spent at least a third of an objective and a pause of seconds.
const firstTryShare = 75

// markAgain marks the requests whose callers had asked before. Each try has an id of its
// own; what ties a caller's tries together is that less of its time is left.
func markAgain(all []*request) {
	longest := make(map[string]time.Duration)
	for _, r := range all {
		longest[r.route] = max(longest[r.route], r.deadline)
	}
	for _, r := range all {
		r.again = r.deadline > 0 && r.deadline < longest[r.route]*firstTryShare/100
	}
}

// collect builds the requests from the lines of all gateways. Requests without a
// prompt are left out: they are for plain services, or were refused unread.
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
			if r := ended(l, chosen[id], refused[id]); r.tokens > 0 {
				out = append(out, r)
			}
			delete(chosen, id)
			delete(refused, id)
		}
	}
	markAgain(out)
	return out
}

// ended builds a request from its last line, the choice of its first endpoint and its
// refusal for want of one.
func ended(l, choice, refusal eventlog.Line) *request {
	r := &request{
		at: l.At.Add(-millis(l, "ms")), tokens: number(l, "tokens"), objective: millis(l, "objective_ms"), pause: millis(l, "pause_ms"),
		first: millis(l, "first_ms"), gap: millis(l, "gap_ms"), held: millis(l, "ms"), deadline: millis(l, "deadline_ms"), route: l.Fields["route"],
	}
	if choice.Fields != nil {
		// What was expected counts from the choice, the rest from the head.
		r.expected = millis(choice, "expected_ms") + choice.At.Sub(r.at)
		r.busy = number(choice, "short")+number(choice, "long")+number(choice, "read_ms") > 0
		r.pace, _ = strconv.ParseFloat(choice.Fields["pace"], 64) // older lines lack it
	}
	r.why = why(r, l.Fields["outcome"], refusal)
	return r
}

func why(r *request, outcome string, refusal eventlog.Line) reason {
	switch outcome {
	case "answered":
		return late(r)
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

// late says why an answer was late, or that it was not.
func late(r *request) reason {
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

// Callers of a stream give up after a pause of leastPatience, four objectives or eight
// allowed pauses, whichever is longest; see the platform's adapter.
const leastPatience = 2 * time.Second

// leftEarly reports whether the caller left before its patience was over.
func (r *request) leftEarly() bool {
	patience := max(leastPatience, 4*r.objective, 8*r.pause)
	if r.first >= 0 {
		return r.gap < patience // it had the first event
	}
	return r.held < patience*9/10
}

func millis(l eventlog.Line, field string) time.Duration {
	return time.Duration(number(l, field)) * time.Millisecond
}

// number returns a whole number of a line. Lines of older releases lack some
// fields; those count as zero.
func number(l eventlog.Line, field string) int {
	n, err := strconv.Atoi(l.Fields[field])
	if err != nil {
		return 0
	}
	return n
}
