package admission

import (
	"time"

	"github.com/micarudder/micarudder/result"
)

// Offer implements Queue.
func (q *queue) Offer(it Item, cap Capacity, now time.Time) Verdict {
	q.capacity = cap
	q.advance(now)
	if q.waiting[it.ID] != nil || q.running[it.ID] != nil {
		return Verdict{Admitted: true}
	}
	w := q.workspaceFor(it, now)
	e := q.newEntry(it)
	if cap.MemoryTokens > 0 && it.MemoryTokens > cap.MemoryTokens {
		return q.refuse(e, w, 0, now, result.MemoryHeld, "more memory than the endpoint has")
	}
	if w.waiting >= q.cfg.MaxQueued-len(q.waiting) {
		return q.refuse(e, w, w.lists[it.Class].charge, now, result.Overloaded, "the queue is full")
	}
	wait := q.predictWait(e, w, cap, now)
	remaining := it.Deadline.Sub(now)
	allowed := time.Duration(q.cfg.Headroom * float64(remaining))
	prefill := q.prefillWithPreemption(e.prefill, it.Class, w, now)
	if excess := wait + prefill + e.decode - allowed; excess > 0 && !q.admitProbe(now) {
		code := result.Overloaded
		if prefill+e.decode > allowed {
			code = result.DeadlineTooNear
		}
		return q.refuse(e, w, min(excess, wait), now, code, "cannot be finished in its time")
	}
	if excess := q.inducedLateness(e, w, now, wait); excess > 0 {
		return q.refuse(e, w, excess, now, result.Overloaded, "admitted work would be late")
	}
	q.enqueue(e, w)
	return Verdict{Admitted: true, Wait: wait}
}

// newEntry predicts the costs of an item.
func (q *queue) newEntry(it Item) *entry {
	prompt := totalPromptTokens(it)
	c := q.model.Cost()
	e := &entry{item: it}
	e.prefill = c.Prefill(prompt, prompt-min(prompt, it.PromptTokens))
	e.decode = q.predictDecode(it.OutputTokens)
	if it.PromptTokens == 0 && it.OutputTokens == 0 {
		e.decode = q.meanRunTime // service call: no tokens to predict from
	}
	e.charge = max(minCharge, e.prefill+e.decode/time.Duration(max(1, q.capacity.MaxRunning)))
	return e
}

// minCharge is the least that a workspace is charged for an item.
const minCharge = time.Microsecond

// admitProbe reports whether an item is admitted against the prediction, because nothing
// waits or runs and neither a probe nor an observation was made within ProbeInterval.
func (q *queue) admitProbe(now time.Time) bool {
	if len(q.waiting) > 0 || len(q.running) > 0 || now.Sub(q.lastProbe) < q.cfg.ProbeInterval {
		return false
	}
	if q.model.Samples() > 0 && now.Sub(q.model.Last()) < q.cfg.ProbeInterval {
		return false
	}
	q.lastProbe = now
	return true
}

// inducedLateness returns the largest amount by which the entry would make a waiting item
// of its own wait list miss a deadline that it would meet otherwise.
func (q *queue) inducedLateness(e *entry, w *workspace, now time.Time, wait time.Duration) time.Duration {
	l := &w.lists[e.item.Class]
	delay := wait
	var worst time.Duration
	for _, o := range l.entries[l.position(e):] {
		finish := now.Add(delay + o.runTime())
		if late := finish.Add(e.prefill).Sub(o.item.Deadline); late > 0 && !finish.After(o.item.Deadline) {
			worst = max(worst, late)
		}
		delay += o.prefill
	}
	return worst
}

// refuse returns a refusal with a retry time: the time at which the excess will have been
// worked off, after the retry times given to earlier refused items of the same workspace,
// so that they do not all return at once.
func (q *queue) refuse(e *entry, w *workspace, excess time.Duration, now time.Time, code result.Code, detail string) Verdict {
	earliest := now.Add(excess)
	if w.nextRetry.Before(earliest) {
		w.nextRetry = earliest
	}
	w.nextRetry = w.nextRetry.Add(e.charge)
	after := min(max(w.nextRetry.Sub(now), minRetryAfter), q.cfg.MaxRetryAfter)
	w.nextRetry = now.Add(min(w.nextRetry.Sub(now), q.cfg.MaxRetryAfter))
	return Verdict{RetryAfter: after, Code: code, Detail: detail}
}
