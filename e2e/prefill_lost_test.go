package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
)

// maxUnusedReservation is how long memory may stay reserved without use.
const maxUnusedReservation = 9 * time.Second

// TestPrefillThatNeverBegins: one of four engines accepts the order for its
// span and never starts or answers. The gateway counted that pending order as
// use of the memory and renewed the leases of the other three, here for fifty
// minutes, although all engines were idle.
func TestPrefillThatNeverBegins(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.fleet(5)
		b.engines["e2"].SetFaults(standengine.Faults{LosePrefill: true})
		prompt := longPrompt("archive", 1_000_000)
		got := make(chan reply, 1)
		go func() { got <- b.ask("gw1", "POST", chatPath, chat(prompt, 32, true), longDeadline) }()
		var unused, longest time.Duration
		const step = 250 * time.Millisecond
		for range int(20 * time.Minute / step) {
			time.Sleep(step)
			select {
			case r := <-got:
				b.t.Log("reserved and unused for", longest)
				is.NoErr(r.err)
				is.Equal(r.status, 200)
				is.Equal(r.text, answerTo(prompt, 32))
				is.True(longest <= maxUnusedReservation)
				time.Sleep(10 * time.Second)
				b.requireMemoryFree()
				return
			default:
			}
			if unused += step; !b.reservedUnused() {
				unused = 0
			}
			longest = max(longest, unused)
		}
		b.t.Errorf("no answer; memory was reserved and unused for %v", longest)
	})
}

// reservedUnused reports whether memory is reserved while no engine runs
// anything.
func (b *cluster) reservedUnused() bool {
	reserved := false
	for name := range b.engines {
		if b.runs(name) > 0 {
			return false
		}
		reserved = reserved || b.report(name).Load.ReservedTokens > 0
	}
	return reserved
}
