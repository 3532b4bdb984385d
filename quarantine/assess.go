package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// assessment is what the crashes and successes of all suspects say together. A crash counts against each
// request that was on the endpoint and against each part of their prompts. Once one of them explains it, it
// no longer counts against the others: a part that is in every crash explains the crashes of the requests
// and of the other parts that happened to be there.
type assessment struct {
	// cause is the request or part that explains the crash of an incarnation.
	cause map[Incarnation]Fingerprint
	// over are the requests and parts over the threshold for a quarantine.
	over map[Fingerprint]bool
	// shared are the parts, by their Body, that are over the threshold for all workspaces together.
	shared map[uint64]*record
}

// suspect is a candidate for the cause of crashes.
type suspect struct {
	fingerprint Fingerprint
	record      *record
	tally       tally
	successes   int
}

// compareSuspects orders suspects by how likely they are the cause: by crashes for each endpoint that
// completed the request. Of two that are alike, the request explains the crashes rather than a part of its
// prompt, as refusing it affects no other request. If it is the part nevertheless, it is in the next crash alone.
func compareSuspects(a, b suspect) int {
	return cmp.Or(
		cmp.Compare(b.tally.total()*(1+a.successes), a.tally.total()*(1+b.successes)),
		compareBool(a.fingerprint.IsPart(), b.fingerprint.IsPart()),
		cmp.Compare(b.tally.before, a.tally.before),
		compareFingerprints(a.fingerprint, b.fingerprint),
	)
}

func compareFingerprints(a, b Fingerprint) int {
	return cmp.Or(cmp.Compare(a.Head, b.Head), cmp.Compare(a.Body, b.Body))
}

// assess returns the assessment of the table's present records.
func (t *Table) assess() *assessment {
	if t.assessed != nil {
		return t.assessed
	}
	a := &assessment{cause: make(map[Incarnation]Fingerprint), over: make(map[Fingerprint]bool), shared: make(map[uint64]*record)}
	pooled := t.pooledParts()
	candidates := make([]suspect, 0, len(t.suspects)+len(pooled))
	for f := range t.suspects {
		candidates = append(candidates, newSuspect(f, t.records[f]))
	}
	for body, r := range pooled {
		candidates = append(candidates, newSuspect(sharedPart(body), r))
	}
	slices.SortFunc(candidates, compareSuspects)
	for _, s := range candidates {
		// Crashes that an operator cleared it of are still explained by it.
		if !s.record.count(s.record.crashes, a.explained(s.fingerprint)).overThreshold(s.successes) {
			continue
		}
		a.attribute(s)
		if pooled[s.fingerprint.Body] == s.record {
			a.shared[s.fingerprint.Body] = s.record
		}
	}
	for _, s := range candidates {
		if a.tally(s.fingerprint, s.record).overThreshold(s.successes) {
			a.over[s.fingerprint] = true
		}
	}
	t.assessed = a
	return a
}

func newSuspect(f Fingerprint, r *record) suspect {
	none := func(Crash) bool { return false }
	return suspect{f, r, r.count(r.crashes, none), r.successCount()}
}

// sharedPart returns the fingerprint of a part in all workspaces together.
func sharedPart(body uint64) Fingerprint {
	return Fingerprint{Head: partTag << partTagShift, Body: body}
}

// pooledParts returns the records of parts for all workspaces together, by their Body, if there were crashes
// in enough workspaces.
func (t *Table) pooledParts() map[uint64]*record {
	out := make(map[uint64]*record)
	for f := range t.suspects {
		if !f.IsPart() || out[f.Body] != nil || len(t.parts[f.Body]) < minSharedWorkspaces {
			continue
		}
		if crashed := t.crashedWorkspaces(f.Body); len(crashed) >= minSharedWorkspaces {
			out[f.Body] = pool(crashed)
		}
	}
	return out
}

// crashedWorkspaces returns the records of a part in those workspaces where endpoints crashed.
func (t *Table) crashedWorkspaces(body uint64) []*record {
	var out []*record
	for _, f := range t.parts[body] {
		if r := t.records[f]; len(r.current()) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// pool returns a record of all that the given ones hold.
func pool(list []*record) *record {
	out := &record{createdAt: list[0].createdAt}
	for _, r := range list {
		out.crashes = append(out.crashes, r.current()...)
		out.successes = append(out.successes, r.successes...)
	}
	slices.SortFunc(out.crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	seen := make(map[Incarnation]bool)
	out.crashes = slices.DeleteFunc(out.crashes, func(c Crash) bool {
		again := seen[c.Endpoint]
		seen[c.Endpoint] = true
		return again
	})
	return out
}

// attribute attributes the crashes of a suspect that are not explained yet to it.
func (a *assessment) attribute(s suspect) {
	for _, c := range s.record.crashes {
		if _, ok := a.cause[c.Endpoint]; !ok && !s.record.contradicted(c) {
			a.cause[c.Endpoint] = s.fingerprint
		}
	}
}

// explained returns a function that reports whether something else than f explains a crash. A request does
// not explain the crashes of another request, of which it may be a copy.
func (a *assessment) explained(f Fingerprint) func(Crash) bool {
	return func(c Crash) bool {
		cause, ok := a.cause[c.Endpoint]
		return ok && cause != f && (f.IsPart() || cause.IsPart())
	}
}

// tally counts the crashes of a record that nothing else explains, since it was last cleared.
func (a *assessment) tally(f Fingerprint, r *record) tally {
	return r.count(r.current(), a.explained(f))
}

// quarantineTime returns how long a request or part is quarantined after its newest crash; zero if it is
// not.
func (a *assessment) quarantineTime(f Fingerprint, r *record) time.Duration {
	if !a.over[f] {
		return 0
	}
	if f.IsPart() {
		return r.partQuarantineTime()
	}
	d := minQuarantine
	for range a.tally(f, r).total() - minCrashesBefore {
		d = min(maxQuarantine, 2*d)
	}
	return d
}

// partQuarantineTime returns how long a part is quarantined. Each time that it crashes endpoints again
// after a quarantine, the next one is longer; how many crashed before it was known does not matter.
func (r *record) partQuarantineTime() time.Duration {
	d := firstPartQuarantine
	crashes := r.current()
	for i := 1; i < len(crashes); i++ {
		if crashes[i].At.Sub(crashes[i-1].At) >= firstPartQuarantine {
			d = min(maxQuarantine, max(minQuarantine, 2*d))
		}
	}
	return d
}

// Verdict returns the assessment of a request or a part.
func (t *Table) Verdict(f Fingerprint, now time.Time) Verdict {
	r := t.records[f]
	if r == nil && !f.IsPart() {
		return Verdict{}
	}
	a := t.assess()
	var v Verdict
	if r != nil {
		v = t.verdict(a, f, r, now)
	}
	if shared := a.shared[f.Body]; !v.Quarantined() && f.IsPart() && shared != nil && (r == nil || r.successCount() == 0) {
		return t.verdict(a, sharedPart(f.Body), shared, now)
	}
	return v
}

func (t *Table) verdict(a *assessment, f Fingerprint, r *record, now time.Time) Verdict {
	n := a.tally(f, r)
	v := Verdict{CrashesBefore: n.before, CrashesWithin: n.within, Successes: r.successCount()}
	d := a.quarantineTime(f, r)
	if d == 0 {
		return v
	}
	until := r.lastCrash().Add(d)
	if f.IsPart() {
		until = until.Add(t.probeDelay(f, d))
	}
	if until.After(now) {
		v.Until = until
	} else if f.IsPart() {
		v.Probation = !slices.ContainsFunc(r.successes, func(s success) bool { return s.at.After(r.lastCrash().Add(d)) })
	}
	return v
}

// probeDelay returns how much later than the others this gateway sends a part again: at most half of the
// time d for which it was quarantined. If it still crashes endpoints, most gateways learn of it in time.
func (t *Table) probeDelay(f Fingerprint, d time.Duration) time.Duration {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], t.spread)
	binary.BigEndian.PutUint64(b[8:], f.Head)
	binary.BigEndian.PutUint64(b[16:], f.Body)
	const steps = 1 << 16
	return d / 2 / steps * time.Duration(xxhash.Sum64(b[:])%steps)
}

// probe is a request that is sent to learn whether a part still crashes endpoints.
type probe struct {
	owner string // the request's id
	until time.Time
}

// probeInterval is the shortest time between two requests with a part on probation that a gateway sends. It
// is longer than most endpoints take to begin a response.
const probeInterval = 3 * time.Second

// MayProbe reports whether a request may be sent with a part that is on probation, or until when another
// one is awaited.
func (t *Table) MayProbe(f Fingerprint, owner string, now time.Time) (until time.Time, ok bool) {
	p, found := t.probes[f]
	if !found || p.owner == owner || !now.Before(p.until) {
		return time.Time{}, true
	}
	return p.until, false
}

// Probe records that a request with a part on probation is sent.
func (t *Table) Probe(f Fingerprint, owner string, now time.Time) {
	t.probes[f] = probe{owner, now.Add(probeInterval)}
}

// Quarantined returns the requests and parts that are quarantined at now.
func (t *Table) Quarantined(now time.Time) []Fingerprint {
	a := t.assess()
	held := make(map[Fingerprint]bool)
	for f := range t.suspects {
		if (a.over[f] || f.IsPart() && a.shared[f.Body] != nil) && t.Verdict(f, now).Quarantined() {
			held[f] = true
		}
	}
	return slices.SortedFunc(maps.Keys(held), compareFingerprints)
}
