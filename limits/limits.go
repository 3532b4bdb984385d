// Package limits bounds what one workspace may use and what one failing endpoint may cost.
// It has workspace limits, which the gateways split among themselves by recent use without
// a shared counter; retry budgets per workspace; bounds on the retries to a service; and
// circuit breakers per endpoint. It reads no clock: time is an argument. Its types are not
// safe for concurrent use.
package limits

import (
	"maps"
	"time"
)

// Limit is what a workspace may use in the installation; 0 means no limit.
type Limit struct {
	RequestsPerSecond float64
	TokensPerSecond   float64 // prompt and response
	MaxInFlight       int
}

// Verdict is the decision about one request.
type Verdict struct {
	OK         bool
	RetryAfter time.Duration // set when refused
	Detail     string        // which limit was reached, set when refused
}

const (
	// MaxRetryAfter is the upper bound of Verdict.RetryAfter.
	MaxRetryAfter = time.Minute
	minRetryAfter = 50 * time.Millisecond
	// inFlightRetryAfter is the retry delay when too many requests are in flight: how long a
	// run takes is not known here.
	inFlightRetryAfter = time.Second
)

// Table holds one gateway's part of the limits of all workspaces.
type Table struct {
	self       string
	workspaces map[string]*account
	peers      map[string]peerReport
	// expectedPeers is the number of other gateways that are expected. Those not heard from
	// within peerTimeout of the start are taken as absent.
	expectedPeers int
	started       time.Time // when limits were first set; zero: not yet
}

// account is one workspace's use of its limits at this gateway.
type account struct {
	limit    Limit
	requests bucket
	tokens   bucket
	inFlight int
	demand   demand
	// maxInFlight is this gateway's part of the limit; 0 means no limit.
	maxInFlight int
	nextRetry   time.Time // retry time given to the last refused request
}

// NewTable returns the table of the gateway with the given name, which shares the limits
// with expectedPeers other gateways.
func NewTable(self string, expectedPeers int) *Table {
	return &Table{self: self, expectedPeers: expectedPeers, workspaces: make(map[string]*account), peers: make(map[string]peerReport)}
}

// SetLimits replaces the limits, by workspace. Requests in flight and overdrawn buckets are
// kept.
func (t *Table) SetLimits(limits map[string]Limit, now time.Time) {
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
	if t.started.IsZero() {
		t.started = now
	}
	t.splitLimits(now)
}

// Admit counts a request of the given size in tokens and admits or refuses it. An admitted
// request ends with Done. A workspace without limits is always admitted.
func (t *Table) Admit(workspace string, tokens uint64, now time.Time) Verdict {
	a := t.workspaces[workspace]
	if a == nil {
		return Verdict{OK: true}
	}
	a.demand.add(tokens, now)
	if a.maxInFlight > 0 && a.inFlight >= a.maxInFlight {
		return a.refuse(inFlightRetryAfter, 0, now, "requests in flight")
	}
	if wait := a.requests.wait(now); wait > 0 {
		return a.refuse(wait, a.requests.timeFor(1), now, "requests per second")
	}
	if wait := a.tokens.wait(now); wait > 0 {
		return a.refuse(wait, a.tokens.timeFor(float64(tokens)), now, "tokens per second")
	}
	a.requests.take(1)
	a.tokens.take(float64(tokens))
	a.inFlight++
	return Verdict{OK: true}
}

// Done records the end of an admitted request.
func (t *Table) Done(workspace string) {
	if a := t.workspaces[workspace]; a != nil && a.inFlight > 0 {
		a.inFlight--
	}
}

// refuse gives each refused request a later retry time than the one before, by the cost of
// the request, so that they do not all return at once.
func (a *account) refuse(wait, cost time.Duration, now time.Time, detail string) Verdict {
	if earliest := now.Add(wait); a.nextRetry.Before(earliest) {
		a.nextRetry = earliest
	}
	after := min(max(a.nextRetry.Sub(now), minRetryAfter), MaxRetryAfter)
	a.nextRetry = now.Add(min(a.nextRetry.Sub(now)+cost, MaxRetryAfter))
	return Verdict{RetryAfter: after, Detail: detail}
}
