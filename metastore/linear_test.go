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

// writeAttempt is one write and the result that its writer received.
type writeAttempt struct {
	value       string
	expect      int64
	usedResolve bool
	revision    int64
	err         error
}

// writerRace runs several writers on one key while faults come and go.
type writerRace struct {
	b        *fixture
	mu       sync.Mutex
	attempts []writeAttempt
}

// write reads the key and swaps its value, as an operator does.
func (r *writerRace) write(ctx context.Context, c *metastore.Client, value string, resolve bool) {
	e, err := c.Get(ctx, "k")
	if err != nil && !errors.Is(err, metastore.ErrNotFound) {
		return
	}
	a := writeAttempt{value: value, expect: e.Revision, usedResolve: resolve}
	if resolve {
		same := func(e metastore.Entry) bool { return string(e.Value) == value }
		e, a.err = metastore.SwapAndResolve(ctx, c, "k", a.expect, []byte(value), 0, same)
	} else {
		e, a.err = c.CompareAndSwap(ctx, "k", a.expect, []byte(value), 0)
	}
	a.revision = e.Revision
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// writer makes one write after each of the given delays, in milliseconds.
func (r *writerRace) writer(ctx context.Context, name int, delays []int, resolve bool) {
	c := r.b.newClient()
	for i, ms := range delays {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		r.write(ctx, c, fmt.Sprintf("writer %d, write %d", name, i), resolve)
	}
}

// injectFaults switches through the faults, 400 ms each.
func (r *writerRace) injectFaults(faults []standin.Faults) {
	for _, f := range faults {
		r.b.server.SetFaults(f)
		time.Sleep(400 * time.Millisecond)
	}
	r.b.server.SetFaults(standin.Faults{})
}

// verify compares the results that the writers received with the history of the
// key.
func (r *writerRace) verify(rt *rapid.T, revisionOf map[string]int64, previousOf map[int64]int64) {
	for _, a := range r.attempts {
		at, applied := revisionOf[a.value]
		switch {
		case a.err == nil && (!applied || at != a.revision):
			rt.Fatalf("%+v was reported as applied; the history has applied=%v at revision %d", a, applied, at)
		case a.err == nil && previousOf[at] != a.expect:
			rt.Fatalf("%+v replaced revision %d instead of the expected one", a, previousOf[at])
		case a.err != nil && !errors.Is(a.err, metastore.ErrUnknown) && applied:
			rt.Fatalf("%+v was reported as not applied; the history has it at revision %d", a, at)
		}
	}
}

// drawFaults draws the faults of one race; every one of them ends.
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

// noDeadlineTB hides a test's Deadline method, which must not be called in a
// synctest bubble.
type noDeadlineTB struct{ rapid.TB }

// TestSwapsAreLinearizable: under any faults each write is in the key's history
// at the revision that its writer was told, or not in it if the writer was told
// so, and each write replaces only the revision that it expected.
func TestSwapsAreLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(rt *rapid.T) {
			b := newFixture(t, standin.Config{}, nil)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			r := &writerRace{b: b}
			var done sync.WaitGroup
			for name := range rapid.IntRange(2, 4).Draw(rt, "writers") {
				delays := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 5).Draw(rt, "pauses")
				resolve := rapid.Bool().Draw(rt, "settle")
				done.Go(func() { r.writer(ctx, name, delays, resolve) })
			}
			faults := drawFaults(rt)
			done.Go(func() { r.injectFaults(faults) })
			done.Wait()
			time.Sleep(10 * time.Second) // lets late writes take effect
			revisionOf, previousOf := b.keyHistory(rt)
			r.verify(rt, revisionOf, previousOf)
		})
	})
}

// keyHistory returns the revision of each value that key "k" has had, and the
// previous revision for each revision.
func (b *fixture) keyHistory(rt *rapid.T) (revisionOf map[string]int64, previousOf map[int64]int64) {
	revisionOf, previousOf = map[string]int64{}, map[int64]int64{}
	last := int64(0)
	for _, e := range b.server.History("k") {
		if _, twice := revisionOf[string(e.Value)]; twice {
			rt.Fatalf("%q was written twice", e.Value)
		}
		revisionOf[string(e.Value)] = e.Revision
		previousOf[e.Revision] = last
		last = e.Revision
	}
	return revisionOf, previousOf
}
