package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/cost"
	"github.com/micarudder/micarudder/routing"
)

// New returns an empty queue.
func New(cfg Config) Queue {
	cfg = cfg.withDefaults()
	return &queue{
		cfg:        cfg,
		model:      cost.New(cfg.Prior),
		workspaces: make(map[string]*workspace),
		waiting:    make(map[string]*entry),
		running:    make(map[string]*run),
	}
}

type queue struct {
	cfg            Config
	model          *cost.Model
	meanRunTime    time.Duration // learned duration of a run; 0 before the first observation
	workspaces     map[string]*workspace
	waiting        map[string]*entry
	running        map[string]*run
	virtualTime    float64                  // of the workspace served last
	lastProbe      time.Time                // when an item was last admitted as a probe
	prefillRates   [routing.NumClasses]rate // of the prefill started, by class
	accountedUntil time.Time                // time up to which the running items are accounted for
	capacity       Capacity                 // as last passed by the caller
	heads          []head                   // scratch space of Next
}

// Next implements Queue. Shorter classes come first, workspaces within a class in the
// order of their virtual time, and items within a workspace by deadline.
func (q *queue) Next(cap Capacity, now time.Time) (Item, bool) {
	q.capacity = cap
	q.advance(now)
	if len(q.waiting) == 0 || cap.MaxRunning > 0 && cap.Running >= cap.MaxRunning {
		return Item{}, false
	}
	heads := q.sortedHeads()
	blocked := q.blockedOnMemory(heads, cap, now)
	for _, h := range heads {
		e := h.entry
		if e.item.MemoryTokens > cap.FreeTokens || !q.mayPrefill(e, h.workspace, now) {
			continue
		}
		if blocked != nil && !q.mayBackfill(e, blocked, cap, now) {
			continue
		}
		q.start(e, now)
		return e.item, true
	}
	return Item{}, false
}

// blockedOnMemory returns the earliest arrived entry that waits only for memory.
func (q *queue) blockedOnMemory(heads []head, cap Capacity, now time.Time) *entry {
	var longest *entry
	for _, h := range heads {
		e := h.entry
		if e.item.MemoryTokens <= cap.FreeTokens || !q.mayPrefill(e, h.workspace, now) {
			continue
		}
		if longest == nil || e.item.Arrived.Before(longest.item.Arrived) {
			longest = e
		}
	}
	return longest
}

// head is the first entry of a wait list.
type head struct {
	entry     *entry
	workspace *workspace
}

// sortedHeads returns the heads of all wait lists in scheduling order.
func (q *queue) sortedHeads() []head {
	q.heads = q.heads[:0]
	for _, w := range q.workspaces {
		for c := range w.lists {
			if l := &w.lists[c]; len(l.entries) > 0 {
				q.heads = append(q.heads, head{l.entries[0], w})
			}
		}
	}
	slices.SortFunc(q.heads, func(a, b head) int {
		return cmp.Or(
			cmp.Compare(a.entry.item.Class, b.entry.item.Class),
			cmp.Compare(a.workspace.virtualTime, b.workspace.virtualTime),
			a.entry.item.Deadline.Compare(b.entry.item.Deadline),
			cmp.Compare(a.entry.item.ID, b.entry.item.ID),
		)
	})
	return q.heads
}

// start moves an entry from its wait list to the running items and charges its workspace.
func (q *queue) start(e *entry, now time.Time) {
	w := q.dequeue(e)
	q.virtualTime = max(q.virtualTime, w.virtualTime)
	w.virtualTime += float64(e.charge) / w.share
	c := e.item.Class
	if c < routing.ClassLong {
		w.rate.add(e.prefill, now)
	}
	q.running[e.item.ID] = &run{entry: e, started: now}
	q.prefillRates[c].add(e.prefill, now)
}

// Expire implements Queue.
func (q *queue) Expire(now time.Time) []Item {
	var out []Item
	for _, e := range q.waiting {
		if now.Add(e.prefill).After(e.item.Deadline) {
			out = append(out, e.item)
		}
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	for _, it := range out {
		q.dequeue(q.waiting[it.ID])
	}
	return out
}

// Remove implements Queue.
func (q *queue) Remove(id string) bool {
	if e := q.waiting[id]; e != nil {
		q.dequeue(e)
		return true
	}
	r := q.running[id]
	if r == nil {
		return false
	}
	delete(q.running, id)
	q.observeAborted(r)
	return true
}

// Prefilled implements Queue.
func (q *queue) Prefilled(id string, now time.Time) {
	q.advance(now)
	if r := q.running[id]; r != nil && r.prefilled.IsZero() {
		r.prefilled = now
	}
}

// Done implements Queue.
func (q *queue) Done(it Item, queued, prefill, decode time.Duration, cached uint64) {
	r := q.running[it.ID]
	ended := it.Arrived.Add(queued + prefill + decode)
	q.advance(ended)
	delete(q.running, it.ID)
	if prefill <= 0 && decode <= 0 {
		return
	}
	q.observeRunTime(prefill + decode)
	if r != nil && !r.prefilled.IsZero() && r.attained > 0 {
		prefill = min(prefill, r.attained) // excludes the time in which it was preempted
	}
	q.model.Observe(totalPromptTokens(it), cached, it.OutputTokens, prefill, decode, ended)
}

// totalPromptTokens returns the tokens of the complete prompt, including those already held.
func totalPromptTokens(it Item) uint64 {
	if it.ContextTokens > 0 {
		return it.ContextTokens + it.PromptTokens
	}
	if it.MemoryTokens > it.OutputTokens {
		return max(it.PromptTokens, it.MemoryTokens-it.OutputTokens)
	}
	return it.PromptTokens
}

// runTimeGain is the weight of a new observation of a run's duration.
const runTimeGain = 0.1

func (q *queue) observeRunTime(took time.Duration) {
	if q.meanRunTime == 0 {
		q.meanRunTime = took
		return
	}
	q.meanRunTime += time.Duration(runTimeGain * float64(took-q.meanRunTime))
}

// abortedFactor is the assumed total duration of a phase that was aborted late, as a
// multiple of its duration so far.
const abortedFactor = 2

// observeAborted learns from a run that did not complete: its prefill time if prefill had
// ended. A phase that was aborted counts only if it took longer than predicted.
func (q *queue) observeAborted(r *run) {
	it := r.entry.item
	var decode time.Duration
	if !r.prefilled.IsZero() {
		decode = q.accountedUntil.Sub(r.prefilled)
	}
	if decode < r.entry.decode {
		decode = 0
	}
	prefill := r.attained
	if r.prefilled.IsZero() {
		prefill *= abortedFactor
		if r.attained < r.entry.prefill {
			prefill = 0
		}
	}
	if prefill > 0 || decode > 0 {
		q.model.Observe(totalPromptTokens(it), 0, it.OutputTokens, prefill, abortedFactor*decode, q.accountedUntil)
	}
}
