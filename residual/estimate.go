package residual

import (
	"math"
	"time"
)

// process identifies a gateway process.
type process struct {
	name        string
	incarnation uint64
}

// amount is a load that falls linearly to 0.
type amount struct {
	requests, tokens float64
	at, end          time.Time // it has the above size at the first time and none at the second
}

// left returns the share of the load that is left.
func (a amount) left(now time.Time) float64 {
	if !now.Before(a.end) {
		return 0
	}
	return min(1, float64(a.end.Sub(now))/float64(a.end.Sub(a.at)))
}

// estimate is what is known of the residual load of an endpoint.
type estimate struct {
	reported   amount
	reportedAt time.Time // when the endpoint answered with the newest report; zero: never
	// silent is the load of processes that nothing is heard from, as far as it is not in reported.
	silent map[process]amount
	// included is the load of such processes that is in reported.
	included map[process]amount
	askedAt  time.Time // when this gateway last asked for a report
	own      bool      // whether this gateway received the newest report
	unsent   bool      // whether the newest report is in no message yet
	// incomplete is set if the newest report was received by a gateway that may not have known all live
	// gateways.
	incomplete bool
	// live is the load of live gateways when this gateway last received a report.
	live Load
}

func (e *estimate) total(now time.Time) (requests, tokens float64) {
	if e == nil {
		return 0, 0
	}
	left := e.reported.left(now)
	requests, tokens = left*e.reported.requests, left*e.reported.tokens
	for _, a := range e.silent {
		left := a.left(now)
		requests, tokens = requests+left*a.requests, tokens+left*a.tokens
	}
	return requests, tokens
}

func (e *estimate) load(now time.Time) Load {
	requests, tokens := e.total(now)
	return Load{int(math.Round(requests)), int(math.Round(tokens))}
}

// include records that the newest report includes the load of a silent process.
func (e *estimate) include(p process, a amount) {
	delete(e.silent, p)
	if e.included == nil {
		e.included = make(map[process]amount)
	}
	e.included[p] = a
}

// remove removes the load of a process that is heard from again.
func (e *estimate) remove(p process, now time.Time) {
	delete(e.silent, p)
	if a, ok := e.included[p]; ok {
		e.subtract(a.left(now)*a.requests, a.left(now)*a.tokens, now)
		delete(e.included, p)
	}
}

// subtract lowers the load that is known from reports.
func (e *estimate) subtract(requests, tokens float64, now time.Time) {
	left := e.reported.left(now)
	e.reported = amount{max(0, left*e.reported.requests-requests), max(0, left*e.reported.tokens-tokens), now, e.reported.end}
}

// end returns when the estimate is zero.
func (e *estimate) end(now time.Time, lifetime time.Duration) time.Time {
	end := e.reported.end
	for _, a := range e.silent {
		if a.end.After(end) {
			end = a.end
		}
	}
	if !end.After(now) {
		return now.Add(lifetime)
	}
	return end
}
