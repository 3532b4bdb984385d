// Package residual estimates the load that endpoints still have for gateway processes that are gone:
// processes that ended without closing their connections, or that nothing was heard from for a while.
// No live gateway counts these requests, so without an estimate they look like free slots. The
// package does no I/O and reads no clock.
package residual

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// startTime is how long a process asks for the reports of endpoints that it knows nothing about.
	startTime = 5 * time.Second
	// spreadTime bounds how long an endpoint's load counts as not known while other gateways are
	// heard from. By then all gateways of the cell have asked and told each other.
	spreadTime = time.Second
	// askInterval is the time between two reports of an endpoint with residual load.
	askInterval = 400 * time.Millisecond
	// standbyDelay is how much later the second gateway of an endpoint asks, if the first one has not
	// told it a report by then.
	standbyDelay = 200 * time.Millisecond
	// askedShare and minAsked bound how many reports a gateway asks for within askInterval: a share
	// of the endpoints, as a divisor, but at least minAsked. The gateways that start together thereby
	// cover the endpoints, and each of them spends little of its processor. Half as many are asked
	// again, because the second gateway of an endpoint asks for what the first one leaves out.
	askedShare = 8
	minAsked   = 8
	// repeatTime is how long a report is repeated in complete messages, in case messages are lost.
	repeatTime = time.Second
	// MaxLifetime bounds how long residual load is assumed to exist.
	MaxLifetime = 15 * time.Second
)

// Load is what an endpoint does for requests.
type Load struct {
	Requests     int
	MemoryTokens int
}

func (l Load) isZero() bool { return l == Load{} }

// Report is the residual load of an endpoint according to its own report, as one gateway sends it to
// another. Messages encode it by position and cannot be read if it gets another field.
type Report struct {
	Requests     int
	MemoryTokens int
	AgeMs        int64 // time since the endpoint answered
}

// peer is what is known of another gateway.
type peer struct {
	process
	leaving  bool      // whether it said that it shuts down
	complete bool      // whether a complete message of the process was received
	starting bool      // whether it does not know the load of all endpoints itself
	heardAt  time.Time // when its last message was received
}

// Table holds the residual load of the endpoints of a cell. It is not safe for concurrent use. A nil
// table is empty, and every load counts as known.
type Table struct {
	begun     time.Time // when the process first knew endpoints; zero: it knows none yet
	lifetime  time.Duration
	random    *rand.Rand
	endpoints map[string]*estimate
	peers     map[string]peer
	silent    map[process]bool // processes that may have load in endpoints
	allHeard  bool             // see SetListed
	// windowStart and asked count the reports asked for within askInterval.
	windowStart time.Time
	asked       int
}

// NewTable returns the empty table of a process that starts. The seed differs between gateways, so
// that they ask different endpoints.
func NewTable(seed uint64) *Table {
	return &Table{
		lifetime: MaxLifetime, random: rand.New(rand.NewPCG(seed, 0)),
		endpoints: make(map[string]*estimate), peers: make(map[string]peer), silent: make(map[process]bool),
	}
}

// SetLifetime sets the longest time in which requests end, at most MaxLifetime.
func (t *Table) SetLifetime(d time.Duration) { t.lifetime = min(MaxLifetime, max(d, askInterval)) }

// Starting reports whether the process is so young that it may not know the load of all endpoints.
// Its time counts from when it knows endpoints, which it may learn late.
func (t *Table) Starting(now time.Time) bool {
	return t != nil && (t.begun.IsZero() || now.Sub(t.begun) < startTime)
}

// begin records that the process knows endpoints.
func (t *Table) begin(now time.Time) {
	if t.begun.IsZero() {
		t.begun = now
	}
}

// Load returns the residual load of an endpoint.
func (t *Table) Load(endpoint string, now time.Time) Load {
	if t == nil {
		return Load{}
	}
	return t.endpoints[endpoint].load(now)
}

// Age returns the time since the newest report of an endpoint; ok is false if there was none.
func (t *Table) Age(endpoint string, now time.Time) (age time.Duration, ok bool) {
	if t == nil || t.endpoints[endpoint] == nil || t.endpoints[endpoint].reportedAt.IsZero() {
		return 0, false
	}
	return now.Sub(t.endpoints[endpoint].reportedAt), true
}

// Unknown reports whether the load of an endpoint is not known yet. It is false after spreadTime, or
// after startTime if no other gateway was heard from: a gateway that is alone asks the endpoints in
// turn, and those not asked yet would look idle.
func (t *Table) Unknown(endpoint string, now time.Time) bool {
	if !t.Starting(now) || t.allHeard {
		return false
	}
	t.begin(now)
	e := t.endpoints[endpoint]
	return (len(t.peers) == 0 || now.Sub(t.begun) < spreadTime) && (e == nil || e.reportedAt.IsZero())
}

// Active reports whether there may be reports to ask for.
func (t *Table) Active(now time.Time) bool {
	return t != nil && (t.Starting(now) || len(t.endpoints) > 0)
}

// Watched is an endpoint that this gateway may ask for its report. Second is set if another gateway
// does so first.
type Watched struct {
	Endpoint string
	Second   bool
}

// Due returns the endpoints to ask for their report now, and counts them as asked. total is the number
// of endpoints in the cell.
func (t *Table) Due(watched []Watched, total int, now time.Time) []string {
	if total > 0 {
		t.begin(now)
	}
	t.expire(now)
	if t.windowStart.IsZero() || now.Sub(t.windowStart) >= askInterval {
		t.windowStart, t.asked = now, 0
	}
	var due []string
	for _, w := range watched {
		if t.isDue(w, now) {
			due = append(due, w.Endpoint)
		}
	}
	t.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	slices.SortStableFunc(due, func(a, b string) int { return t.lastAsked(a).Compare(t.lastAsked(b)) })
	limit := max(minAsked, (total+askedShare-1)/askedShare)
	if again := slices.IndexFunc(due, func(id string) bool { return !t.lastAsked(id).IsZero() }); again >= 0 {
		limit = min(limit, max(again+t.asked, limit/2))
	}
	due = due[:min(len(due), max(0, limit-t.asked))]
	for _, id := range due {
		t.estimate(id).askedAt = now
	}
	t.asked += len(due)
	return due
}

// lastAsked returns when an endpoint was last asked or reported; zero: never. Endpoints that do not
// answer therefore do not keep this gateway from asking the others.
func (t *Table) lastAsked(endpoint string) time.Time {
	e := t.endpoints[endpoint]
	switch {
	case e == nil:
		return time.Time{}
	case e.askedAt.After(e.reportedAt):
		return e.askedAt
	default:
		return e.reportedAt
	}
}

func (t *Table) isDue(w Watched, now time.Time) bool {
	wait := askInterval
	if w.Second {
		wait += standbyDelay
	}
	e := t.endpoints[w.Endpoint]
	switch {
	case e != nil && !e.askedAt.IsZero() && now.Sub(e.askedAt) < askInterval:
		return false
	case e == nil || e.reportedAt.IsZero():
		return t.Starting(now) && (!w.Second || now.Sub(t.begun) >= standbyDelay) || !e.load(now).isZero()
	default:
		return !e.load(now).isZero() && now.Sub(e.reportedAt) >= wait
	}
}

// expire drops what is no longer needed.
func (t *Table) expire(now time.Time) {
	for id, e := range t.endpoints {
		ended := func(_ process, a amount) bool { return !now.Before(a.end) }
		maps.DeleteFunc(e.silent, ended)
		maps.DeleteFunc(e.included, ended)
		if !t.Starting(now) && e.load(now).isZero() && now.Sub(e.reportedAt) >= repeatTime {
			delete(t.endpoints, id)
		}
	}
	maps.DeleteFunc(t.peers, func(_ string, p peer) bool { return now.Sub(p.heardAt) > t.lifetime })
	maps.DeleteFunc(t.silent, func(p process, _ bool) bool { return !t.hasLoad(p) })
}

// hasLoad reports whether a silent process has load at any endpoint.
func (t *Table) hasLoad(p process) bool {
	for _, e := range t.endpoints {
		_, silent := e.silent[p]
		_, included := e.included[p]
		if silent || included {
			return true
		}
	}
	return false
}

func (t *Table) estimate(endpoint string) *estimate {
	e := t.endpoints[endpoint]
	if e == nil {
		e = new(estimate)
		t.endpoints[endpoint] = e
	}
	return e
}

// Record records an endpoint's own report, and returns the residual load. before and after are the
// loads that live gateways are known to have there when it was asked and when it answered. Reports
// are slightly old: requests that began after the report was made are not in it, so the smallest
// known load is subtracted, including the one at the report before.
func (t *Table) Record(endpoint string, reported, before, after Load, now time.Time) Load {
	e := t.estimate(endpoint)
	live := Load{min(before.Requests, after.Requests), min(before.MemoryTokens, after.MemoryTokens)}
	if e.own {
		live = Load{min(live.Requests, e.live.Requests), min(live.MemoryTokens, e.live.MemoryTokens)}
	}
	requests := float64(max(0, reported.Requests-live.Requests))
	tokens := float64(max(0, reported.MemoryTokens-live.MemoryTokens))
	if !e.reportedAt.IsZero() || !t.Starting(now) {
		// What was not there at the first report belongs to live gateways.
		oldRequests, oldTokens := e.total(now)
		requests, tokens = min(requests, oldRequests), min(tokens, oldTokens)
	}
	e.reported = amount{requests, tokens, now, e.end(now, t.lifetime)}
	e.reportedAt, e.own, e.unsent, e.live = now, true, true, after
	for p, a := range e.silent {
		e.include(p, a)
	}
	e.incomplete = t.Starting(now)
	return e.load(now)
}

// Updates returns the reports that this gateway received, for a message to the cell: the recent ones
// for a complete message, otherwise those that were not sent yet.
func (t *Table) Updates(complete bool, now time.Time) map[string]Report {
	if t == nil {
		return nil
	}
	var out map[string]Report
	for id, e := range t.endpoints {
		age := now.Sub(e.reportedAt)
		if !e.own || !e.unsent && !(complete && age < repeatTime) {
			continue
		}
		if out == nil {
			out = make(map[string]Report)
		}
		e.unsent = false
		requests, tokens := e.total(now)
		// Rounded up, because receivers never let the load grow.
		out[id] = Report{int(math.Ceil(requests)), int(math.Ceil(tokens)), (age + time.Millisecond - 1).Milliseconds()}
	}
	return out
}

// SetReports records the reports that another gateway received. The newest report of an endpoint
// counts. starting is set if the sender may not know the load of all live gateways. What such a
// gateway takes for residual load may belong to them, so a gateway that has run for longer lets the
// reports only lower what it knows.
func (t *Table) SetReports(reports map[string]Report, starting bool, now time.Time) {
	if t == nil {
		return
	}
	for id, r := range reports {
		age := time.Duration(min(max(0, r.AgeMs), MaxLifetime.Milliseconds())) * time.Millisecond
		at := now.Add(-age)
		e := t.estimate(id)
		if !at.After(e.reportedAt) {
			continue
		}
		end := e.end(now, t.lifetime)
		left := e.reported.left(now)
		knownRequests, knownTokens := left*e.reported.requests, left*e.reported.tokens
		for p, a := range e.silent {
			if a.at.Before(at) { // the report includes it
				left := a.left(now)
				knownRequests, knownTokens = knownRequests+left*a.requests, knownTokens+left*a.tokens
				e.include(p, a)
			}
		}
		requests, tokens := float64(max(0, r.Requests)), float64(max(0, r.MemoryTokens))
		if !t.Starting(now) {
			requests, tokens = min(requests, knownRequests), min(tokens, knownTokens)
		}
		e.reported = amount{requests, tokens, now, end}
		e.reportedAt, e.own, e.unsent, e.incomplete = at, false, false, starting
	}
}

// firstHeard lowers the residual load by the load of a gateway that has run for long, when its first
// complete message is received: reports that were made without knowing the gateway include it.
func (t *Table) firstHeard(loads map[string]Load, now time.Time) {
	for id, l := range loads {
		if e := t.endpoints[id]; e != nil && e.incomplete {
			e.subtract(float64(l.Requests), float64(l.MemoryTokens), now)
		}
	}
}

// Replaces reports whether a message of this process shows that an earlier process of the gateway is
// gone.
func (t *Table) Replaces(name string, incarnation uint64) bool {
	if t == nil {
		return false
	}
	p, ok := t.peers[name]
	return ok && p.incarnation != incarnation
}

// Silent reports whether load of this process may count as residual, because nothing was heard from it.
func (t *Table) Silent(name string, incarnation uint64) bool {
	return t != nil && t.silent[process{name, incarnation}]
}

// PeerSilent counts the load of a gateway that nothing is heard from as residual load, unless the
// gateway said that it shuts down: engines drop most requests whose connection closes.
func (t *Table) PeerSilent(name string, loads map[string]Load, now time.Time) {
	if t == nil {
		return
	}
	p, ok := t.peers[name]
	if !ok || p.leaving {
		return
	}
	for id, l := range loads {
		if l.isZero() {
			continue
		}
		e := t.estimate(id)
		if e.silent == nil {
			e.silent = make(map[process]amount)
		}
		e.silent[p.process] = amount{float64(l.Requests), float64(l.MemoryTokens), now, now.Add(t.lifetime)}
		t.silent[p.process] = true
	}
}

// Message is what a message of another gateway says about its process.
type Message struct {
	Name        string
	Incarnation uint64
	Leaving     bool // the gateway shuts down
	Starting    bool // it may not know the load of all endpoints
	// Loads is the load of the gateway if the message is a complete one.
	Loads    map[string]Load
	Complete bool
	// Late is set if a later message was received before: Leaving and Starting are outdated.
	Late bool
}

// PeerMessage records a message of another gateway. If the gateway was only silent for a while, its
// load is not residual any more.
func (t *Table) PeerMessage(m Message, now time.Time) {
	if t == nil {
		return
	}
	p := process{m.Name, m.Incarnation}
	old := t.peers[m.Name]
	known := old.process == p && old.complete
	if m.Late && old.process == p {
		m.Leaving, m.Starting = old.leaving, old.starting
	}
	if old.process != p {
		t.expire(now) // otherwise called only while there may be reports to ask for
	}
	t.peers[m.Name] = peer{p, m.Leaving, m.Complete || known, m.Starting, now}
	if m.Complete && !known && !m.Starting {
		t.firstHeard(m.Loads, now)
	}
	if !t.silent[p] {
		return
	}
	delete(t.silent, p)
	for _, e := range t.endpoints {
		e.remove(p, now)
	}
}

// SetListed records the other gateways of the cell according to a list in the store. If each has sent
// a complete message and knows all loads itself, so does this one.
func (t *Table) SetListed(gateways []string) {
	t.allHeard = len(gateways) > 0 && !slices.ContainsFunc(gateways, func(name string) bool {
		p := t.peers[name]
		return !p.complete || p.starting
	})
}

// Forget drops what is known of an endpoint that is gone or has restarted.
func (t *Table) Forget(endpoint string) {
	if t != nil {
		delete(t.endpoints, endpoint)
	}
}
