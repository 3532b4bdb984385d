// Package limits bounds what one workspace may ask for and what one failing
// endpoint may cost: workspace limits that gateways split among themselves by
// recent use, without a shared counter; retry budgets per workspace; and
// circuit breakers per endpoint. It is pure: time is an argument. Its types
// are not safe for concurrent use.
package limits

import (
	"maps"
	"time"
)

// Limit is what a workspace may use in a whole installation; 0 means no limit.
type Limit struct {
	RequestsPerSecond float64
	TokensPerSecond   float64 // prompt and answer
	MaxInFlight       int
}

// Verdict is the answer to one request.
type Verdict struct {
	OK         bool
	RetryAfter time.Duration // set when refused
	Detail     string        // which limit, when refused
}

const (
	// MaxRetryAfter bounds the time to come back.
	MaxRetryAfter = time.Minute
	minRetryAfter = 50 * time.Millisecond
	// inFlightRetry is the time to come back when too many run: how long a run
	// takes is not known here.
	inFlightRetry = time.Second
)

// Table holds one gateway's part of all workspaces' limits.
type Table struct {
	self       string
	workspaces map[string]*account
	peers      map[string]report
	// others is how many other gateways there should be; one of which nothing was heard peerSpan after the
	// beginning is not there.
	others int
	begun  time.Time // zero: no limits were set yet
}

type account struct {
	limit    Limit
	requests bucket
	tokens   bucket
	inFlight int
	demand   demand
	// mostInFlight is this gateway's part of the limit; 0 means no limit.
	mostInFlight int
	comeback     time.Time // told to the last refused request
}

// NewTable returns the table of the gateway with the given name, which shares with so many others.
func NewTable(self string, others int) *Table {
	return &Table{self: self, others: others, workspaces: make(map[string]*account), peers: make(map[string]report)}
}

// SetAll puts new limits in force, by workspace. What is in flight and owed stays.
func (t *Table) SetAll(limits map[string]Limit, now time.Time) {
	maps.DeleteFunc(t.workspaces, func(name string, _ *account) bool {
		_, ok := limits[name]
		return !ok
	})
	for name, l := range limits {
		a := t.workspaces[name]
		if a == nil {
			a = &account{}
			t.workspaces[name] = a
		}
		a.limit = l
	}
	if t.begun.IsZero() {
		t.begun = now
	}
	t.divide(now)
}

// Admit counts a request of the given size in tokens, or refuses it. An
// admitted request ends with Done. A workspace without limits is always
// admitted.
func (t *Table) Admit(workspace string, tokens uint64, now time.Time) Verdict {
	a := t.workspaces[workspace]
	if a == nil {
		return Verdict{OK: true}
	}
	a.demand.add(tokens, now)
	if a.mostInFlight > 0 && a.inFlight >= a.mostInFlight {
		return a.refuse(inFlightRetry, 0, now, "requests in flight")
	}
	if wait := a.requests.wait(now); wait > 0 {
		return a.refuse(wait, a.requests.span(1), now, "requests per second")
	}
	if wait := a.tokens.wait(now); wait > 0 {
		return a.refuse(wait, a.tokens.span(float64(tokens)), now, "tokens per second")
	}
	a.requests.take(1)
	a.tokens.take(float64(tokens))
	a.inFlight++
	return Verdict{OK: true}
}

// Done ends an admitted request.
func (t *Table) Done(workspace string) {
	if a := t.workspaces[workspace]; a != nil && a.inFlight > 0 {
		a.inFlight--
	}
}

// refuse tells each refused request a later time than the one before, by what
// it is worth, so that they do not come back all at once.
func (a *account) refuse(wait, worth time.Duration, now time.Time, detail string) Verdict {
	if earliest := now.Add(wait); a.comeback.Before(earliest) {
		a.comeback = earliest
	}
	after := min(max(a.comeback.Sub(now), minRetryAfter), MaxRetryAfter)
	a.comeback = now.Add(min(a.comeback.Sub(now)+worth, MaxRetryAfter))
	return Verdict{RetryAfter: after, Detail: detail}
}
