package engine

import (
	"slices"
	"time"
)

// ending says how a run ended.
type ending int

const (
	running ending = iota
	finished
	canceled
	died
)

// String returns the ending as it stands in the record of executions.
func (e ending) String() string {
	return [...]string{"running", "finished", "canceled", "died"}[e]
}

// run is one completion or span in the batch. Its fields are guarded by the
// server's lock; notify wakes the handler that streams it.
type run struct {
	id       string
	priority int
	seq      uint64 // order of arrival

	target uint64 // tokens to have computed before the first output token
	done   uint64 // tokens computed, imported or cached
	cached uint64 // of them found in the prefix cache
	out    int    // output tokens, those resumed from included
	max    int    // output tokens at the end; 0 for a span

	lease  *lease
	reads  []*heldSpan // spans that cover the prompt's start
	end    ending
	notify chan struct{}
	uses   served     // what it needs loaded
	record *Execution // nil for a span
	span   *heldSpan  // what a span's prefill becomes; nil for a completion
}

func (r *run) wake() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// prefilled reports whether the run is past its prefill.
func (r *run) prefilled() bool { return r.done >= r.target }

// batch orders the runs of the engine and plans steps.
type batch struct {
	prefills []*run // by priority, then arrival
	decodes  []*run
}

func (b *batch) len() int { return len(b.prefills) + len(b.decodes) }

func (b *batch) add(r *run) {
	i, _ := slices.BinarySearchFunc(b.prefills, r, compareRuns)
	b.prefills = slices.Insert(b.prefills, i, r)
}

func compareRuns(a, b *run) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.seq < b.seq {
		return -1
	}
	return 1
}

func (b *batch) remove(r *run) {
	same := func(x *run) bool { return x == r }
	b.prefills = slices.DeleteFunc(b.prefills, same)
	b.decodes = slices.DeleteFunc(b.decodes, same)
}

// waiting counts the runs whose prefill has not begun.
func (b *batch) waiting() int {
	n := 0
	for _, r := range b.prefills {
		if r.done == r.cached {
			n++
		}
	}
	return n
}

// part is the share of one run in a step's prefill.
type part struct {
	run    *run
	tokens uint64
}

// step is one planned step of the batch.
type step struct {
	parts []part
	cost  time.Duration
}

// plan makes the next step: every decoding run emits a token, and the chunk
// goes to the waiting prefills in strict order.
func (b *batch) plan(c Config, parts []part) step {
	s := step{parts: parts[:0], cost: c.Costs.Step}
	s.cost += time.Duration(len(b.decodes)) * c.Costs.DecodeToken
	left := c.ChunkTokens
	slots := c.MaxRunning - len(b.decodes)
	for _, r := range b.prefills {
		if left == 0 || slots <= 0 {
			break
		}
		n := min(left, r.target-r.done)
		s.parts = append(s.parts, part{r, n})
		s.cost += c.Costs.prefill(r.done, n)
		left -= n
		slots--
	}
	return s
}

// prefill returns the cost of n tokens after done others.
func (c Costs) prefill(done, n uint64) time.Duration {
	linear := float64(n) * float64(c.PrefillToken)
	context := (float64(done) + float64(n)/2) / 1000
	return time.Duration(linear + float64(n)*context*float64(c.PrefillTokenPer1k))
}

// advance puts a finished step into effect and returns the runs that are
// complete. A run that is past its prefill emits its first token in the same
// step. settle is called for each run whose prefill moved on.
func (b *batch) advance(s step, settle func(*run)) []*run {
	for _, r := range b.decodes {
		r.out++
	}
	for _, p := range s.parts {
		if p.run.end != running {
			continue
		}
		p.run.done += p.tokens
		settle(p.run)
		if p.run.prefilled() {
			b.promote(p.run)
		}
	}
	var complete []*run
	b.decodes = slices.DeleteFunc(b.decodes, func(r *run) bool {
		whole := r.out >= r.max
		if whole {
			complete = append(complete, r)
		}
		r.wake()
		return whole
	})
	return complete
}

// promote moves a run from prefill to decode.
func (b *batch) promote(r *run) {
	b.prefills = slices.DeleteFunc(b.prefills, func(x *run) bool { return x == r })
	b.decodes = append(b.decodes, r)
	if r.max > 0 {
		r.out++
	}
}
