package admission

import (
	"time"

	"github.com/micarudder/micarudder/routing"
)

const (
	// longShare is the share of the endpoint's time that prefilling work keeps
	// while shorter work passes it, and urgentShare what it keeps when it is
	// pressing, or against a workspace that used more than its own share.
	longShare   = 0.1
	urgentShare = 0.5
	// passGrace is the debt beyond which shorter work waits, and maxDebt
	// bounds what can be caught up at once.
	passGrace = 250 * time.Millisecond
	maxDebt   = time.Second
	// pressingFactor: work is pressing when its time left is below this
	// multiple of what it still needs.
	pressingFactor = 2.2
	// unknownRelease is when memory held by unknown runs is expected back.
	unknownRelease = time.Second
)

// debt is the engine time that a prefilling run lacks of each share.
type debt struct{ long, urgent time.Duration }

func (d *debt) advance(elapsed time.Duration, passed bool) {
	d.long = owes(d.long, elapsed, passed, longShare)
	d.urgent = owes(d.urgent, elapsed, passed, urgentShare)
}

func owes(debt, elapsed time.Duration, passed bool, share float64) time.Duration {
	debt += time.Duration(share * float64(elapsed))
	if !passed {
		debt -= elapsed
	}
	return min(max(debt, 0), maxDebt)
}

// mayPrefill reports whether the item may start to prefill beside what is
// prefilling: a window of its class at a time, and not past longer work that is
// owed time. Of longer work only the shortest class counts, for that is what
// the endpoint would get on with.
func (q *queue) mayPrefill(e *entry, w *workspace, now time.Time) bool {
	var ahead time.Duration
	next := routing.Class(routing.NumClasses)
	for _, r := range q.running {
		if !r.prefilled.IsZero() {
			continue
		}
		switch c := r.entry.item.Class; {
		case c == e.item.Class, outlasts(e, r):
			ahead += r.left()
		case shorter(e.item.Class, c):
			next = min(next, c)
		}
	}
	return ahead < q.cfg.Window && !q.owedAny(next, w, now)
}

// outlasts reports whether an entry of long work would pass longer work that
// is nearer its end: then it waits, for both are done sooner so on average.
func outlasts(e *entry, r *run) bool {
	return e.item.Class >= routing.ClassLong && shorter(e.item.Class, r.entry.item.Class) && r.left() < e.prefill
}

// owedAny reports whether any prefilling run of the class is owed time.
func (q *queue) owedAny(class routing.Class, w *workspace, now time.Time) bool {
	for _, r := range q.running {
		if r.entry.item.Class == class && r.prefilled.IsZero() && q.owed(r, w, now) {
			return true
		}
	}
	return false
}

// owed reports whether a prefilling run has been passed so much that shorter
// work of the workspace w has to wait for it.
func (q *queue) owed(r *run, w *workspace, now time.Time) bool {
	if r.left() == 0 || r.debt.urgent <= passGrace {
		return false
	}
	return r.debt.long > passGrace || q.pressing(r.entry, r.left(), now) || q.floods(w, r, now)
}

// pressing reports whether an entry must not be held up any more, given the
// prefill it still needs. What can no longer finish in time is not pressing.
func (q *queue) pressing(e *entry, left time.Duration, now time.Time) bool {
	need := left + e.decode
	slack := e.item.Deadline.Sub(now)
	return slack >= need && slack < time.Duration(pressingFactor*float64(need))
}

// floods reports whether the workspace lately used more than its own share
// beside the run's.
func (q *queue) floods(w *workspace, r *run, now time.Time) bool {
	other := q.workspaces[r.entry.item.Workspace]
	if other == nil || other == w {
		return false
	}
	return w.rate.now(now) > w.share/(other.share+w.share)
}

// mayPass reports whether an entry that fits may start before one that waits
// for memory: only if it is over before that memory is free, or leaves enough
// of it; and near the other's deadline only the latter.
func (q *queue) mayPass(e, blocked *entry, cap Capacity, now time.Time) bool {
	at, extra, ok := q.freeAt(blocked.item.MemoryTokens, cap, now)
	if ok && e.item.MemoryTokens <= extra {
		return true
	}
	if q.pressing(blocked, blocked.prefill, now) {
		return false
	}
	if !ok {
		at = now.Add(unknownRelease)
	}
	return !now.Add(e.run()).After(at)
}
