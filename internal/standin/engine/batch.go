package engine

import (
	"slices"
	"time"
)

// runState is the state of a run; all but running are final.
type runState int

const (
	running runState = iota
	finished
	canceled
	died
)

// String returns the state as it appears in the record of executions.
func (e runState) String() string {
	return [...]string{"running", "finished", "canceled", "died"}[e]
}

// run is one completion or span in the batch. Its fields are guarded by the server's lock; notify
// wakes the handler that sends its result.
type run struct {
	id       string
	priority int
	seq      uint64 // order of arrival

	target uint64 // tokens to compute before the first output token
	done   uint64 // tokens computed, imported or cached
	cached uint64 // part of done that was found in the prefix cache or imported
	out    int    // output tokens, including those before a resume
	max    int    // output tokens when finished; 0 for a span

	lease  *lease
	spans  []*heldSpan // spans that cover the start of the prompt
	state  runState
	notify chan struct{}
	model  loadedModel // model or adapter that must stay loaded
	record *Execution  // nil for a span
	span   *heldSpan   // span that the run computes; nil for a completion
}

func (r *run) wake() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// prefilled reports whether the prefill of the run is complete.
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

// waiting returns the number of runs whose prefill has not begun.
func (b *batch) waiting() int {
	n := 0
	for _, r := range b.prefills {
		if r.done == r.cached {
			n++
		}
	}
	return n
}

// prefillChunk is the part of a step's prefill that belongs to one run.
type prefillChunk struct {
	run    *run
	tokens uint64
}

// step is one planned step of the batch.
type step struct {
	chunks []prefillChunk
	cost   time.Duration
}

// plan returns the next step: every decoding run emits a token, and the prefill budget goes to the
// waiting runs strictly in order.
func (b *batch) plan(c Config, chunks []prefillChunk) step {
	s := step{chunks: chunks[:0], cost: c.Costs.Step}
	s.cost += time.Duration(len(b.decodes)) * c.Costs.DecodeToken
	budget := c.ChunkTokens
	slots := c.MaxRunning - len(b.decodes)
	for _, r := range b.prefills {
		if budget == 0 || slots <= 0 {
			break
		}
		n := min(budget, r.target-r.done)
		s.chunks = append(s.chunks, prefillChunk{r, n})
		s.cost += c.Costs.prefill(r.done, n)
		budget -= n
		slots--
	}
	return s
}

// prefill returns the cost of prefilling n tokens after done others.
func (c Costs) prefill(done, n uint64) time.Duration {
	linear := float64(n) * float64(c.PrefillToken)
	context := (float64(done) + float64(n)/2) / 1000
	return time.Duration(linear + float64(n)*context*float64(c.PrefillTokenPer1k))
}

// advance applies a finished step and returns the completed runs. A run whose prefill completes
// emits its first token in the same step. onPrefill is called for each run whose prefill advanced.
func (b *batch) advance(s step, onPrefill func(*run)) []*run {
	for _, r := range b.decodes {
		r.out++
	}
	for _, p := range s.chunks {
		if p.run.state != running {
			continue
		}
		p.run.done += p.tokens
		onPrefill(p.run)
		if p.run.prefilled() {
			b.promote(p.run)
		}
	}
	var complete []*run
	b.decodes = slices.DeleteFunc(b.decodes, func(r *run) bool {
		done := r.out >= r.max
		if done {
			complete = append(complete, r)
		}
		r.wake()
		return done
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
