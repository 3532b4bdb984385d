package admission

import (
	"time"

	"github.com/micarudder/micarudder/routing"
)

const (
	// longShare is the share of the endpoint's time that prefilling long work
	// keeps while shorter work passes it.
	longShare = 0.1
	// passGrace is how long long work may be passed before its share counts.
	passGrace = 250 * time.Millisecond
	// pressingFactor: work is pressing when its time left is below this
	// multiple of what it still needs.
	pressingFactor = 1.25
	// unknownRelease is when memory held by unknown runs is expected back.
	unknownRelease = time.Second
)

// mayPrefill reports whether the item may start to prefill beside what is
// prefilling: the shortest first, a window of each class at a time, and not
// past longer work that is owed its share.
func (q *queue) mayPrefill(e *entry, w *workspace, now time.Time) bool {
	var ahead time.Duration
	for _, r := range q.running {
		if !r.prefilled.IsZero() {
			continue
		}
		if shorter(e.item.Class, r.entry.item.Class) {
			if q.owed(r, w, now) {
				return false
			}
			continue
		}
		ahead += q.left(r, now)
	}
	return ahead < q.cfg.Window
}

// owed reports whether a prefilling run has been passed so much that work of
// the workspace w has to wait for it.
func (q *queue) owed(r *run, w *workspace, now time.Time) bool {
	left := q.left(r, now)
	if left == 0 {
		return false
	}
	if q.pressing(r.entry, left, now) {
		return true
	}
	age := now.Sub(r.started)
	return age > passGrace && q.got(r, now) < time.Duration(q.keptShare(r, w)*float64(age))
}

// pressing reports whether an entry must not be held up any more, given the
// prefill it still needs. What can no longer finish in time is not pressing.
func (q *queue) pressing(e *entry, left time.Duration, now time.Time) bool {
	need := left + e.decode
	slack := e.item.Deadline.Sub(now)
	return slack >= need && slack < time.Duration(pressingFactor*float64(need))
}

// keptShare is the share of time that a run keeps against a workspace: a small
// one against a workspace with little waiting, its fair one against a
// workspace that floods.
func (q *queue) keptShare(r *run, w *workspace) float64 {
	other := q.workspaces[r.entry.item.Workspace]
	var waiting time.Duration
	for c := range w.lines {
		if shorter(routing.Class(c), r.entry.item.Class) {
			waiting += w.lines[c].prefill
		}
	}
	if other == nil || other == w || waiting < 2*q.cfg.Window {
		return longShare
	}
	return max(longShare, min(0.5, other.share/(other.share+w.share)))
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
