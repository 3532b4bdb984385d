package admission

import (
	"time"

	"github.com/micarudder/micarudder/result"
)

// Offer implements Queue.
func (q *queue) Offer(it Item, cap Capacity, now time.Time) Verdict {
	q.cap = cap
	q.advance(now)
	if q.waiting[it.ID] != nil || q.running[it.ID] != nil {
		return Verdict{Admitted: true}
	}
	w := q.workspaceOf(it, now)
	e := q.entryOf(it)
	if cap.MemoryTokens > 0 && it.MemoryTokens > cap.MemoryTokens {
		return q.refuse(e, w, 0, now, result.MemoryHeld, "more memory than the endpoint has")
	}
	if w.waiting >= q.cfg.MaxQueued-len(q.waiting) {
		return q.refuse(e, w, w.lines[it.Class].charge, now, result.Overloaded, "the queue is full")
	}
	wait := q.waitOf(e, w, cap, now)
	remaining := it.Deadline.Sub(now)
	allowed := time.Duration(q.cfg.Headroom * float64(remaining))
	stretched := q.stretched(e.prefill, it.Class, w, now)
	if over := wait + stretched + e.decode - allowed; over > 0 && !q.probes(now) {
		code := result.Overloaded
		if stretched+e.decode > allowed {
			code = result.DeadlineTooNear
		}
		return q.refuse(e, w, min(over, wait), now, code, "cannot be finished in its time")
	}
	if over := q.harm(e, w, now, wait); over > 0 {
		return q.refuse(e, w, over, now, result.Overloaded, "admitted work would be late")
	}
	q.push(e, w)
	return Verdict{Admitted: true, Wait: wait}
}

// entryOf predicts what an item takes.
func (q *queue) entryOf(it Item) *entry {
	prompt := promptOf(it)
	c := q.model.Cost()
	e := &entry{item: it}
	e.prefill = c.Prefill(prompt, prompt-min(prompt, it.PromptTokens))
	e.decode = q.decodeBeside(it.OutputTokens)
	if it.PromptTokens == 0 && it.OutputTokens == 0 {
		e.decode = q.meanRun // a service call
	}
	e.charge = max(minCharge, e.prefill+e.decode/time.Duration(max(1, q.cap.MaxRunning)))
	return e
}

// minCharge is the least that a workspace is charged for an item.
const minCharge = time.Microsecond

// probes reports whether an item is admitted against the prediction, because
// nothing runs and nothing has been learned for a while.
func (q *queue) probes(now time.Time) bool {
	if len(q.waiting) > 0 || len(q.running) > 0 || now.Sub(q.probed) < q.cfg.ProbeEvery {
		return false
	}
	if q.model.Samples() > 0 && now.Sub(q.model.Last()) < q.cfg.ProbeEvery {
		return false
	}
	q.probed = now
	return true
}

// harm returns by how much the entry would make waiting items of its own line
// late that could be in time without it.
func (q *queue) harm(e *entry, w *workspace, now time.Time, wait time.Duration) time.Duration {
	l := &w.lines[e.item.Class]
	behind := wait
	var worst time.Duration
	for _, o := range l.entries[l.place(e):] {
		finish := now.Add(behind + o.run())
		if late := finish.Add(e.prefill).Sub(o.item.Deadline); late > 0 && !finish.After(o.item.Deadline) {
			worst = max(worst, late)
		}
		behind += o.prefill
	}
	return worst
}

// refuse answers with the time to come back: when the excess will have been
// worked off, after those of the same workspace that were told to come back
// before, so that they do not return all at once.
func (q *queue) refuse(e *entry, w *workspace, over time.Duration, now time.Time, code result.Code, detail string) Verdict {
	earliest := now.Add(over)
	if w.comeback.Before(earliest) {
		w.comeback = earliest
	}
	w.comeback = w.comeback.Add(e.charge)
	after := min(max(w.comeback.Sub(now), minRetryAfter), q.cfg.MaxRetryAfter)
	w.comeback = now.Add(min(w.comeback.Sub(now), q.cfg.MaxRetryAfter))
	return Verdict{RetryAfter: after, Code: code, Detail: detail}
}
