package admission

import (
	"math"
	"slices"
	"time"

	"github.com/micarudder/micarudder/routing"
)

// run is a started item.
type run struct {
	entry     *entry
	started   time.Time
	prefilled time.Time     // when prefill ended; zero during prefill
	attained  time.Duration // engine time spent on its prefill
	deficit   deficit
}

// advance updates the attained time and the deficits of the runs in prefill: while any run
// of a shorter class is in prefill, those of longer classes make no progress.
func (q *queue) advance(now time.Time) {
	elapsed := now.Sub(q.accountedUntil)
	if elapsed <= 0 {
		return
	}
	q.accountedUntil = now
	shortest := q.shortestPrefilling()
	for _, r := range q.running {
		if !r.prefilled.IsZero() {
			continue
		}
		preempted := shorter(shortest, r.entry.item.Class)
		if !preempted {
			r.attained += elapsed
		}
		r.deficit.advance(elapsed, preempted)
	}
}

// shortestPrefilling returns the shortest class in prefill, NumClasses if there is none.
func (q *queue) shortestPrefilling() routing.Class {
	shortest := routing.Class(routing.NumClasses)
	for _, r := range q.running {
		if r.prefilled.IsZero() {
			shortest = min(shortest, r.entry.item.Class)
		}
	}
	return shortest
}

// remainingPrefill predicts the prefill time that the run still needs without preemption.
func (r *run) remainingPrefill() time.Duration {
	if !r.prefilled.IsZero() {
		return 0
	}
	return max(0, r.entry.prefill-r.attained)
}

// remainingTokens predicts the prompt tokens that the run has yet to prefill.
func (r *run) remainingTokens() uint64 {
	if r.entry.prefill <= 0 {
		return 0
	}
	fraction := float64(r.remainingPrefill()) / float64(r.entry.prefill)
	return uint64(fraction * float64(r.entry.item.PromptTokens))
}

// overrunFactor is the fraction of its age for which a run that exceeded its prediction is
// expected to continue.
const overrunFactor = 0.25

// predictEnd predicts when a run frees its memory.
func (q *queue) predictEnd(r *run, now time.Time) time.Time {
	end := now.Add(r.remainingPrefill() + r.entry.decode)
	if !r.prefilled.IsZero() {
		end = r.prefilled.Add(r.entry.decode)
	}
	if end.After(now) {
		return end
	}
	return now.Add(time.Duration(overrunFactor * float64(now.Sub(r.started))))
}

// release is an amount of memory that becomes free at a given time.
type release struct {
	at     time.Time
	tokens uint64
}

// predictReleases predicts when the running items free their memory, earliest first.
func (q *queue) predictReleases(now time.Time) []release {
	out := make([]release, 0, len(q.running))
	for _, r := range q.running {
		out = append(out, release{q.predictEnd(r, now), r.entry.item.MemoryTokens})
	}
	slices.SortFunc(out, func(a, b release) int { return a.at.Compare(b.at) })
	return out
}

// freeAt predicts when need tokens of memory will be free, and how many tokens beyond need
// are free at that time. ok is false if all known runs together do not free enough.
func (q *queue) freeAt(need uint64, cap Capacity, now time.Time) (at time.Time, extra uint64, ok bool) {
	free, at := cap.FreeTokens, now
	for _, r := range q.predictReleases(now) {
		if free >= need {
			break
		}
		free += r.tokens
		at = r.at
	}
	if free < need {
		return at, 0, false
	}
	return at, free - need, true
}

// rate is an exponentially decaying average of work per unit of time.
type rate struct {
	value   float64 // share of the endpoint's time
	updated time.Time
}

// rateTimeConstant is the time constant of that decay.
const rateTimeConstant = 5 * time.Second

func (r *rate) add(work time.Duration, now time.Time) {
	r.value = r.valueAt(now) + float64(work)/float64(rateTimeConstant)
	r.updated = now
}

func (r *rate) valueAt(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.updated))/float64(rateTimeConstant))
}
