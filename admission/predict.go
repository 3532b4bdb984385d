package admission

import (
	"time"

	"github.com/micarudder/micarudder/routing"
)

// maxPassing bounds the share of time taken by passing work in predictions.
const maxPassing = 0.9

// ahead sums up what is served before an item.
type ahead struct {
	prefill time.Duration
	own     time.Duration // part of prefill of the item's own workspace
	memory  uint64
	count   int
}

func (a *ahead) add(l *line, part float64) {
	a.prefill += time.Duration(part * float64(l.prefill))
	a.memory += uint64(part * float64(l.memory))
	a.count += int(part*float64(len(l.entries)) + 0.5)
}

// waitOf predicts how long an entry waits until its prefill starts.
func (q *queue) waitOf(e *entry, w *workspace, cap Capacity, now time.Time) time.Duration {
	a := q.aheadOf(e, w)
	a.memory += e.item.MemoryTokens
	return q.waitBehind(a, e.item.Class, w, cap, now)
}

// aheadOf sums up all waiting shorter work, the entry's own line up to its
// place, and from the same class of each other workspace as much as that
// workspace's share gets in the meantime.
func (q *queue) aheadOf(e *entry, w *workspace) ahead {
	var a ahead
	own := &w.lines[e.item.Class]
	charge := e.charge
	for _, o := range own.entries[:own.place(e)] {
		charge += o.charge
		a.prefill += o.prefill
		a.own += o.prefill
		a.memory += o.item.MemoryTokens
		a.count++
	}
	for _, other := range q.workspaces {
		for c := range e.item.Class {
			a.add(&other.lines[c], 1)
			if other == w {
				a.own += other.lines[c].prefill
			}
		}
		l := &other.lines[e.item.Class]
		if other == w || l.charge <= 0 {
			continue
		}
		turn := float64(charge) * other.share / w.share
		a.add(l, min(1, turn/float64(l.charge)))
	}
	return a
}

// waitBehind predicts the wait of an item of a class with the given work
// before it: the longest of the waits for prefill, for a slot and for memory.
func (q *queue) waitBehind(a ahead, class routing.Class, w *workspace, cap Capacity, now time.Time) time.Duration {
	running := q.prefilling(class)
	prefill := q.stretched(a.prefill+running, class, w, now)
	if w != nil {
		// Its fair share is the least that a workspace gets.
		prefill = min(prefill, time.Duration(float64(a.own+running)/q.fairShare(w)))
	}
	return max(prefill, q.slotWait(a.count, cap), q.memoryWait(a.memory, cap, now))
}

// prefilling is the prefill in progress that an item of the class waits for:
// what it does not pass, and a chunk of what it passes.
func (q *queue) prefilling(class routing.Class) time.Duration {
	var sum, chunk time.Duration
	for _, r := range q.running {
		left := r.left()
		switch {
		case !shorter(class, r.entry.item.Class), class >= routing.ClassLong:
			sum += left
		case left > 0:
			chunk = q.model.Cost().Prefill(routing.ChunkTokens, 0)
		}
	}
	return sum + min(chunk, q.cfg.Window)
}

// slotWait predicts the wait for one of the slots behind count others.
func (q *queue) slotWait(count int, cap Capacity) time.Duration {
	if cap.MaxRunning <= 0 {
		return 0
	}
	short := count + 1 - (cap.MaxRunning - cap.Running)
	if short <= 0 {
		return 0
	}
	return time.Duration(short) * q.meanRun / time.Duration(cap.MaxRunning)
}

// memoryWait predicts when need tokens of memory will have become free, one
// after the other.
func (q *queue) memoryWait(need uint64, cap Capacity, now time.Time) time.Duration {
	if need <= cap.FreeTokens {
		return 0
	}
	at, _, ok := q.freeAt(need, cap, now)
	wait := at.Sub(now)
	if !ok && cap.MemoryTokens > 0 {
		turns := float64(need) / float64(cap.MemoryTokens)
		wait = max(wait, time.Duration(turns*float64(q.meanRun)))
	}
	return wait
}

// stretched is a time of prefill of a class, lengthened by the shorter work
// that is expected to pass it meanwhile. Against a workspace's own share that
// of the others does not count; without a workspace all counts.
func (q *queue) stretched(prefill time.Duration, class routing.Class, w *workspace, now time.Time) time.Duration {
	var passing float64
	for c := range class {
		passing += q.rates[c].now(now)
	}
	if w != nil {
		passing = min(passing, w.rate.now(now)+1-q.fairShare(w))
	}
	return time.Duration(float64(prefill) / (1 - min(passing, maxPassing)))
}

// fairShare is a workspace's share among those that have work now.
func (q *queue) fairShare(w *workspace) float64 {
	sum := w.share
	for _, o := range q.workspaces {
		if o != w && o.active(q.clock) {
			sum += o.share
		}
	}
	return w.share / sum
}

// decodeBeside predicts an answer's decode: as lately learned, or, if that is
// more, as on an idle endpoint with chunks of prefill in its steps, be it what
// waits now or what usually comes.
func (q *queue) decodeBeside(tokens uint64) time.Duration {
	c := q.model.Cost()
	idle := time.Duration(tokens) * q.model.DecodeFloor()
	chunks := time.Duration(tokens) * c.Prefill(routing.ChunkTokens, 0)
	usual := time.Duration(float64(chunks) * q.utilisation())
	return max(c.Decode(tokens), idle+min(chunks, q.backlog()), idle+usual)
}

// utilisation is the share of time in which the endpoint lately prefilled.
func (q *queue) utilisation() float64 {
	var sum float64
	for c := range q.rates {
		sum += q.rates[c].now(q.clock)
	}
	return min(1, sum)
}

// backlog is all prefill that waits or runs.
func (q *queue) backlog() time.Duration {
	var sum time.Duration
	for _, w := range q.workspaces {
		for c := range w.lines {
			sum += w.lines[c].prefill
		}
	}
	for _, r := range q.running {
		sum += r.left()
	}
	return sum
}

// Load implements Queue. The predicted waits are those behind all waiting
// work of the class.
func (q *queue) Load(now time.Time) Totals {
	q.advance(now)
	t := Totals{Queued: len(q.waiting), Cost: q.model.Cost()}
	t.Cost.DecodePerToken = q.model.DecodeFloor()
	var a ahead
	for c := range routing.Class(routing.NumClasses) {
		for _, w := range q.workspaces {
			a.add(&w.lines[c], 1)
		}
		t.Wait[c] = q.waitBehind(a, c, nil, q.cap, now)
	}
	for _, e := range q.waiting {
		t.QueuedTokens += e.item.PromptTokens
		t.LongTokens += longTokens(e.item)
	}
	for _, r := range q.running {
		t.QueuedTokens += r.tokensLeft()
		if r.entry.item.Class >= routing.ClassLong {
			t.LongTokens += r.tokensLeft()
		}
	}
	return t
}

func longTokens(it Item) uint64 {
	if it.Class < routing.ClassLong {
		return 0
	}
	return it.PromptTokens
}
