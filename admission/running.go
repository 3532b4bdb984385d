package admission

import (
	"math"
	"slices"
	"time"

	"github.com/micarudder/micarudder/routing"
)

// run is one started item.
type run struct {
	entry     *entry
	started   time.Time
	prefilled time.Time     // zero while it prefills
	got       time.Duration // engine time that its prefill has had
	debt      debt
}

// advance brings what runs have had and are owed up to now: while any run of a
// shorter class prefills, those of longer classes do not get on.
func (q *queue) advance(now time.Time) {
	elapsed := now.Sub(q.clock)
	if elapsed <= 0 {
		return
	}
	q.clock = now
	shortest := q.shortest()
	for _, r := range q.running {
		if !r.prefilled.IsZero() {
			continue
		}
		passed := shorter(shortest, r.entry.item.Class)
		if !passed {
			r.got += elapsed
		}
		r.debt.advance(elapsed, passed)
	}
}

// shortest returns the shortest class that prefills, NumClasses if none does.
func (q *queue) shortest() routing.Class {
	shortest := routing.Class(routing.NumClasses)
	for _, r := range q.running {
		if r.prefilled.IsZero() {
			shortest = min(shortest, r.entry.item.Class)
		}
	}
	return shortest
}

// left predicts the prefill that the run still needs, itself not passed.
func (r *run) left() time.Duration {
	if !r.prefilled.IsZero() {
		return 0
	}
	return max(0, r.entry.prefill-r.got)
}

// tokensLeft predicts the prompt tokens that the run still prefills.
func (r *run) tokensLeft() uint64 {
	if r.entry.prefill <= 0 {
		return 0
	}
	part := float64(r.left()) / float64(r.entry.prefill)
	return uint64(part * float64(r.entry.item.PromptTokens))
}

// overdueGrowth is the share of its age by which a run that exceeded its
// prediction is expected to last on.
const overdueGrowth = 0.25

// endOf predicts when a run gives its memory back.
func (q *queue) endOf(r *run, now time.Time) time.Time {
	end := now.Add(r.left() + r.entry.decode)
	if !r.prefilled.IsZero() {
		end = r.prefilled.Add(r.entry.decode)
	}
	if end.After(now) {
		return end
	}
	return now.Add(time.Duration(overdueGrowth * float64(now.Sub(r.started))))
}

// release is memory that becomes free at a time.
type release struct {
	at     time.Time
	tokens uint64
}

// releases returns when the running items give their memory back, in order.
func (q *queue) releases(now time.Time) []release {
	out := make([]release, 0, len(q.running))
	for _, r := range q.running {
		out = append(out, release{q.endOf(r, now), r.entry.item.MemoryTokens})
	}
	slices.SortFunc(out, func(a, b release) int { return a.at.Compare(b.at) })
	return out
}

// freeAt predicts when need tokens of memory will be free, and how many more
// than that are free then. ok is false when all known runs together do not
// give enough.
func (q *queue) freeAt(need uint64, cap Capacity, now time.Time) (at time.Time, extra uint64, ok bool) {
	free, at := cap.FreeTokens, now
	for _, r := range q.releases(now) {
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

// rate is a decaying average of work per time.
type rate struct {
	value float64 // share of the endpoint's time
	at    time.Time
}

// rateSpan is the time constant of rates.
const rateSpan = 5 * time.Second

func (r *rate) add(work time.Duration, now time.Time) {
	r.value = r.now(now) + float64(work)/float64(rateSpan)
	r.at = now
}

func (r *rate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(rateSpan))
}
