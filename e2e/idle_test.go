package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIdleEngineAdmits: an engine far below its limits refuses no request of a
// steady stream of short ones whose deadlines leave time to spare.
func TestIdleEngineAdmits(t *testing.T) {
	for _, every := range []time.Duration{80 * time.Millisecond, 40 * time.Millisecond} {
		t.Run(every.String(), func(t *testing.T) {
			runSession(t, func(b *cluster) {
				b.engine("a", nil)
				b.gateway("gw1")
				b.publish()
				var wg sync.WaitGroup
				var mu sync.Mutex
				ends := make(map[string]int)
				for i := range 250 {
					wg.Go(func() {
						r := b.ask("gw1", "POST", chatPath, chat(fmt.Sprintf("caller %d", i), 50, false), nil)
						mu.Lock()
						defer mu.Unlock()
						ends[fmt.Sprint(r.status, " ", r.parsedProblem().Code)]++
					})
					time.Sleep(every)
				}
				wg.Wait()
				is.New(b.t).Equal(ends, map[string]int{"200 0": 250})
			})
		})
	}
}
