package admission

import (
	"slices"
	"time"

	"github.com/micarudder/micarudder/routing"
)

// entry is one waiting item with what it was predicted to take.
type entry struct {
	item    Item
	prefill time.Duration
	decode  time.Duration
	charge  time.Duration // time of the endpoint that it uses up
}

func (e *entry) run() time.Duration { return e.prefill + e.decode }

// before orders entries by deadline, then by arrival.
func (e *entry) before(o *entry) bool {
	if !e.item.Deadline.Equal(o.item.Deadline) {
		return e.item.Deadline.Before(o.item.Deadline)
	}
	return e.item.Arrived.Before(o.item.Arrived)
}

// line holds the waiting items of one workspace and class, earliest deadline
// first, with their sums.
type line struct {
	entries []*entry
	prefill time.Duration
	charge  time.Duration
	memory  uint64
}

// place returns the position where the entry belongs.
func (l *line) place(e *entry) int {
	i, _ := slices.BinarySearchFunc(l.entries, e, func(have, e *entry) int {
		if e.before(have) {
			return 1
		}
		return -1
	})
	return i
}

func (l *line) insert(e *entry) {
	l.entries = slices.Insert(l.entries, l.place(e), e)
	l.prefill += e.prefill
	l.charge += e.charge
	l.memory += e.item.MemoryTokens
}

func (l *line) remove(e *entry) {
	i := slices.Index(l.entries, e)
	l.entries = slices.Delete(l.entries, i, i+1)
	l.prefill -= e.prefill
	l.charge -= e.charge
	l.memory -= e.item.MemoryTokens
}

// workspace holds one workspace's lines and its share of the endpoint. Its
// virtual time is the endpoint time it was charged over its share.
type workspace struct {
	share    float64
	virtual  float64
	waiting  int
	rate     rate      // of the prefill it started, long work left out
	comeback time.Time // told to the last refused item
	lines    [routing.NumClasses]line
}

// minActive is the rate of prefill from which a workspace counts as active.
const minActive = 0.01

// active reports whether the workspace has work or lately had.
func (w *workspace) active(now time.Time) bool {
	return w.waiting > 0 || w.rate.now(now) > minActive
}

// workspaceOf returns the item's workspace. One that was idle starts at the
// present virtual time: it saves up nothing.
func (q *queue) workspaceOf(it Item, now time.Time) *workspace {
	w := q.workspaces[it.Workspace]
	if w == nil {
		q.forgetIdle(now)
		w = &workspace{}
		q.workspaces[it.Workspace] = w
	}
	w.share = shareOf(it)
	if w.waiting == 0 {
		w.virtual = max(w.virtual, q.virtual)
	}
	return w
}

// forgetIdle drops workspaces whose record has no effect any more.
func (q *queue) forgetIdle(now time.Time) {
	for name, w := range q.workspaces {
		if w.waiting == 0 && w.virtual <= q.virtual && !w.comeback.After(now) {
			delete(q.workspaces, name)
		}
	}
}

func (q *queue) push(e *entry, w *workspace) {
	w.lines[e.item.Class].insert(e)
	w.waiting++
	q.waiting[e.item.ID] = e
}

func (q *queue) pull(e *entry) *workspace {
	w := q.workspaces[e.item.Workspace]
	w.lines[e.item.Class].remove(e)
	w.waiting--
	delete(q.waiting, e.item.ID)
	return w
}
