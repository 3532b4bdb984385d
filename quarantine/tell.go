package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// newsLife is how long something new is told: eight regular messages, so that a third
	// of them may be lost.
	newsLife = 2 * time.Second
	// urgentTellings is how often it is told in messages that go out beside the regular
	// ones.
	urgentTellings = 3
	// MostReports bounds what one message tells, some 40 bytes each. A crash brings sixteen
	// reports at the most, of all gateways together.
	MostReports = 64
)

// Kind is what a report tells.
type Kind uint8

// The kinds.
const (
	Crashed Kind = iota // an endpoint crashed while the request was on it
	Served              // an endpoint ended it well
	Cleared             // an operator cleared it of all before
)

// Report is what one gateway tells another of a request, which happened AgeMs ago. Its fields
// are sent in this order: new ones come last.
type Report struct {
	Kind        Kind
	Fingerprint Fingerprint
	Endpoint    Incarnation
	Begun       bool // it had begun to answer there
	AgeMs       int64
}

// news is a report that others may not have heard.
type news struct {
	Report
	at       time.Time // when it happened
	learned  time.Time
	from     origin
	tellings int
}

// Audience is whom a message is for.
type Audience uint8

// The audiences.
const (
	OwnCell Audience = iota
	OtherCells
)

// concerns reports whether a gateway that speaks for its cell, or does not, tells a piece
// of news to an audience. What a gateway saw itself it tells its own cell; those that speak
// for a cell tell the others what was seen in theirs, and theirs what comes from others, so
// that everything arrives everywhere and nothing goes round.
func (n *news) concerns(a Audience, speaks bool) bool {
	if a == OwnCell {
		return n.from == own || speaks && n.from == far
	}
	return speaks && n.from != far
}

// Tell returns what is new for an audience; urgent is set for a message beside the regular
// ones.
func (t *Table) Tell(a Audience, speaks, urgent bool, now time.Time) []Report {
	var out []Report
	for f := range t.fresh {
		r := t.records[f]
		r.news = slices.DeleteFunc(r.news, func(n news) bool { return now.Sub(n.learned) > newsLife })
		if len(r.news) == 0 {
			delete(t.fresh, f)
		}
		for i := range r.news {
			n := &r.news[i]
			if len(out) >= MostReports || !n.concerns(a, speaks) || urgent && n.tellings >= urgentTellings {
				continue
			}
			if urgent {
				n.tellings++
			}
			out = append(out, n.aged(now))
		}
	}
	return out
}

func (n *news) aged(now time.Time) Report {
	r := n.Report
	r.AgeMs = now.Sub(n.at).Milliseconds()
	return r
}

// Repeat returns all that stands against the quarantined requests, a part of them in turn
// where they are many: gateways that were out of touch, or have started since, hear of them.
func (t *Table) Repeat(now time.Time) []Report {
	var all []Fingerprint
	for f, r := range t.records {
		if r.verdict(now).Quarantined() {
			all = append(all, f)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b Fingerprint) int { return cmp.Or(cmp.Compare(a.Head, b.Head), cmp.Compare(a.Body, b.Body)) })
	var out []Report
	for range all {
		f := all[t.repeated%len(all)]
		next := t.records[f].reports(f, now)
		if len(out)+len(next) > MostReports {
			return out
		}
		out = append(out, next...)
		t.repeated++
	}
	return out
}

// reports returns all that is known of one request.
func (r *record) reports(f Fingerprint, now time.Time) []Report {
	out := make([]Report, 0, len(r.crashes)+len(r.good))
	for _, c := range r.crashes {
		out = append(out, Report{Kind: Crashed, Fingerprint: f, Endpoint: c.Endpoint, Begun: c.Begun, AgeMs: now.Sub(c.At).Milliseconds()})
	}
	for _, g := range r.good {
		out = append(out, Report{Kind: Served, Fingerprint: f, Endpoint: g.endpoint, AgeMs: now.Sub(g.at).Milliseconds()})
	}
	return out
}

// Hear takes in what a gateway of this cell or of another one tells. It returns the requests
// that are quarantined by it, and how many reports were new.
func (t *Table) Hear(reports []Report, fromAfar bool, now time.Time) (quarantined []Fingerprint, fresh int) {
	from := near
	if fromAfar {
		from = far
	}
	reports = reports[:min(len(reports), 2*MostReports)] // news, and what is repeated
	before := make(map[Fingerprint]bool)
	for _, r := range reports {
		if _, seen := before[r.Fingerprint]; !seen {
			before[r.Fingerprint] = t.Verdict(r.Fingerprint, now).Quarantined()
		}
		if t.hear(r, from, now) {
			fresh++
		}
	}
	for f, was := range before {
		if !was && t.Verdict(f, now).Quarantined() {
			quarantined = append(quarantined, f)
		}
	}
	return quarantined, fresh
}

func (t *Table) hear(r Report, from origin, now time.Time) bool {
	age := min(max(0, r.AgeMs), longestRest.Milliseconds())
	at := now.Add(-time.Duration(age) * time.Millisecond)
	switch r.Kind {
	case Crashed:
		return t.add(r.Fingerprint, Crash{r.Endpoint, r.Begun, at}, from, now)
	case Served:
		return t.serve(r.Fingerprint, goodEnd{r.Endpoint, at}, from, now)
	case Cleared:
		return t.clear(r.Fingerprint, at, from, now)
	default:
		return false // of a later release
	}
}

// Entry is all that stands against one request, as it is kept beyond the life of all
// gateways.
type Entry struct {
	Fingerprint Fingerprint
	Crashes     []Crash
}

// Entry returns what to keep of a request.
func (t *Table) Entry(f Fingerprint) Entry {
	e := Entry{Fingerprint: f}
	if r := t.records[f]; r != nil {
		e.Crashes = slices.Clone(r.crashes)
	}
	return e
}

// Recall takes in what was kept. Other gateways recall it too, so it is no news to them.
func (t *Table) Recall(e Entry, now time.Time) {
	for _, c := range e.Crashes[:min(len(e.Crashes), mostCrashes)] {
		t.add(e.Fingerprint, c, far, now)
	}
	if r := t.records[e.Fingerprint]; r != nil {
		r.news = nil
		delete(t.fresh, e.Fingerprint)
	}
}

// Listing is a request against which something stands, as operators are shown it.
type Listing struct {
	Fingerprint   string `json:"fingerprint"`
	CrashedBefore int    `json:"crashed_before"` // see Verdict
	CrashedWithin int    `json:"crashed_within"`
	EndedWell     int    `json:"ended_well"`
	ForMs         int64  `json:"for_ms"` // until it may be sent again; 0: it may
}

// List returns all requests against which something stands, those that stay quarantined for
// the longest time first.
func (t *Table) List(now time.Time) []Listing {
	out := []Listing{}
	for f, r := range t.records {
		if len(r.crashes) == 0 {
			continue
		}
		v := r.verdict(now)
		l := Listing{Fingerprint: f.String(), CrashedBefore: v.Before, CrashedWithin: v.Within, EndedWell: v.Good}
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

// Quarantined returns the requests that are quarantined now.
func (t *Table) Quarantined(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f := range t.records {
		if t.Verdict(f, now).Quarantined() {
			out = append(out, f)
		}
	}
	return out
}
