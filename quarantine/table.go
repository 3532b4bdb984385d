package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashesBefore is how many endpoints must have crashed under a request, before the request
	// had begun to be answered there, for it to be quarantined. A crash is counted against each of
	// the up to sixteen requests that shared the endpoint. One crash therefore says little, and
	// requests that are retried together share two. After the third crash the requirement allows
	// three more attempts, for copies that are already on their way.
	minCrashesBefore = 3
	// minCrashesTotal is how many crashes quarantine a request if they include those after the
	// beginning of the response. It is higher because most requests that crash an endpoint do so at
	// their beginning, while a stream in progress tends to be one that only shared the endpoint.
	minCrashesTotal = 5
	// correlationWindow is how soon after one crash another counts as the same event. Endpoints
	// that are terminated together end within milliseconds, and a request that many callers send
	// is on all of them. Endpoints that crash under one request that is sent repeatedly end 80 ms
	// to some seconds apart.
	correlationWindow = 50 * time.Millisecond
	// minQuarantine is how long a request stays quarantined after its newest crash. The time doubles
	// with each crash beyond minCrashesBefore, up to maxQuarantine, so that a request that crashes
	// another endpoint when it is sent again has to wait longer each time.
	minQuarantine = 10 * time.Minute
	maxQuarantine = 24 * time.Hour
	// firstPartQuarantine is how long a part of prompts stays quarantined the first time. It is shorter than
	// minQuarantine, since many harmless requests may have the part.
	firstPartQuarantine = time.Minute
	// minSharedWorkspaces is how many workspaces must have had a part on endpoints that crashed for it to be
	// quarantined for all of them, so that a single caller cannot have the parts of others refused.
	minSharedWorkspaces = 3
	// crashTTL is how long a crash counts against a request that is not sent again, or seldom.
	crashTTL = time.Hour
	// timestampTolerance is how far the times that two gateways assign to the same event may
	// differ: each takes the time at which it learned of the event.
	timestampTolerance = 500 * time.Millisecond
	// maxCrashes and maxSuccesses are how many crashes and successes are kept of one request. There are more
	// successes, since several incarnations of an endpoint may have completed it.
	maxCrashes   = 12
	maxSuccesses = 36
	// successWindow is how long before the newest crash a success still counts in favour of a
	// request: the engines may have been replaced since.
	successWindow = time.Minute
	// sweepInterval is how often expired records are removed.
	sweepInterval = time.Minute
	// MaxRequests bounds the number of records, of requests and of parts. A record takes at most 4.3 KB, and each
	// crash adds one for each request that was on the endpoint and for each part of their prompts.
	MaxRequests = 4096
)

// Incarnation identifies one run of an endpoint, from one start to the next.
type Incarnation uint64

// IncarnationOf returns the identity of the endpoint's incarnation that started at born, which is
// zero if the endpoint does not state it.
func IncarnationOf(endpoint string, born int64) Incarnation {
	var b [8]byte
	for i := range b {
		b[i] = byte(born >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.WriteString(endpoint) // writing to a hash never fails
	_, _ = d.Write(b[:])
	return Incarnation(d.Sum64())
}

// Address identifies the network address of an endpoint, which outlives its incarnations.
type Address uint64

// AddressOf returns the identity of a network address.
func AddressOf(address string) Address { return Address(xxhash.Sum64String(address)) }

// Crash describes an endpoint that crashed while it was running a request.
type Crash struct {
	Endpoint Incarnation
	Begun    bool // whether a part of the response had arrived from the endpoint
	At       time.Time
	Address  Address // of the endpoint; 0 if the gateway that reported it does not tell
}

// Verdict is the assessment of a request, or of a part of prompts.
type Verdict struct {
	// CrashesBefore and CrashesWithin count the crashes before and after the endpoint had begun to answer
	// the request, without those of endpoints that complete it otherwise and those that a part of its
	// prompt explains.
	CrashesBefore, CrashesWithin int
	// Successes is how many endpoints completed the request, within successWindow before its newest
	// crash or later. The request is not quarantined if they are more than the crashes: a request that many callers send is on every endpoint that fails, and is
	// completed on all others. Each endpoint counts once, however often it restarts, because a single
	// one may be of another kind.
	Successes int
	// Until is when the request may be sent again; zero if it is not quarantined.
	Until time.Time
	// Probation is set once the quarantine of a part is over and no endpoint has completed a request with
	// it since. Such requests are sent one at a time.
	Probation bool
}

// Quarantined reports whether the request must not be sent.
func (v Verdict) Quarantined() bool { return !v.Until.IsZero() }

// origin is where a gateway learned of an event. It determines to which gateways the event is
// forwarded.
type origin uint8

const (
	local     origin = iota // observed by this gateway
	localCell               // reported by a gateway of the same cell
	otherCell               // reported by a gateway of another cell, or read from the store
)

// Table holds a record of each request that an endpoint was running when it crashed, and of each part
// that its prompt may share with others. It is not safe for concurrent use.
type Table struct {
	records map[Fingerprint]*record
	heads   map[uint64]int           // number of records by Fingerprint.Head
	parts   map[uint64][]Fingerprint // the parts that have records, by Fingerprint.Body
	// suspects are the requests and parts with enough crashes for a quarantine.
	suspects map[Fingerprint]struct{}
	// assessed is the assessment of the suspects; nil if the table has changed since.
	assessed *assessment
	probes   map[Fingerprint]probe
	// spread differs between gateways, so that they do not all probe a part at the same time.
	spread uint64
	// updated are the requests whose records have updates.
	updated   map[Fingerprint]struct{}
	lastSweep time.Time // when expired records were last removed
	// repeatCursor is the position of RepeatReports in the sorted list of quarantined requests.
	repeatCursor int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records: make(map[Fingerprint]*record), heads: make(map[uint64]int), parts: make(map[uint64][]Fingerprint),
		suspects: make(map[Fingerprint]struct{}), probes: make(map[Fingerprint]probe), updated: make(map[Fingerprint]struct{}),
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// MayContain reports whether a request with that Head may have a record.
func (t *Table) MayContain(head uint64) bool { return t.heads[head] > 0 }

// mayContainPart reports whether a part may have a record, in any workspace.
func (t *Table) mayContainPart(f Fingerprint) bool { return len(t.parts[f.Body]) > 0 }

// RecordCrash records that an endpoint crashed while it was running a request of this gateway.
func (t *Table) RecordCrash(f Fingerprint, c Crash, now time.Time) { t.addCrash(f, c, local, now) }

// RecordSuccess records that an endpoint completed a request of this gateway. It reports whether that is
// new information about a request that has a record; other requests are ignored.
func (t *Table) RecordSuccess(f Fingerprint, endpoint Incarnation, address Address, now time.Time) bool {
	known := t.records[f] != nil || f.IsPart() && t.mayContainPart(f)
	return known && t.addSuccess(f, success{endpoint, address, now}, local, now)
}

// Clear drops the crashes of a request at an operator's command. It reports whether there were
// any.
func (t *Table) Clear(f Fingerprint, now time.Time) bool {
	r := t.records[f]
	return r != nil && len(r.current()) > 0 && t.clear(f, now, local, now)
}

// addCrash records a crash and reports whether it is new, or known to have been much earlier. A crash
// before an operator cleared the request is kept for what it explains only.
func (t *Table) addCrash(f Fingerprint, c Crash, from origin, now time.Time) bool {
	if now.Sub(c.At) > maxQuarantine {
		return false
	}
	r := t.record(f, now)
	e := r.addCrash(c)
	if !e.changed {
		return false
	}
	if len(r.crashes) >= minCrashesBefore {
		t.suspects[f] = struct{}{}
	}
	if f.IsPart() && len(t.parts[f.Body]) >= minSharedWorkspaces {
		for _, sharing := range t.parts[f.Body] {
			t.suspects[sharing] = struct{}{}
		}
	}
	t.reassess(f)
	if !e.isNew || !c.At.After(r.clearedAt) {
		return false
	}
	t.queueUpdate(r, update{Report: c.report(f), occurredAt: c.At, learnedAt: now, from: from})
	return true
}

// queueUpdate queues an update for other gateways.
func (t *Table) queueUpdate(r *record, u update) {
	r.updates = append(r.updates, u)
	t.updated[u.Fingerprint] = struct{}{}
}

// reassess drops the assessment after the record of a request or part has changed, if that is one of the
// suspects or may be pooled with some.
func (t *Table) reassess(f Fingerprint) {
	_, suspect := t.suspects[f]
	if suspect || f.IsPart() && len(t.parts[f.Body]) >= minSharedWorkspaces {
		t.assessed = nil
	}
}

// addSuccess records that an endpoint completed a request and reports whether that is new.
func (t *Table) addSuccess(f Fingerprint, s success, from origin, now time.Time) bool {
	r := t.record(f, now) // reports of its crashes may arrive later
	e := r.addSuccess(s)
	if !e.changed {
		return false
	}
	t.reassess(f)
	if !e.isNew {
		return false
	}
	t.queueUpdate(r, update{Report: s.report(f), occurredAt: s.at, learnedAt: now, from: from})
	return true
}

// clear records that an operator cleared a request at the given time and reports whether that is
// new.
func (t *Table) clear(f Fingerprint, at time.Time, from origin, now time.Time) bool {
	r := t.record(f, now)
	if at.Sub(r.clearedAt) < timestampTolerance {
		return false
	}
	r.clearedAt = at
	t.assessed = nil
	t.queueUpdate(r, update{Report: Report{Kind: Cleared, Fingerprint: f}, occurredAt: at, learnedAt: now, from: from})
	return true
}

// record returns the record of a request, which is new if there was none.
func (t *Table) record(f Fingerprint, now time.Time) *record {
	if r := t.records[f]; r != nil {
		return r
	}
	return t.newRecord(f, now)
}

// newRecord adds an empty record. It removes expired records first, and evicts others if the table is
// full.
func (t *Table) newRecord(f Fingerprint, now time.Time) *record {
	if now.Sub(t.lastSweep) >= sweepInterval {
		t.sweep(now)
	}
	if len(t.records) >= MaxRequests {
		t.evict()
	}
	r := &record{createdAt: now}
	t.records[f] = r
	t.heads[f.Head]++
	if f.IsPart() {
		t.parts[f.Body] = append(t.parts[f.Body], f)
	}
	return r
}

// evict removes an eighth of all records at once, so that it is rarely needed. Those over the threshold
// for a quarantine go last. Before them go the records of the workspace with the most parts, so that a
// caller who invents parts evicts no others, and of these the ones with the fewest crashes and the oldest
// newest crash.
func (t *Table) evict() {
	a := t.assess()
	all := slices.Collect(maps.Keys(t.records))
	slices.SortFunc(all, func(x, y Fingerprint) int {
		r, s := t.records[x], t.records[y]
		return cmp.Or(compareBool(a.over[x], a.over[y]), cmp.Compare(t.heads[y.Head], t.heads[x.Head]),
			cmp.Compare(len(r.crashes), len(s.crashes)), r.lastCrash().Compare(s.lastCrash()))
	})
	for _, f := range all[:len(all)/8] {
		t.remove(f)
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

func (t *Table) remove(f Fingerprint) {
	delete(t.records, f)
	delete(t.updated, f)
	delete(t.suspects, f)
	t.assessed = nil
	if t.heads[f.Head]--; t.heads[f.Head] <= 0 {
		delete(t.heads, f.Head)
	}
	if !f.IsPart() {
		return
	}
	t.parts[f.Body] = slices.DeleteFunc(t.parts[f.Body], func(other Fingerprint) bool { return other == f })
	if len(t.parts[f.Body]) == 0 {
		delete(t.parts, f.Body)
	}
}

// sweep removes records that no longer affect any verdict.
func (t *Table) sweep(now time.Time) {
	t.lastSweep = now
	a := t.assess()
	for f, r := range t.records {
		if now.Sub(r.lastCrash()) > max(crashTTL, 2*a.quarantineTime(f, r)) && len(r.updates) == 0 {
			t.remove(f)
		}
	}
	maps.DeleteFunc(t.probes, func(_ Fingerprint, p probe) bool { return !now.Before(p.until) })
}

// Evidence returns the incarnations that crashed under a request, and those that completed it.
func (t *Table) Evidence(f Fingerprint) (crashed, completed []Incarnation) {
	r := t.records[f]
	if r == nil {
		return nil, nil
	}
	for _, c := range r.current() {
		crashed = append(crashed, c.Endpoint)
	}
	for _, s := range r.successes {
		completed = append(completed, s.endpoint)
	}
	return crashed, completed
}
