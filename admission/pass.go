package admission

import (
	"time"

	"github.com/micarudder/micarudder/routing"
)

const (
	// baseShare is the share of the endpoint's time that a run in prefill keeps while shorter
	// work preempts it. urgentShare is what it keeps when it is urgent, or against a workspace
	// that used more than its own share.
	baseShare   = 0.1
	urgentShare = 0.5
	// deficitGrace is the deficit above which shorter work waits. maxDeficit bounds how much
	// can be caught up at once.
	deficitGrace = 250 * time.Millisecond
	maxDeficit   = time.Second
	// Work is urgent when its remaining time is below urgentFactor times the time that it still
	// needs.
	urgentFactor = 2.2
	// unknownReleaseDelay is the time within which memory held by runs unknown to the queue is
	// expected to be freed.
	unknownReleaseDelay = time.Second
)

// deficit is the engine time that a run in prefill lacks of each of its guaranteed shares.
type deficit struct{ base, urgent time.Duration }

func (d *deficit) advance(elapsed time.Duration, preempted bool) {
	d.base = nextDeficit(d.base, elapsed, preempted, baseShare)
	d.urgent = nextDeficit(d.urgent, elapsed, preempted, urgentShare)
}

// nextDeficit returns the deficit after the elapsed time: it grows by the run's share of
// that time and, unless the run was preempted, shrinks by all of it.
func nextDeficit(current, elapsed time.Duration, preempted bool, share float64) time.Duration {
	current += time.Duration(share * float64(elapsed))
	if !preempted {
		current -= elapsed
	}
	return min(max(current, 0), maxDeficit)
}

// mayPrefill reports whether the entry may start its prefill beside those in progress:
// each class may have one PrefillWindow in progress, and a longer run that is starved must
// not be preempted. Of the longer classes only the shortest one counts, because that is
// the one the endpoint would continue with.
func (q *queue) mayPrefill(e *entry, w *workspace, now time.Time) bool {
	var ahead time.Duration
	longer := routing.Class(routing.NumClasses)
	for _, r := range q.running {
		if !r.prefilled.IsZero() {
			continue
		}
		switch c := r.entry.item.Class; {
		case c == e.item.Class, yieldsTo(e, r):
			ahead += r.remainingPrefill()
		case shorter(e.item.Class, c):
			longer = min(longer, c)
		}
	}
	return ahead < q.cfg.PrefillWindow && !q.anyStarved(longer, w, now)
}

// yieldsTo reports whether an entry of long work would preempt a run of a longer
// class that has less prefill left. The entry then waits, which lowers the mean completion time of the two.
func yieldsTo(e *entry, r *run) bool {
	return e.item.Class >= routing.ClassLong && shorter(e.item.Class, r.entry.item.Class) && r.remainingPrefill() < e.prefill
}

// anyStarved reports whether any run of the class in prefill is starved.
func (q *queue) anyStarved(class routing.Class, w *workspace, now time.Time) bool {
	for _, r := range q.running {
		if r.entry.item.Class == class && r.prefilled.IsZero() && q.starved(r, w, now) {
			return true
		}
	}
	return false
}

// starved reports whether a run in prefill has been preempted so much that shorter work of
// workspace w has to wait for it.
func (q *queue) starved(r *run, w *workspace, now time.Time) bool {
	if r.remainingPrefill() == 0 || r.deficit.urgent <= deficitGrace {
		return false
	}
	return r.deficit.base > deficitGrace || q.urgent(r.entry, r.remainingPrefill(), now) || q.exceedsShare(w, r, now)
}

// urgent reports whether an entry must not be delayed any further, given the prefill it
// still needs. An entry that can no longer meet its deadline is not urgent.
func (q *queue) urgent(e *entry, prefill time.Duration, now time.Time) bool {
	need := prefill + e.decode
	timeLeft := e.item.Deadline.Sub(now)
	return timeLeft >= need && timeLeft < time.Duration(urgentFactor*float64(need))
}

// exceedsShare reports whether the workspace recently used more than its share
// relative to the workspace of the run.
func (q *queue) exceedsShare(w *workspace, r *run, now time.Time) bool {
	other := q.workspaces[r.entry.item.Workspace]
	if other == nil || other == w {
		return false
	}
	return w.rate.valueAt(now) > w.share/(other.share+w.share)
}

// mayBackfill reports whether an entry that fits may start before one that waits for
// memory: only if it ends before that memory is free, or leaves enough of it. If the
// blocked entry is urgent, only the latter is allowed.
func (q *queue) mayBackfill(e, blocked *entry, cap Capacity, now time.Time) bool {
	at, extra, ok := q.freeAt(blocked.item.MemoryTokens, cap, now)
	if ok && e.item.MemoryTokens <= extra {
		return true
	}
	if q.urgent(blocked, blocked.prefill, now) {
		return false
	}
	if !ok {
		at = now.Add(unknownReleaseDelay)
	}
	return !now.Add(e.runTime()).After(at)
}
