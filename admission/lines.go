package admission

import (
	"slices"
	"time"

	"github.com/micarudder/micarudder/routing"
)

// entry is a waiting item with its predicted costs.
type entry struct {
	item    Item
	prefill time.Duration
	decode  time.Duration
	charge  time.Duration // endpoint time charged to its workspace
}

// runTime returns the predicted time from the start of prefill to the end of the response.
func (e *entry) runTime() time.Duration { return e.prefill + e.decode }

// before orders entries by deadline, then by arrival.
func (e *entry) before(o *entry) bool {
	if !e.item.Deadline.Equal(o.item.Deadline) {
		return e.item.Deadline.Before(o.item.Deadline)
	}
	return e.item.Arrived.Before(o.item.Arrived)
}

// waitList holds the waiting items of one workspace and class, earliest deadline first,
// and the sums of their costs.
type waitList struct {
	entries []*entry
	prefill time.Duration
	charge  time.Duration
	memory  uint64
}

// position returns the index at which the entry belongs.
func (l *waitList) position(e *entry) int {
	i, _ := slices.BinarySearchFunc(l.entries, e, func(have, e *entry) int {
		if e.before(have) {
			return 1
		}
		return -1
	})
	return i
}

func (l *waitList) insert(e *entry) {
	l.entries = slices.Insert(l.entries, l.position(e), e)
	l.prefill += e.prefill
	l.charge += e.charge
	l.memory += e.item.MemoryTokens
}

func (l *waitList) remove(e *entry) {
	i := slices.Index(l.entries, e)
	l.entries = slices.Delete(l.entries, i, i+1)
	l.prefill -= e.prefill
	l.charge -= e.charge
	l.memory -= e.item.MemoryTokens
}

// workspace holds one workspace's wait lists and its share of the endpoint. Its virtual
// time is the endpoint time charged to it divided by its share.
type workspace struct {
	share       float64
	virtualTime float64
	waiting     int
	rate        rate      // of the prefill started, long items excluded
	nextRetry   time.Time // retry time given to the last refused item
	lists       [routing.NumClasses]waitList
}

// minActiveRate is the prefill rate above which a workspace counts as active.
const minActiveRate = 0.01

// active reports whether the workspace has waiting items or recently started prefill.
func (w *workspace) active(now time.Time) bool {
	return w.waiting > 0 || w.rate.valueAt(now) > minActiveRate
}

// workspaceFor returns the item's workspace, creating it if necessary. A workspace without
// waiting items starts at the current virtual time, so that it accumulates no credit while
// idle.
func (q *queue) workspaceFor(it Item, now time.Time) *workspace {
	w := q.workspaces[it.Workspace]
	if w == nil {
		q.dropIdle(now)
		w = &workspace{}
		q.workspaces[it.Workspace] = w
	}
	w.share = shareOf(it)
	if w.waiting == 0 {
		w.virtualTime = max(w.virtualTime, q.virtualTime)
	}
	return w
}

// dropIdle deletes the workspaces whose state no longer affects scheduling.
func (q *queue) dropIdle(now time.Time) {
	for name, w := range q.workspaces {
		if w.waiting == 0 && w.virtualTime <= q.virtualTime && !w.nextRetry.After(now) {
			delete(q.workspaces, name)
		}
	}
}

func (q *queue) enqueue(e *entry, w *workspace) {
	w.lists[e.item.Class].insert(e)
	w.waiting++
	q.waiting[e.item.ID] = e
}

func (q *queue) dequeue(e *entry) *workspace {
	w := q.workspaces[e.item.Workspace]
	w.lists[e.item.Class].remove(e)
	w.waiting--
	delete(q.waiting, e.item.ID)
	return w
}
