package admission

import (
	"math"
	"slices"
	"time"

	"github.com/micarudder/micarudder/routing"
)

// run is one started item.
type run struct {
	entry        *entry
	started      time.Time
	prefilled    time.Time     // zero while it prefills
	passedBefore time.Duration // passers of its class when it started
}

// passers returns the prefill begun so far in the classes that pass class c.
func (q *queue) passers(c routing.Class) time.Duration {
	var sum time.Duration
	for d := range c {
		sum += q.begun[d]
	}
	return sum
}

// got returns the engine time that a prefilling run has had: the time since
// its start less what passed it.
func (q *queue) got(r *run, now time.Time) time.Duration {
	passed := q.passers(r.entry.item.Class) - r.passedBefore
	return max(0, now.Sub(r.started)-passed)
}

// left predicts the prefill that a run still needs, itself not passed.
func (q *queue) left(r *run, now time.Time) time.Duration {
	if !r.prefilled.IsZero() {
		return 0
	}
	return max(0, r.entry.prefill-q.got(r, now))
}

// overdueGrowth is the share of its age by which a run that exceeded its
// prediction is expected to last on.
const overdueGrowth = 0.25

// endOf predicts when a run gives its memory back.
func (q *queue) endOf(r *run, now time.Time) time.Time {
	end := now.Add(q.left(r, now) + r.entry.decode)
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
