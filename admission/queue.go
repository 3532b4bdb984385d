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
	cfg        Config
	model      *cost.Model
	meanRun    time.Duration // learned length of a run, 0 before the first
	workspaces map[string]*workspace
	waiting    map[string]*entry
	running    map[string]*run
	virtual    float64   // of the workspace served last
	probed     time.Time // when an item was last admitted against the prediction
	rates      [routing.NumClasses]rate
	clock      time.Time // up to which runs are accounted
	cap        Capacity  // as last seen
	heads      []head    // scratch of Next
}

// Next implements Queue. Classes go shortest first, workspaces of one class
// by their share, items of one workspace by deadline.
func (q *queue) Next(cap Capacity, now time.Time) (Item, bool) {
	q.cap = cap
	q.advance(now)
	if len(q.waiting) == 0 || cap.MaxRunning > 0 && cap.Running >= cap.MaxRunning {
		return Item{}, false
	}
	heads := q.order()
	blocked := q.blocked(heads, cap, now)
	for _, h := range heads {
		e := h.entry
		if e.item.MemoryTokens > cap.FreeTokens || !q.mayPrefill(e, h.workspace, now) {
			continue
		}
		if blocked != nil && !q.mayPass(e, blocked, cap, now) {
			continue
		}
		q.start(e, now)
		return e.item, true
	}
	return Item{}, false
}

// blocked returns the entry that has waited longest for memory alone.
func (q *queue) blocked(heads []head, cap Capacity, now time.Time) *entry {
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

// head is the first entry of a line.
type head struct {
	entry     *entry
	workspace *workspace
}

// order returns the heads of all lines in the order in which they are served.
func (q *queue) order() []head {
	q.heads = q.heads[:0]
	for _, w := range q.workspaces {
		for c := range w.lines {
			if l := &w.lines[c]; len(l.entries) > 0 {
				q.heads = append(q.heads, head{l.entries[0], w})
			}
		}
	}
	slices.SortFunc(q.heads, func(a, b head) int {
		return cmp.Or(
			cmp.Compare(a.entry.item.Class, b.entry.item.Class),
			cmp.Compare(a.workspace.virtual, b.workspace.virtual),
			a.entry.item.Deadline.Compare(b.entry.item.Deadline),
			cmp.Compare(a.entry.item.ID, b.entry.item.ID),
		)
	})
	return q.heads
}

// start moves an entry from its line to the running ones and charges its
// workspace.
func (q *queue) start(e *entry, now time.Time) {
	w := q.pull(e)
	q.virtual = max(q.virtual, w.virtual)
	w.virtual += float64(e.charge) / w.share
	c := e.item.Class
	if c < routing.ClassLong {
		w.rate.add(e.prefill, now)
	}
	q.running[e.item.ID] = &run{entry: e, started: now}
	q.rates[c].add(e.prefill, now)
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
		q.pull(q.waiting[it.ID])
	}
	return out
}

// Remove implements Queue.
func (q *queue) Remove(id string) bool {
	if e := q.waiting[id]; e != nil {
		q.pull(e)
		return true
	}
	r := q.running[id]
	if r == nil {
		return false
	}
	delete(q.running, id)
	q.learnBroken(r)
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
	q.learnRun(prefill + decode)
	if r != nil && !r.prefilled.IsZero() && r.got > 0 {
		prefill = min(prefill, r.got) // without what passed it
	}
	q.model.Observe(promptOf(it), cached, it.OutputTokens, prefill, decode, ended)
}

// promptOf returns the whole prompt's tokens, held ones included.
func promptOf(it Item) uint64 {
	if it.ContextTokens > 0 {
		return it.ContextTokens + it.PromptTokens
	}
	if it.MemoryTokens > it.OutputTokens {
		return max(it.PromptTokens, it.MemoryTokens-it.OutputTokens)
	}
	return it.PromptTokens
}

// runGain is the weight of a new observation of a run's length.
const runGain = 0.1

func (q *queue) learnRun(took time.Duration) {
	if q.meanRun == 0 {
		q.meanRun = took
		return
	}
	q.meanRun += time.Duration(runGain * float64(took-q.meanRun))
}

// brokenFactor is how much longer than its time so far a run that was broken
// off late is assumed to take.
const brokenFactor = 2

// learnBroken learns from a run that did not come to its end: its prefill if
// that is over, and of the rest only that it takes longer than predicted.
func (q *queue) learnBroken(r *run) {
	it := r.entry.item
	var decode time.Duration
	if !r.prefilled.IsZero() {
		decode = q.clock.Sub(r.prefilled)
	}
	if decode < r.entry.decode {
		decode = 0
	}
	prefill := r.got
	if r.prefilled.IsZero() {
		prefill *= brokenFactor
		if r.got < r.entry.prefill {
			prefill = 0
		}
	}
	if prefill > 0 || decode > 0 {
		q.model.Observe(promptOf(it), 0, it.OutputTokens, prefill, brokenFactor*decode, q.clock)
	}
}
