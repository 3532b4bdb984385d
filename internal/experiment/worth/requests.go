package main

import (
	"strconv"
	"time"

	"github.com/micarudder/micarudder/eventlog"
)

// reason is why a request was not answered in time.
type reason string

const (
	inTime       reason = "in time"
	lateFirst    reason = "first event late"
	latePause    reason = "pause too long"
	refusedQueue reason = "refused: reading queue"
	refusedSlots reason = "refused: slots"
	refusedOther reason = "refused: other"
	broken       reason = "broken off"
	gaveUp       reason = "caller gave up"
	otherEnd     reason = "other"
)

// request is one request for an engine as the gateways' logs tell it.
type request struct {
	at        time.Time // when its head was read
	tokens    int
	objective time.Duration // to the first event
	pause     time.Duration // longest that the route allows
	first     time.Duration // until the first event; negative: none came
	gap       time.Duration // longest pause
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

// worth is what the request is worth when it is answered in time, in short ones:
// that many tokens count as one, and nothing less than that.
func (r *request) worth(tokens int) float64 {
	return max(1, float64(r.tokens)/float64(tokens))
}

// collect builds the requests from the lines of all gateways. Requests without a
// prompt are left out: they are for plain services, or were refused unread.
func collect(lines []eventlog.Line) []*request {
	chosen := make(map[string]eventlog.Line)
	refused := make(map[string]string)
	var out []*request
	for _, l := range lines {
		id := l.Fields["request"]
		switch l.Fields["msg"] {
		case "Endpoint chosen.":
			if _, again := chosen[id]; !again {
				chosen[id] = l
			}
		case "No endpoint chosen.":
			refused[id] = l.Fields["why"]
		case "Request ended.":
			if r := ended(l, chosen[id], refused[id]); r.tokens > 0 {
				out = append(out, r)
			}
			delete(chosen, id)
			delete(refused, id)
		}
	}
	return out
}

// ended builds a request from its last line, the choice of its first endpoint and
// why it was refused.
func ended(l, choice eventlog.Line, refusal string) *request {
	r := &request{
		at: l.At.Add(-millis(l, "ms")), tokens: number(l, "tokens"), objective: millis(l, "objective_ms"), pause: millis(l, "pause_ms"),
		first: millis(l, "first_ms"), gap: millis(l, "gap_ms"),
	}
	if choice.Fields != nil {
		// What was expected counts from the choice, the rest from the head.
		r.expected = millis(choice, "expected_ms") + choice.At.Sub(r.at)
		r.busy = number(choice, "short")+number(choice, "long")+number(choice, "read_ms") > 0
	}
	r.why = why(r, l.Fields["outcome"], refusal)
	return r
}

func why(r *request, outcome, refusal string) reason {
	switch outcome {
	case "answered":
		switch {
		case r.first > r.objective:
			return lateFirst
		case r.pause > 0 && r.gap > r.pause:
			return latePause
		}
		return inTime
	case "refused-busy":
		return refusedSlots
	case "refused-full", "refused-key", "not-started", "stopping":
		if refusal == "" {
			return refusedOther
		}
		return refusedQueue
	case "broken-off", "may-have-run", "out-of-time":
		return broken
	case "caller-gone":
		return gaveUp
	}
	return otherEnd
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
