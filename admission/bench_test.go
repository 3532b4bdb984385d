package admission

import (
	"fmt"
	"testing"
)

// BenchmarkQueue measures offering, starting and finishing one item at an endpoint where
// the given number of items of ten workspaces wait.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{0, 100, 500} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := New(Config{Prior: prior, MaxQueued: 100_000})
			busy := Capacity{MemoryTokens: 400_000, MaxRunning: 1, Running: 1}
			for i := range waiting {
				w := fmt.Sprint("w", i%10)
				q.Offer(item(fmt.Sprint(i), w, uint64(100+i%50*100), 10, 0, 1e8+i), busy, at(0))
			}
			now := 0
			b.ReportAllocs()
			for b.Loop() {
				now++
				it := item("new", "w3", 500, 10, now, now+1_000_000)
				q.Offer(it, capacityWith(400_000), at(now))
				if next, ok := q.Next(capacityWith(400_000), at(now)); ok {
					q.Prefilled(next.ID, at(now))
					q.Done(next, 0, 1, 1, 0)
				}
				q.Load(at(now))
			}
		})
	}
}
