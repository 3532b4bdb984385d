package admission

import (
	"time"

	"github.com/micarudder/micarudder/routing"
)

// maxPreemption bounds the share of time that predictions assume to be taken by preempting
// work.
const maxPreemption = 0.9

// workAhead is the sum of the work that is served before an item.
type workAhead struct {
	prefill    time.Duration
	ownPrefill time.Duration // part of prefill that belongs to the item's own workspace
	memory     uint64
	count      int
}

// add adds a fraction of a wait list.
func (a *workAhead) add(l *waitList, fraction float64) {
	a.prefill += time.Duration(fraction * float64(l.prefill))
	a.memory += uint64(fraction * float64(l.memory))
	a.count += int(fraction*float64(len(l.entries)) + 0.5)
}

// predictWait predicts how long an entry waits until its prefill starts.
func (q *queue) predictWait(e *entry, w *workspace, cap Capacity, now time.Time) time.Duration {
	a := q.workAheadOf(e, w)
	a.memory += e.item.MemoryTokens
	return q.predictWaitBehind(a, e.item.Class, w, cap, now)
}

// workAheadOf sums up all waiting shorter work, the entry's own wait list up to its
// position, and from the same class of each other workspace as much as that workspace's
// share lets it run in the meantime.
func (q *queue) workAheadOf(e *entry, w *workspace) workAhead {
	var a workAhead
	own := &w.lists[e.item.Class]
	charge := e.charge
	for _, o := range own.entries[:own.position(e)] {
		charge += o.charge
		a.prefill += o.prefill
		a.ownPrefill += o.prefill
		a.memory += o.item.MemoryTokens
		a.count++
	}
	for _, other := range q.workspaces {
		for c := range e.item.Class {
			a.add(&other.lists[c], 1)
			if other == w {
				a.ownPrefill += other.lists[c].prefill
			}
		}
		l := &other.lists[e.item.Class]
		if other == w || l.charge <= 0 {
			continue
		}
		portion := float64(charge) * other.share / w.share
		a.add(l, min(1, portion/float64(l.charge)))
	}
	return a
}

// predictWaitBehind predicts the wait of an item of a class with the given work ahead of
// it: the longest of the waits for prefill, for a slot and for memory.
func (q *queue) predictWaitBehind(a workAhead, class routing.Class, w *workspace, cap Capacity, now time.Time) time.Duration {
	running := q.runningPrefill(class)
	prefill := q.prefillWithPreemption(a.prefill+running, class, w, now)
	if w != nil {
		// A workspace gets at least its fair share.
		prefill = min(prefill, time.Duration(float64(a.ownPrefill+running)/q.fairShare(w)))
	}
	return max(prefill, q.slotWait(a.count, cap), q.memoryWait(a.memory, cap, now))
}

// runningPrefill returns the prefill in progress that an item of the class waits for: all
// of what it does not preempt, and at most one chunk of what it preempts. An item of a
// long class is assumed to wait for all of it.
func (q *queue) runningPrefill(class routing.Class) time.Duration {
	var sum, chunk time.Duration
	for _, r := range q.running {
		remaining := r.remainingPrefill()
		switch {
		case !shorter(class, r.entry.item.Class), class >= routing.ClassLong:
			sum += remaining
		case remaining > 0:
			chunk = q.model.Cost().Prefill(routing.ChunkTokens, 0)
		}
	}
	return sum + min(chunk, q.cfg.PrefillWindow)
}

// slotWait predicts the wait for a slot behind count other items.
func (q *queue) slotWait(count int, cap Capacity) time.Duration {
	if cap.MaxRunning <= 0 {
		return 0
	}
	missing := count + 1 - (cap.MaxRunning - cap.Running)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing) * q.meanRunTime / time.Duration(cap.MaxRunning)
}

// memoryWait predicts the time until need tokens of memory in total will have been freed.
func (q *queue) memoryWait(need uint64, cap Capacity, now time.Time) time.Duration {
	if need <= cap.FreeTokens {
		return 0
	}
	at, _, ok := q.freeAt(need, cap, now)
	wait := at.Sub(now)
	if !ok && cap.MemoryTokens > 0 {
		fills := float64(need) / float64(cap.MemoryTokens)
		wait = max(wait, time.Duration(fills*float64(q.meanRunTime)))
	}
	return wait
}

// prefillWithPreemption returns a prefill time of a class, extended by the shorter work
// that is expected to preempt it in the meantime. Other workspaces are assumed to take no
// more than the fair share of workspace w leaves them; if w is nil, all work counts.
func (q *queue) prefillWithPreemption(prefill time.Duration, class routing.Class, w *workspace, now time.Time) time.Duration {
	var preempting float64
	for c := range class {
		preempting += q.prefillRates[c].valueAt(now)
	}
	if w != nil {
		preempting = min(preempting, w.rate.valueAt(now)+1-q.fairShare(w))
	}
	return time.Duration(float64(prefill) / (1 - min(preempting, maxPreemption)))
}

// fairShare returns a workspace's share among those that are active.
func (q *queue) fairShare(w *workspace) float64 {
	sum := w.share
	for _, o := range q.workspaces {
		if o != w && o.active(q.accountedUntil) {
			sum += o.share
		}
	}
	return w.share / sum
}

// predictDecode predicts the decode time of a response: as recently learned or, if that is
// longer, as on an idle endpoint with chunks of prefill in its steps. The chunks are those
// of the current backlog or of the usual utilisation.
func (q *queue) predictDecode(tokens uint64) time.Duration {
	c := q.model.Cost()
	idle := time.Duration(tokens) * q.model.DecodeFloor()
	chunks := time.Duration(tokens) * c.Prefill(routing.ChunkTokens, 0)
	typical := time.Duration(float64(chunks) * q.prefillUtilisation())
	return max(c.Decode(tokens), idle+min(chunks, q.prefillBacklog()), idle+typical)
}

// prefillUtilisation returns the share of recent time that the endpoint spent on prefill.
func (q *queue) prefillUtilisation() float64 {
	var sum float64
	for c := range q.prefillRates {
		sum += q.prefillRates[c].valueAt(q.accountedUntil)
	}
	return min(1, sum)
}

// prefillBacklog returns the total prefill time that waits or is in progress.
func (q *queue) prefillBacklog() time.Duration {
	var sum time.Duration
	for _, w := range q.workspaces {
		for c := range w.lists {
			sum += w.lists[c].prefill
		}
	}
	for _, r := range q.running {
		sum += r.remainingPrefill()
	}
	return sum
}

// Load implements Queue. The predicted wait of a class is the one behind all waiting work
// of this and the shorter classes.
func (q *queue) Load(now time.Time) Totals {
	q.advance(now)
	t := Totals{Queued: len(q.waiting), Cost: q.model.Cost()}
	t.Cost.DecodePerToken = q.model.DecodeFloor()
	var a workAhead
	for c := range routing.Class(routing.NumClasses) {
		for _, w := range q.workspaces {
			a.add(&w.lists[c], 1)
		}
		t.Wait[c] = q.predictWaitBehind(a, c, nil, q.capacity, now)
	}
	for _, e := range q.waiting {
		t.QueuedTokens += e.item.PromptTokens
		t.LongTokens += longTokens(e.item)
	}
	for _, r := range q.running {
		t.QueuedTokens += r.remainingTokens()
		if r.entry.item.Class >= routing.ClassLong {
			t.LongTokens += r.remainingTokens()
		}
	}
	return t
}

// longTokens returns the prompt tokens of a long item, 0 for others.
func longTokens(it Item) uint64 {
	if it.Class < routing.ClassLong {
		return 0
	}
	return it.PromptTokens
}
