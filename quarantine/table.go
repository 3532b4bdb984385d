package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesBefore is how many endpoints must have crashed under a request that had not
	// answered anything there for it to be quarantined. Each of the up to sixteen requests
	// that shared the endpoint has the same sign against it, so one crash says little, and
	// two happen to requests that are sent again together. After three the users allow
	// three sends more, for those that are on their way.
	crashesBefore = 3
	// crashesInAll is the same where it had begun to answer: most that crash an endpoint do
	// so at their beginning, and streams under way are those that share it.
	crashesInAll = 5
	// sameMoment is how soon after one crash another counts as the same event: whoever ends
	// many endpoints at once ends them within milliseconds, and work that many callers ask
	// for is on all of them. Endpoints that crashed under one request that came again and
	// again ended 80 ms to some seconds apart.
	sameMoment = 50 * time.Millisecond
	// firstRest is how long after its newest crash a request stays quarantined. It doubles
	// with each crash beyond those that were needed, up to longestRest: one that is sent
	// once more by then and crashes another endpoint has to wait longer each time.
	firstRest   = 10 * time.Minute
	longestRest = 24 * time.Hour
	// suspectLife is how long a crash counts against a request that was not sent since, or
	// comes seldom.
	suspectLife = time.Hour
	// sameTime is how far apart two gateways may date the same event: each dates it by when
	// it heard of it.
	sameTime = 500 * time.Millisecond
	// mostCrashes is how many crashes are remembered of one request, and how many endpoints
	// that ended it well.
	mostCrashes = 12
	// goodLife is how long before its newest crash a good end speaks for a request: the
	// engines may have been replaced since.
	goodLife = time.Minute
	// sweepEvery is how often old records are looked for.
	sweepEvery = time.Minute
	// MostRequests bounds the requests that are remembered, at most 0.9 KB each; each crash brings
	// up to sixteen.
	MostRequests = 4096
)

// Incarnation identifies one life of an endpoint.
type Incarnation uint64

// IncarnationOf returns the identity of an endpoint's life that began at born, which is
// zero where it does not tell.
func IncarnationOf(endpoint string, born int64) Incarnation {
	var b [8]byte
	for i := range b {
		b[i] = byte(born >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.WriteString(endpoint) // a hash takes all that it is given
	_, _ = d.Write(b[:])
	return Incarnation(d.Sum64())
}

// Crash is one endpoint that crashed while a request was on it.
type Crash struct {
	Endpoint Incarnation
	Begun    bool // whether a part of the answer had come from there
	At       time.Time
}

// Verdict is what is believed of a request.
type Verdict struct {
	// Before and Within are how many times endpoints crashed before and after it had begun
	// to answer there.
	Before, Within int
	// Good is how many endpoints ended it well, not long before the newest crash or since. As many as crashed speak for it: work that
	// many callers ask for is on every endpoint that fails, and ends well on all others. One
	// endpoint alone does not: it may be of another kind.
	Good int
	// Until is when it may be sent again; zero: it is not quarantined.
	Until time.Time
}

// Quarantined reports whether the request must not be sent.
func (v Verdict) Quarantined() bool { return !v.Until.IsZero() }

// origin is how a gateway learned something, which decides whom it tells.
type origin uint8

const (
	own  origin = iota // it saw that itself
	near               // a gateway of its own cell told it
	far                // a gateway of another cell, or the store
)

// goodEnd is an endpoint that ended a request well, and when it did so last.
type goodEnd struct {
	endpoint Incarnation
	at       time.Time
}

// record is what is known of one request.
type record struct {
	made    time.Time
	crashes []Crash   // by time, one for each endpoint
	good    []goodEnd // by time, one for each endpoint, since it is known
	cleared time.Time // when an operator cleared it of all before
	news    []news    // what others may not have heard yet
}

// Table holds what is known of requests that were on endpoints that crashed. It is not safe
// for concurrent use.
type Table struct {
	records map[Fingerprint]*record
	heads   map[uint64]int // how many records have a head
	// fresh are the requests of which there is news.
	fresh map[Fingerprint]struct{}
	swept time.Time // when old records were forgotten last
	// repeated is where the turn of the quarantined ones to be told again stands.
	repeated int
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{records: make(map[Fingerprint]*record), heads: make(map[uint64]int), fresh: make(map[Fingerprint]struct{})}
}

// Len returns how many requests are remembered.
func (t *Table) Len() int { return len(t.records) }

// MayKnow reports whether there may be something to say of a request with that head.
func (t *Table) MayKnow(head uint64) bool { return t.heads[head] > 0 }

// Crashed takes in that an endpoint crashed while a request of this gateway was on it.
func (t *Table) Crashed(f Fingerprint, c Crash, now time.Time) { t.add(f, c, own, now) }

// Served takes in that an endpoint ended a request of this gateway well. It reports whether
// that is of interest, since something stands against the request.
func (t *Table) Served(f Fingerprint, endpoint Incarnation, now time.Time) bool {
	return t.records[f] != nil && t.serve(f, goodEnd{endpoint, now}, own, now)
}

// Clear takes in that an operator clears a request; it reports whether anything stood
// against it.
func (t *Table) Clear(f Fingerprint, now time.Time) bool {
	r := t.records[f]
	return r != nil && len(r.crashes) > 0 && t.clear(f, now, own, now)
}

// add takes in a crash; it reports whether it is new.
func (t *Table) add(f Fingerprint, c Crash, from origin, now time.Time) bool {
	r := t.records[f]
	if r != nil && (!c.At.After(r.cleared) || r.knows(c.Endpoint)) || now.Sub(c.At) > longestRest {
		return false
	}
	if r == nil {
		r = t.remember(f, now)
	}
	r.crashes = append(r.crashes, c)
	slices.SortStableFunc(r.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(r.crashes) > mostCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	t.note(r, news{Report: Report{Kind: Crashed, Fingerprint: f, Endpoint: c.Endpoint, Begun: c.Begun}, at: c.At, learned: now, from: from})
	return true
}

// note keeps a piece of news for others.
func (t *Table) note(r *record, n news) {
	r.news = append(r.news, n)
	t.fresh[n.Fingerprint] = struct{}{}
}

// serve takes in that an endpoint ended a request well; it reports whether that is new. The
// same endpoint's next good end is, when the first is about to count no more.
func (t *Table) serve(f Fingerprint, g goodEnd, from origin, now time.Time) bool {
	r := t.records[f]
	if r == nil {
		r = t.remember(f, now) // the crashes may be heard of later
	}
	i := slices.IndexFunc(r.good, func(known goodEnd) bool { return known.endpoint == g.endpoint })
	if i < 0 {
		r.good = append(r.good, g)
	} else {
		before := r.good[i].at
		r.good[i].at = maxTime(before, g.at)
		if g.at.Sub(before) < goodLife/2 {
			return false
		}
	}
	slices.SortStableFunc(r.good, func(a, b goodEnd) int { return a.at.Compare(b.at) })
	if len(r.good) > mostCrashes {
		r.good = slices.Delete(r.good, 0, 1)
	}
	t.note(r, news{Report: Report{Kind: Served, Fingerprint: f, Endpoint: g.endpoint}, at: g.at, learned: now, from: from})
	return true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clear takes in that an operator cleared a request at that time; it reports whether that is
// new.
func (t *Table) clear(f Fingerprint, at time.Time, from origin, now time.Time) bool {
	r := t.records[f]
	if r == nil {
		r = t.remember(f, now)
	}
	if at.Sub(r.cleared) < sameTime {
		return false
	}
	r.cleared = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return !c.At.After(at) })
	t.note(r, news{Report: Report{Kind: Cleared, Fingerprint: f}, at: at, learned: now, from: from})
	return true
}

func (r *record) knows(e Incarnation) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Endpoint == e })
}

// remember makes a record, if need be in place of old ones.
func (t *Table) remember(f Fingerprint, now time.Time) *record {
	if now.Sub(t.swept) >= sweepEvery {
		t.forgetOld(now)
	}
	if len(t.records) >= MostRequests {
		t.makeRoom()
	}
	r := &record{made: now}
	t.records[f] = r
	t.heads[f.Head]++
	return r
}

// makeRoom forgets an eighth of all requests, so that it is seldom needed: those whose
// newest crash is the oldest, and quarantined ones last.
func (t *Table) makeRoom() {
	all := slices.Collect(maps.Keys(t.records))
	slices.SortFunc(all, func(a, b Fingerprint) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(compareBool(x.condemned(), y.condemned()), x.newest().Compare(y.newest()))
	})
	for _, f := range all[:len(all)/8] {
		t.forget(f)
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (t *Table) forget(f Fingerprint) {
	delete(t.records, f)
	delete(t.fresh, f)
	if t.heads[f.Head]--; t.heads[f.Head] <= 0 {
		delete(t.heads, f.Head)
	}
}

// forgetOld drops records that decide nothing any more.
func (t *Table) forgetOld(now time.Time) {
	t.swept = now
	for f, r := range t.records {
		if now.Sub(r.newest()) > max(suspectLife, 2*r.rest()) && len(r.news) == 0 {
			t.forget(f)
		}
	}
}

// newest returns when an endpoint last crashed under the request.
func (r *record) newest() time.Time {
	if n := len(r.crashes); n > 0 {
		return r.crashes[n-1].At
	}
	return r.made
}

// Verdict returns what is believed of a request.
func (t *Table) Verdict(f Fingerprint, now time.Time) Verdict {
	r := t.records[f]
	if r == nil {
		return Verdict{}
	}
	return r.verdict(now)
}

func (r *record) verdict(now time.Time) Verdict {
	var v Verdict
	v.Before, v.Within = r.count()
	v.Good = r.goodEnds()
	if rest := r.rest(); rest > 0 && r.newest().Add(rest).After(now) {
		v.Until = r.newest().Add(rest)
	}
	return v
}

// count returns how many times endpoints crashed before and after the request had begun to
// answer there; several at the same moment count once, as the worse of them.
func (r *record) count() (before, within int) {
	for i := 0; i < len(r.crashes); {
		first, begun := r.crashes[i], true
		for ; i < len(r.crashes) && r.crashes[i].At.Sub(first.At) < sameMoment; i++ {
			begun = begun && r.crashes[i].Begun
		}
		if begun {
			within++
		} else {
			before++
		}
	}
	return before, within
}

// condemned reports whether endpoints crashed as often as a quarantine takes, and more often
// than others ended the request well.
func (r *record) condemned() bool {
	before, within := r.count()
	return (before >= crashesBefore || before+within >= crashesInAll) && before+within > r.goodEnds()
}

// goodEnds returns how many endpoints ended the request well, not long before its newest
// crash or since.
func (r *record) goodEnds() int {
	n := 0
	for _, g := range r.good {
		if g.at.After(r.newest().Add(-goodLife)) {
			n++
		}
	}
	return n
}

// rest returns how long after its newest crash the request may not be sent; zero: it may.
func (r *record) rest() time.Duration {
	if !r.condemned() {
		return 0
	}
	before, within := r.count()
	rest := firstRest
	for range before + within - crashesBefore {
		rest = min(longestRest, 2*rest)
	}
	return rest
}
