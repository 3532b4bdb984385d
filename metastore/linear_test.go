package metastore_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
	"pgregory.net/rapid"
)

// attempt is one write and what its writer was told.
type attempt struct {
	value    string
	expect   int64
	settled  bool
	revision int64
	err      error
}

// race is several writers at one key while faults come and go.
type race struct {
	b        *bench
	mu       sync.Mutex
	attempts []attempt
}

// write reads the key and swaps it, as an operator does.
func (r *race) write(ctx context.Context, c *metastore.Client, value string, settle bool) {
	e, err := c.Get(ctx, "k")
	if err != nil && !errors.Is(err, metastore.ErrNotFound) {
		return
	}
	a := attempt{value: value, expect: e.Revision, settled: settle}
	if settle {
		same := func(e metastore.Entry) bool { return string(e.Value) == value }
		e, a.err = metastore.Settle(ctx, c, "k", a.expect, []byte(value), 0, same)
	} else {
		e, a.err = c.CompareAndSwap(ctx, "k", a.expect, []byte(value), 0)
	}
	a.revision = e.Revision
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// writer makes writes at the given times.
func (r *race) writer(ctx context.Context, name int, pauses []int, settle bool) {
	c := r.b.newClient()
	for i, ms := range pauses {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		r.write(ctx, c, fmt.Sprintf("writer %d, write %d", name, i), settle)
	}
}

// disturb switches the faults in turn.
func (r *race) disturb(faults []standin.Faults) {
	for _, f := range faults {
		r.b.server.SetFaults(f)
		time.Sleep(400 * time.Millisecond)
	}
	r.b.server.SetFaults(standin.Faults{})
}

// check compares what the writers were told with what the key went through.
func (r *race) check(rt *rapid.T, chain map[string]int64, previous map[int64]int64) {
	for _, a := range r.attempts {
		at, applied := chain[a.value]
		switch {
		case a.err == nil && (!applied || at != a.revision):
			rt.Fatalf("%+v was told applied; the key says %v at %d", a, applied, at)
		case a.err == nil && previous[at] != a.expect:
			rt.Fatalf("%+v replaced revision %d", a, previous[at])
		case a.err != nil && !errors.Is(a.err, metastore.ErrUnknown) && applied:
			rt.Fatalf("%+v was told not applied; it was, at %d", a, at)
		}
	}
}

// drawFaults draws the faults of one race; all end by themselves.
func drawFaults(rt *rapid.T) []standin.Faults {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) standin.Faults {
		return standin.Faults{
			Outage:        rapid.SampledFrom([]standin.Outage{"", "", "", standin.OutageHang, standin.OutageReset, standin.OutageRefuse}).Draw(rt, "outage"),
			Delay:         time.Duration(rapid.SampledFrom([]int{0, 0, 50, 1500, 3000}).Draw(rt, "delay")) * time.Millisecond,
			AnswerDelay:   time.Duration(rapid.SampledFrom([]int{0, 0, 50, 1500}).Draw(rt, "answer delay")) * time.Millisecond,
			LoseApplied:   rapid.IntRange(0, 2).Draw(rt, "lose applied"),
			LoseUnapplied: rapid.IntRange(0, 2).Draw(rt, "lose unapplied"),
		}
	}), 0, 6).Draw(rt, "faults")
}

// bubbled hides a test's deadline, which must not be asked for in a bubble.
type bubbled struct{ rapid.TB }

// TestSwapsAreLinear: whatever the faults, each write is in the key's history
// exactly where its writer was told, or not at all where it was told so, and
// no write replaces another than the one it expected.
func TestSwapsAreLinear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbled{t}, func(rt *rapid.T) {
			b := newBench(t, standin.Config{}, nil)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			r := &race{b: b}
			var done sync.WaitGroup
			for name := range rapid.IntRange(2, 4).Draw(rt, "writers") {
				pauses := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 5).Draw(rt, "pauses")
				settle := rapid.Bool().Draw(rt, "settle")
				done.Go(func() { r.writer(ctx, name, pauses, settle) })
			}
			faults := drawFaults(rt)
			done.Go(func() { r.disturb(faults) })
			done.Wait()
			time.Sleep(10 * time.Second) // late writes take effect
			chain, previous := b.history(rt)
			r.check(rt, chain, previous)
		})
	})
}

// history returns the revision of each value that the key "k" has had, and the
// revision before each revision.
func (b *bench) history(rt *rapid.T) (chain map[string]int64, previous map[int64]int64) {
	chain, previous = map[string]int64{}, map[int64]int64{}
	last := int64(0)
	for _, e := range b.server.History("k") {
		if _, twice := chain[string(e.Value)]; twice {
			rt.Fatalf("%q was written twice", e.Value)
		}
		chain[string(e.Value)] = e.Revision
		previous[e.Revision] = last
		last = e.Revision
	}
	return chain, previous
}
