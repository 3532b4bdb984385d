package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// updateTTL is how long an update is sent. It covers eight regular messages, so that a third of
	// them may be lost.
	updateTTL = 2 * time.Second
	// maxUrgentSends is how often an update is sent in urgent messages, which go out in addition to
	// the regular ones.
	maxUrgentSends = 3
	// MaxReports bounds the number of reports in one message. A report takes about 40 bytes, and a
	// crash causes one for each request that was on the endpoint and for each part of their prompts.
	MaxReports = 64
)

// Kind is the kind of event that a Report describes.
type Kind uint8

const (
	Crashed   Kind = iota // an endpoint crashed while it was running the request
	Succeeded             // an endpoint completed the request
	Cleared               // an operator cleared the request of all earlier crashes
)

// Report tells another gateway of an event that concerns a request and happened AgeMs ago. The
// previous release decodes exactly the fields that are encoded here, so new ones travel apart; see
// peers.Message.
type Report struct {
	Kind        Kind
	Fingerprint Fingerprint
	Endpoint    Incarnation
	Begun       bool // whether the endpoint had begun to answer
	AgeMs       int64
	Address     Address `msgpack:"-"` // of the endpoint; 0 from earlier releases
}

// report returns the report of a crash that has just happened.
func (c Crash) report(f Fingerprint) Report {
	return Report{Kind: Crashed, Fingerprint: f, Endpoint: c.Endpoint, Begun: c.Begun, Address: c.Address}
}

// report returns the report of a success that has just happened.
func (s success) report(f Fingerprint) Report {
	return Report{Kind: Succeeded, Fingerprint: f, Endpoint: s.endpoint, Address: s.address}
}

// update is a report that other gateways may not have received yet.
type update struct {
	Report
	occurredAt  time.Time // when the event happened
	learnedAt   time.Time
	from        origin
	urgentSends int
}

// Audience is the group of gateways that a message is for.
type Audience uint8

const (
	LocalCell Audience = iota
	OtherCells
)

// isFor reports whether this gateway sends the update to an audience; representative is set if the
// gateway represents its cell towards the others. Every gateway sends the local cell what it observed
// itself. Representatives send other cells what was observed in the local cell, and the local cell what
// comes from others. So every update reaches all cells and none circulates.
func (u *update) isFor(a Audience, representative bool) bool {
	if a == LocalCell {
		return u.from == local || representative && u.from == otherCell
	}
	return representative && u.from != otherCell
}

// Updates returns the updates for an audience. representative is set if this gateway represents its cell
// towards the others, urgent for a message in addition to the regular ones.
func (t *Table) Updates(a Audience, representative, urgent bool, now time.Time) []Report {
	var out []Report
	for _, f := range t.updatedByCrashes() {
		r := t.records[f]
		r.updates = slices.DeleteFunc(r.updates, func(u update) bool { return now.Sub(u.learnedAt) > updateTTL })
		if len(r.updates) == 0 {
			r.updates = nil // most records never change again
			delete(t.updated, f)
		}
		for i := range r.updates {
			u := &r.updates[i]
			if len(out) >= MaxReports || !u.isFor(a, representative) || urgent && u.urgentSends >= maxUrgentSends || !r.matters(u) {
				continue
			}
			if urgent {
				u.urgentSends++
			}
			out = append(out, u.report(now))
		}
	}
	return out
}

// updatedByCrashes returns the requests and parts whose records have updates, those with the most crashes
// first. If there are too many updates for a message, these matter most.
func (t *Table) updatedByCrashes() []Fingerprint {
	return slices.SortedFunc(maps.Keys(t.updated), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(t.records[b].crashes), len(t.records[a].crashes)), compareFingerprints(a, b))
	})
}

// matters reports whether an update may change a verdict soon. Every crash does. Successes of a part, which
// are as many as the requests with it, do between its second crash and the success that outnumbers all
// crashes that are kept.
func (r *record) matters(u *update) bool {
	if u.Kind != Succeeded || !u.Fingerprint.IsPart() {
		return true
	}
	return len(r.crashes) >= minCrashesBefore-1 && r.successCount() <= maxCrashes
}

func (u *update) report(now time.Time) Report {
	r := u.Report
	r.AgeMs = now.Sub(u.occurredAt).Milliseconds()
	return r
}

// RepeatReports returns the reports on quarantined requests again, for gateways that were disconnected or
// have started since. If they are more than MaxReports, successive calls return them in turn.
func (t *Table) RepeatReports(now time.Time) []Report {
	all := t.Quarantined(now)
	if len(all) == 0 {
		return nil
	}
	var out []Report
	for range all {
		f := all[t.repeatCursor%len(all)]
		next := t.records[f].reports(f, now)
		if len(out)+len(next) > MaxReports {
			return out
		}
		out = append(out, next...)
		t.repeatCursor++
	}
	return out
}

// reports returns reports of all crashes and successes of the request.
func (r *record) reports(f Fingerprint, now time.Time) []Report {
	out := make([]Report, 0, len(r.current())+len(r.successes))
	for _, c := range r.current() {
		report := c.report(f)
		report.AgeMs = now.Sub(c.At).Milliseconds()
		out = append(out, report)
	}
	for _, s := range r.successes {
		report := s.report(f)
		report.AgeMs = now.Sub(s.at).Milliseconds()
		out = append(out, report)
	}
	return out
}

// Applied is what a gateway's reports changed.
type Applied struct {
	Quarantined, Cleared []Fingerprint // the requests whose verdict changed
	New                  int           // number of reports that were new
}

// Apply records the reports of a gateway of this cell or of another one.
func (t *Table) Apply(reports []Report, fromOtherCell bool, now time.Time) Applied {
	from := localCell
	if fromOtherCell {
		from = otherCell
	}
	reports = reports[:min(len(reports), 2*MaxReports)] // the results of Updates and of RepeatReports
	before := t.Quarantined(now)
	var out Applied
	for _, r := range reports {
		if t.applyReport(r, from, now) {
			out.New++
		}
	}
	out.Quarantined, out.Cleared = difference(before, t.Quarantined(now))
	return out
}

// difference returns what only after holds, and what only before holds.
func difference(before, after []Fingerprint) (added, removed []Fingerprint) {
	for _, f := range after {
		if !slices.Contains(before, f) {
			added = append(added, f)
		}
	}
	for _, f := range before {
		if !slices.Contains(after, f) {
			removed = append(removed, f)
		}
	}
	return added, removed
}

func (t *Table) applyReport(r Report, from origin, now time.Time) bool {
	age := min(max(0, r.AgeMs), maxQuarantine.Milliseconds())
	at := now.Add(-time.Duration(age) * time.Millisecond)
	switch r.Kind {
	case Crashed:
		return t.addCrash(r.Fingerprint, Crash{r.Endpoint, r.Begun, at, r.Address}, from, now)
	case Succeeded:
		return t.addSuccess(r.Fingerprint, success{r.Endpoint, r.Address, at}, from, now)
	case Cleared:
		return t.clear(r.Fingerprint, at, from, now)
	default:
		return false // a kind of a later release
	}
}

// Entry holds the crashes of one request in the form in which the store keeps them, also while no
// gateway is running.
type Entry struct {
	Fingerprint Fingerprint
	Crashes     []Crash
}

// Entry returns the entry to store for a request.
func (t *Table) Entry(f Fingerprint) Entry {
	e := Entry{Fingerprint: f}
	if r := t.records[f]; r != nil {
		e.Crashes = slices.Clone(r.current())
	}
	return e
}

// Restore restores a request from its stored entry. It queues no updates, because the other gateways
// restore the entry themselves.
func (t *Table) Restore(e Entry, now time.Time) {
	for _, c := range e.Crashes[:min(len(e.Crashes), maxCrashes)] {
		t.addCrash(e.Fingerprint, c, otherCell, now)
	}
	if r := t.records[e.Fingerprint]; r != nil {
		r.updates = nil
		delete(t.updated, e.Fingerprint)
	}
}

// Listing describes a request or a part of prompts that has crashes, as shown to operators.
type Listing struct {
	Fingerprint   string `json:"fingerprint"`
	Part          bool   `json:"part"`           // a part of prompts
	CrashedBefore int    `json:"crashed_before"` // see Verdict
	CrashedWithin int    `json:"crashed_within"`
	EndedWell     int    `json:"ended_well"`
	ForMs         int64  `json:"for_ms"` // until it may be sent again; 0 if it may be sent now
}

// List returns all requests that have crashes, those with the longest remaining quarantine first.
func (t *Table) List(now time.Time) []Listing {
	out := []Listing{}
	for f, r := range t.records {
		if len(r.current()) == 0 {
			continue
		}
		v := t.Verdict(f, now)
		l := Listing{Fingerprint: f.String(), Part: f.IsPart(), CrashedBefore: v.CrashesBefore, CrashedWithin: v.CrashesWithin, EndedWell: v.Successes}
		if v.Quarantined() {
			l.ForMs = v.Until.Sub(now).Milliseconds()
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Listing) int {
		return cmp.Or(cmp.Compare(b.ForMs, a.ForMs), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}
