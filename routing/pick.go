package routing

import "time"

const (
	// maxNear is the number of best candidates kept during a scan.
	maxNear = 16
	// minMargin is the smallest difference of scores that counts, in nanoseconds.
	minMargin = float64(time.Millisecond)
)

// nearBest keeps the best candidates of one scan, ordered by score. It has a
// fixed size, so that a decision's memory does not grow with the view.
type nearBest struct {
	len  int
	best [maxNear]scored
}

type scored struct {
	index int
	score float64
	work  time.Duration
}

// add puts a candidate in its place; equals stay in the order of the scan.
func (b *nearBest) add(index int, score float64, work time.Duration) {
	if b.len == maxNear && score >= b.best[maxNear-1].score {
		return
	}
	if b.len < maxNear {
		b.len++
	}
	i := b.len - 1
	for i > 0 && b.best[i-1].score > score {
		b.best[i] = b.best[i-1]
		i--
	}
	b.best[i] = scored{index, score, work}
}

// pick returns the better of two random candidates among those that are about
// as good as the best, so that gateways with the same view spread.
func (b *nearBest) pick(share float64, r func(n int) int) int {
	margin := max(minMargin, share*float64(b.best[0].work))
	limit := b.best[0].score + margin
	near := 1
	for near < b.len && b.best[near].score <= limit {
		near++
	}
	if near == 1 {
		return b.best[0].index
	}
	return b.best[min(r(near), r(near))].index
}
