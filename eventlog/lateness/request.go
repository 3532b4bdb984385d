package lateness

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/micarudder/micarudder/eventlog"
)

// choice is one choice of an endpoint for a request.
type choice struct {
	at               time.Time
	endpoint         string
	helpers          []string
	waited, expected time.Duration
	believed         int // requests that the gateway believed to be there
}

// request is what the logs say of one request.
type request struct {
	id, route, outcome    string
	tokens                int
	choices               []choice
	endedAt               time.Time // zero if the logs have no end
	objective, allowedGap time.Duration
	first, gap            time.Duration
}

// parse returns the requests in the logs, ordered by id.
func parse(lines []eventlog.Line) []*request {
	byID := make(map[string]*request)
	get := func(id string) *request {
		if byID[id] == nil {
			byID[id] = &request{id: id}
		}
		return byID[id]
	}
	for _, l := range lines {
		switch l.Fields["msg"] {
		case "Endpoint chosen.":
			r := get(l.Fields["request"])
			r.choices = append(r.choices, parseChoice(l))
			r.tokens = integer(l, "tokens")
		case "Request ended.":
			get(l.Fields["request"]).parseEnd(l)
		}
	}
	for _, r := range byID {
		slices.SortFunc(r.choices, func(a, b choice) int { return a.at.Compare(b.at) })
	}
	return slices.SortedFunc(maps.Values(byID), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

func parseChoice(l eventlog.Line) choice {
	return choice{
		at: l.At, endpoint: l.Fields["endpoint"], helpers: strings.Fields(strings.Trim(l.Fields["helpers"], "[]")),
		waited: milliseconds(l, "waited_ms"), expected: milliseconds(l, "expected_ms"),
		believed: integer(l, "short") + integer(l, "long"),
	}
}

func (r *request) parseEnd(l eventlog.Line) {
	r.endedAt, r.route, r.outcome = l.At, l.Fields["route"], l.Fields["outcome"]
	r.objective, r.allowedGap = milliseconds(l, "objective_ms"), milliseconds(l, "pause_ms")
	r.first, r.gap = milliseconds(l, "first_ms"), milliseconds(l, "gap_ms")
}

// integer returns a number in a line, or 0 if it has none.
func integer(l eventlog.Line, key string) int {
	n, _ := strconv.Atoi(l.Fields[key])
	return n
}

func milliseconds(l eventlog.Line, key string) time.Duration {
	ms, _ := strconv.ParseFloat(l.Fields[key], 64)
	return time.Duration(ms * float64(time.Millisecond))
}

// stay is the time that one attempt of a request spent at an endpoint, as far as the logs tell.
type stay struct {
	request  string
	from, to time.Time
	tokens   int
}

// load is what stood at each endpoint.
type load struct {
	byEndpoint map[string][]stay
}

// newLoad returns the load that requests caused. An attempt lasts until the next choice or the end of its
// request; helpers have it until the first event.
func newLoad(requests []*request) *load {
	l := &load{byEndpoint: make(map[string][]stay)}
	for _, r := range requests {
		for i, c := range r.choices {
			end := r.endedAt
			if i+1 < len(r.choices) {
				end = r.choices[i+1].at
			}
			if end.IsZero() {
				continue
			}
			l.byEndpoint[c.endpoint] = append(l.byEndpoint[c.endpoint], stay{r.id, c.at, end, r.tokens})
			for _, helper := range c.helpers {
				l.byEndpoint[helper] = append(l.byEndpoint[helper], stay{r.id, c.at, minTime(end, c.at.Add(r.first)), r.tokens})
			}
		}
	}
	return l
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// count returns how many stays of other requests at the endpoint of a choice match.
func (l *load) count(c choice, request string, match func(stay) bool) int {
	n := 0
	for _, s := range l.byEndpoint[c.endpoint] {
		if s.request != request && match(s) {
			n++
		}
	}
	return n
}

// present returns how many other requests were at the endpoint when it was chosen.
func (l *load) present(c choice, request string) int {
	return l.count(c, request, func(s stay) bool { return !s.from.After(c.at) && s.to.After(c.at) })
}

// arrivals returns how many other requests came to the endpoint within arrivalWindow after the choice.
func (l *load) arrivals(c choice, request string) int {
	return l.count(c, request, func(s stay) bool { return s.from.After(c.at) && s.from.Sub(c.at) < arrivalWindow })
}

// longArrivals returns how many prompts of at least that length came to the endpoint while the request ran.
func (l *load) longArrivals(c choice, r *request, tokens int) int {
	return l.count(c, r.id, func(s stay) bool { return s.tokens >= tokens && s.from.After(c.at) && s.from.Before(r.endedAt) })
}
